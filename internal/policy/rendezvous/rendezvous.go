// Package rendezvous implements rendezvous hashing. Each pair of a key and a node
// has a score, and the node with the highest score owns the key. When a node joins
// or leaves, only the keys whose owner changes move. A score depends only on the
// key and the node, so all processes compute the same owner.
package rendezvous

import "github.com/cespare/xxhash/v2"

// goldenGamma is 2^64 divided by the golden ratio, the increment of SplitMix64.
// Without it, a key equal to the node's hash would score 0.
const goldenGamma = 0x9e3779b97f4a7c15

// Hash returns the hash of a key or a node name.
func Hash(text string) uint64 { return xxhash.Sum64String(text) }

// Score returns the score of a node for a key. Both arguments are results of Hash.
// The mixing steps are the SplitMix64 finalizer.
func Score(key, node uint64) uint64 {
	x := key ^ (node + goldenGamma)
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}
