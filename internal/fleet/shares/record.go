package shares

import (
	"context"
	"encoding/json"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	// recordKey is the store key of the current generation.
	recordKey = "limits/generation"
	// editIDBytes is the length of record.EditID before encoding.
	editIDBytes = 12
)

// ErrMalformedGeneration is returned if the stored generation cannot be
// decoded.
const ErrMalformedGeneration = errors.ConstError("stored generation of share holders is not valid JSON")

// record is the stored form of a generation.
type record struct {
	limit.Generation
	EditID string `json:"edit"` // Identifies the write, so that it can be found after a lost response.
}

// records reads and writes the stored generation.
type records struct {
	store store.Store
}

// read returns the stored generation and its index. The number is 0 if none is
// stored.
func (r *records) read(ctx context.Context) (limit.Generation, store.Index, error) {
	entry, err := r.store.Get(ctx, recordKey)
	if errors.Is(err, store.ErrNotFound) {
		return limit.Generation{}, 0, nil
	}
	if err != nil {
		return limit.Generation{}, 0, errors.Trace(err)
	}
	rec, err := decodeRecord(entry)
	return rec.Generation, entry.Index, err
}

// write replaces the stored generation if its index is still prev, and reports
// whether it did. If the outcome of the write is unknown, write reads the
// generation back and compares the edit IDs.
func (r *records) write(ctx context.Context, gen limit.Generation, prev store.Index) (bool, error) {
	rec := record{Generation: gen, EditID: ident.RandomHex(editIDBytes)}
	data, err := json.Marshal(rec)
	if err != nil {
		return false, errors.Trace(err)
	}
	ok, err := r.store.CompareAndSwap(ctx, recordKey, data, prev)
	if !errors.Is(err, store.ErrOutcomeUnknown) {
		return ok, errors.Trace(err)
	}
	entry, err := r.store.Get(ctx, recordKey)
	if err != nil {
		return false, errors.Trace(err)
	}
	stored, err := decodeRecord(entry)
	return stored.EditID == rec.EditID, err
}

func decodeRecord(entry store.Record) (record, error) {
	var rec record
	if err := json.Unmarshal(entry.Value, &rec); err != nil {
		return record{}, errors.WithType(err, ErrMalformedGeneration)
	}
	return rec, nil
}
