package catalog

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// Errors of a Store.
const (
	// ErrCompacted reports that the store no longer has the changes after the requested
	// revision. The items must be listed again.
	ErrCompacted = errors.ConstError("store no longer has the changes after the requested revision")
	// ErrRestored reports that the store was restored from a backup since the requested
	// position, or during a listing. The items must be listed again.
	ErrRestored = errors.ConstError("store was restored from a backup")
	// ErrUnavailable reports that the store was unreachable or did not serve the call.
	ErrUnavailable = errors.ConstError("store unavailable")
	// ErrDeferred reports that the store was not called, because a call failed a short time ago.
	ErrDeferred = errors.ConstError("call to the store deferred after a failed one")
	// ErrBehind reports that a ChangeLog has not reached the requested position.
	ErrBehind = errors.ConstError("change log has not reached the requested position")
)

// Item is a key and its value, or a deleted key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // Revision of the last change.
	Deleted  bool
	Restored bool // Part of the first listing after a restore: the value may be older than a known one, or missing.
}

// Position is a position in the changes of a store. A store that is restored from a backup
// starts a new epoch, in which it gives out the revisions after the backup again. Revisions of
// different epochs are not comparable.
type Position struct {
	Epoch    int64
	Revision int64
}

// Store lists and watches the items under a prefix.
type Store interface {
	// List returns all items and the position after which a watch misses no change.
	List(ctx context.Context, prefix string) ([]Item, Position, error)
	// Watch returns the changes after a position. The position for the next watch is of the same
	// epoch. If there is no change, it returns none after about wait.
	Watch(ctx context.Context, prefix string, after Position, wait time.Duration) (Changes, error)
}

const (
	// minRetryDelay and maxRetryDelay bound the time from the start of a failed call to the
	// next call. They keep 25 processes below 50 calls per second during an outage.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = 700 * time.Millisecond
	// minOutage is the shortest outage after which registrations may have expired although
	// their owners are running.
	minOutage = 500 * time.Millisecond
)

// failedCall is a call that the store did not serve.
type failedCall struct {
	began time.Time
	took  time.Duration
}

// Follower mirrors the items under one prefix of a Store.
type Follower struct {
	Store  Store
	Prefix string
	// OnChange is called for each change. Item.Deleted is set for a deletion.
	OnChange func(Item)
	// OnRecovered is called after an outage of the store of at least minOutage and after a
	// restore, before the first changes after it. back is the earliest time at which the store may
	// have been back. It may be nil.
	OnRecovered func(back time.Time)
	// OnListed is called after each listing, with its position. It may be nil.
	OnListed func(Position)
	// WatchTimeout is how long after the last confirmation by the store a watch waits for a change at
	// most. A watch during an outage does not wait, so that the first one after it succeeds at once.
	WatchTimeout time.Duration
	// MinInterval is the shortest interval between two watches of the store, so that frequent changes
	// are batched. It does not apply to changes that another process has read. In any case a pause as long as the changes
	// took to apply follows them, so that a series of large ones leaves half of the processor to others.
	MinInterval time.Duration
	// ChangeLog receives the changes for other processes. It may be nil.
	ChangeLog *ChangeLog
	Log       *logrus.Entry

	position    Position         // After the last listing or watch; zero before the first listing.
	listed      bool             // A watch from position misses no change.
	revisions   map[string]int64 // Revision of each known item in the epoch of position, by key.
	outageStart time.Time        // Zero while the store responds.
	failures    int              // Consecutive failed calls.
	lastFailed  failedCall       // The last of them.
	respondedAt time.Time        // Last response of the store; zero before the first one.
	confirmedAt time.Time        // Time up to which no change is missing; zero before the first listing.
	relayed     bool             // Another process read the last changes.
	applying    time.Duration    // Time in OnChange since the last pause.
	outage      Outage           // Last outage that OnRecovered was called for.
	back        time.Time        // Earliest time at which the store may have been back before that response.
}

// String returns the service name for supervisor events.
func (f *Follower) String() string { return "follower of " + f.Prefix }

// ConfirmedAt returns a time up to which no change was missing before the current step; zero in the first listing. It
// may be called in OnChange only.
func (f *Follower) ConfirmedAt() time.Time { return f.confirmedAt }

// Serve mirrors the items until ctx ends. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	if f.revisions == nil {
		f.revisions = make(map[string]int64)
	}
	f.listed = false
	wait := minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		f.applying = 0
		err := f.step(ctx)
		if err == nil {
			wait = minRetryDelay
			pause := f.applying
			if !f.relayed {
				pause = max(pause, f.MinInterval-time.Since(began))
			}
			if sleep.For(ctx, pause) != nil {
				break
			}
			continue
		}
		if f.listed && (errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored)) {
			f.Log.WithFields(logrus.Fields{
				"prefix": f.Prefix, "epoch": f.position.Epoch, "after": f.position.Revision, "reason": err.Error(),
			}).Info("watch cannot continue; listing again")
			f.listed = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		if !errors.Is(err, ErrDeferred) {
			f.failures++
			f.lastFailed = failedCall{began: began, took: time.Since(began)}
		}
		f.ChangeLog.fail()
		f.beginOutage(err)
		if sleep.For(ctx, wait-time.Since(began)) != nil {
			break
		}
		wait = min(2*wait, maxRetryDelay)
	}
	return ctx.Err()
}

// step makes one list or watch call and applies its result.
func (f *Follower) step(ctx context.Context) error {
	if !f.listed {
		began := time.Now()
		items, position, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.relayed = false
		f.markResponse()
		f.applyListing(items, position)
		f.confirmedAt = began
		f.ChangeLog.reset(items, position, began)
		return nil
	}
	changes, err := f.Store.Watch(ctx, f.Prefix, f.position, max(f.WatchTimeout-f.unconfirmed(), 0))
	if err != nil {
		return err
	}
	f.relayed = changes.Relayed
	f.markResponse()
	f.adoptOutage(changes.Outage)
	if changes.Complete {
		changes.Items = append(changes.Items, f.missing(changes)...)
	}
	applied := changes.Items[:0]
	for _, item := range changes.Items {
		if f.apply(item) {
			applied = append(applied, item)
		}
	}
	changes.Items = applied
	f.position.Revision = max(changes.Position.Revision, f.position.Revision)
	if changes.ConfirmedAt.After(f.confirmedAt) {
		f.confirmedAt = changes.ConfirmedAt
	}
	f.ChangeLog.extend(changes, f.position)
	return nil
}

// adoptOutage calls OnRecovered for an outage that another process noticed, unless this one knows of
// it or reached the store meanwhile.
func (f *Follower) adoptOutage(o Outage) {
	if o == (Outage{}) || f.confirmedAt.After(o.Began) || o.Back.Sub(f.outage.Back) < minOutage {
		return
	}
	f.Log.WithFields(logrus.Fields{
		"event": "store_outage", "prefix": f.Prefix, "outage_ms": o.Back.Sub(o.Began).Milliseconds(),
	}).Info("another process noticed an outage of the store")
	f.recovered(o)
}

// recovered calls OnRecovered for an outage.
func (f *Follower) recovered(o Outage) {
	f.outage = o
	f.ChangeLog.recordOutage(o)
	if f.OnRecovered != nil {
		f.OnRecovered(o.Back)
	}
}

// applyListing applies a listing and continues from its position.
func (f *Follower) applyListing(items []Item, position Position) {
	f.Log.WithFields(logrus.Fields{
		"event": "store_listed", "prefix": f.Prefix, "items": len(items), "epoch": position.Epoch, "revision": position.Revision,
		"former_epoch": f.position.Epoch, "after": f.position.Revision,
	}).Info("items in the store listed")
	restored := f.isRestored(position)
	if restored {
		f.beginEpoch()
	}
	f.replace(items, restored)
	f.position, f.listed = position, true
	if f.OnListed != nil {
		f.OnListed(position)
	}
}

// isRestored reports whether the store was restored since the last position. Only a restore
// lowers the revision.
func (f *Follower) isRestored(position Position) bool {
	return f.position != (Position{}) && (position.Epoch != f.position.Epoch || position.Revision < f.position.Revision)
}

// beginEpoch makes all revisions of the former epoch older than those of the new one.
func (f *Follower) beginEpoch() {
	f.Log.WithFields(logrus.Fields{"event": "store_restored", "prefix": f.Prefix}).Warn("store was restored from a backup")
	for key := range f.revisions {
		f.revisions[key] = 0
	}
	f.recovered(Outage{Began: f.back, Back: f.back})
}

// replace applies a listing. Known items that are not in the listing are deleted.
func (f *Follower) replace(items []Item, restored bool) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		item.Restored = restored
		f.apply(item)
	}
	for key := range f.revisions {
		if !present[key] {
			f.apply(Item{Key: key, Revision: f.revisions[key] + 1, Deleted: true, Restored: restored})
		}
	}
}

// missing returns the deletions of the known items that a complete list of items lacks.
func (f *Follower) missing(changes Changes) []Item {
	present := make(map[string]bool, len(changes.Items))
	for _, item := range changes.Items {
		present[item.Key] = true
	}
	var out []Item
	for key := range f.revisions {
		if !present[key] {
			out = append(out, Item{Key: key, Revision: changes.Position.Revision, Deleted: true})
		}
	}
	return out
}

// apply passes an item to OnChange unless a revision at least as new is already known. It reports
// whether it did.
func (f *Follower) apply(item Item) bool {
	if known := f.revisions[item.Key]; item.Revision <= known {
		if item.Revision < known {
			f.Log.WithFields(logrus.Fields{
				"event": "item_ignored", "key": item.Key, "revision": item.Revision, "known": known,
			}).Info("item is older than the known one, ignored")
		}
		return false
	}
	if item.Deleted {
		delete(f.revisions, item.Key)
	} else {
		f.revisions[item.Key] = item.Revision
	}
	began := time.Now()
	f.OnChange(item)
	f.applying += time.Since(began)
	return true
}

// beginOutage records and logs the start of an outage, unless one is recorded.
func (f *Follower) beginOutage(err error) {
	if !f.outageStart.IsZero() {
		return
	}
	f.outageStart = time.Now()
	f.Log.WithField("prefix", f.Prefix).WithError(err).Warn("store lost")
}

// markResponse records a response of the store and ends an outage.
func (f *Follower) markResponse() {
	f.back = f.respondedAt
	if !f.outageStart.IsZero() {
		f.back = f.lastFailed.began // A call that begins once the store is back succeeds.
	}
	f.endOutage()
	f.respondedAt = time.Now()
}

// unread returns the time since the last response; 0 before the first one.
func (f *Follower) unread() time.Duration {
	if f.respondedAt.IsZero() {
		return 0
	}
	return time.Since(f.respondedAt)
}

// unconfirmed returns the time since the last confirmation; 0 before the first one.
func (f *Follower) unconfirmed() time.Duration {
	if f.confirmedAt.IsZero() {
		return 0
	}
	return time.Since(f.confirmedAt)
}

// endOutage ends an outage, if one is recorded. After an outage of at least minOutage it calls
// OnRecovered.
func (f *Follower) endOutage() {
	if f.outageStart.IsZero() {
		return
	}
	outage, began := time.Since(f.outageStart), f.outageStart
	f.Log.WithFields(logrus.Fields{
		"prefix": f.Prefix, "outage_ms": outage.Milliseconds(), "unread_ms": f.unread().Milliseconds(),
		"failed_calls": f.failures, "last_failed_call_ms": f.lastFailed.took.Milliseconds(),
	}).Info("store regained")
	f.outageStart, f.failures = time.Time{}, 0
	if outage >= minOutage {
		f.recovered(Outage{Began: began, Back: f.back})
	}
}
