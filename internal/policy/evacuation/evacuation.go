// Package evacuation decides which failure domains may receive requests while the operator evacuates some of
// them. It has no I/O, and time is an argument.
//
// A State holds what was read from the store. A Config derives the phase of a domain from it at a given time:
//
//	open -> handing over -> closed -> returning -> open
//
// The phase of a domain that is evacuated never goes back from closed to handing over, and the domain is closed
// at the latest half of the bound after the last time at which the key was known to be absent.
package evacuation

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

const (
	// maxHandover bounds the phase in which requests still go to the domain.
	maxHandover = time.Second
	// minReturn is the shortest time over which a domain is brought back.
	minReturn = 3 * time.Second
	// retention is how long the end of an evacuation is known. It is the longest time for which an endpoint
	// may be cold.
	retention = 10 * time.Minute
)

// Phase is the phase of a failure domain.
type Phase int

// Values of Phase.
const (
	Open        Phase = iota // Requests may use the domain.
	HandingOver              // Only requests whose adapter is usable nowhere else use it.
	Closed                   // Nothing uses it.
	Returning                // A rising part of the requests uses it.
)

// String returns the phase's name in logs.
func (p Phase) String() string {
	return [...]string{"open", "handing_over", "closed", "returning"}[p]
}

// evacuation is the evacuation of one failure domain.
type evacuation struct {
	since   time.Time // Last time at which the key was known to be absent; zero if it never was.
	readAt  time.Time // When the key was read first.
	endedAt time.Time // When the removal of the key was read; zero while it stands.
}

// State is the set of evacuations by failure domain. It is immutable; the nil State has none.
type State struct{ byDomain map[string]evacuation }

// Begin returns the state after the key of a domain was read at now. since is the last time at which it was
// known to be absent, zero if that is not known. It returns s if the domain is being evacuated already.
func (s *State) Begin(domain string, since, now time.Time) *State {
	if s.Evacuated(domain) {
		return s
	}
	return s.with(domain, evacuation{since: since, readAt: now}, now)
}

// End returns the state after the removal of a domain's key was read.
func (s *State) End(domain string, now time.Time) *State {
	if !s.Evacuated(domain) {
		return s
	}
	e := s.byDomain[domain]
	e.endedAt = now
	return s.with(domain, e, now)
}

// with returns a copy with one changed evacuation, without the evacuations that ended long ago.
func (s *State) with(domain string, e evacuation, now time.Time) *State {
	next := &State{byDomain: make(map[string]evacuation)}
	if s != nil {
		maps.Copy(next.byDomain, s.byDomain)
	}
	maps.DeleteFunc(next.byDomain, func(_ string, e evacuation) bool {
		return !e.endedAt.IsZero() && now.Sub(e.endedAt) > retention
	})
	next.byDomain[domain] = e
	return next
}

// Evacuated reports whether the key of a domain stands.
func (s *State) Evacuated(domain string) bool {
	if s == nil {
		return false
	}
	e, ok := s.byDomain[domain]
	return ok && e.endedAt.IsZero()
}

// ReturnedAt returns when the last evacuation of a domain ended, as observed by this process. It returns false if
// the domain is being evacuated, or if there was no evacuation within the last 10 minutes.
func (s *State) ReturnedAt(domain string) (time.Time, bool) {
	if s == nil {
		return time.Time{}, false
	}
	e := s.byDomain[domain]
	return e.endedAt, !e.endedAt.IsZero()
}

// Domains returns the domains that are or were evacuated, in order.
func (s *State) Domains() []string {
	if s == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(s.byDomain))
}

// Config holds the durations of the phases.
type Config struct {
	Bound    time.Duration // Time from the write of the key after which nothing may reach the domain.
	Handover time.Duration // Longest duration of HandingOver.
	Return   time.Duration // Duration of Returning.
}

// NewConfig returns the configuration for a bound on evacuations and one on changes of the operator's items.
func NewConfig(bound, configBound time.Duration) Config {
	return Config{Bound: bound, Handover: min(max((bound-configBound)/2, 0), maxHandover), Return: minReturn}
}

// Phase returns the phase of a domain.
func (c Config) Phase(s *State, domain string, now time.Time) Phase {
	if s == nil {
		return Open
	}
	e, ok := s.byDomain[domain]
	switch {
	case !ok:
		return Open
	case !e.endedAt.IsZero() && now.Sub(e.endedAt) < c.Return:
		return Returning
	case !e.endedAt.IsZero():
		return Open
	case now.Sub(e.readAt) < c.Handover && now.Sub(e.since) < c.Bound/2:
		return HandingOver // The key may have been written right after since, so that the bound counts from there.
	default:
		return Closed
	}
}

// AllOpen reports whether all domains are open.
func (c Config) AllOpen(s *State, now time.Time) bool {
	if s == nil {
		return true
	}
	for domain := range s.byDomain {
		if c.Phase(s, domain, now) != Open {
			return false
		}
	}
	return true
}

// Use states how one request may use a failure domain.
type Use int

// Values of Use.
const (
	UseNot      Use = iota
	UseLastOnly     // Only if its adapter is usable nowhere else.
	UseFreely
)

// Uses returns how a request may use each of the domains that serve it; UseNot for others. seed is a random number of the request:
// while a domain returns, the same request is always admitted from the same moment on. If none of the domains is
// open, those that return are used at once.
func (c Config) Uses(s *State, domains []string, seed uint64, now time.Time) map[string]Use {
	uses := make(map[string]Use, len(domains))
	anyOpen := slices.ContainsFunc(domains, func(d string) bool { return c.Phase(s, d, now) == Open })
	for _, d := range domains {
		switch c.Phase(s, d, now) {
		case Open:
			uses[d] = UseFreely
		case HandingOver:
			uses[d] = UseLastOnly
		case Returning:
			if !anyOpen || draw(seed, d) < c.returned(s, d, now) {
				uses[d] = UseFreely
			}
		case Closed:
		}
	}
	return uses
}

// returned returns the part of the returning period that has passed.
func (c Config) returned(s *State, domain string, now time.Time) float64 {
	return now.Sub(s.byDomain[domain].endedAt).Seconds() / c.Return.Seconds()
}

// draw returns a number from 0 to 1 that depends on the request and the domain only.
func draw(seed uint64, domain string) float64 {
	return float64(rendezvous.Score(seed, rendezvous.Hash(domain))) / math.MaxUint64
}
