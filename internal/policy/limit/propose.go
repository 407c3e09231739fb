package limit

import (
	"sort"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Report is what a member says of its installed generation.
type Report struct {
	Member     Member
	Generation uint64
	Settled    bool // No hand-over is under way from it or to it.
}

// Change is what a new generation does to the members.
type Change struct {
	Join  []Member
	Leave []Member
	Gone  []Member // Certainly gone.
}

// First returns the first generation of a fleet.
func First(founder Member) Generation {
	return Generation{Number: 1, Members: []Member{founder}}
}

// Next returns the generation after g, or false where the change does nothing
// or where a member that may still be alive has not reported generation g
// installed and its hand-overs finished.
func (g Generation) Next(change Change, reports []Report) (Generation, bool) {
	members := g.apply(change)
	if equal(members, g.Members) || len(members) == 0 {
		return Generation{}, false
	}
	next := Generation{Number: g.Number + 1, Members: members, Previous: g.Members}
	for _, m := range g.Members {
		ended := contains(change.Gone, m) || next.Replaced(m)
		if !ended && !g.settled(m, reports) {
			return Generation{}, false
		}
	}
	return next, true
}

func (g Generation) settled(m Member, reports []Report) bool {
	for _, r := range reports {
		if r.Member == m && r.Generation == g.Number && r.Settled {
			return true
		}
	}
	return false
}

// apply returns the members after a change, ordered by VM, the latest life of
// each VM.
func (g Generation) apply(change Change) []Member {
	byVM := make(map[ident.VM]Member)
	for _, m := range g.Members {
		if !contains(change.Leave, m) && !contains(change.Gone, m) {
			byVM[m.VM] = m
		}
	}
	for _, m := range change.Join {
		if m.Incarnation > byVM[m.VM].Incarnation {
			byVM[m.VM] = m
		}
	}
	members := make([]Member, 0, len(byVM))
	for _, m := range byVM {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].VM < members[j].VM })
	return members
}

func equal(a, b []Member) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}
