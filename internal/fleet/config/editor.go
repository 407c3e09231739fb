package config

import (
	"context"
	"encoding/json"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/store"
)

const editIDBytes = 8

// List names one of the operators' two lists.
type List string

// Values of List.
const (
	ListPlans      List = "plans"
	ListAllowances List = "allowances"
)

// Editor changes the configuration in the store.
type Editor struct {
	store store.Store
}

// NewEditor returns an Editor on s.
func NewEditor(s store.Store) *Editor {
	return &Editor{store: s}
}

// Read returns a list's text and the revision that it belongs to.
func (e *Editor) Read(ctx context.Context, list List) (string, Revision, error) {
	d, _, err := readDocument(ctx, e.store)
	if err != nil {
		return "", 0, err
	}
	if list == ListPlans {
		return d.PlansText, d.Revision, nil
	}
	return d.AllowancesText, d.Revision, nil
}

// Check returns what is wrong with a list's text, or nil.
func (e *Editor) Check(_ context.Context, list List, text string) error {
	var err error
	if list == ListPlans {
		err = yaml.UnmarshalWithOptions([]byte(text), new(Plans), yaml.Strict())
	} else {
		err = yaml.UnmarshalWithOptions([]byte(text), new(Allowances), yaml.Strict())
	}
	if err != nil {
		return errors.WithType(err, ErrInvalid)
	}
	return nil
}

// Apply replaces a list where the configuration is still at revision read,
// and returns the new revision. It returns ErrConflict otherwise.
func (e *Editor) Apply(ctx context.Context, list List, text string, read Revision) (Revision, error) {
	if err := e.Check(ctx, list, text); err != nil {
		return 0, err
	}
	return e.change(ctx, func(d *document) error {
		if d.Revision != read {
			return errors.WithType(errors.Errorf("read at revision %d, now %d", read, d.Revision), ErrConflict)
		}
		if list == ListPlans {
			d.PlansText = text
		} else {
			d.AllowancesText = text
		}
		return nil
	})
}

// GrantKey adds a key.
func (e *Editor) GrantKey(ctx context.Context, key Key) (Revision, error) {
	return e.change(ctx, func(d *document) error {
		d.Keys = append(d.Keys, key)
		return nil
	})
}

// WithdrawKey removes a key.
func (e *Editor) WithdrawKey(ctx context.Context, hash ident.KeyHash) (Revision, error) {
	return e.change(ctx, func(d *document) error {
		d.Keys = slices.DeleteFunc(d.Keys, func(k Key) bool { return k.Hash == hash })
		return nil
	})
}

// Keys returns the granted keys.
func (e *Editor) Keys(ctx context.Context) ([]Key, error) {
	d, _, err := readDocument(ctx, e.store)
	return d.Keys, err
}

func (e *Editor) change(ctx context.Context, edit func(*document) error) (Revision, error) {
	d, index, err := readDocument(ctx, e.store)
	if err != nil {
		return 0, err
	}
	if err := edit(&d); err != nil {
		return 0, err
	}
	d.Revision++
	d.Edit = ident.NewToken(editIDBytes)
	data, err := json.Marshal(d)
	if err != nil {
		return 0, errors.Trace(err)
	}
	ok, err := e.store.CompareAndSwap(ctx, headKey, data, index)
	if errors.Is(err, store.ErrOutcomeUnknown) {
		return e.settle(ctx, d)
	}
	if err != nil {
		return 0, errors.WithType(err, ErrUnavailable)
	}
	if !ok {
		return 0, ErrConflict
	}
	return d.Revision, nil
}

// settle finds out by reading back whether a write whose answer was lost took
// effect.
func (e *Editor) settle(ctx context.Context, d document) (Revision, error) {
	now, _, err := readDocument(ctx, e.store)
	if err != nil {
		return 0, err
	}
	if now.Edit == d.Edit {
		return d.Revision, nil
	}
	return 0, ErrConflict
}
