package config

import (
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
)

// chunkIndex finds the chunks of the tree in force by their hash. A chunk may
// stand at several places. It is not safe for concurrent use.
type chunkIndex struct {
	chunks map[hashtree.Hash]indexed
}

type indexed struct {
	raw    []byte
	places int
}

// replace makes the index that of next in place of former. It walks over what
// differs only.
func (x *chunkIndex) replace(former, next *hashtree.Tree) {
	if x.chunks == nil {
		x.chunks = make(map[hashtree.Hash]indexed)
	}
	next.Chunks(former, func(h hashtree.Hash, raw []byte) bool {
		x.chunks[h] = indexed{raw, x.chunks[h].places + 1}
		return true
	})
	former.Chunks(next, func(h hashtree.Hash, raw []byte) bool {
		places := x.chunks[h].places - 1
		if places <= 0 {
			delete(x.chunks, h)
			return true
		}
		x.chunks[h] = indexed{raw, places}
		return true
	})
}

func (x *chunkIndex) get(h hashtree.Hash) ([]byte, bool) {
	c, ok := x.chunks[h]
	return c.raw, ok
}
