package limit

import (
	"strconv"

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
}

// Holder returns the member that holds a share.
func (g Generation) Holder(id ShareID) Member {
	return holderAmong(g.Members, id)
}

// Predecessor returns the member that held a share in the generation before,
// and false where there was none.
func (g Generation) Predecessor(id ShareID) (Member, bool) {
	if len(g.Previous) == 0 {
		return Member{}, false
	}
	return holderAmong(g.Previous, id), true
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
func holderAmong(members []Member, id ShareID) Member {
	var best Member
	var high uint64
	key := string(id.Account) + "\x00" + strconv.Itoa(id.Index) + "\x00"
	for i, m := range members {
		score := xxhash.Sum64String(key + string(m.VM))
		if i == 0 || score > high {
			best, high = m, score
		}
	}
	return best
}

func contains(members []Member, m Member) bool {
	for _, other := range members {
		if other == m {
			return true
		}
	}
	return false
}
