package grants

import (
	"math"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

const (
	// demandWindow is the time constant of the estimated demand: a few requests of an adapter that
	// deserves a second engine arrive in it.
	demandWindow = 2 * time.Second
	// maxTrackedDemands bounds the adapters whose demand is tracked. An engine holds fewer than 50.
	maxTrackedDemands = 512
)

// demands estimates how often an engine's scheduler is asked for each adapter.
type demands struct{ byAdapter map[catalog.AdapterKey]demand }

// demand is a number of requests that decays with demandWindow.
type demand struct {
	requests float64
	at       time.Time
}

func newDemands() demands { return demands{make(map[catalog.AdapterKey]demand)} }

// record counts a request.
func (d demands) record(key catalog.AdapterKey, now time.Time) {
	if len(d.byAdapter) >= maxTrackedDemands {
		d.prune(now)
	}
	d.byAdapter[key] = demand{d.byAdapter[key].current(now) + 1, now}
}

// prune forgets the adapters that are hardly asked for.
func (d demands) prune(now time.Time) {
	for key, entry := range d.byAdapter {
		if entry.current(now) < 1 {
			delete(d.byAdapter, key)
		}
	}
}

// rate returns the requests per second for an adapter, rounded to a power of two, so that it seldom
// changes. It is 0 below one request per second.
func (d demands) rate(key catalog.AdapterKey, now time.Time) int {
	rate := d.byAdapter[key].current(now) / demandWindow.Seconds()
	if rate < 1 {
		return 0
	}
	return int(math.Exp2(math.Round(math.Log2(rate))))
}

// current returns the decayed number of requests.
func (d demand) current(now time.Time) float64 {
	if d.requests == 0 {
		return 0
	}
	return d.requests * math.Exp(-float64(max(now.Sub(d.at), 0))/float64(demandWindow))
}
