package harness

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
)

// gatedStore controls one process's access to the key-value service. Calls
// fail while the service is set unavailable. Otherwise they block while the
// process is paused.
type gatedStore struct {
	store.Store
	mu          sync.Mutex
	unavailable bool
	resumed     chan struct{} // Closed on resume; nil while the process is not paused.
}

func (s *gatedStore) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *gatedStore) pause() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed == nil {
		s.resumed = make(chan struct{})
	}
}

func (s *gatedStore) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.resumed != nil {
		close(s.resumed)
		s.resumed = nil
	}
}

// awaitAccess returns store.ErrUnavailable if the service is set unavailable.
// Otherwise it blocks while the process is paused and returns ctx's error if ctx
// ends first.
func (s *gatedStore) awaitAccess(ctx context.Context) error {
	s.mu.Lock()
	resumed, unavailable := s.resumed, s.unavailable
	s.mu.Unlock()
	if unavailable {
		return store.ErrUnavailable
	}
	if resumed == nil {
		return nil
	}
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Get implements store.Store.
func (s *gatedStore) Get(ctx context.Context, key string) (store.Record, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return store.Record{}, err
	}
	return s.Store.Get(ctx, key)
}

// List implements store.Store.
func (s *gatedStore) List(ctx context.Context, prefix string) ([]store.Record, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return nil, err
	}
	return s.Store.List(ctx, prefix)
}

// CompareAndSwap implements store.Store.
func (s *gatedStore) CompareAndSwap(ctx context.Context, key string, value []byte, prev store.Index) (bool, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return false, err
	}
	return s.Store.CompareAndSwap(ctx, key, value, prev)
}

// Delete implements store.Store.
func (s *gatedStore) Delete(ctx context.Context, key string, prev store.Index) (bool, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return false, err
	}
	return s.Store.Delete(ctx, key, prev)
}

// Watch implements store.Store. A result that arrives while the process is
// paused is returned after the process resumes.
func (s *gatedStore) Watch(ctx context.Context, key string, after store.Index, wait time.Duration) (store.Record, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return store.Record{}, err
	}
	record, err := s.Store.Watch(ctx, key, after, wait)
	if accessErr := s.awaitAccess(ctx); accessErr != nil {
		return store.Record{}, accessErr
	}
	return record, err
}

// GrantLease implements store.Store.
func (s *gatedStore) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return "", err
	}
	return s.Store.GrantLease(ctx, ttl)
}

// RenewLease implements store.Store.
func (s *gatedStore) RenewLease(ctx context.Context, lease store.LeaseID) error {
	if err := s.awaitAccess(ctx); err != nil {
		return err
	}
	return s.Store.RenewLease(ctx, lease)
}

// Acquire implements store.Store.
func (s *gatedStore) Acquire(ctx context.Context, key string, value []byte, lease store.LeaseID) (bool, error) {
	if err := s.awaitAccess(ctx); err != nil {
		return false, err
	}
	return s.Store.Acquire(ctx, key, value, lease)
}

// ReleaseLease implements store.Store.
func (s *gatedStore) ReleaseLease(ctx context.Context, lease store.LeaseID) error {
	if err := s.awaitAccess(ctx); err != nil {
		return err
	}
	return s.Store.ReleaseLease(ctx, lease)
}
