// Package coldstart decides until when an endpoint is cold: it has started a short time ago, or has become cold
// again, and sustains a lower rate of requests than a warm one.
//
// A scheduler keeps a Tracker of its engine. A router calls OfEndpoint. Both merge their sources, of which the latest
// time applies, and a new incarnation discards what was known of the former one.
//
// The package is pure: callers pass the time. Times of one call have a monotonic reading and a wall clock reading,
// as those of time.Now. Only the age of an incarnation is taken from the wall clock.
package coldstart

import "time"

const (
	// MaxRemaining bounds the time that an endpoint remains cold as it states it, which may be wrong by orders of
	// magnitude.
	MaxRemaining = 10 * time.Minute
	// ageMargin is added to the period within which a started scheduler takes its engine for cold, because the
	// clock of the VM may have been set since the engine started.
	ageMargin = 5 * time.Second
)

// Settings are the settings of a service for its cold endpoints.
type Settings struct {
	Period    time.Duration // Time after its start in which an endpoint is cold; 0 for none.
	PerSecond float64       // Requests per second that a cold endpoint sustains; 0 for no bound.
}

// Paces reports whether the requests to cold endpoints are paced.
func (s Settings) Paces() bool { return s.PerSecond > 0 }

// Source is what an endpoint is known by to be cold.
type Source string

// Values of Source.
const (
	SourceRestart   Source = "restart"         // An incarnation that follows another one.
	SourceScheduler Source = "scheduler_start" // The first report to a scheduler, of a young incarnation.
	SourceRouter    Source = "router"          // The remaining time in the grant request of a router.
	SourceRegistry  Source = "registry"        // The registry entry of the endpoint.
	SourceReturn    Source = "return"          // The end of an evacuation of the endpoint's failure domain.
)

// Cold is until when an endpoint is cold. The zero value is an endpoint that is not cold.
type Cold struct {
	Until  time.Time
	Source Source
}

// Remaining returns how long the endpoint remains cold.
func (c Cold) Remaining(now time.Time) time.Duration {
	if c.Until.IsZero() {
		return 0
	}
	return max(c.Until.Sub(now), 0)
}

// later returns the later one of two times.
func (c Cold) later(other Cold) Cold {
	if other.Until.After(c.Until) {
		return other
	}
	return c
}

// OfEndpoint returns until when an endpoint is cold, as a router knows it. registeredUntil is the time by the
// endpoint's registry entry, and returnedAt the end of the last evacuation of its failure domain as the router
// observed it; both may be zero.
func OfEndpoint(s Settings, registeredUntil, returnedAt time.Time) Cold {
	if !s.Paces() {
		return Cold{}
	}
	c := Cold{}
	if !registeredUntil.IsZero() {
		c = Cold{registeredUntil, SourceRegistry}
	}
	if !returnedAt.IsZero() && s.Period > 0 {
		c = c.later(Cold{returnedAt.Add(s.Period), SourceReturn})
	}
	return c
}

// Tracker holds what a scheduler knows of its engine. The zero value has no report. It is not safe for concurrent
// use.
type Tracker struct {
	incarnation int64         // Start of the engine in Unix milliseconds.
	startedAt   time.Time     // First report of the incarnation.
	age         time.Duration // Age of the incarnation at startedAt by the wall clock.
	restarted   bool          // The incarnation follows another one.
	told        time.Time     // Latest time that a router has stated.
}

// Start records the first report of an incarnation, or the first one after the engine started again under the same
// incarnation.
func (t *Tracker) Start(incarnation int64, now time.Time) {
	*t = Tracker{
		incarnation: incarnation, startedAt: now, restarted: !t.startedAt.IsZero(),
		age: now.Round(0).Sub(time.UnixMilli(incarnation)),
	}
}

// Observe merges the remaining time that a router states for an incarnation. It ignores other incarnations than the
// last reported one.
func (t *Tracker) Observe(incarnation int64, remaining time.Duration, now time.Time) {
	if remaining <= 0 || t.startedAt.IsZero() || incarnation != t.incarnation {
		return
	}
	if until := now.Add(min(remaining, MaxRemaining)); until.After(t.told) {
		t.told = until
	}
}

// Cold returns until when the engine is cold. The settings may be known later than the first report.
func (t *Tracker) Cold(s Settings) Cold {
	if !s.Paces() || t.startedAt.IsZero() {
		return Cold{}
	}
	c := Cold{}
	if !t.told.IsZero() {
		c = Cold{t.told, SourceRouter}
	}
	switch {
	case s.Period <= 0:
	case t.restarted:
		c = c.later(Cold{t.startedAt.Add(s.Period), SourceRestart})
	case t.age <= s.Period+ageMargin:
		c = c.later(Cold{t.startedAt.Add(s.Period), SourceScheduler})
	}
	return c
}
