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

// maxProblems bounds the problems that one check reports.
const maxProblems = 100

// reader walks a YAML document and collects all that is wrong with it.
type reader struct {
	problems []Problem
	offset   int  // Lines before the text that is being parsed.
	unsure   bool // Whether the text must be parsed whole.
}

// located is an error of the YAML library that knows its place.
type located interface {
	error
	GetToken() *token.Token
	GetMessage() string
}

// document returns the root of a text; nil where it is no YAML.
func (r *reader) document(text string) (root ast.Node) {
	defer func() {
		if fault := recover(); fault != nil {
			r.problems = append(r.problems, Problem{Line: 1, Column: 1, Reason: fmt.Sprintf("not readable as YAML: %v", fault)})
			root = nil
		}
	}()
	file, err := parser.ParseBytes([]byte(text), 0)
	if err != nil {
		r.syntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.problems = append(r.problems, Problem{Line: 1, Column: 1, Reason: "the file must hold one YAML document"})
		return nil
	}
	return file.Docs[0].Body
}

func (r *reader) syntax(err error) {
	p := Problem{Line: 1, Column: 1, Reason: "not readable as YAML: " + err.Error()}
	var l located
	if errors.As(err, &l) && l.GetToken() != nil && l.GetToken().Position != nil {
		position := l.GetToken().Position
		p = Problem{Line: position.Line, Column: position.Column, Reason: "not readable as YAML: " + l.GetMessage()}
	}
	r.problems = append(r.problems, p)
}

// problem records that a node is wrong.
func (r *reader) problem(node ast.Node, nearest, format string, args ...any) {
	if len(r.problems) >= maxProblems {
		return
	}
	p := Problem{Line: 1, Column: 1, Reason: fmt.Sprintf(format, args...), Nearest: nearest}
	if position := positionOf(node); position != nil {
		p.Line, p.Column = r.offset+position.Line, position.Column
	}
	r.problems = append(r.problems, p)
}

func positionOf(node ast.Node) *token.Position {
	if pairs := pairsOf(node); len(pairs) > 0 {
		node = pairs[0].Key
	}
	if node == nil || node.GetToken() == nil {
		return nil
	}
	return node.GetToken().Position
}

// err returns the problems as an error, in the order of the text.
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

// fields returns the fields of a mapping. A field that is not known is a
// problem.
func (r *reader) fields(node ast.Node, known ...string) map[string]ast.Node {
	out := make(map[string]ast.Node, len(known))
	pairs := pairsOf(node)
	if pairs == nil {
		r.problem(node, "", "expected a mapping with the fields %q", known)
		return out
	}
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		if !slices.Contains(known, name) {
			r.problem(pair.Key, nearest(name, known), "unknown field %q", name)
			continue
		}
		if _, twice := out[name]; twice {
			r.problem(pair.Key, "", "field %q is given twice", name)
			continue
		}
		out[name] = pair.Value
	}
	return out
}

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

// items returns the items of a sequence; none where the field is missing.
func (r *reader) items(node ast.Node) []ast.Node {
	switch n := node.(type) {
	case nil, *ast.NullNode:
		return nil
	case *ast.SequenceNode:
		return n.Values
	default:
		r.problem(node, "", "expected a list")
		return nil
	}
}

// scalar returns the text of a plain value.
func (r *reader) scalar(parent, node ast.Node, field string) (string, bool) {
	switch n := node.(type) {
	case nil:
		r.problem(parent, "", "field %q is missing", field)
		return "", false
	case *ast.StringNode:
		return n.Value, true
	case *ast.IntegerNode, *ast.FloatNode, *ast.BoolNode:
		return node.GetToken().Value, true
	default:
		r.problem(node, "", "%s must be a plain value", field)
		return "", false
	}
}

// name reads a required identifier; "" where it is wrong.
func (r *reader) name(parent, node ast.Node, field string) string {
	text, ok := r.scalar(parent, node, field)
	if !ok {
		return ""
	}
	if !ident.ValidName(text) {
		r.problem(node, "", "%.64q is no valid %s; use up to 128 letters, digits, dots, underscores and hyphens", text, field)
		return ""
	}
	return text
}

// integer reads a required number not below low.
func (r *reader) integer(parent, node ast.Node, field string, low int64) int64 {
	text, ok := r.scalar(parent, node, field)
	if !ok {
		return low
	}
	value, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		r.problem(node, "", "%s must be a whole number, not %.64q", field, text)
		return low
	}
	if value < low || value > maxNumber {
		r.problem(node, "", "%s is %d; it must be from %d to %d", field, value, low, int64(maxNumber))
		return low
	}
	return value
}

// boolean reads a required truth value.
func (r *reader) boolean(parent, node ast.Node, field string) bool {
	text, ok := r.scalar(parent, node, field)
	if !ok {
		return false
	}
	if text != "true" && text != "false" {
		r.problem(node, "", "%s must be true or false, not %.64q", field, text)
	}
	return text == "true"
}
