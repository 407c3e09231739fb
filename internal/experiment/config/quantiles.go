package config

import (
	"fmt"
	"slices"
	"time"
)

// quantiles returns the median, the 99th and 99.9th hundredth and the longest.
func quantiles(all []time.Duration) []string {
	slices.Sort(all)
	var out []string
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		at := min(int(q*float64(len(all))), len(all)-1)
		out = append(out, fmt.Sprintf("%.2f s", all[at].Seconds()))
	}
	return out
}
