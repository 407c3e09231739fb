package slots

import (
	"math"
	"time"
)

// decaying is a count whose weight halves with each half-life.
type decaying struct {
	value float64
	at    time.Time
}

func (d *decaying) add(now time.Time, halfLife time.Duration, n float64) {
	d.value = d.read(now, halfLife) + n
	d.at = now
}

func (d *decaying) read(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}
