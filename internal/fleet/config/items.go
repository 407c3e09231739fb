package config

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// piece is the text of one item of a list.
type piece struct {
	text  string
	lines int // Lines of the whole text before it.
}

// eachItem calls f with each item of the list that is the text's only field.
//
// A text in block style is parsed item by item, so that a long list takes the
// memory of its longest item. Where a piece is no YAML the cut may have been
// wrong: the reader is then marked unsure, and whole parses the text at once.
func (r *reader) eachItem(text, field string, whole bool, f func(ast.Node)) {
	pieces, ok := cutItems(text, field)
	if whole || !ok {
		r.eachWhole(text, field, f)
		return
	}
	for _, p := range pieces {
		r.offset = p.lines
		before := len(r.problems)
		root := r.document(p.text)
		if root == nil {
			r.problems = r.problems[:before]
			r.unsure = true
			return
		}
		for _, item := range r.items(root) {
			f(item)
		}
	}
	r.offset = 0
}

func (r *reader) eachWhole(text, field string, f func(ast.Node)) {
	root := r.document(text)
	if root == nil {
		return
	}
	for _, item := range r.items(r.fields(root, field)[field]) {
		f(item)
	}
}

// cutItems cuts a text in block style before each item. It reports false for
// any other text.
func cutItems(text, field string) ([]piece, bool) {
	var out []piece
	indent := -1
	begun, start, line, at := false, 0, 0, 0
	for rest := range strings.Lines(text) {
		content := strings.TrimLeft(rest, " ")
		depth := len(rest) - len(content)
		trimmed := strings.TrimSpace(content)
		switch {
		case trimmed == "" || strings.HasPrefix(trimmed, "#"):
		case !begun:
			if depth != 0 || withoutComment(trimmed) != field+":" {
				return nil, false
			}
			begun = true
		case (indent < 0 || depth == indent) && (trimmed == "-" || strings.HasPrefix(trimmed, "- ")):
			if indent >= 0 {
				out = append(out, piece{text[start:at], line - strings.Count(text[start:at], "\n")})
			}
			indent, start = depth, at
		case indent < 0 || depth <= indent:
			return nil, false
		}
		at += len(rest)
		line++
	}
	if indent < 0 {
		return nil, false
	}
	last := text[start:]
	return append(out, piece{last, strings.Count(text[:start], "\n")}), true
}

func withoutComment(line string) string {
	before, _, _ := strings.Cut(line, " #")
	return strings.TrimSpace(before)
}
