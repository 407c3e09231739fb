package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// watchersPerDomain is the number of entries in each failure domain that
	// watch the store.
	watchersPerDomain = 2
	// maxChildren limits the children of an entry in each of the two trees of its
	// failure domain.
	maxChildren = 8
	// maxOtherDomains limits the other failure domains that the first entry of a
	// failure domain announces a revision to.
	maxOtherDomains = 8
)

// DistributionRole describes how one entry takes part in the distribution of revisions.
type DistributionRole struct {
	WatchesStore    bool             // Whether the entry watches the store.
	PushTargets     []members.Member // Entries that it sends the changed chunks of a new revision to.
	AnnounceTargets []members.Member // Entries that it sends the head of a new revision to, announceDelay later.
	Parents         []members.Member // Entries that send or announce revisions to it.
}

// DistributionRoleOf returns the role of self among the given entries. It is deterministic:
// entries with the same view of the members compute the same trees.
//
// Each failure domain has two trees over its live entries. The trees have
// opposite orders, so every entry except the first two has two different parents.
// Along the first tree, an entry sends the changed chunks of a new revision.
// Along the second tree, it sends only the head of the revision, and an entry
// that did not receive the revision before fetches the chunks.
func DistributionRoleOf(self members.Member, entries []members.Member) DistributionRole {
	domains := rankDomains(self, entries)
	own := domains[self.FailureDomain]
	var role DistributionRole
	role.WatchesStore = len(own) <= watchersPerDomain
	for i, tree := range [][]members.Member{own, secondTree(own)} {
		position := slices.IndexFunc(tree, func(m members.Member) bool { return m.VM == self.VM })
		role.WatchesStore = role.WatchesStore || position == 0
		if position > 0 {
			role.Parents = append(role.Parents, tree[(position-1)/maxChildren])
		}
		if i == 0 {
			role.PushTargets = childrenOf(tree, position)
		} else {
			role.AnnounceTargets = exclude(childrenOf(tree, position), role.PushTargets)
		}
	}
	if own[0].VM == self.VM {
		role.AnnounceTargets = append(role.AnnounceTargets, firstOfOtherDomains(domains, self.FailureDomain)...)
	}
	return role
}

// rankDomains orders the entries of each failure domain by rendezvous hashing. It
// includes only live entries, and always self.
func rankDomains(self members.Member, entries []members.Member) map[ident.FailureDomain][]members.Member {
	out := map[ident.FailureDomain][]members.Member{self.FailureDomain: {self}}
	for _, m := range entries {
		if m.VM != self.VM && m.State == members.StateLive {
			out[m.FailureDomain] = append(out[m.FailureDomain], m)
		}
	}
	for name, domain := range out {
		out[name] = sortByWeight(domain)
	}
	return out
}

// sortByWeight returns the entries in ascending order of weight, then of VM.
func sortByWeight(list []members.Member) []members.Member {
	type weightedEntry struct {
		weight uint64
		index  int
	}
	order := make([]weightedEntry, len(list))
	for i, m := range list {
		order[i] = weightedEntry{weight(m), i}
	}
	slices.SortFunc(order, func(a, b weightedEntry) int {
		if c := cmp.Compare(a.weight, b.weight); c != 0 {
			return c
		}
		return cmp.Compare(list[a.index].VM, list[b.index].VM)
	})
	out := make([]members.Member, len(list))
	for i, w := range order {
		out[i] = list[w.index]
	}
	return out
}

// weight returns the rendezvous hash of an entry.
func weight(m members.Member) uint64 {
	return xxhash.Sum64String(string(m.FailureDomain) + "\x00" + string(m.VM))
}

// secondTree returns the second tree of a failure domain. Its root is the second
// entry of the first tree, and the other entries follow in reverse order. It
// returns nil for fewer than two entries.
func secondTree(tree []members.Member) []members.Member {
	if len(tree) < watchersPerDomain {
		return nil
	}
	out := []members.Member{tree[1]}
	for i := len(tree) - 1; i > 1; i-- {
		out = append(out, tree[i])
	}
	return append(out, tree[0])
}

// childrenOf returns the children of the entry at the given position of a tree.
func childrenOf(tree []members.Member, position int) []members.Member {
	if position < 0 {
		return nil
	}
	first := min(position*maxChildren+1, len(tree))
	return tree[first:min(first+maxChildren, len(tree))]
}

// firstOfOtherDomains returns the first entry of each failure domain except own,
// at most maxOtherDomains of them.
func firstOfOtherDomains(domains map[ident.FailureDomain][]members.Member, own ident.FailureDomain) []members.Member {
	var out []members.Member
	for domain, tree := range domains {
		if domain != own {
			out = append(out, tree[0])
		}
	}
	slices.SortFunc(out, func(a, b members.Member) int { return cmp.Compare(weight(a), weight(b)) })
	return out[:min(len(out), maxOtherDomains)]
}

// exclude returns the entries of list that are not in excluded.
func exclude(list, excluded []members.Member) []members.Member {
	var out []members.Member
	for _, m := range list {
		if !slices.ContainsFunc(excluded, func(o members.Member) bool { return o.VM == m.VM }) {
			out = append(out, m)
		}
	}
	return out
}
