package config

import (
	"strings"

	"github.com/goccy/go-yaml/ast"
)

// itemText is the text of one item of a list.
type itemText struct {
	text        string
	linesBefore int // Number of lines before the item in the whole text.
}

// eachItem calls f with each item of the list in the text's only field.
//
// It parses a text in block style item by item, which needs memory for only one
// item at a time. If an item's text is not valid YAML, the text may have been
// split at a wrong line. eachItem then sets needsFullParse and stops, and the
// caller starts again with fullParse, which parses the whole text at once.
func (r *reader) eachItem(text, field string, fullParse bool, f func(ast.Node)) {
	itemTexts, ok := splitItems(text, field)
	if fullParse || !ok {
		r.eachItemFullParse(text, field, f)
		return
	}
	for _, item := range itemTexts {
		r.lineOffset = item.linesBefore
		problemCount := len(r.problems)
		root := r.parseDocument(item.text)
		if root == nil {
			r.problems = r.problems[:problemCount]
			r.needsFullParse = true
			return
		}
		for _, node := range r.items(root) {
			f(node)
		}
	}
	r.lineOffset = 0
}

// eachItemFullParse calls f with each item, parsing the whole text at once.
func (r *reader) eachItemFullParse(text, field string, f func(ast.Node)) {
	root := r.parseDocument(text)
	if root == nil {
		return
	}
	for _, item := range r.items(r.fields(root, field)[field]) {
		f(item)
	}
}

// splitItems splits a text in block style before each item of the list in field.
// It returns false for a text in any other style.
func splitItems(text, field string) ([]itemText, bool) {
	var out []itemText
	indent := -1
	inList, start, lineCount, byteOffset := false, 0, 0, 0
	for line := range strings.Lines(text) {
		content := strings.TrimLeft(line, " ")
		depth := len(line) - len(content)
		trimmed := strings.TrimSpace(content)
		switch {
		case trimmed == "" || strings.HasPrefix(trimmed, "#"):
		case !inList:
			if depth != 0 || stripComment(trimmed) != field+":" {
				return nil, false
			}
			inList = true
		case (indent < 0 || depth == indent) && (trimmed == "-" || strings.HasPrefix(trimmed, "- ")):
			if indent >= 0 {
				out = append(out, itemText{text[start:byteOffset], lineCount - strings.Count(text[start:byteOffset], "\n")})
			}
			indent, start = depth, byteOffset
		case indent < 0 || depth <= indent:
			return nil, false
		}
		byteOffset += len(line)
		lineCount++
	}
	if indent < 0 {
		return nil, false
	}
	lastItem := text[start:]
	return append(out, itemText{lastItem, strings.Count(text[:start], "\n")}), true
}

// stripComment returns a line without its trailing comment and outer spaces.
func stripComment(line string) string {
	content, _, _ := strings.Cut(line, " #")
	return strings.TrimSpace(content)
}
