package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// watchersPerDomain is the number of entries of each failure domain that
	// watch the store.
	watchersPerDomain = 2
	// fanout is the number of entries below each one in each of the two trees
	// of its domain.
	fanout = 8
	// maxDomains bounds the other domains that a domain's first watcher
	// passes a revision on to.
	maxDomains = 8
)

// Role is the part that one entry has in spreading the configuration.
type Role struct {
	Watches bool             // Whether it watches the store.
	Targets []members.Member // Whom it sends what a new revision changed.
	Backups []members.Member // Whom it tells of a new revision a little later.
	Parents []members.Member // Who passes revisions on to it.
}

// RoleOf returns the part of self among the entries. All entries that see the
// same members come to the same trees: in each failure domain two trees over
// its live entries, in opposite orders, so that each entry but the first two
// has two different parents. Down the first tree goes what a revision changed,
// down the second its name only: who has missed the first one fetches.
func RoleOf(self members.Member, entries []members.Member) Role {
	domains := rank(self, entries)
	own := domains[self.FailureDomain]
	var role Role
	role.Watches = len(own) <= watchersPerDomain
	for i, tree := range [][]members.Member{own, opposite(own)} {
		at := slices.IndexFunc(tree, func(m members.Member) bool { return m.VM == self.VM })
		role.Watches = role.Watches || at == 0
		if at > 0 {
			role.Parents = append(role.Parents, tree[(at-1)/fanout])
		}
		if i == 0 {
			role.Targets = childrenOf(tree, at)
		} else {
			role.Backups = without(childrenOf(tree, at), role.Targets)
		}
	}
	if own[0].VM == self.VM {
		role.Backups = append(role.Backups, firstOfOthers(domains, self.FailureDomain)...)
	}
	return role
}

// rank orders the entries of each failure domain by rendezvous hashing. An
// entry that does not answer has no part in the trees; self always has.
func rank(self members.Member, entries []members.Member) map[ident.FailureDomain][]members.Member {
	out := map[ident.FailureDomain][]members.Member{self.FailureDomain: {self}}
	for _, m := range entries {
		if m.VM != self.VM && m.State == members.StateLive {
			out[m.FailureDomain] = append(out[m.FailureDomain], m)
		}
	}
	for name, domain := range out {
		out[name] = byWeight(domain)
	}
	return out
}

// byWeight orders entries by their weight.
func byWeight(list []members.Member) []members.Member {
	type weighed struct {
		weight uint64
		at     int
	}
	order := make([]weighed, len(list))
	for i, m := range list {
		order[i] = weighed{weight(m), i}
	}
	slices.SortFunc(order, func(a, b weighed) int {
		if c := cmp.Compare(a.weight, b.weight); c != 0 {
			return c
		}
		return cmp.Compare(list[a.at].VM, list[b.at].VM)
	})
	out := make([]members.Member, len(list))
	for i, w := range order {
		out[i] = list[w.at]
	}
	return out
}

func weight(m members.Member) uint64 {
	return xxhash.Sum64String(string(m.FailureDomain) + "\x00" + string(m.VM))
}

// opposite returns the second tree: the second entry first and the others in
// the opposite order.
func opposite(tree []members.Member) []members.Member {
	if len(tree) < watchersPerDomain {
		return nil
	}
	out := []members.Member{tree[1]}
	for i := len(tree) - 1; i > 1; i-- {
		out = append(out, tree[i])
	}
	return append(out, tree[0])
}

func childrenOf(tree []members.Member, at int) []members.Member {
	if at < 0 {
		return nil
	}
	first := min(at*fanout+1, len(tree))
	return tree[first:min(first+fanout, len(tree))]
}

func firstOfOthers(domains map[ident.FailureDomain][]members.Member, own ident.FailureDomain) []members.Member {
	var out []members.Member
	for domain, tree := range domains {
		if domain != own {
			out = append(out, tree[0])
		}
	}
	slices.SortFunc(out, func(a, b members.Member) int { return cmp.Compare(weight(a), weight(b)) })
	return out[:min(len(out), maxDomains)]
}

// without returns the entries of list that are not in other.
func without(list, other []members.Member) []members.Member {
	var out []members.Member
	for _, m := range list {
		if !slices.ContainsFunc(other, func(o members.Member) bool { return o.VM == m.VM }) {
			out = append(out, m)
		}
	}
	return out
}
