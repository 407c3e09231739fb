package catalog

import (
	"maps"
	"time"
)

// minColdShift is by how much the end of an endpoint's cold time must move later to count as a change. The remaining
// time decreases with each heartbeat, and the end calculated from it varies with the delay of the heartbeat.
const minColdShift = 500 * time.Millisecond

// EndpointID identifies one incarnation of an endpoint.
type EndpointID string

// Endpoint is a registered endpoint.
type Endpoint struct {
	ID            EndpointID
	Service       string
	Address       string // Host and port.
	FailureDomain string
	Slots         int   // Number of requests that run at the same time.
	Draining      bool  // Accepts no new requests.
	Incarnation   int64 // Start of this incarnation, in Unix milliseconds.
	Heartbeat     int64 // Number of the heartbeat that wrote the registration, within the incarnation.
	// SoftwareVersion is the version of the incarnation's software, not of its weights; "" if unknown. A
	// stream that one software version began must not go on at another one.
	SoftwareVersion string
	// Cold is how long the endpoint remains cold, from the receipt of the registration on.
	Cold time.Duration
	// ColdUntil is until when the incarnation is cold; zero if it is not. State sets it at the receipt.
	ColdUntil time.Time
}

// receivedAt returns a copy of a registration received at now. known is an earlier registration of the endpoint, or
// nil: of one incarnation the latest end of its cold time applies.
func (e *Endpoint) receivedAt(now time.Time, known *Endpoint) *Endpoint {
	received := *e
	if e.Cold > 0 {
		received.ColdUntil = now.Add(e.Cold)
	}
	if known != nil && known.Incarnation == e.Incarnation && known.ColdUntil.After(received.ColdUntil) {
		received.ColdUntil = known.ColdUntil
	}
	return &received
}

// isNewerThan reports whether a registration was written after another one of the same
// endpoint.
func (e *Endpoint) isNewerThan(other *Endpoint) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation > other.Incarnation
	}
	return e.Heartbeat > other.Heartbeat
}

// EqualsExceptHeartbeat reports whether a registration that is received at now differs from a former one in its
// heartbeat at most. The remaining cold time is part of the heartbeat, unless the endpoint has become cold or the
// end of its cold time has moved later by more than minColdShift.
func (e *Endpoint) EqualsExceptHeartbeat(other *Endpoint, now time.Time) bool {
	copied := *e
	copied.Heartbeat, copied.Cold, copied.ColdUntil = other.Heartbeat, other.Cold, other.ColdUntil
	return copied == *other && !other.isColdLonger(e, now)
}

// isColdLonger reports whether an endpoint is cold at now, and by a former registration was not, or for a shorter
// time.
func (e *Endpoint) isColdLonger(former *Endpoint, now time.Time) bool {
	if !e.ColdUntil.After(now) {
		return false
	}
	return !former.ColdUntil.After(now) || e.ColdUntil.Sub(former.ColdUntil) > minColdShift
}

// HeartbeatFilter reports which registrations change nothing but the heartbeat, for the ChangeLog of a process that
// passes the others on. It is not safe for concurrent use.
type HeartbeatFilter struct {
	now    func() time.Time
	passed map[EndpointID]time.Time // Earliest end of the cold time of an endpoint that other processes may know.
}

// NewHeartbeatFilter returns a HeartbeatFilter. now returns the time.
func NewHeartbeatFilter(now func() time.Time) *HeartbeatFilter {
	return &HeartbeatFilter{now: now, passed: make(map[EndpointID]time.Time)}
}

// IsHeartbeat reports whether a registration that is received now differs from the one that it replaces in its
// heartbeat at most. The end of the cold time is compared with what other processes know, so that many small
// extensions are passed on too.
func (f *HeartbeatFilter) IsHeartbeat(former, current *Endpoint) bool {
	now := f.now()
	maps.DeleteFunc(f.passed, func(_ EndpointID, until time.Time) bool { return !until.After(now) })
	known, received := *former, current.receivedAt(now, nil)
	until, recorded := f.passed[current.ID]
	if !recorded && current.Cold < former.Cold {
		until = received.ColdUntil // The former registration is the first one, which was passed on.
	}
	known.ColdUntil = until
	equal := known.EqualsExceptHeartbeat(received, now)
	switch {
	case !received.ColdUntil.After(now):
		delete(f.passed, current.ID)
	case !equal || received.ColdUntil.Before(until) || !recorded:
		f.passed[current.ID] = received.ColdUntil
	}
	return equal
}

// AdapterKey identifies an adapter of a base model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// AdapterVersion is an announced version of an adapter.
type AdapterVersion struct {
	AdapterKey
	Version int64
}
