// Package members tells a process which entries make up the fleet.
//
// It knows them from the platform's lagging VM list and from direct contact
// only; there are no heartbeats through the key-value service. A member that
// restarts has a new incarnation, so that the state held for the former one is
// known to be lost.
package members

import (
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Incarnation numbers the lives of the process on one VM. It is drawn from
// the clock at start and grows from life to life; 0 is unknown.
type Incarnation uint64

// State says how much is known of a member.
type State int

// Values of State.
const (
	StateLive    State = iota // On the VM list, and answering where it was asked.
	StateSilent               // On the VM list, and not answering.
	StateLeaving              // Says or is said to be leaving.
	StateGone                 // Off the VM list past its lag: certainly gone.
)

// String returns the state in words.
func (s State) String() string {
	switch s {
	case StateLive:
		return "live"
	case StateSilent:
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

// View is what a process knows of the members. Implementations are safe for
// concurrent use.
type View interface {
	// Self returns this process's own member.
	Self() Member
	// Entries returns all entries on the VM list, this one included, ordered
	// by VM, and those that are gone but not yet forgotten.
	Entries() []Member
}
