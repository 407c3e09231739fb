package spreading

import (
	"math"
	"time"
)

// rateWindow is the time over which a rate is averaged. With 300 routers each sees a request of a service in
// 2 s, and a shorter window often holds none. Demand swings within 15 s.
const rateWindow = 5 * time.Second

// Rate is the moving rate of a service's work as one router sees it. The zero value has seen nothing.
type Rate struct {
	startedAt, updatedAt time.Time
	work                 float64 // Decays by 1/e within rateWindow.
}

// Add records work that is sent now.
func (r *Rate) Add(work float64, now time.Time) {
	if r.startedAt.IsZero() {
		r.startedAt, r.updatedAt = now, now
	}
	r.work = r.decayed(now) + work
	r.updatedAt = now
}

// PerMS returns the work per millisecond. A rate that has not been recorded for rateWindow is understated, so that a
// router that has just started does not take its first requests for a high rate.
func (r *Rate) PerMS(now time.Time) float64 {
	if r.startedAt.IsZero() {
		return 0
	}
	return r.decayed(now) / float64(rateWindow.Milliseconds())
}

func (r *Rate) decayed(now time.Time) float64 {
	return r.work * math.Exp(-max(now.Sub(r.updatedAt), 0).Seconds()/rateWindow.Seconds())
}
