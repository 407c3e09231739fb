// Package shutdown decides which requests a stopping router still takes, and by when each of them has its response.
//
// Invariant: no deadline that Decide returns lies after the end of the grace period.
package shutdown

import "time"

// durationMargin is how much longer than the longest request of its route lately a request may take.
const durationMargin = 1.5

// Request is a request that arrives at a stopping router.
type Request struct {
	Deadline   time.Time
	Idempotent bool
	// Longest is how long requests of the route took lately at most; 0 if unknown.
	Longest time.Duration
}

// Decide returns whether a request that arrives at now is taken, and the deadline that it gets then. end is when the last
// response is written. A request that must not run twice is taken only if it is expected to finish: broken off, its caller could
// not repeat it. An idempotent one is taken, and its caller may repeat it elsewhere after a failure.
func Decide(q Request, now, end time.Time) (deadline time.Time, taken bool) {
	deadline = q.Deadline
	if deadline.After(end) {
		deadline = end
	}
	switch {
	case !now.Before(end):
		return end, false
	case q.Idempotent || !q.Deadline.After(end):
		return deadline, true
	default:
		return deadline, q.Longest > 0 && !now.Add(time.Duration(durationMargin*float64(q.Longest))).After(end)
	}
}

// durationWindow is how long Durations keeps a request at least; it is kept for twice as long at most.
const durationWindow = 30 * time.Second

// Durations keeps the longest duration of recent requests by route. The zero value is empty. It is not safe for concurrent use.
type Durations struct {
	current, former map[string]time.Duration
	began           time.Time // When current began.
}

// Record adds a request that took d and ended at now.
func (l *Durations) Record(route string, d time.Duration, now time.Time) {
	l.rotate(now)
	l.current[route] = max(l.current[route], d)
}

// Longest returns the longest recent duration of a route, or 0 if there is none.
func (l *Durations) Longest(route string, now time.Time) time.Duration {
	l.rotate(now)
	return max(l.current[route], l.former[route])
}

// rotate drops the requests that have expired.
func (l *Durations) rotate(now time.Time) {
	age := now.Sub(l.began)
	if l.current != nil && age < durationWindow {
		return
	}
	l.former = l.current
	if age >= 2*durationWindow {
		l.former = nil
	}
	l.current, l.began = make(map[string]time.Duration), now
}
