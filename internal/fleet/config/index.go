package config

import (
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
)

// chunkIndex maps hashes to the chunks of the tree in force. It counts the
// positions of each chunk, because a chunk can occur in a tree more than once. It
// is not safe for concurrent use.
type chunkIndex struct {
	chunks map[hashtree.Hash]indexedChunk
}

// indexedChunk is an encoded chunk and the number of its positions in the tree.
type indexedChunk struct {
	raw       []byte
	positions int
}

// update changes the index from the chunks of previous to those of next. It
// visits only the positions at which the two trees differ.
func (x *chunkIndex) update(previous, next *hashtree.Tree) {
	if x.chunks == nil {
		x.chunks = make(map[hashtree.Hash]indexedChunk)
	}
	next.EachNewChunk(previous, func(h hashtree.Hash, raw []byte) bool {
		x.chunks[h] = indexedChunk{raw, x.chunks[h].positions + 1}
		return true
	})
	previous.EachNewChunk(next, func(h hashtree.Hash, raw []byte) bool {
		positions := x.chunks[h].positions - 1
		if positions <= 0 {
			delete(x.chunks, h)
			return true
		}
		x.chunks[h] = indexedChunk{raw, positions}
		return true
	})
}

// get returns the chunk with the given hash.
func (x *chunkIndex) get(h hashtree.Hash) ([]byte, bool) {
	c, ok := x.chunks[h]
	return c.raw, ok
}
