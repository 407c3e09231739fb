// Package hashtree implements an immutable map that is stored as a Merkle tree of
// small chunks. Each chunk is named by the hash of its encoded form. Maps with
// equal content have equal trees, and a small change of a large map produces only
// a few new chunks.
//
// The tree is a trie over the hashes of the keys, with four bits of the hash for
// each level. A node whose rows fit in maxLeafBytes is a leaf. A row can hold a
// tree of its own.
//
// The package does no I/O. Build builds a tree from rows, and Assembler builds one
// from received chunks.
package hashtree

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrCorrupt means that a chunk or a hash is not valid at its position in the tree.
const ErrCorrupt = errors.ConstError("corrupt chunk")

const (
	hashBytes    = 16
	maxLeafBytes = 4096 // Approximate maximum encoded size of a leaf; a leaf with one row or at maxDepth may exceed it.
	bitsPerLevel = 4
	slotsPerNode = 1 << bitsPerLevel // Children of an inner node.
	maxDepth     = 64 / bitsPerLevel // Depth at which all bits of the key hash are used.
)

// Hash is the name of a chunk: the first 16 bytes of the SHA-256 of its encoded
// form. The zero Hash is the name of the empty tree.
type Hash [hashBytes]byte

// HashOf returns the hash of an encoded chunk.
func HashOf(chunk []byte) Hash {
	sum := sha256.Sum256(chunk)
	return Hash(sum[:hashBytes])
}

// ParseHash decodes the result of Hash.Bytes: 16 bytes, or none for the zero Hash.
// It returns ErrCorrupt for any other length.
func ParseHash(data []byte) (Hash, error) {
	if len(data) == 0 {
		return Hash{}, nil
	}
	if len(data) != hashBytes {
		return Hash{}, ErrCorrupt
	}
	return Hash(data), nil
}

// Bytes returns the 16 bytes of the hash, or nil for the zero Hash.
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

// Row is one row of the map: a key with its value. It can have a tree of its own.
type Row struct {
	Key   string
	Value []byte
	Tree  *Tree // Nil if the row has no tree or an empty one.
}

// Tree is an immutable map from keys to rows, and a node of one. A nil Tree is
// empty. It is safe for concurrent use.
type Tree struct {
	hash     Hash
	raw      []byte               // Encoded chunk.
	children *[slotsPerNode]*Tree // Nil in a leaf.
	subtrees map[string]*Tree     // Trees of the rows of a leaf, by key.
	rows     int                  // Number of rows in the node and its children, without rows of subtrees.
}

// Hash returns the hash of the root chunk. It is zero for the empty tree.
func (t *Tree) Hash() Hash {
	if t == nil {
		return Hash{}
	}
	return t.hash
}

// Len returns the number of rows, without those in the trees of rows.
func (t *Tree) Len() int {
	if t == nil {
		return 0
	}
	return t.rows
}

// Get returns the row with the given key. The caller must not modify its value.
func (t *Tree) Get(key string) (Row, bool) {
	keyHash := hashKey(key)
	for depth := 0; t != nil && t.children != nil; depth++ {
		t = t.children[slotAt(keyHash, depth)]
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

// Each calls f with every row, in no particular order. f must not modify the value
// of a row.
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

// EachNewChunk calls f with every chunk of the tree, including the trees of its
// rows, that previous does not have at the same position. If f returns false,
// EachNewChunk stops and returns false. Otherwise it returns true.
func (t *Tree) EachNewChunk(previous *Tree, f func(Hash, []byte) bool) bool {
	if t == nil || t.hash == previous.Hash() {
		return true
	}
	if !f(t.hash, t.raw) {
		return false
	}
	if t.children != nil {
		for slot, child := range t.children {
			if !child.EachNewChunk(previous.child(slot), f) {
				return false
			}
		}
		return true
	}
	for key, subtree := range t.subtrees {
		previousRow, _ := previous.Get(key)
		if !subtree.EachNewChunk(previousRow.Tree, f) {
			return false
		}
	}
	return true
}

// child returns the child in a slot. It returns nil if the slot is empty or t is a
// leaf.
func (t *Tree) child(slot int) *Tree {
	if t == nil || t.children == nil {
		return nil
	}
	return t.children[slot]
}

// hashKey returns the hash of a key, which determines its path in the tree.
func hashKey(key string) uint64 {
	return xxhash.Sum64String(key)
}

// slotAt returns the slot of a key hash in a node at the given depth. The root has
// depth 0.
func slotAt(keyHash uint64, depth int) int {
	shift := 64 - bitsPerLevel*(depth+1)
	return int(keyHash>>shift) & (slotsPerNode - 1)
}

// Field numbers of messages Chunk and Row in config.proto.
const (
	fieldChunkRows = 1
	fieldRowKey    = 1
	fieldRowValue  = 2
)

// scanRows calls f with the key and the value of each row of an encoded leaf until
// f returns false. It does not copy them. The chunk must be valid: scanRows stops
// at a malformed field without an error.
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

// scanRow returns the key and the value of an encoded row, without copying them.
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
