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
	// ErrUnavailable reports that the store was unreachable or did not serve the call.
	ErrUnavailable = errors.ConstError("store unavailable")
)

// Item is a key and its value, or a deleted key.
type Item struct {
	Key      string
	Value    []byte
	Revision int64 // Revision of the last change.
	Deleted  bool
}

// Store lists and watches the items under a prefix.
type Store interface {
	// List returns all items and the revision after which a watch misses no change.
	List(ctx context.Context, prefix string) ([]Item, int64, error)
	// Watch returns the changes after a revision and the revision for the next watch. If there
	// is no change, it returns none after about wait.
	Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]Item, int64, error)
}

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call. They keep 25
	// processes below 50 calls per second during an outage.
	minRetryDelay = 200 * time.Millisecond
	maxRetryDelay = time.Second
	// minOutage is the shortest outage after which registrations may have expired although
	// their owners are running.
	minOutage = 500 * time.Millisecond
)

// Follower mirrors the items under one prefix of a Store.
type Follower struct {
	Store  Store
	Prefix string
	// OnChange is called for each change. Item.Deleted is set for a deletion.
	OnChange func(Item)
	// OnRecovered is called after an outage of the store of at least minOutage, before the first
	// changes after it. It may be nil.
	OnRecovered func()
	// OnListed is called after each listing, with the revision of the listing. It may be nil.
	OnListed func(revision int64)
	// WatchTimeout is the longest time that one watch call waits for a change.
	WatchTimeout time.Duration
	// MinInterval is the shortest interval between two watch calls, so that frequent changes are
	// batched.
	MinInterval time.Duration
	Log         *logrus.Entry

	revisions   map[string]int64 // Revision of each known item, by key.
	outageStart time.Time        // Zero while the store responds.
}

// String returns the service name for supervisor events.
func (f *Follower) String() string { return "follower of " + f.Prefix }

// Serve mirrors the items until ctx ends. It implements suture.Service.
func (f *Follower) Serve(ctx context.Context) error {
	if f.revisions == nil {
		f.revisions = make(map[string]int64)
	}
	after, listed, wait := int64(0), false, minRetryDelay
	for ctx.Err() == nil {
		began := time.Now()
		err := f.step(ctx, &after, &listed)
		if err == nil {
			wait = minRetryDelay
			if sleep.For(ctx, f.MinInterval-time.Since(began)) != nil {
				break
			}
			continue
		}
		if errors.Is(err, ErrCompacted) {
			f.Log.WithField("prefix", f.Prefix).WithField("after", after).
				Info("store no longer has the changes after this revision; listing again")
			listed = false
			continue
		}
		if ctx.Err() != nil {
			break
		}
		f.beginOutage(err)
		if sleep.For(ctx, wait) != nil {
			break
		}
		wait = min(2*wait, maxRetryDelay)
	}
	return ctx.Err()
}

// step makes one list or watch call and applies its result.
func (f *Follower) step(ctx context.Context, after *int64, listed *bool) error {
	if !*listed {
		items, revision, err := f.Store.List(ctx, f.Prefix)
		if err != nil {
			return err
		}
		f.endOutage()
		f.Log.WithFields(logrus.Fields{
			"event": "store_listed", "prefix": f.Prefix, "items": len(items), "revision": revision, "after": *after,
		}).Info("items in the store listed")
		f.replace(items)
		if f.OnListed != nil {
			f.OnListed(revision)
		}
		*after, *listed = revision, true
		return nil
	}
	items, revision, err := f.Store.Watch(ctx, f.Prefix, *after, f.WatchTimeout)
	if err != nil {
		return err
	}
	f.endOutage()
	for _, item := range items {
		f.apply(item)
	}
	*after = max(revision, *after)
	return nil
}

// replace applies a listing. Known items that are not in the listing are deleted.
func (f *Follower) replace(items []Item) {
	present := make(map[string]bool, len(items))
	for _, item := range items {
		present[item.Key] = true
		f.apply(item)
	}
	for key := range f.revisions {
		if !present[key] {
			f.apply(Item{Key: key, Revision: f.revisions[key] + 1, Deleted: true})
		}
	}
}

// apply passes an item to OnChange unless a revision at least as new is already known.
func (f *Follower) apply(item Item) {
	if known := f.revisions[item.Key]; item.Revision <= known {
		if item.Revision < known {
			f.Log.WithFields(logrus.Fields{
				"event": "item_ignored", "key": item.Key, "revision": item.Revision, "known": known,
			}).Info("item is older than the known one, ignored")
		}
		return
	}
	if item.Deleted {
		delete(f.revisions, item.Key)
	} else {
		f.revisions[item.Key] = item.Revision
	}
	f.OnChange(item)
}

// beginOutage records and logs the start of an outage, unless one is recorded.
func (f *Follower) beginOutage(err error) {
	if !f.outageStart.IsZero() {
		return
	}
	f.outageStart = time.Now()
	f.Log.WithField("prefix", f.Prefix).WithError(err).Warn("store lost")
}

// endOutage ends an outage, if one is recorded. After an outage of at least minOutage it calls
// OnRecovered.
func (f *Follower) endOutage() {
	if f.outageStart.IsZero() {
		return
	}
	outage := time.Since(f.outageStart)
	f.outageStart = time.Time{}
	f.Log.WithField("prefix", f.Prefix).WithField("outage_ms", outage.Milliseconds()).Info("store regained")
	if outage >= minOutage && f.OnRecovered != nil {
		f.OnRecovered()
	}
}
