package freshness

import (
	"fmt"
	"slices"
	"time"
)

// quantiles formats the median, the 99th and 99.9th percentile and the maximum. It
// sorts the durations.
func quantiles(durations []time.Duration) []string {
	slices.Sort(durations)
	var out []string
	for _, q := range []float64{0.5, 0.99, 0.999, 1} {
		i := min(int(q*float64(len(durations))), len(durations)-1)
		out = append(out, fmt.Sprintf("%.2f s", durations[i].Seconds()))
	}
	return out
}
