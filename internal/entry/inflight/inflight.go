// Package inflight indexes the running requests of one entry by their API key,
// so that they can be cancelled when the key is withdrawn.
package inflight

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Cancellation causes of a request's context.
const (
	// ErrKeyWithdrawn is the cause after the request's key was withdrawn.
	ErrKeyWithdrawn = errors.ConstError("key withdrawn")
	// ErrKeysStale is the cause after the entry's configuration became stale, so
	// that it cannot decide whether the request's key is still granted.
	ErrKeysStale = errors.ConstError("keys are not confirmed as current")
)

// Index holds the running requests. It is safe for concurrent use.
type Index struct {
	mu     sync.Mutex
	lastID uint64
	byKey  map[ident.KeyHash]map[uint64]context.CancelCauseFunc
}

// NewIndex returns an empty Index.
func NewIndex() *Index {
	return &Index{byKey: make(map[ident.KeyHash]map[uint64]context.CancelCauseFunc)}
}

// Add registers a request. It returns the request's context and a function that
// cancels the context and removes the request.
func (x *Index) Add(ctx context.Context, key ident.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.lastID++
	id := x.lastID
	if x.byKey[key] == nil {
		x.byKey[key] = make(map[uint64]context.CancelCauseFunc)
	}
	x.byKey[key][id] = cancel
	return ctx, func() { x.remove(key, id, cancel) }
}

func (x *Index) remove(key ident.KeyHash, id uint64, cancel context.CancelCauseFunc) {
	cancel(nil)
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.byKey[key], id)
	if len(x.byKey[key]) == 0 {
		delete(x.byKey, key)
	}
}

// Cancel cancels the requests of all keys for which keep returns false, with the
// given cause. It returns the number of cancelled requests.
func (x *Index) Cancel(cause error, keep func(ident.KeyHash) bool) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	cancelled := 0
	for key, requests := range x.byKey {
		if keep(key) {
			continue
		}
		for _, cancel := range requests {
			cancel(cause)
			cancelled++
		}
	}
	return cancelled
}

// Len returns the number of running requests.
func (x *Index) Len() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	n := 0
	for _, requests := range x.byKey {
		n += len(requests)
	}
	return n
}
