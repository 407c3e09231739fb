package config

import (
	"context"
	"encoding/json"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/platform/store"
)

// headKey is the one commit point of the configuration.
const headKey = "config/head"

// Errors of this package.
const (
	// ErrConflict says that another edit came between reading and writing.
	ErrConflict = errors.ConstError("configuration changed since it was read")
	// ErrInvalid says that a list cannot be accepted.
	ErrInvalid = errors.ConstError("invalid list")
	// ErrUnavailable says that the store was not reached; nothing changed.
	ErrUnavailable = errors.ConstError("configuration store unavailable")
	// ErrCorrupt says that the store holds something that is no configuration.
	ErrCorrupt = errors.ConstError("corrupt configuration")
)

// document is the stored form of one revision.
type document struct {
	Revision       Revision `json:"revision"`
	PlansText      string   `json:"plans"`
	AllowancesText string   `json:"allowances"`
	Keys           []Key    `json:"keys"`
	Edit           string   `json:"edit"` // Unique id of the edit that made it.
}

func decodeDocument(data []byte) (document, error) {
	var d document
	if err := json.Unmarshal(data, &d); err != nil {
		return d, errors.WithType(err, ErrCorrupt)
	}
	return d, nil
}

func (d document) snapshot() (*Snapshot, error) {
	var plans Plans
	if err := yaml.Unmarshal([]byte(d.PlansText), &plans); err != nil {
		return nil, errors.WithType(err, ErrCorrupt)
	}
	var allowances Allowances
	if err := yaml.Unmarshal([]byte(d.AllowancesText), &allowances); err != nil {
		return nil, errors.WithType(err, ErrCorrupt)
	}
	return NewSnapshot(d.Revision, plans, allowances, d.Keys), nil
}

func readDocument(ctx context.Context, s store.Store) (document, store.Index, error) {
	entry, err := s.Get(ctx, headKey)
	if errors.Is(err, store.ErrNotFound) {
		return document{}, 0, nil
	}
	if err != nil {
		return document{}, 0, errors.WithType(err, ErrUnavailable)
	}
	d, err := decodeDocument(entry.Value)
	return d, entry.Index, err
}
