package freshness

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// ConfirmationValidity is how long a confirmation by the store is valid.
	ConfirmationValidity = 4 * time.Second
	// ContactValidity is how long a contact with an entry is valid.
	ContactValidity = 4 * time.Second
	// CancelGrace is the time between the loss of freshness and the cancellation of
	// running requests. The sum of ConfirmationValidity and CancelGrace is below the
	// 5 s of the guarantee.
	CancelGrace = 500 * time.Millisecond
)

// Reason is the reason of a Verdict, as shown to operators.
type Reason string

// Values of Reason.
const (
	ReasonConfirmed Reason = "confirmed by the store"
	ReasonMajority  Reason = "in contact with a majority of the entries"
	ReasonBehind    Reason = "a higher revision is in force elsewhere"
	ReasonNoContact Reason = "in contact with neither the store nor a majority of the entries"
)

// Verdict is the decision whether keys may be trusted.
type Verdict struct {
	Fresh          bool
	Reason         Reason    // Condition that holds, or why none does.
	ConfirmedAt    time.Time // Last confirmation of the revision in force; zero if there was none.
	RecentContacts int       // Entries in contact within ContactValidity, including this one.
	ListedEntries  int       // Entries on the VM list.
}

// revisionReport is a revision and the time at which it was held.
type revisionReport struct {
	revision config.Revision
	at       time.Time
}

// State is the information of an entry on how recent its configuration is. It
// is not safe for concurrent use.
type State struct {
	self               ident.VM
	inForce            config.Revision
	lastConfirmation   revisionReport         // Last confirmation by the store, of any revision.
	usableConfirmation revisionReport         // Last confirmation of a revision not above inForce.
	highestReported    revisionReport         // Highest recent revision above inForce that an entry reported.
	contacts           map[ident.VM]time.Time // Times of the last contacts.
}

// NewState returns the State of the entry on self, without confirmations and
// contacts.
func NewState(self ident.VM) *State {
	return &State{self: self, contacts: make(map[ident.VM]time.Time)}
}

// Install records that revision r is in force in this entry.
func (s *State) Install(r config.Revision) {
	s.inForce = max(s.inForce, r)
	s.updateUsable()
}

// RecordConfirmation records that the store held revision r at the given time.
func (s *State) RecordConfirmation(at time.Time, r config.Revision) {
	if at.After(s.lastConfirmation.at) {
		s.lastConfirmation = revisionReport{r, at}
	}
	if r <= s.inForce && at.After(s.usableConfirmation.at) {
		s.usableConfirmation = revisionReport{r, at}
	}
}

// updateUsable makes the last confirmation usable if its revision is not above
// the one in force.
func (s *State) updateUsable() {
	if s.lastConfirmation.revision <= s.inForce && s.lastConfirmation.at.After(s.usableConfirmation.at) {
		s.usableConfirmation = s.lastConfirmation
	}
}

// RecordRevision records that an entry held revision r at the given time. It
// ignores revisions not above the one in force. A report of any higher revision
// extends the validity of the highest one, so that the highest revision is not
// dropped while a report of any revision above inForce is recent.
func (s *State) RecordRevision(at time.Time, r config.Revision) {
	if r <= s.inForce {
		return
	}
	if at.Sub(s.highestReported.at) > ContactValidity {
		s.highestReported = revisionReport{r, at}
		return
	}
	s.highestReported.revision = max(s.highestReported.revision, r)
	if at.After(s.highestReported.at) {
		s.highestReported.at = at
	}
}

// RecordContact records a contact with an entry at the given time.
func (s *State) RecordContact(at time.Time, vm ident.VM) {
	if at.After(s.contacts[vm]) {
		s.contacts[vm] = at
	}
}

// Forget removes the contacts of entries that are not listed.
func (s *State) Forget(listed []ident.VM) {
	kept := make(map[ident.VM]time.Time, len(listed))
	for _, vm := range listed {
		if at, ok := s.contacts[vm]; ok {
			kept[vm] = at
		}
	}
	s.contacts = kept
}

// Highest returns the highest revision that is in force in this entry or was
// recently reported by another one.
func (s *State) Highest(now time.Time) config.Revision {
	r, _ := s.HighestReported(now)
	return r
}

// HighestReported returns the revision that Highest returns, and the time of its
// last report. The time is now for the revision in force.
func (s *State) HighestReported(now time.Time) (config.Revision, time.Time) {
	if s.highestReported.revision > s.inForce && now.Sub(s.highestReported.at) <= ContactValidity {
		return s.highestReported.revision, s.highestReported.at
	}
	return s.inForce, now
}

// Evaluate returns whether keys may be trusted at now, given the listed entries.
func (s *State) Evaluate(now time.Time, listed []ident.VM) Verdict {
	v := Verdict{ConfirmedAt: s.usableConfirmation.at, RecentContacts: s.recentContacts(now, listed), ListedEntries: len(listed)}
	switch {
	case s.inForce > 0 && !s.usableConfirmation.at.IsZero() && now.Sub(s.usableConfirmation.at) <= ConfirmationValidity:
		v.Fresh, v.Reason = true, ReasonConfirmed
	case s.Highest(now) > s.inForce:
		v.Reason = ReasonBehind
	case s.inForce > 0 && 2*v.RecentContacts > v.ListedEntries && v.ListedEntries > 0:
		v.Fresh, v.Reason = true, ReasonMajority
	default:
		v.Reason = ReasonNoContact
	}
	return v
}

// recentContacts returns the number of listed entries that were in contact
// within ContactValidity before now, including this entry.
func (s *State) recentContacts(now time.Time, listed []ident.VM) int {
	count := 0
	for _, vm := range listed {
		at, ok := s.contacts[vm]
		if vm == s.self || (ok && now.Sub(at) <= ContactValidity) {
			count++
		}
	}
	return count
}

// LastConfirmation returns the revision and time of the last confirmation by the
// store, and false if there was none. The revision may be above the one in
// force.
func (s *State) LastConfirmation() (config.Revision, time.Time, bool) {
	return s.lastConfirmation.revision, s.lastConfirmation.at, !s.lastConfirmation.at.IsZero()
}
