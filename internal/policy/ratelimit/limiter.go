package ratelimit

import (
	"math"
	"time"
)

// Limit is the rate limit that an endpoint names in a response. The zero value is a response
// that names none.
type Limit struct {
	Named     bool
	PerSecond float64 // Requests per second from all routers together; not negative.
}

// Observation is the limit of one response and when the response arrived. The zero value is no
// observation.
type Observation struct {
	Limit Limit
	At    time.Time
}

// Source is the origin of an observation, as the kind of the responses that it was made of. An endpoint may name its
// limit in one kind only, so a response of one kind withdraws no limit of the other.
type Source int

// Values of Source.
const (
	FromResponse Source = iota // Responses to requests.
	FromReport                 // Reports of an engine to its scheduler.
	FromCold                   // The rate that a cold endpoint sustains, whatever it names itself.
	numSources
)

const (
	// BurstPeriod is the largest balance as a period of the rate.
	BurstPeriod = 250 * time.Millisecond
	// minPerSecond is the lowest rate. Without any request, a router would not learn that an
	// endpoint has withdrawn its limit.
	minPerSecond = 0.25
)

// Limiter is a token bucket with the rate that an endpoint names. The zero value admits every
// request. It is not safe for concurrent use.
type Limiter struct {
	share        float64   // Part of the named rate that this limiter admits; 0 stands for 1.
	notBefore    time.Time // Nothing is admitted earlier while a limit is named.
	observations [numSources]Observation
	balance      float64   // Requests.
	refilledAt   time.Time // Time of the last refill; zero before a limit is first named.
}

// NewLimiter returns a Limiter that admits a part of the named rate, above 0 and at most 1, from
// notBefore on.
func NewLimiter(share float64, notBefore time.Time) *Limiter {
	return &Limiter{share: share, notBefore: notBefore}
}

// Observe merges an observation. It ignores one that is older than the last one of its source.
func (l *Limiter) Observe(s Source, o Observation) {
	if o.At.IsZero() || o.At.Before(l.observations[s].At) {
		return
	}
	l.refill(o.At)
	l.observations[s] = o
	if l.refilledAt.IsZero() && l.Limit().Named {
		l.balance, l.refilledAt = 1, o.At
	}
	l.refill(o.At)
	l.balance = min(l.balance, l.burst())
}

// Limit returns the limit in force: the lowest one of the last observations.
func (l *Limiter) Limit() Limit {
	var lowest Limit
	for _, o := range l.observations {
		if o.Limit.Named && (!lowest.Named || o.Limit.PerSecond < lowest.PerSecond) {
			lowest = o.Limit
		}
	}
	return lowest
}

// Take admits one request if the balance holds one.
func (l *Limiter) Take(now time.Time) bool {
	if !l.Limit().Named {
		return true
	}
	l.refill(now)
	if l.balance < 1 || now.Before(l.notBefore) {
		return false
	}
	l.balance--
	return true
}

// Wait returns how long it takes until a request is admitted that has a number of others ahead
// of it.
func (l *Limiter) Wait(ahead int, now time.Time) time.Duration {
	if !l.Limit().Named {
		return 0
	}
	l.refill(now)
	wait := max(l.notBefore.Sub(now), 0)
	if missing := float64(ahead) + 1 - l.balance; missing > 0 {
		wait = max(wait, time.Duration(math.Ceil(missing/l.perSecond()*float64(time.Second))))
	}
	return wait
}

// perSecond returns the admitted rate. A limit is in force.
func (l *Limiter) perSecond() float64 {
	rate := l.Limit().PerSecond
	if l.share > 0 {
		rate *= l.share
	}
	return max(rate, minPerSecond)
}

// burst returns the largest balance.
func (l *Limiter) burst() float64 { return max(1, l.perSecond()*BurstPeriod.Seconds()) }

// refill adds the requests that accrued since the last refill.
func (l *Limiter) refill(now time.Time) {
	if !l.Limit().Named || !now.After(l.refilledAt) {
		return
	}
	l.balance = min(l.balance+now.Sub(l.refilledAt).Seconds()*l.perSecond(), l.burst())
	l.refilledAt = now
}
