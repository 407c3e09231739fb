package store

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// MaxValueBytes is the maximum length of a value that the service accepts.
const MaxValueBytes = 500 * 1000

// Errors of a Store.
const (
	// ErrNotFound means that the key does not exist.
	ErrNotFound = errors.ConstError("key not found")
	// ErrUnavailable means that the service could not be reached or refused the
	// call. The call has changed nothing.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrOutcomeUnknown means that a write may or may not have taken effect.
	ErrOutcomeUnknown = errors.ConstError("outcome of write unknown")
	// ErrTooLarge means that the value is longer than MaxValueBytes.
	ErrTooLarge = errors.ConstError("value too large")
	// ErrLeaseLost means that the lease has expired or was released.
	ErrLeaseLost = errors.ConstError("lease lost")
)

// Index is the position of a change in the order of all changes of the store. The
// index of an existing key does not decrease unless the service loses data. 0 means
// that the key does not exist.
type Index uint64

// LeaseID identifies a lease that the service has granted.
type LeaseID string

// Record is a key with its value.
type Record struct {
	Key   string
	Value []byte
	Index Index   // Index of the last change of the key.
	Lease LeaseID // Lease that holds the key; empty if no lease does.
}

// Store is the platform's key-value service.
type Store interface {
	// Get returns the record of key, or ErrNotFound.
	Get(ctx context.Context, key string) (Record, error)
	// List returns the records whose keys begin with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Record, error)
	// CompareAndSwap writes value if the index of key is prev, and reports
	// whether it did. A prev of 0 creates a key that does not exist yet.
	CompareAndSwap(ctx context.Context, key string, value []byte, prev Index) (bool, error)
	// Delete removes key if its index is prev, and reports whether it did.
	Delete(ctx context.Context, key string, prev Index) (bool, error)
	// Watch waits until the index of key differs from after, at most for wait,
	// and returns the current record. For a key that does not exist, it returns
	// a Record with index 0.
	Watch(ctx context.Context, key string, after Index, wait time.Duration) (Record, error)
	// GrantLease creates a lease that expires ttl after its creation or last renewal.
	GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// RenewLease renews a lease, or returns ErrLeaseLost.
	RenewLease(ctx context.Context, lease LeaseID) error
	// ReleaseLease ends a lease. The keys that it held remain, without a holder.
	ReleaseLease(ctx context.Context, lease LeaseID) error
	// Acquire writes value and makes the lease the holder of key, and reports
	// whether it did. It does not if another lease holds the key.
	Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error)
}
