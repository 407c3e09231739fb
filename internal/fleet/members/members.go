// Package members tracks the entries of the fleet in a process.
//
// Its only sources are the VM list of the platform, which lags, and direct
// calls between entries. There are no heartbeats through the key-value store. A
// member that restarts has a new incarnation, which shows that the state of the
// former incarnation is lost.
package members

import (
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Incarnation distinguishes the successive processes on one VM. It is derived
// from the clock at start, so that it grows with each restart; 0 is unknown.
type Incarnation uint64

// State is the estimated state of a member.
type State int

// Values of State.
const (
	StateLive         State = iota // On the VM list, and responded to the last request, if any.
	StateUnresponsive              // Did not respond to the last request, or is off the VM list and may still run.
	StateLeaving                   // Announced that it is leaving, the VM list says so, or it is off the list but still responds.
	StateExpired                   // Off the VM list for longer than the list lags: has certainly ended.
)

// String returns the name of the state that operators see. It differs from the name
// of the constant for StateUnresponsive and StateExpired.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateUnresponsive:
		return "silent"
	case StateLeaving:
		return "leaving"
	default:
		return "gone"
	}
}

// Member is one entry of the fleet.
type Member struct {
	VM            ident.VM
	Address       string // Fleet address.
	FailureDomain ident.FailureDomain
	Region        ident.Region
	Incarnation   Incarnation
	State         State
}

// View is the membership as estimated by this process. Implementations are safe
// for concurrent use.
type View interface {
	// Self returns the member that is this process.
	Self() Member
	// Entries returns all entries on the VM list, including this process, and
	// those off the list, until they have been in StateExpired for longer than
	// expiredRetention. The result is ordered by VM.
	Entries() []Member
}
