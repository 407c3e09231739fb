package config

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Problem is one thing that is wrong with a list.
type Problem struct {
	Line    int    `json:"line"`              // From 1.
	Column  int    `json:"column"`            // From 1.
	Reason  string `json:"reason"`            // What is wrong and, where it can be said, what to write instead.
	Nearest string `json:"nearest,omitempty"` // The valid name nearest to the one given.
}

// String returns the problem as a line of text.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Reason)
	if p.Nearest != "" {
		s += fmt.Sprintf("; did you mean %q?", p.Nearest)
	}
	return s
}

// Invalid says all that is wrong with a list. It is an ErrInvalid.
type Invalid struct {
	Problems []Problem // In the order of the text; at least one.
}

// Error implements error.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Is makes an Invalid an ErrInvalid.
func (e *Invalid) Is(target error) bool {
	return target == error(ErrInvalid)
}

// Conflict says that a list changed since it was read. It is an ErrConflict.
type Conflict struct {
	List    List
	Read    Revision // That the edit was based on.
	Changed Revision // At which the list last changed.
	Now     Revision // In force.
}

// Error implements error.
func (e *Conflict) Error() string {
	if e.Read > e.Now {
		return fmt.Sprintf("%s was read at revision %d, but the configuration is at revision %d", e.List, e.Read, e.Now)
	}
	return fmt.Sprintf("%s was read at revision %d and changed at revision %d; the configuration is at revision %d",
		e.List, e.Read, e.Changed, e.Now)
}

// Is makes a Conflict an ErrConflict.
func (e *Conflict) Is(target error) bool {
	return target == error(ErrConflict)
}

// checkOrganisation returns ErrInvalid unless the plans list names org.
func checkOrganisation(t tables, org ident.Organisation) error {
	if _, ok := t.plans.Get(string(org)); ok {
		return nil
	}
	plans, err := plansOf(t.plans)
	if err != nil {
		return err
	}
	var names []string
	for _, p := range plans.Plans {
		names = append(names, string(p.Organisation))
	}
	reason := fmt.Sprintf("the plans list names no organisation %q", org)
	if near := nearest(string(org), names); near != "" {
		reason += fmt.Sprintf("; did you mean %q?", near)
	}
	return errors.WithType(errors.New(reason), ErrInvalid)
}
