package hashtree

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
)

// Assembler builds a tree from received chunks. It reuses the subtrees that a
// previous tree has at the same position. It is not safe for concurrent use.
type Assembler struct {
	root     Hash
	previous *Tree
	chunks   map[Hash][]byte
}

// NewAssembler returns an Assembler of the tree with the given root hash. The
// previous tree may be nil.
func NewAssembler(root Hash, previous *Tree) *Assembler {
	return &Assembler{root: root, previous: previous, chunks: make(map[Hash][]byte)}
}

// Add adds an encoded chunk. Chunks that are not part of the tree are ignored.
func (a *Assembler) Add(chunk []byte) {
	a.chunks[HashOf(chunk)] = chunk
}

// Build returns the tree if all its chunks are present. Otherwise it returns the
// hashes of missing chunks. These are only the chunks that the present chunks refer
// to, so a later call can return further ones. It returns ErrCorrupt if a chunk is
// not a valid node of the tree.
func (a *Assembler) Build() (*Tree, []Hash, error) {
	b := builder{assembler: a}
	t, err := b.tree(a.root, a.previous, 0)
	if err != nil {
		return nil, nil, err
	}
	if len(b.missing) > 0 {
		return nil, b.missing, nil
	}
	return t, nil, nil
}

// builder is one run of Assembler.Build.
type builder struct {
	assembler *Assembler
	missing   []Hash // Hashes of chunks that are referred to but not present.
}

// tree returns the tree with the given hash at the given depth. It returns nil for
// the empty tree and for a missing chunk, whose hash it adds to missing.
func (b *builder) tree(hash Hash, previous *Tree, depth int) (*Tree, error) {
	if hash == (Hash{}) {
		return nil, nil
	}
	if previous.Hash() == hash {
		return previous, nil
	}
	raw, ok := b.assembler.chunks[hash]
	if !ok {
		b.missing = append(b.missing, hash)
		return nil, nil
	}
	var chunk rpc.Chunk
	if err := proto.Unmarshal(raw, &chunk); err != nil {
		return nil, errors.WithType(err, ErrCorrupt)
	}
	if len(chunk.Children) > 0 {
		return b.inner(hash, raw, &chunk, previous, depth)
	}
	return b.leaf(hash, raw, &chunk, previous)
}

// inner builds a node with children.
func (b *builder) inner(hash Hash, raw []byte, chunk *rpc.Chunk, previous *Tree, depth int) (*Tree, error) {
	if depth >= maxDepth || len(chunk.Rows) > 0 {
		return nil, ErrCorrupt
	}
	t := &Tree{hash: hash, raw: raw, children: new([slotsPerNode]*Tree)}
	for _, c := range chunk.Children {
		if c.Slot >= slotsPerNode {
			return nil, ErrCorrupt
		}
		childHash, err := ParseHash(c.Hash)
		if err != nil {
			return nil, err
		}
		child, err := b.tree(childHash, previous.child(int(c.Slot)), depth+1)
		if err != nil {
			return nil, err
		}
		t.children[c.Slot] = child
		t.rows += child.Len()
	}
	return t, nil
}

// leaf builds a node with rows and the trees of its rows.
func (b *builder) leaf(hash Hash, raw []byte, chunk *rpc.Chunk, previous *Tree) (*Tree, error) {
	t := &Tree{hash: hash, raw: raw, rows: len(chunk.Rows)}
	for _, row := range chunk.Rows {
		subHash, err := ParseHash(row.Tree)
		if err != nil {
			return nil, err
		}
		if subHash == (Hash{}) {
			continue
		}
		previousRow, _ := previous.Get(row.Key)
		subtree, err := b.tree(subHash, previousRow.Tree, 0)
		if err != nil {
			return nil, err
		}
		if subtree != nil {
			t.addSubtree(row.Key, subtree)
		}
	}
	return t, nil
}
