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
	meanPieceLines = 128     // Mean number of lines in a piece of a text.
	maxPieceBytes  = 100_000 // A piece ends with the line that reaches this size.
	maxTextDepth   = 8       // Maximum levels of nodes above the text itself.
)

// textNode is the content of a chunk of a text. A node of depth 0 holds a piece of
// the text. A node of a higher depth holds the names of nodes one level below, one
// name a line. The top level is a single node.
type textNode struct {
	Depth int    `json:"depth"` // 0 for a piece of the text, 1 for names of such pieces, and so on.
	Body  string `json:"body"`
}

// splitText splits a text into chunks and returns the name of the top chunk and
// all chunks by name. It splits after lines with certain content hashes, so an
// edit changes only the pieces around it.
func splitText(text string) (hashtree.Hash, map[hashtree.Hash][]byte) {
	chunks := make(map[hashtree.Hash][]byte)
	body := []byte(text)
	for depth := 0; ; depth++ {
		pieces := splitLines(body)
		if len(pieces) <= 1 || depth == maxTextDepth {
			return addTextNode(chunks, textNode{depth, string(body)}), chunks
		}
		var names bytes.Buffer
		for _, piece := range pieces {
			names.WriteString(addTextNode(chunks, textNode{depth, string(piece)}).String())
			names.WriteByte('\n')
		}
		body = names.Bytes()
	}
}

// addTextNode encodes a node, adds it to chunks and returns its name.
func addTextNode(chunks map[hashtree.Hash][]byte, node textNode) hashtree.Hash {
	raw := encodeJSON(node)
	h := hashtree.HashOf(raw)
	chunks[h] = raw
	return h
}

// splitLines splits a text after each line whose content hash is a multiple of
// meanPieceLines, and after each line that takes the piece to maxPieceBytes.
func splitLines(body []byte) [][]byte {
	var out [][]byte
	start, offset := 0, 0
	for offset < len(body) {
		end := len(body)
		if i := bytes.IndexByte(body[offset:], '\n'); i >= 0 {
			end = offset + i + 1
		}
		line := body[offset:end]
		offset = end
		if xxhash.Sum64(line)%meanPieceLines == 0 || offset-start >= maxPieceBytes {
			out = append(out, body[start:offset])
			start = offset
		}
	}
	if start < len(body) {
		out = append(out, body[start:])
	}
	return out
}

// text returns the text with the given name of its top chunk. Errors are
// ErrUnavailable, and ErrCorrupt if a chunk is missing or invalid.
func (c chunkStore) text(ctx context.Context, h hashtree.Hash) (string, error) {
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

// textNames returns the names of all chunks of a text. It reads the chunks that
// hold names and one chunk of the text itself. The zero Hash has no chunks.
func (c chunkStore) textNames(ctx context.Context, h hashtree.Hash) (map[hashtree.Hash]bool, error) {
	out := make(map[hashtree.Hash]bool)
	names := []hashtree.Hash{h}
	if h == (hashtree.Hash{}) {
		return out, nil
	}
	for {
		for _, name := range names {
			out[name] = true
		}
		// All nodes of a level have the same depth, so the first one shows
		// whether there is a level below.
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

// textNodes reads and decodes the text chunks with the given names, in the same
// order. It returns ErrCorrupt for a missing chunk and for an invalid node.
func (c chunkStore) textNodes(ctx context.Context, names []hashtree.Hash) ([]textNode, error) {
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
			return nil, errors.WithType(
				errors.Errorf("text chunk %s has depth %d, want 0 to %d", name, out[i].Depth, maxTextDepth), ErrCorrupt)
		}
	}
	return out, nil
}

// parseNames returns the names in nodes of a depth above 0.
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
