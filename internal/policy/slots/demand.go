package slots

import (
	"math"
	"time"
)

// decayingCount is a count that halves with each half-life.
type decayingCount struct {
	value     float64
	updatedAt time.Time
}

func (d *decayingCount) add(now time.Time, halfLife time.Duration, n float64) {
	d.value = d.valueAt(now, halfLife) + n
	d.updatedAt = now
}

func (d *decayingCount) valueAt(now time.Time, halfLife time.Duration) float64 {
	if d.value == 0 {
		return 0
	}
	return d.value * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(halfLife))
}
