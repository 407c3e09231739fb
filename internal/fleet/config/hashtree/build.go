package hashtree

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
)

// Build returns the tree of the given rows, whose keys are distinct.
func Build(rows []Row) *Tree {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	return build(sorted, 0)
}

func build(rows []Row, depth int) *Tree {
	if len(rows) == 0 {
		return nil
	}
	if len(rows) == 1 || depth == maxDepth || rowBytes(rows) <= leafBytes {
		return newLeaf(rows)
	}
	var parts [slots][]Row
	for _, row := range rows {
		slot := slotAt(placeOf(row.Key), depth)
		parts[slot] = append(parts[slot], row)
	}
	children := new([slots]*Tree)
	for slot, part := range parts {
		children[slot] = build(part, depth+1)
	}
	return newInner(children)
}

// rowBytes returns about the encoded length of rows.
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

func newLeaf(rows []Row) *Tree {
	t := &Tree{rows: len(rows)}
	chunk := &rpc.Chunk{}
	for _, row := range rows {
		chunk.Rows = append(chunk.Rows, &rpc.Row{Key: row.Key, Value: row.Value, Tree: row.Tree.Hash().Bytes()})
		if row.Tree != nil {
			t.addSubtree(row.Key, row.Tree)
		}
	}
	t.seal(chunk)
	return t
}

func newInner(children *[slots]*Tree) *Tree {
	t := &Tree{children: children}
	chunk := &rpc.Chunk{}
	for slot, child := range children {
		if child == nil {
			continue
		}
		t.rows += child.rows
		chunk.Children = append(chunk.Children, &rpc.Child{Slot: uint32(slot), Hash: child.hash.Bytes()})
	}
	t.seal(chunk)
	return t
}

func (t *Tree) addSubtree(key string, subtree *Tree) {
	if t.subtrees == nil {
		t.subtrees = make(map[string]*Tree)
	}
	t.subtrees[key] = subtree
}

func (t *Tree) seal(chunk *rpc.Chunk) {
	raw, err := proto.MarshalOptions{Deterministic: true}.Marshal(chunk)
	if err != nil {
		panic(err) // Only a key that is no UTF-8 can fail; names are checked before.
	}
	t.raw = raw
	t.hash = HashOf(raw)
}
