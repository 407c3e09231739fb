package config

import (
	"bytes"
	"context"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
)

const (
	pieceLines    = 128     // Mean lines of a piece of a text.
	maxPieceBytes = 100_000 // Largest piece but for a single longer line.
	maxTextDepth  = 8
)

// textNode is the stored form of a text: either the text itself, or the names
// of the pieces of a list of names, until one piece is enough.
type textNode struct {
	Depth int    `json:"depth"` // 0 holds the text, 1 names pieces of the text, and so on.
	Body  string `json:"body"`
}

// cutText returns the chunks that hold a text and the name of the first one.
// It cuts after lines chosen by their content, so that an edit changes the
// pieces around it only.
func cutText(text string) (hashtree.Hash, map[hashtree.Hash][]byte) {
	all := make(map[hashtree.Hash][]byte)
	body := []byte(text)
	for depth := 0; ; depth++ {
		pieces := cutLines(body)
		if len(pieces) <= 1 || depth == maxTextDepth {
			return addText(all, textNode{depth, string(body)}), all
		}
		var names bytes.Buffer
		for _, piece := range pieces {
			names.WriteString(addText(all, textNode{depth, string(piece)}).String())
			names.WriteByte('\n')
		}
		body = names.Bytes()
	}
}

func addText(all map[hashtree.Hash][]byte, node textNode) hashtree.Hash {
	raw := encodeJSON(node)
	h := hashtree.HashOf(raw)
	all[h] = raw
	return h
}

func cutLines(body []byte) [][]byte {
	var out [][]byte
	start, at := 0, 0
	for at < len(body) {
		end := len(body)
		if i := bytes.IndexByte(body[at:], '\n'); i >= 0 {
			end = at + i + 1
		}
		line := body[at:end]
		at = end
		if xxhash.Sum64(line)%pieceLines == 0 || at-start >= maxPieceBytes {
			out = append(out, body[start:at])
			start = at
		}
	}
	if start < len(body) {
		out = append(out, body[start:])
	}
	return out
}

// text reads a text by the name of its first chunk. It returns ErrCorrupt
// where a chunk is missing, and ErrUnavailable.
func (c chunks) text(ctx context.Context, h hashtree.Hash) (string, error) {
	nodes, err := c.textNodes(ctx, []hashtree.Hash{h})
	if err != nil {
		return "", err
	}
	for depth := nodes[0].Depth; depth > 0; depth-- {
		names, err := parseNames(nodes)
		if err != nil {
			return "", err
		}
		if nodes, err = c.textNodes(ctx, names); err != nil {
			return "", err
		}
	}
	var out bytes.Buffer
	for _, node := range nodes {
		out.WriteString(node.Body)
	}
	return out.String(), nil
}

// textNames returns the names of all chunks of a text. It reads those that
// hold names only.
func (c chunks) textNames(ctx context.Context, h hashtree.Hash) (map[hashtree.Hash]bool, error) {
	out := make(map[hashtree.Hash]bool)
	names := []hashtree.Hash{h}
	if h == (hashtree.Hash{}) {
		return out, nil
	}
	for {
		for _, name := range names {
			out[name] = true
		}
		// All nodes of a level have the same depth; the first tells whether
		// there is a level below.
		first, err := c.textNodes(ctx, names[:1])
		if err != nil || first[0].Depth == 0 {
			return out, err
		}
		nodes, err := c.textNodes(ctx, names)
		if err != nil {
			return nil, err
		}
		if names, err = parseNames(nodes); err != nil || len(names) == 0 {
			return out, err
		}
	}
}

func (c chunks) textNodes(ctx context.Context, names []hashtree.Hash) ([]textNode, error) {
	raws, err := c.get(ctx, names)
	if err != nil {
		return nil, err
	}
	byName := make(map[hashtree.Hash][]byte, len(raws))
	for _, raw := range raws {
		byName[hashtree.HashOf(raw)] = raw
	}
	out := make([]textNode, len(names))
	for i, name := range names {
		raw, ok := byName[name]
		if !ok {
			return nil, errors.WithType(errors.Errorf("chunk %s is missing", name), ErrCorrupt)
		}
		if err := json.Unmarshal(raw, &out[i]); err != nil {
			return nil, errors.WithType(err, ErrCorrupt)
		}
		if out[i].Depth < 0 || out[i].Depth > maxTextDepth {
			return nil, errors.WithType(errors.New("bad depth of text"), ErrCorrupt)
		}
	}
	return out, nil
}

func parseNames(nodes []textNode) ([]hashtree.Hash, error) {
	var out []hashtree.Hash
	for _, node := range nodes {
		for line := range bytes.Lines([]byte(node.Body)) {
			var name hexHash
			if err := name.UnmarshalText(bytes.TrimSpace(line)); err != nil {
				return nil, err
			}
			out = append(out, hashtree.Hash(name))
		}
	}
	return out, nil
}
