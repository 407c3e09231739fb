package rendezvous

import (
	"fmt"
	"testing"
)

// ownerOf returns the node with the highest score among node 0 to node nodeCount-1.
func ownerOf(key uint64, nodeCount int) int {
	best, owner := uint64(0), 0
	for n := range nodeCount {
		if s := Score(key, Hash(fmt.Sprintf("node-%d", n))); s > best {
			best, owner = s, n
		}
	}
	return owner
}

// The test guards against uneven shares, and against moves of keys whose owner stays when
// another node leaves.
func TestKeysSpreadEvenlyAndMoveOnlyWithTheirOwner(t *testing.T) {
	const nodes, keys = 10, 5000
	count := make([]int, nodes)
	for k := range keys {
		key := Hash(fmt.Sprintf("key-%d", k))
		owner := ownerOf(key, nodes)
		count[owner]++
		if after := ownerOf(key, nodes-1); owner != nodes-1 && after != owner {
			t.Fatalf("key %d moved from node %d to node %d, want it to stay because its owner stays", k, owner, after)
		}
	}
	for n, c := range count {
		if c < keys/nodes/2 || c > keys/nodes*2 {
			t.Errorf("node %d owns %d of %d keys, want between half and twice the mean", n, c, keys)
		}
	}
}
