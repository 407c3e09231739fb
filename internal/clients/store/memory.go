package store

import (
	"context"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// Fault is a failure that Memory simulates.
type Fault int

// Values of Fault.
const (
	// FaultNone simulates no failure.
	FaultNone Fault = iota
	// FaultDown makes every call return ErrUnavailable without effect.
	FaultDown
	// FaultResponseLost makes each write take effect and return ErrOutcomeUnknown,
	// as if the response were lost.
	FaultResponseLost
	// FaultWriteLost makes each write return ErrOutcomeUnknown without effect, as
	// if the request were lost.
	FaultWriteLost
)

// CallCounts are the numbers of calls to a Memory, including calls that failed.
type CallCounts struct {
	Reads   int // Calls of Get and List.
	Writes  int // Calls of CompareAndSwap, Delete, Acquire, GrantLease, RenewLease and ReleaseLease.
	Watches int // Calls of Watch, counted when they begin to wait.
}

// Memory is a Store in memory, for tests and the demo. It can simulate failures and
// delays. It is safe for concurrent use and works in a testing/synctest bubble.
type Memory struct {
	mu      sync.Mutex
	records map[string]Record
	expiry  map[LeaseID]time.Time // Time at which each lease expires.
	ttl     map[LeaseID]time.Duration
	index   Index         // Last index assigned to a change of a key or to a lease.
	changed chan struct{} // Closed and replaced at each change of a key or of the fault.
	fault   Fault
	delay   time.Duration
	calls   CallCounts
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{
		records: make(map[string]Record),
		expiry:  make(map[LeaseID]time.Time),
		ttl:     make(map[LeaseID]time.Duration),
		changed: make(chan struct{}),
	}
}

// SetFault sets the failure that later calls simulate. Waiting watches check for it
// at once.
func (m *Memory) SetFault(f Fault) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
	m.notifyWatches()
}

// SetDelay sets the time that each later call waits before it takes effect.
func (m *Memory) SetDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.delay = d
}

// Calls returns the numbers of calls since the Memory was created.
func (m *Memory) Calls() CallCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.calls
}

// Export returns all records, sorted by key. Import restores them.
func (m *Memory) Export() []Record {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.recordsWithPrefix("")
}

// Import replaces all records. It simulates a service that restarts with older
// data.
func (m *Memory) Import(records []Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.records = make(map[string]Record, len(records))
	for _, record := range records {
		m.records[record.Key] = record
	}
	m.notifyWatches()
}

// Get implements Store.
func (m *Memory) Get(ctx context.Context, key string) (Record, error) {
	if err := m.lockForCall(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return Record{}, err
	}
	defer m.mu.Unlock()
	record, ok := m.records[key]
	if !ok {
		return Record{}, ErrNotFound
	}
	return record, nil
}

// List implements Store.
func (m *Memory) List(ctx context.Context, prefix string) ([]Record, error) {
	if err := m.lockForCall(ctx, func(c *CallCounts) { c.Reads++ }); err != nil {
		return nil, err
	}
	defer m.mu.Unlock()
	return m.recordsWithPrefix(prefix), nil
}

// CompareAndSwap implements Store.
func (m *Memory) CompareAndSwap(ctx context.Context, key string, value []byte, prev Index) (bool, error) {
	if len(value) > MaxValueBytes {
		return false, ErrTooLarge
	}
	return m.write(ctx, func() bool {
		old := m.records[key]
		if old.Index != prev {
			return false
		}
		m.setRecord(key, value, old.Lease)
		return true
	})
}

// Delete implements Store.
func (m *Memory) Delete(ctx context.Context, key string, prev Index) (bool, error) {
	return m.write(ctx, func() bool {
		old, ok := m.records[key]
		if !ok || old.Index != prev {
			return false
		}
		delete(m.records, key)
		m.index++
		m.notifyWatches()
		return true
	})
}

// Watch implements Store.
func (m *Memory) Watch(ctx context.Context, key string, after Index, wait time.Duration) (Record, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	if err := m.lockForCall(ctx, func(c *CallCounts) { c.Watches++ }); err != nil {
		return Record{}, err
	}
	for {
		record, changed := m.records[key], m.changed
		down := m.fault == FaultDown
		m.mu.Unlock()
		if down {
			return Record{}, ErrUnavailable
		}
		if record.Index != after {
			record.Key = key
			return record, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			record.Key = key
			return record, nil
		case <-ctx.Done():
			return Record{}, ctx.Err()
		}
		m.mu.Lock()
	}
}

// GrantLease implements Store.
func (m *Memory) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var id LeaseID
	_, err := m.write(ctx, func() bool {
		m.index++
		id = LeaseID("lease-" + strconv.FormatUint(uint64(m.index), 10))
		m.ttl[id] = ttl
		m.expiry[id] = time.Now().Add(ttl)
		return true
	})
	if err != nil {
		return "", err
	}
	return id, nil
}

// RenewLease implements Store.
func (m *Memory) RenewLease(ctx context.Context, lease LeaseID) error {
	ok, err := m.write(ctx, func() bool {
		if _, ok := m.expiry[lease]; !ok {
			return false
		}
		m.expiry[lease] = time.Now().Add(m.ttl[lease])
		return true
	})
	if err != nil {
		return err
	}
	if !ok {
		return ErrLeaseLost
	}
	return nil
}

// ReleaseLease implements Store.
func (m *Memory) ReleaseLease(ctx context.Context, lease LeaseID) error {
	_, err := m.write(ctx, func() bool {
		m.endLease(lease)
		return true
	})
	return err
}

// Acquire implements Store.
func (m *Memory) Acquire(ctx context.Context, key string, value []byte, lease LeaseID) (bool, error) {
	return m.write(ctx, func() bool {
		if _, ok := m.expiry[lease]; !ok {
			return false
		}
		old := m.records[key]
		if old.Lease != "" && old.Lease != lease {
			return false
		}
		m.setRecord(key, value, lease)
		return true
	})
}

// lockForCall begins a call: it counts the call, waits for the delay, acquires the
// lock and ends expired leases. If it returns an error, it does not hold the lock.
func (m *Memory) lockForCall(ctx context.Context, count func(*CallCounts)) error {
	m.mu.Lock()
	count(&m.calls)
	delay := m.delay
	m.mu.Unlock()
	if delay > 0 {
		if err := sleep.For(ctx, delay); err != nil {
			return err
		}
	}
	m.mu.Lock()
	if m.fault == FaultDown {
		m.mu.Unlock()
		return ErrUnavailable
	}
	m.endExpiredLeases()
	return nil
}

// write runs change with the lock held and returns its result. FaultWriteLost skips
// change; FaultResponseLost runs it and hides its result.
func (m *Memory) write(ctx context.Context, change func() bool) (bool, error) {
	if err := m.lockForCall(ctx, func(c *CallCounts) { c.Writes++ }); err != nil {
		return false, err
	}
	defer m.mu.Unlock()
	switch m.fault {
	case FaultWriteLost:
		return false, ErrOutcomeUnknown
	case FaultResponseLost:
		change()
		return false, ErrOutcomeUnknown
	default:
		return change(), nil
	}
}

// setRecord stores a copy of value with a new index. The caller holds the lock.
func (m *Memory) setRecord(key string, value []byte, lease LeaseID) {
	m.index++
	m.records[key] = Record{Key: key, Value: append([]byte(nil), value...), Index: m.index, Lease: lease}
	m.notifyWatches()
}

// recordsWithPrefix returns the records whose keys begin with prefix, sorted by key.
// The caller holds the lock.
func (m *Memory) recordsWithPrefix(prefix string) []Record {
	var out []Record
	for key, record := range m.records {
		if strings.HasPrefix(key, prefix) {
			out = append(out, record)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// endExpiredLeases ends the leases that have expired. The caller holds the lock.
func (m *Memory) endExpiredLeases() {
	now := time.Now()
	for id, expiry := range m.expiry {
		if now.After(expiry) {
			m.endLease(id)
		}
	}
}

// endLease removes the lease as the holder of its keys. The caller holds the lock.
func (m *Memory) endLease(lease LeaseID) {
	delete(m.expiry, lease)
	delete(m.ttl, lease)
	for key, record := range m.records {
		if record.Lease == lease {
			m.setRecord(key, record.Value, "")
		}
	}
}

// notifyWatches makes waiting watches check their record. The caller holds the lock.
func (m *Memory) notifyWatches() {
	close(m.changed)
	m.changed = make(chan struct{})
}
