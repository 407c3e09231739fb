// Package hashtree is an immutable map whose content is cut into small chunks,
// each named by its hash. Equal contents have equal trees, and a small change
// of a large tree makes a few new chunks only.
//
// The keys are placed by the bits of their hash, four to a level. A node whose
// rows fit in leafBytes is a leaf. A row may hold a tree of its own.
//
// The package is pure. Build makes trees, Assembly makes them from chunks that
// come from elsewhere.
package hashtree

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrCorrupt says that a chunk does not hold what its place requires.
const ErrCorrupt = errors.ConstError("corrupt chunk")

const (
	hashBytes    = 16
	leafBytes    = 4096 // Largest encoded rows of a leaf that holds more than one.
	bitsPerLevel = 4
	slots        = 1 << bitsPerLevel
	maxDepth     = 64 / bitsPerLevel
)

// Hash names a chunk: the first 16 bytes of the SHA-256 of its encoded form.
// The zero Hash names the empty tree.
type Hash [hashBytes]byte

// HashOf returns the name of an encoded chunk.
func HashOf(chunk []byte) Hash {
	sum := sha256.Sum256(chunk)
	return Hash(sum[:hashBytes])
}

// ParseHash returns the Hash with the given bytes; an empty slice is the zero
// Hash. It returns ErrCorrupt for any other length.
func ParseHash(data []byte) (Hash, error) {
	if len(data) == 0 {
		return Hash{}, nil
	}
	if len(data) != hashBytes {
		return Hash{}, ErrCorrupt
	}
	return Hash(data), nil
}

// Bytes returns the form that ParseHash reads.
func (h Hash) Bytes() []byte {
	if h == (Hash{}) {
		return nil
	}
	return h[:]
}

// String returns the hash in hexadecimal.
func (h Hash) String() string {
	return hex.EncodeToString(h[:])
}

// Row is one key with its value and the tree that belongs to it.
type Row struct {
	Key   string
	Value []byte
	Tree  *Tree // Nil where the row holds none.
}

// Tree is an immutable map from keys to rows. A nil Tree is empty. It is safe
// for concurrent use.
type Tree struct {
	hash     Hash
	raw      []byte // The encoded chunk.
	children *[slots]*Tree
	subtrees map[string]*Tree // Of a leaf, by the key of the row.
	rows     int              // Rows in the leaves below, without those of subtrees.
}

// Hash returns the name of the root chunk.
func (t *Tree) Hash() Hash {
	if t == nil {
		return Hash{}
	}
	return t.hash
}

// Len returns the number of rows.
func (t *Tree) Len() int {
	if t == nil {
		return 0
	}
	return t.rows
}

// Get returns the row of a key. The caller must not change its value.
func (t *Tree) Get(key string) (Row, bool) {
	place := placeOf(key)
	for depth := 0; t != nil && t.children != nil; depth++ {
		t = t.children[slotAt(place, depth)]
	}
	if t == nil {
		return Row{}, false
	}
	found := Row{}
	ok := false
	scanRows(t.raw, func(k, value []byte) bool {
		if string(k) != key {
			return true
		}
		found, ok = Row{Key: key, Value: value, Tree: t.subtrees[key]}, true
		return false
	})
	return found, ok
}

// Each calls f with every row, in no particular order.
func (t *Tree) Each(f func(Row)) {
	if t == nil {
		return
	}
	if t.children != nil {
		for _, child := range t.children {
			child.Each(f)
		}
		return
	}
	scanRows(t.raw, func(k, value []byte) bool {
		f(Row{Key: string(k), Value: value, Tree: t.subtrees[string(k)]})
		return true
	})
}

// Chunks calls f with every chunk of the tree and of the trees in its rows
// that is not at the same place in former. It returns where f returns false.
func (t *Tree) Chunks(former *Tree, f func(Hash, []byte) bool) bool {
	if t == nil || t.hash == former.Hash() {
		return true
	}
	if !f(t.hash, t.raw) {
		return false
	}
	if t.children != nil {
		for slot, child := range t.children {
			if !child.Chunks(former.child(slot), f) {
				return false
			}
		}
		return true
	}
	for key, subtree := range t.subtrees {
		old, _ := former.Get(key)
		if !subtree.Chunks(old.Tree, f) {
			return false
		}
	}
	return true
}

// child returns the tree in a slot; nil where there is none or t is a leaf.
func (t *Tree) child(slot int) *Tree {
	if t == nil || t.children == nil {
		return nil
	}
	return t.children[slot]
}

func placeOf(key string) uint64 {
	return xxhash.Sum64String(key)
}

// slotAt returns the slot of a place at a depth; the root has depth 0.
func slotAt(place uint64, depth int) int {
	shift := 64 - bitsPerLevel*(depth+1)
	return int(place>>shift) & (slots - 1)
}

// Field numbers of the messages Chunk and Row in config.proto.
const (
	fieldChunkRows = 1
	fieldRowKey    = 1
	fieldRowValue  = 2
)

// scanRows calls f with the key and the value of each row of an encoded leaf,
// without copying, until f returns false. The chunk was checked before.
func scanRows(raw []byte, f func(key, value []byte) bool) {
	for len(raw) > 0 {
		number, kind, n := protowire.ConsumeTag(raw)
		if n < 0 || kind != protowire.BytesType {
			return
		}
		row, m := protowire.ConsumeBytes(raw[n:])
		if m < 0 {
			return
		}
		raw = raw[n+m:]
		if number != fieldChunkRows {
			continue
		}
		if !f(scanRow(row)) {
			return
		}
	}
}

func scanRow(row []byte) (key, value []byte) {
	for len(row) > 0 {
		number, _, n := protowire.ConsumeTag(row)
		if n < 0 {
			return key, value
		}
		data, m := protowire.ConsumeBytes(row[n:])
		if m < 0 {
			return key, value
		}
		row = row[n+m:]
		switch number {
		case fieldRowKey:
			key = data
		case fieldRowValue:
			value = data
		}
	}
	return key, value
}
