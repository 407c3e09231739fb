package placement

import "github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"

func hashAdapter(key adapterKey) uint64 {
	return rendezvous.Hash(string(key.pool.Base) + "\x00" + string(key.adapter))
}

// topNodes returns the n nodes with the highest scores, best first, in one pass
// over the pool. If the first two share a failure domain, the best node of
// another domain moves up to the second position.
func topNodes(nodes []*node, key uint64, n int) []*node {
	n = min(n, len(nodes))
	type scored struct {
		score uint64
		node  *node
	}
	top := make([]scored, 0, n+1)
	var bestOtherDomain scored // Best node outside the failure domain of the best node.
	byDomain := make(map[string]scored)
	for _, candidate := range nodes {
		s := scored{score: rendezvous.Score(key, candidate.hash), node: candidate}
		if d := string(candidate.Domain); s.score > byDomain[d].score {
			byDomain[d] = s
		}
		if len(top) == n && s.score <= top[n-1].score {
			continue
		}
		position := len(top)
		for position > 0 && top[position-1].score < s.score {
			position--
		}
		top = append(top, scored{})
		copy(top[position+1:], top[position:])
		top[position] = s
		top = top[:min(len(top), n)]
	}
	out := make([]*node, len(top))
	for i, s := range top {
		out[i] = s.node
	}
	if n < 2 {
		return out
	}
	for domain, s := range byDomain {
		if domain != string(out[0].Domain) && s.score > bestOtherDomain.score {
			bestOtherDomain = s
		}
	}
	if bestOtherDomain.node != nil {
		moveToSecond(out, bestOtherDomain.node)
	}
	return out
}

// moveToSecond moves a node to the second position. If the node is not in the
// list, it displaces the last one.
func moveToSecond(list []*node, second *node) {
	position := len(list) - 1
	for i, n := range list {
		if n == second {
			position = i
		}
	}
	copy(list[2:position+1], list[1:position])
	list[1] = second
}
