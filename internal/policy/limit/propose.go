package limit

import (
	"sort"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Report is the state of a member's installed generation.
type Report struct {
	Member        Member
	Generation    uint64
	HandoversDone bool // All handovers from and to the member are complete.
}

// Change is the membership change that a new generation applies.
type Change struct {
	Joined  []Member
	Left    []Member
	Removed []Member // Members that have certainly ended.
}

// FirstGeneration returns the first generation, with founder as its only member.
func FirstGeneration(founder Member) Generation {
	return Generation{Number: 1, Members: []Member{founder}}
}

// NextAfter returns the generation that follows g. It returns false if the change
// has no effect or leaves no members. It also returns false if a member that
// may still be running has not reported that it installed g and finished its
// handovers.
func (g Generation) NextAfter(change Change, reports []Report) (Generation, bool) {
	members := g.membersAfter(change)
	if equal(members, g.Members) || len(members) == 0 {
		return Generation{}, false
	}
	next := Generation{Number: g.Number + 1, Members: members, Previous: g.Members}
	for _, m := range g.Members {
		ended := contains(change.Removed, m) || next.HasReplaced(m)
		if !ended && !g.hasFinishedHandovers(m, reports) {
			return Generation{}, false
		}
	}
	return next, true
}

// hasFinishedHandovers reports whether m has installed g and finished its handovers.
func (g Generation) hasFinishedHandovers(m Member, reports []Report) bool {
	for _, r := range reports {
		if r.Member == m && r.Generation == g.Number && r.HandoversDone {
			return true
		}
	}
	return false
}

// membersAfter returns the members after a change, ordered by VM. Each VM has
// only its latest incarnation in the result.
func (g Generation) membersAfter(change Change) []Member {
	byVM := make(map[ident.VM]Member)
	for _, m := range g.Members {
		if !contains(change.Left, m) && !contains(change.Removed, m) {
			byVM[m.VM] = m
		}
	}
	for _, m := range change.Joined {
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
