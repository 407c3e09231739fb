package hashtree

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
)

// Assembly puts a tree together from chunks that come from elsewhere. What is
// at the same place in a former tree is taken from there.
type Assembly struct {
	root   Hash
	former *Tree
	chunks map[Hash][]byte
}

// NewAssembly returns an Assembly of the tree with the given root.
func NewAssembly(root Hash, former *Tree) *Assembly {
	return &Assembly{root: root, former: former, chunks: make(map[Hash][]byte)}
}

// Add takes a chunk. Chunks that the tree does not need do no harm.
func (a *Assembly) Add(chunk []byte) {
	a.chunks[HashOf(chunk)] = chunk
}

// Build returns the tree, or the chunks that are still missing: those that can
// be named by now. It returns ErrCorrupt where the chunks make no tree.
func (a *Assembly) Build() (*Tree, []Hash, error) {
	w := walk{assembly: a}
	t, err := w.tree(a.root, a.former, 0)
	if err != nil {
		return nil, nil, err
	}
	if len(w.missing) > 0 {
		return nil, w.missing, nil
	}
	return t, nil, nil
}

type walk struct {
	assembly *Assembly
	missing  []Hash
}

func (w *walk) tree(hash Hash, former *Tree, depth int) (*Tree, error) {
	if hash == (Hash{}) {
		return nil, nil
	}
	if former.Hash() == hash {
		return former, nil
	}
	raw, ok := w.assembly.chunks[hash]
	if !ok {
		w.missing = append(w.missing, hash)
		return nil, nil
	}
	var chunk rpc.Chunk
	if err := proto.Unmarshal(raw, &chunk); err != nil {
		return nil, errors.WithType(err, ErrCorrupt)
	}
	if len(chunk.Children) > 0 {
		return w.inner(hash, raw, &chunk, former, depth)
	}
	return w.leaf(hash, raw, &chunk, former)
}

func (w *walk) inner(hash Hash, raw []byte, chunk *rpc.Chunk, former *Tree, depth int) (*Tree, error) {
	if depth >= maxDepth || len(chunk.Rows) > 0 {
		return nil, ErrCorrupt
	}
	t := &Tree{hash: hash, raw: raw, children: new([slots]*Tree)}
	for _, c := range chunk.Children {
		if c.Slot >= slots {
			return nil, ErrCorrupt
		}
		childHash, err := ParseHash(c.Hash)
		if err != nil {
			return nil, err
		}
		child, err := w.tree(childHash, former.child(int(c.Slot)), depth+1)
		if err != nil {
			return nil, err
		}
		t.children[c.Slot] = child
		t.rows += child.Len()
	}
	return t, nil
}

func (w *walk) leaf(hash Hash, raw []byte, chunk *rpc.Chunk, former *Tree) (*Tree, error) {
	t := &Tree{hash: hash, raw: raw, rows: len(chunk.Rows)}
	for _, row := range chunk.Rows {
		subHash, err := ParseHash(row.Tree)
		if err != nil {
			return nil, err
		}
		if subHash == (Hash{}) {
			continue
		}
		old, _ := former.Get(row.Key)
		subtree, err := w.tree(subHash, old.Tree, 0)
		if err != nil {
			return nil, err
		}
		if subtree != nil {
			t.addSubtree(row.Key, subtree)
		}
	}
	return t, nil
}
