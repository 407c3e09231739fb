package limit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Incarnation numbers the lives of a process on one VM.
type Incarnation uint64

// Member is one life of a process that may hold shares.
type Member struct {
	VM          ident.VM    `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// ShareID names one share of an account.
type ShareID struct {
	Account Account
	Index   int // From 0 to Shares - 1.
}

// Generation says which members hold shares, and which did before.
//
// Invariant: generation n+1 is made only when every member of generation n
// that is not certainly gone has installed n and has finished its hand-overs.
// So at most two generations are in use at once.
type Generation struct {
	Number   uint64   `json:"number"`   // 0 is no generation; the first is 1.
	Members  []Member `json:"members"`  // Ordered by VM, one for each VM.
	Previous []Member `json:"previous"` // Members of the generation before.

	hashes []uint64 // Of the members' VMs; computed on the way where nil.
}

// Hashed returns the generation with its members' hashes kept, for many calls
// of Holder.
func (g Generation) Hashed() Generation {
	g.hashes = make([]uint64, len(g.Members))
	for i, m := range g.Members {
		g.hashes[i] = hashVM(m)
	}
	return g
}

// Holder returns the member that holds a share.
func (g Generation) Holder(id ShareID) Member {
	return holderAmong(g.Members, g.hashes, id)
}

// Predecessor returns the member that held a share in the generation before,
// and false where there was none.
func (g Generation) Predecessor(id ShareID) (Member, bool) {
	if len(g.Previous) == 0 {
		return Member{}, false
	}
	return holderAmong(g.Previous, nil, id), true
}

// Has reports whether m is a member.
func (g Generation) Has(m Member) bool {
	return contains(g.Members, m)
}

// Replaced reports whether the generation proves that m has ended: a later
// life of its VM is a member.
func (g Generation) Replaced(m Member) bool {
	for _, other := range g.Members {
		if other.VM == m.VM && other.Incarnation > m.Incarnation {
			return true
		}
	}
	return false
}

// holderAmong is rendezvous hashing: a change of one member moves only the
// shares of that member.
func holderAmong(members []Member, hashes []uint64, id ShareID) Member {
	best := 0
	var high uint64
	key := mix(xxhash.Sum64String(string(id.Account)) + uint64(id.Index))
	for i, m := range members {
		hash := uint64(0)
		if hashes != nil {
			hash = hashes[i]
		} else {
			hash = hashVM(m)
		}
		score := mix(key ^ hash)
		if i == 0 || score > high {
			best, high = i, score
		}
	}
	if len(members) == 0 {
		return Member{}
	}
	return members[best]
}

func hashVM(m Member) uint64 {
	return xxhash.Sum64String(string(m.VM))
}

// mix is the finalizer of SplitMix64: each bit of x changes half of the result.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func contains(members []Member, m Member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}
