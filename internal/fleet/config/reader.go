package config

import (
	"fmt"
	"slices"
	"strconv"

	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// maxProblems limits the problems that are reported for one list.
const maxProblems = 100

// reader reads values from a YAML document and collects the problems in it.
type reader struct {
	problems       []Problem
	lineOffset     int  // Number of lines before the part of the text that is being parsed.
	needsFullParse bool // Whether parsing item by item failed and the whole text must be parsed at once.
}

// positionedError is an error of the YAML library with a position in the text.
type positionedError interface {
	error
	GetToken() *token.Token
	GetMessage() string
}

// parseDocument returns the root node of a text. It records a problem and returns
// nil if the text is not exactly one YAML document. A panic of the YAML library
// counts as an invalid text.
func (r *reader) parseDocument(text string) (root ast.Node) {
	defer func() {
		if panicked := recover(); panicked != nil {
			r.problems = append(r.problems, Problem{Line: 1, Column: 1, Reason: fmt.Sprintf("invalid YAML: %v", panicked)})
			root = nil
		}
	}()
	file, err := parser.ParseBytes([]byte(text), 0)
	if err != nil {
		r.addSyntaxProblem(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.problems = append(r.problems, Problem{Line: 1, Column: 1, Reason: "the file must contain exactly one non-empty YAML document"})
		return nil
	}
	return file.Docs[0].Body
}

// addSyntaxProblem records an error of the YAML parser.
func (r *reader) addSyntaxProblem(err error) {
	p := Problem{Line: 1, Column: 1, Reason: "invalid YAML: " + err.Error()}
	var positioned positionedError
	if errors.As(err, &positioned) && positioned.GetToken() != nil && positioned.GetToken().Position != nil {
		position := positioned.GetToken().Position
		p = Problem{Line: position.Line, Column: position.Column, Reason: "invalid YAML: " + positioned.GetMessage()}
	}
	r.problems = append(r.problems, p)
}

// addProblem records a problem at the position of a node. The suggestion is
// the nearest valid name, or "". Problems beyond maxProblems are dropped.
func (r *reader) addProblem(node ast.Node, suggestion, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	p := Problem{Line: 1, Column: 1, Reason: fmt.Sprintf(format, args...), Nearest: suggestion}
	if position := positionOf(node); position != nil {
		p.Line, p.Column = r.lineOffset+position.Line, position.Column
	}
	r.problems = append(r.problems, p)
}

// positionOf returns the position of a node, for a mapping that of its first key.
// It returns nil if the position is unknown.
func positionOf(node ast.Node) *token.Position {
	if pairs := pairsOf(node); len(pairs) > 0 {
		node = pairs[0].Key
	}
	if node == nil || node.GetToken() == nil {
		return nil
	}
	return node.GetToken().Position
}

// err returns an *Invalid error with the problems in the order of the text, or
// nil if there are none.
func (r *reader) err() error {
	if len(r.problems) == 0 {
		return nil
	}
	slices.SortStableFunc(r.problems, func(a, b Problem) int {
		if a.Line != b.Line {
			return a.Line - b.Line
		}
		return a.Column - b.Column
	})
	return &Invalid{Problems: r.problems}
}

// fields returns the fields of a mapping by name. It records a problem for a node
// that is not a mapping and for unknown or repeated fields.
func (r *reader) fields(node ast.Node, known ...string) map[string]ast.Node {
	out := make(map[string]ast.Node, len(known))
	pairs := pairsOf(node)
	if pairs == nil {
		r.addProblem(node, "", "expected a mapping with the fields %q", known)
		return out
	}
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		if !slices.Contains(known, name) {
			r.addProblem(pair.Key, nearest(name, known), "unknown field %q", name)
			continue
		}
		if _, duplicate := out[name]; duplicate {
			r.addProblem(pair.Key, "", "field %q is given twice", name)
			continue
		}
		out[name] = pair.Value
	}
	return out
}

// pairsOf returns the key-value pairs of a mapping, or nil for any other node.
func pairsOf(node ast.Node) []*ast.MappingValueNode {
	switch n := node.(type) {
	case *ast.MappingNode:
		return n.Values
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}
	default:
		return nil
	}
}

// items returns the items of a sequence. It returns none for a missing or null
// node, and records a problem for any other node.
func (r *reader) items(node ast.Node) []ast.Node {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return nil
	case *ast.SequenceNode:
		return n.Values
	default:
		r.addProblem(node, "", "expected a list")
		return nil
	}
}

// scalar returns the text of a required string, number or boolean. It records a
// problem and returns false for any other node. A missing field is reported at
// parent.
func (r *reader) scalar(parent, node ast.Node, field string) (string, bool) {
	switch n := node.(type) {
	case nil:
		r.addProblem(parent, "", "field %q is missing", field)
		return "", false
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, true
	default:
		r.addProblem(node, "", "%s must be a string, a number or a boolean", field)
		return "", false
	}
}

// name returns a required identifier. It records a problem and returns "" for an
// invalid one.
func (r *reader) name(parent, node ast.Node, field string) string {
	text, ok := r.scalar(parent, node, field)
	if !ok {
		return ""
	}
	if !ident.ValidName(text) {
		r.addProblem(node, "", "%.64q is not a valid %s; use up to 128 letters, digits, dots, underscores and hyphens", text, field)
		return ""
	}
	return text
}

// integer returns a required integer from minimum to maxInteger. It records a
// problem and returns minimum for any other value.
func (r *reader) integer(parent, node ast.Node, field string, minimum int64) int64 {
	text, ok := r.scalar(parent, node, field)
	if !ok {
		return minimum
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.addProblem(node, "", "%s must be an integer, not %.64q", field, text)
		return minimum
	}
	if value < minimum || value > maxInteger {
		r.addProblem(node, "", "%s is %d, but must be from %d to %d", field, value, minimum, int64(maxInteger))
		return minimum
	}
	return value
}

// boolean returns a required boolean. It records a problem and returns false for
// any other value.
func (r *reader) boolean(parent, node ast.Node, field string) bool {
	text, ok := r.scalar(parent, node, field)
	if !ok {
		return false
	}
	if text != "true" && text != "false" {
		r.addProblem(node, "", "%s must be true or false, not %.64q", field, text)
	}
	return text == "true"
}
