// Package running indexes the requests that run in one entry by the key that
// they came with, so that they can be cut when the key is withdrawn.
package running

import (
	"context"
	"sync"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Causes of a request's context that was cut.
const (
	// ErrKeyWithdrawn says that the request's key was withdrawn.
	ErrKeyWithdrawn = errors.ConstError("key withdrawn")
	// ErrStale says that the entry can no longer tell whether the request's
	// key is granted.
	ErrStale = errors.ConstError("keys not confirmed")
)

// Index holds the running requests. It is safe for concurrent use.
type Index struct {
	mu    sync.Mutex
	next  uint64
	byKey map[ident.KeyHash]map[uint64]context.CancelCauseFunc
}

// NewIndex returns an empty Index.
func NewIndex() *Index {
	return &Index{byKey: make(map[ident.KeyHash]map[uint64]context.CancelCauseFunc)}
}

// Add registers a request and returns its context and the function that
// removes it again.
func (x *Index) Add(ctx context.Context, key ident.KeyHash) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.next++
	id := x.next
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

// Cut ends the requests of every key that keep refuses, with the given cause,
// and returns how many it ended.
func (x *Index) Cut(cause error, keep func(ident.KeyHash) bool) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	cut := 0
	for key, requests := range x.byKey {
		if keep(key) {
			continue
		}
		for _, cancel := range requests {
			cancel(cause)
			cut++
		}
	}
	return cut
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
