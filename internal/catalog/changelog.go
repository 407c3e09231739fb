package catalog

import (
	"context"
	"slices"
	"sync"
	"time"
)

// maxLoggedChanges and maxLoggedBytes bound a ChangeLog. A process that lags behind by more reads the
// store itself.
const (
	maxLoggedChanges = 4096
	maxLoggedBytes   = 2 << 20
)

// MinKeptBytes is the size from which a ChangeLog keeps former values of items. maxKeptBytes bounds all of
// them; the latest two are kept in any case.
const (
	MinKeptBytes = 1 << 10
	maxKeptBytes = 2 << 20
)

// Outage is a time in which the store did not respond.
type Outage struct {
	Began time.Time // First failed call.
	Back  time.Time // Earliest time at which the store may have been back.
}

// Changes is the result of a watch.
type Changes struct {
	Items    []Item
	Position Position // For the next watch.
	// ConfirmedAt is a time up to which no change is missing. It is never later than the read of the
	// store, whichever process made it.
	ConfirmedAt time.Time
	// Outage is the last outage that the process that read the store noticed; zero if there is none
	// or the store was read directly.
	Outage Outage
	// Relayed is set if another process read the store.
	Relayed bool
	// Complete is set if Items are all items at Position, not only the changed ones.
	Complete bool
}

// ValueBytes returns the size of all values, and of those that a later change of the same key replaces.
func (c Changes) ValueBytes() (total, replaced int) {
	last := make(map[string]int, len(c.Items))
	for _, i := range c.Items {
		total += len(i.Value)
		replaced += last[i.Key]
		last[i.Key] = len(i.Value)
	}
	return total, replaced
}

// ChangeLog holds the latest changes under a prefix, so that other processes can watch them here
// instead of in the store. A Follower writes it. It is safe for concurrent use.
//
// Invariants:
//
//   - A watch from a position of the log's epoch either misses no significant change or fails. A value that
//     another one has replaced since is not in the log.
//   - ConfirmedAt of a read is never later than that of the Follower.
type ChangeLog struct {
	// Insignificant reports whether other processes need not see that an item replaces another one.
	// The deletion of the item is preceded by its last value. It may be nil.
	Insignificant func(old, item Item) bool

	mu          sync.Mutex
	listed      bool
	closed      bool
	position    Position
	floor       int64 // Changes up to this revision are not in the log.
	entries     []logEntry
	bytes       int
	kept        []Item // Latest values of at least MinKeptBytes, also replaced ones, oldest first.
	keptBytes   int
	last        map[string]Item // Last value of each item, if Insignificant is set.
	unlogged    map[string]bool // Keys whose last value is not in the log.
	confirmedAt time.Time
	failing     bool // The last call to the store failed.
	outage      Outage
	changed     chan struct{} // Closed at the next change.
}

// logEntry is a logged item. at is the revision of the change with which it was logged.
type logEntry struct {
	at   int64
	item Item
}

// NewChangeLog returns an empty ChangeLog. insignificant may be nil.
func NewChangeLog(insignificant func(old, item Item) bool) *ChangeLog {
	return &ChangeLog{
		Insignificant: insignificant, last: make(map[string]Item), unlogged: make(map[string]bool), changed: make(chan struct{}),
	}
}

// Read returns the changes after a position and a channel that is closed when the log changes.
// It returns ErrBehind if the log has not reached the position yet, ErrCompacted if it does not reach back
// to it, ErrRestored if the store was restored since, and ErrUnavailable if the log is empty or its process
// does not reach the store.
func (l *ChangeLog) Read(after Position) (Changes, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.listed || l.failing || l.closed:
		return Changes{}, l.changed, ErrUnavailable
	case l.position.Epoch > after.Epoch:
		return Changes{}, l.changed, ErrRestored
	case l.position.Epoch < after.Epoch || l.position.Revision < after.Revision:
		return Changes{}, l.changed, ErrBehind
	case after.Revision < l.floor:
		return Changes{}, l.changed, ErrCompacted
	}
	first, _ := slices.BinarySearchFunc(l.entries, after.Revision+1, func(e logEntry, at int64) int { return int(e.at - at) })
	items := make([]Item, 0, len(l.entries)-first)
	for _, e := range l.entries[first:] {
		items = append(items, e.item)
	}
	return Changes{Items: items, Position: l.position, ConfirmedAt: l.confirmedAt, Outage: l.outage}, l.changed, nil
}

// ConfirmedAt returns the time up to which the log misses no change; zero before the first listing.
func (l *ChangeLog) ConfirmedAt() time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmedAt
}

// AwaitConfirmation returns once the log misses no change up to t. It returns false if ctx ends before that.
func (l *ChangeLog) AwaitConfirmation(ctx context.Context, t time.Time) bool {
	for {
		l.mu.Lock()
		confirmed, changed := l.listed && !l.confirmedAt.Before(t), l.changed
		l.mu.Unlock()
		if confirmed {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

// Value returns the value that a key had since a revision of the log's epoch, if the log still has it.
func (l *ChangeLog) Value(key string, revision int64) ([]byte, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, i := range l.kept {
		if i.Key == key && i.Revision == revision {
			return i.Value, true
		}
	}
	return nil, false
}

// keep keeps a value for Value. The caller holds l.mu.
func (l *ChangeLog) keep(item Item) {
	if len(item.Value) < MinKeptBytes {
		return
	}
	l.kept = append(l.kept, item)
	l.keptBytes += len(item.Value)
	for l.keptBytes > maxKeptBytes && len(l.kept) > 2 {
		l.keptBytes -= len(l.kept[0].Value)
		l.kept = slices.Delete(l.kept, 0, 1)
	}
}

// Close ends all reads, because the process ends.
func (l *ChangeLog) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.notify()
}

// reset starts the log at the position of a listing.
func (l *ChangeLog) reset(items []Item, position Position, confirmedAt time.Time) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries, l.bytes, l.floor = nil, 0, position.Revision
	l.kept, l.keptBytes = nil, 0
	clear(l.last)
	clear(l.unlogged)
	for _, item := range items {
		l.remember(item)
		l.keep(item)
	}
	l.listed, l.failing, l.position, l.confirmedAt = true, false, position, confirmedAt
	l.notify()
}

// extend adds the changes of a watch.
func (l *ChangeLog) extend(c Changes, position Position) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range c.Items {
		l.add(item)
		l.keep(item)
	}
	l.position, l.failing = position, false
	if c.ConfirmedAt.After(l.confirmedAt) {
		l.confirmedAt = c.ConfirmedAt
	}
	for len(l.entries) > maxLoggedChanges || l.bytes > maxLoggedBytes {
		l.floor = l.entries[0].at
		l.bytes -= len(l.entries[0].item.Value)
		l.entries = l.entries[1:]
	}
	l.notify()
}

// add logs one change, unless it is insignificant. The caller holds l.mu.
func (l *ChangeLog) add(item Item) {
	old, known := l.last[item.Key]
	if known && item.Revision <= old.Revision {
		return
	}
	if l.Insignificant != nil && known && !item.Deleted && l.Insignificant(old, item) {
		l.remember(item)
		l.unlogged[item.Key] = true
		return
	}
	if item.Deleted && l.unlogged[item.Key] {
		l.append(logEntry{item.Revision, old})
	}
	delete(l.unlogged, item.Key)
	l.append(logEntry{item.Revision, item})
	if item.Deleted {
		delete(l.last, item.Key)
	} else {
		l.remember(item)
	}
}

// append adds an entry in the order of at and removes the value that it replaces. The last value before a
// deletion stays. The caller holds l.mu.
func (l *ChangeLog) append(e logEntry) {
	for i := len(l.entries) - 1; i >= 0 && !e.item.Deleted; i-- {
		if old := l.entries[i].item; old.Key == e.item.Key {
			if !old.Deleted {
				l.bytes -= len(old.Value)
				l.entries = slices.Delete(l.entries, i, i+1)
			}
			break
		}
	}
	if n := len(l.entries); n > 0 {
		e.at = max(e.at, l.entries[n-1].at)
	}
	l.entries = append(l.entries, e)
	l.bytes += len(e.item.Value)
}

// remember keeps an item for Insignificant. The caller holds l.mu.
func (l *ChangeLog) remember(item Item) {
	if l.Insignificant != nil {
		l.last[item.Key] = item
	}
}

// fail records that a call to the store failed.
func (l *ChangeLog) fail() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.failing {
		l.failing = true
		l.notify()
	}
}

// recordOutage records the end of an outage.
func (l *ChangeLog) recordOutage(o Outage) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = o
}

// notify wakes the readers. The caller holds l.mu.
func (l *ChangeLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
