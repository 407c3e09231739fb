package freshness

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// ConfirmLife is how long a confirmation by the store counts.
	ConfirmLife = 4 * time.Second
	// ContactLife is how long a statement of an entry counts.
	ContactLife = 4 * time.Second
	// CutGrace is the time between the loss of freshness and the end of the
	// requests that run. ConfirmLife and CutGrace stay below the 5 s of the
	// promise.
	CutGrace = 500 * time.Millisecond
)

// Reason says why an entry is fresh or not.
type Reason string

// Values of Reason.
const (
	ReasonConfirmed Reason = "confirmed by the store"
	ReasonMajority  Reason = "in touch with a majority of the entries"
	ReasonBehind    Reason = "a higher revision is in force elsewhere"
	ReasonAlone     Reason = "neither the store nor a majority of the entries is in touch"
)

// Verdict says whether keys may be trusted.
type Verdict struct {
	Fresh     bool
	Reason    Reason
	Confirmed time.Time // Last confirmation of what is in force; zero where none.
	Heard     int       // Entries heard of within ContactLife, this one included.
	Listed    int       // Entries on the list.
}

// statement is a revision with the time at which it was so.
type statement struct {
	revision config.Revision
	at       time.Time
}

// State is what an entry knows of the recency of its configuration. It is not
// safe for concurrent use.
type State struct {
	self     ident.VM
	inForce  config.Revision
	latest   statement // Last confirmation by the store.
	usable   statement // Last confirmation that was not above what was in force.
	known    statement // Highest revision that an entry said to hold, while recent.
	contacts map[ident.VM]time.Time
}

// NewState returns the State of the entry on self that knows nothing.
func NewState(self ident.VM) *State {
	return &State{self: self, contacts: make(map[ident.VM]time.Time)}
}

// Install records that a revision is in force here.
func (s *State) Install(r config.Revision) {
	s.inForce = max(s.inForce, r)
	s.settle()
}

// Confirm records that the store held revision r at the given time.
func (s *State) Confirm(at time.Time, r config.Revision) {
	if at.After(s.latest.at) {
		s.latest = statement{r, at}
	}
	if r <= s.inForce && at.After(s.usable.at) {
		s.usable = statement{r, at}
	}
}

// settle makes the last confirmation usable once its revision is in force.
func (s *State) settle() {
	if s.latest.revision <= s.inForce && s.latest.at.After(s.usable.at) {
		s.usable = s.latest
	}
}

// Known records that an entry held revision r at the given time. Each
// statement of a revision above the one in force here keeps the highest one
// known, so that it is not forgotten while any of them is recent.
func (s *State) Known(at time.Time, r config.Revision) {
	if r <= s.inForce {
		return
	}
	if at.Sub(s.known.at) > ContactLife {
		s.known = statement{r, at}
		return
	}
	s.known.revision = max(s.known.revision, r)
	if at.After(s.known.at) {
		s.known.at = at
	}
}

// Contact records that an entry spoke at the given time.
func (s *State) Contact(at time.Time, vm ident.VM) {
	if at.After(s.contacts[vm]) {
		s.contacts[vm] = at
	}
}

// Forget drops the contacts of entries that are not listed.
func (s *State) Forget(listed []ident.VM) {
	keep := make(map[ident.VM]time.Time, len(listed))
	for _, vm := range listed {
		if at, ok := s.contacts[vm]; ok {
			keep[vm] = at
		}
	}
	s.contacts = keep
}

// Highest returns the highest revision that is in force here or was said to be
// elsewhere recently.
func (s *State) Highest(now time.Time) config.Revision {
	r, _ := s.Stated(now)
	return r
}

// Stated returns the highest revision that an entry is known to hold, with the
// time of that statement.
func (s *State) Stated(now time.Time) (config.Revision, time.Time) {
	if s.known.revision > s.inForce && now.Sub(s.known.at) <= ContactLife {
		return s.known.revision, s.known.at
	}
	return s.inForce, now
}

// Judge returns whether keys may be trusted at now, given the listed entries.
func (s *State) Judge(now time.Time, listed []ident.VM) Verdict {
	v := Verdict{Confirmed: s.usable.at, Heard: s.heard(now, listed), Listed: len(listed)}
	switch {
	case s.inForce > 0 && !s.usable.at.IsZero() && now.Sub(s.usable.at) <= ConfirmLife:
		v.Fresh, v.Reason = true, ReasonConfirmed
	case s.Highest(now) > s.inForce:
		v.Reason = ReasonBehind
	case s.inForce > 0 && 2*v.Heard > v.Listed && v.Listed > 0:
		v.Fresh, v.Reason = true, ReasonMajority
	default:
		v.Reason = ReasonAlone
	}
	return v
}

func (s *State) heard(now time.Time, listed []ident.VM) int {
	n := 0
	for _, vm := range listed {
		at, ok := s.contacts[vm]
		if vm == s.self || (ok && now.Sub(at) <= ContactLife) {
			n++
		}
	}
	return n
}

// Confirmation returns the last confirmation by the store, of whatever
// revision.
func (s *State) Confirmation() (config.Revision, time.Time, bool) {
	return s.latest.revision, s.latest.at, !s.latest.at.IsZero()
}
