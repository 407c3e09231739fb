package config

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Problem is one error in the text of a list.
type Problem struct {
	Line    int    `json:"line"`              // From 1.
	Column  int    `json:"column"`            // From 1.
	Reason  string `json:"reason"`            // Error and, if possible, how to correct it.
	Nearest string `json:"nearest,omitempty"` // Valid name most similar to the given one.
}

// String returns the problem as one line of text.
func (p Problem) String() string {
	s := fmt.Sprintf("line %d, column %d: %s", p.Line, p.Column, p.Reason)
	if p.Nearest != "" {
		s += fmt.Sprintf("; did you mean %q?", p.Nearest)
	}
	return s
}

// Invalid is the error for a list with problems. It matches ErrInvalid.
type Invalid struct {
	Problems []Problem // At least one, in the order of the text.
}

// Error implements error. It returns one line for each problem.
func (e *Invalid) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Is reports whether target is ErrInvalid. errors.Is calls it.
func (e *Invalid) Is(target error) bool {
	return target == error(ErrInvalid)
}

// Conflict is the error for an edit of a list that changed since it was read. It
// matches ErrConflict.
type Conflict struct {
	List            List
	ReadRevision    Revision // Revision that the edit is based on.
	ListRevision    Revision // Revision that last changed the list.
	CurrentRevision Revision // Revision of the configuration.
}

// Error implements error.
func (e *Conflict) Error() string {
	if e.ReadRevision > e.CurrentRevision {
		return fmt.Sprintf("%s was read at revision %d, but the configuration is at revision %d", e.List, e.ReadRevision, e.CurrentRevision)
	}
	return fmt.Sprintf("%s was read at revision %d and changed at revision %d; the configuration is at revision %d",
		e.List, e.ReadRevision, e.ListRevision, e.CurrentRevision)
}

// Is reports whether target is ErrConflict. errors.Is calls it.
func (e *Conflict) Is(target error) bool {
	return target == error(ErrConflict)
}

// checkOrganisation returns ErrInvalid if the plans list does not contain org.
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
	reason := fmt.Sprintf("the plans list has no organisation %q", org)
	if suggestion := nearest(string(org), names); suggestion != "" {
		reason += fmt.Sprintf("; did you mean %q?", suggestion)
	}
	return errors.WithType(errors.New(reason), ErrInvalid)
}
