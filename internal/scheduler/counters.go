package scheduler

import (
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
)

// Counters holds the scheduler's metrics.
type Counters struct {
	grants     tally.Counter
	coldGrants tally.Counter
	pushbacks  tally.Counter // Calls that the engine refused with a Retry-After.
	cold       tally.Counter // Grants refused because the engine is cold.
	scope      tally.Scope
	grantWait  tally.Histogram
}

// waitBuckets are the histogram bounds of waits for a grant, from an immediate grant to the
// longest deadline.
var waitBuckets = tally.DurationBuckets{
	time.Millisecond, 10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
	time.Second, 3 * time.Second, 10 * time.Second,
}

// NewCounters registers the scheduler's metrics in scope.
func NewCounters(scope tally.Scope) *Counters {
	return &Counters{
		grants:     scope.Counter("turns_granted_total"),
		coldGrants: scope.Counter("turns_after_load_total"),
		pushbacks:  scope.Counter("engine_pushbacks_total"),
		cold:       scope.Counter("cold_refused"),
		grantWait:  scope.Histogram("turn_wait_seconds", waitBuckets),
		scope:      scope,
	}
}

// recordOrder counts a load or unload order by its outcome.
func (c *Counters) recordOrder(o grants.Order, outcome grants.Outcome) {
	kind := "load"
	if o.Unload {
		kind = "unload"
	}
	c.scope.Tagged(map[string]string{"kind": kind, "outcome": outcome.String()}).Counter("orders_total").Inc(1)
}

// recordPreload counts a preload.
func (c *Counters) recordPreload(result grants.PreloadResult) {
	c.scope.Tagged(map[string]string{"result": string(result)}).Counter("preloads_total").Inc(1)
}

// recordDecision counts a grant or a refusal.
func (c *Counters) recordDecision(d grants.Decision) {
	if !d.Granted {
		c.scope.Tagged(map[string]string{"refusal": string(d.Refusal)}).Counter("turns_refused_total").Inc(1)
		if d.Refusal == grants.RefusalCold {
			c.cold.Inc(1)
		}
		return
	}
	c.grants.Inc(1)
	c.grantWait.RecordDuration(d.Waited)
	if d.WaitedForLoad {
		c.coldGrants.Inc(1)
	}
}
