package limit

import (
	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Incarnation numbers the starts of a process on one VM.
type Incarnation uint64

// Member is one incarnation of a process that may hold shares.
type Member struct {
	VM          ident.VM    `json:"vm"`
	Incarnation Incarnation `json:"incarnation"`
}

// ShareID identifies one share of an account.
type ShareID struct {
	Account Account
	Index   int // From 0 to Shares - 1.
}

// Generation lists the members that hold shares and the members of the
// generation before.
//
// Invariant: generation n+1 is created only after every member of generation n
// has either installed n and finished its handovers, or is certainly removed.
// Therefore at most two generations are in use at once.
type Generation struct {
	Number   uint64   `json:"number"`   // 0 means no generation; the first is 1.
	Members  []Member `json:"members"`  // Ordered by VM, one for each VM.
	Previous []Member `json:"previous"` // Members of the preceding generation.

	hashes []uint64 // Hashes of the members' VMs; if nil, they are computed on each use.
}

// WithHashes returns the generation with the members' hashes computed in advance.
// This speeds up repeated calls of Holder.
func (g Generation) WithHashes() Generation {
	g.hashes = make([]uint64, len(g.Members))
	for i, m := range g.Members {
		g.hashes[i] = hashVM(m)
	}
	return g
}

// Holder returns the member that holds a share, or the zero Member if the
// generation has no members.
func (g Generation) Holder(id ShareID) Member {
	return highestScoring(g.Members, g.hashes, id)
}

// Predecessor returns the member that held a share in the preceding
// generation. It returns false if there is no preceding generation.
func (g Generation) Predecessor(id ShareID) (Member, bool) {
	if len(g.Previous) == 0 {
		return Member{}, false
	}
	return highestScoring(g.Previous, nil, id), true
}

// HasMember reports whether m is a member.
func (g Generation) HasMember(m Member) bool {
	return contains(g.Members, m)
}

// HasReplaced reports whether the generation contains a later incarnation on m's
// VM, which proves that m has ended.
func (g Generation) HasReplaced(m Member) bool {
	for _, other := range g.Members {
		if other.VM == m.VM && other.Incarnation > m.Incarnation {
			return true
		}
	}
	return false
}

// highestScoring selects a share's holder by rendezvous hashing, so that a
// change of one member moves only the shares of that member. hashes may be nil.
func highestScoring(members []Member, hashes []uint64, id ShareID) Member {
	best := 0
	var bestScore uint64
	key := mix(xxhash.Sum64String(string(id.Account)) + uint64(id.Index))
	for i, m := range members {
		hash := uint64(0)
		if hashes != nil {
			hash = hashes[i]
		} else {
			hash = hashVM(m)
		}
		score := mix(key ^ hash)
		if i == 0 || score > bestScore {
			best, bestScore = i, score
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

// mix is the SplitMix64 finalizer. A change of one input bit flips each output
// bit with a probability of about one half.
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
