package availability

import (
	"fmt"
	"time"
)

// Signals are what an endpoint says about itself in a response.
type Signals struct {
	Draining   bool          // It takes no new requests.
	RetryAfter time.Duration // How long it wants no requests after a refusal; 0 if it set no time.
}

// RefusedError is the error of a call that an endpoint refused for a time.
type RefusedError struct {
	RetryAfter time.Duration // How long the endpoint wants no calls.
}

// Error implements error.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("endpoint refused the call for %s", e.RetryAfter)
}

// State is the availability of one endpoint. Responses may arrive in any order, also late ones of a
// former incarnation. They are attributed to the registered incarnation, which may be a former one: an endpoint
// that has started again under its ID responds before its registration is read. The zero value is an endpoint that
// has said nothing.
type State struct {
	incarnation int64 // Latest incarnation that signals were attributed to; its start in Unix milliseconds.
	draining    bool
	until       time.Time // The endpoint wants no requests before this time.
	observedAt  time.Time // Last signal.
}

// Change reports which signals of a response are news.
type Change struct {
	Draining   bool // The endpoint began to drain.
	PushedBack bool // The endpoint was used until now and wants no requests for a time.
}

// Observe records the signals in a response that arrived now from an incarnation.
func (s *State) Observe(incarnation int64, signals Signals, now time.Time) Change {
	if signals == (Signals{}) || incarnation < s.incarnation {
		return Change{}
	}
	if incarnation > s.incarnation {
		until := s.pushbackOf(incarnation)
		*s = State{incarnation: incarnation, until: until}
	}
	s.observedAt = now
	change := Change{
		Draining:   signals.Draining && !s.draining,
		PushedBack: signals.RetryAfter > 0 && !now.Before(s.until),
	}
	s.draining = s.draining || signals.Draining
	if until := now.Add(signals.RetryAfter); until.After(s.until) {
		s.until = until
	}
	return change
}

// Drains reports whether an incarnation takes no new requests. A former incarnation takes none.
func (s *State) Drains(incarnation int64) bool {
	return incarnation < s.incarnation || incarnation == s.incarnation && s.draining
}

// maxClockSkew is the largest difference between the clocks of an endpoint and of this process for which a Retry-After
// is attributed to the right incarnation.
const maxClockSkew = 500 * time.Millisecond

// pushbackOf returns until when an incarnation wants no requests. A signal that was attributed to a former incarnation may
// have come from a later one that had started by then. Only the Retry-After counts for it: that ends by itself.
func (s *State) pushbackOf(incarnation int64) time.Time {
	started := time.UnixMilli(incarnation)
	if incarnation < s.incarnation || incarnation > s.incarnation && started.After(s.observedAt.Add(maxClockSkew)) {
		return time.Time{}
	}
	return s.until
}

// Wait returns how long an incarnation wants no requests.
func (s *State) Wait(incarnation int64, now time.Time) time.Duration {
	return max(s.pushbackOf(incarnation).Sub(now), 0)
}

// IsExpired reports whether the state has not changed for retention and no longer matters.
func (s *State) IsExpired(now time.Time, retention time.Duration) bool {
	return now.Sub(s.observedAt) > retention && !now.Before(s.until)
}
