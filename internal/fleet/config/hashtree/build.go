package hashtree

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
)

// Build returns the tree of the given rows. The keys must be distinct.
func Build(rows []Row) *Tree {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return build(sorted, 0)
}

// build returns the node of sorted rows whose keys have the same slots above depth.
func build(rows []Row, depth int) *Tree {
	if len(rows) == 0 {
		return nil
	}
	if len(rows) == 1 || depth == maxDepth || rowBytes(rows) <= maxLeafBytes {
		return newLeaf(rows)
	}
	var rowsBySlot [slotsPerNode][]Row
	for _, row := range rows {
		slot := slotAt(hashKey(row.Key), depth)
		rowsBySlot[slot] = append(rowsBySlot[slot], row)
	}
	children := new([slotsPerNode]*Tree)
	for slot, slotRows := range rowsBySlot {
		children[slot] = build(slotRows, depth+1)
	}
	return newInner(children)
}

// rowBytes returns the approximate encoded size of rows in bytes.
func rowBytes(rows []Row) int {
	n := 0
	for _, row := range rows {
		n += len(row.Key) + len(row.Value)
		if row.Tree != nil {
			n += hashBytes
		}
	}
	return n
}

// newLeaf returns a node that holds rows.
func newLeaf(rows []Row) *Tree {
	t := &Tree{rows: len(rows)}
	chunk := &rpc.Chunk{}
	for _, row := range rows {
		chunk.Rows = append(chunk.Rows, &rpc.Row{Key: row.Key, Value: row.Value, Tree: row.Tree.Hash().Bytes()})
		if row.Tree != nil {
			t.addSubtree(row.Key, row.Tree)
		}
	}
	t.setChunk(chunk)
	return t
}

// newInner returns a node that holds children.
func newInner(children *[slotsPerNode]*Tree) *Tree {
	t := &Tree{children: children}
	chunk := &rpc.Chunk{}
	for slot, child := range children {
		if child == nil {
			continue
		}
		t.rows += child.rows
		chunk.Children = append(chunk.Children, &rpc.Child{Slot: uint32(slot), Hash: child.hash.Bytes()})
	}
	t.setChunk(chunk)
	return t
}

// addSubtree sets the tree of the row with the given key of a leaf.
func (t *Tree) addSubtree(key string, subtree *Tree) {
	if t.subtrees == nil {
		t.subtrees = make(map[string]*Tree)
	}
	t.subtrees[key] = subtree
}

// setChunk encodes the chunk of a node and sets its hash.
func (t *Tree) setChunk(chunk *rpc.Chunk) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
	if err != nil {
		panic(err) // Encoding fails only for a key that is not valid UTF-8, and all names are validated.
	}
	t.raw = raw
	t.hash = HashOf(raw)
}
