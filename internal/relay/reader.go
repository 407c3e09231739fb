package relay

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/relaychoice"
	"github.com/hyssoptiller/hyssoptiller/internal/progress"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// responseMargin is how long after the wait of a watch a relay may respond. A round trip between
	// failure domains takes a few milliseconds.
	responseMargin = 300 * time.Millisecond
	// maxResponseBytes bounds a response: a full change log in base64, with JSON around it.
	maxResponseBytes = 4 << 20
	// maxTime is above each time in a response: no watch is held and no outage is reported for as long.
	maxTime = time.Hour
	// largeValueBytes is the size from which a value counts as large: the store is not asked for all versions
	// of it that followed one another.
	largeValueBytes = 16 << 10
	// maxReadPause is the number of batch intervals without a read after which large items are listed.
	maxReadPause = 2
	// maxRelayAttempts bounds the relays that are called for one watch.
	maxRelayAttempts = 3
)

// ErrNoResponse reports that a relay did not respond or responded with an unknown status or body.
const ErrNoResponse = errors.ConstError("relay did not respond")

// Relays holds the known relays of a process. It is safe for concurrent use.
type Relays struct {
	client        *http.Client
	log           *logrus.Entry
	direct        tally.Counter // Watches of the store.
	relayed       tally.Counter // Watches of relays that returned changes or confirmed that there are none.
	failed        tally.Counter // Watches of relays that failed.
	valueBytes    tally.Counter // Bytes of the values read, from relays and the store.
	replacedBytes tally.Counter // Bytes of values that a later change in the same response replaced.

	mu      sync.Mutex
	chooser *relaychoice.Chooser
}

// NewRelays returns Relays for the process on a VM of a failure domain. vm is "" for a process that
// does not relay changes.
func NewRelays(vm, failureDomain string, transport http.RoundTripper, scope tally.Scope, log *logrus.Entry) *Relays {
	return &Relays{
		client: &http.Client{Transport: transport}, log: log, chooser: relaychoice.NewChooser(vm, failureDomain),
		direct: scope.Counter("direct_watches_total"), relayed: scope.Counter("relayed_watches_total"),
		failed: scope.Counter("failed_watches_total"), valueBytes: scope.Counter("value_bytes_total"),
		replacedBytes: scope.Counter("replaced_value_bytes_total"),
	}
}

// Update adds or changes the relay on a VM, or removes it; then only its VM needs to be set.
func (r *Relays) Update(relay relaychoice.Relay, present bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !present {
		r.chooser.Remove(relay.VM)
		return
	}
	r.chooser.Set(relay)
}

func (r *Relays) choose() (relaychoice.Relay, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.Choose(time.Now())
}

func (r *Relays) isReader() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.chooser.IsReader()
}

// exclude excludes a relay whose watch failed. It returns false if the relay works, but its change log
// does not cover the position.
func (r *Relays) exclude(vm string, err error) bool {
	r.failed.Inc(1)
	var delay time.Duration
	switch {
	case errors.Is(err, ErrNoResponse):
		delay = relaychoice.LostDelay
	case errors.Is(err, ErrStale) || errors.Is(err, catalog.ErrUnavailable):
		delay = relaychoice.StaleDelay
	default:
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.chooser.Exclude(vm, time.Now().Add(delay))
	return true
}

// Reader is a catalog.Store for one topic that watches a relay where it can.
type Reader struct {
	Store     catalog.Store // Read for listings and in place of a relay.
	Topic     string
	Relays    *Relays
	Freshness Freshness
	// LogChanges logs each watch that returns changes. It is meant for topics that change rarely.
	LogChanges bool

	source      string    // VM of the relay of the last watch, "" for the store; for the log.
	confirmedAt time.Time // Time up to which the last watch missed no change.
	readAt      time.Time // End of the last listing or watch that did not fail.
	failedAt    time.Time // Last failed watch of the store; zero if the last one succeeded.
	large       bool      // A value was large since the last listing by the Follower.
	listNext    bool      // The next read of the store is a listing.
	held        heldValues
}

// List implements catalog.Store. It reads the store, so that its position is newer than the start of
// the process.
func (r *Reader) List(ctx context.Context, prefix string) ([]catalog.Item, catalog.Position, error) {
	items, position, err := r.Store.List(ctx, prefix)
	if err == nil {
		r.large, r.listNext, r.readAt = hasLargeValue(items, 0), false, time.Now()
		r.held = nil
		r.held.update(items)
	}
	return items, position, err
}

// Watch implements catalog.Store. It calls another relay in place of a failed one only while the last
// watch is young enough for that.
func (r *Reader) Watch(
	ctx context.Context, prefix string, after catalog.Position, wait time.Duration,
) (catalog.Changes, error) {
	var failure error
	for range maxRelayAttempts {
		source, ok := r.Relays.choose()
		if !ok {
			break
		}
		began := time.Now()
		changes, err := r.watchRelay(ctx, source, after)
		r.logWatch(source.VM, began, after, changes, err)
		if err == nil {
			r.logSource(source.VM, nil)
			r.Relays.relayed.Inc(1)
			r.confirmedAt, r.readAt = changes.ConfirmedAt, time.Now()
			r.large = r.large || hasLargeValue(changes.Items, after.Revision)
			r.held.update(changes.Items)
		}
		if err == nil || errors.Is(err, catalog.ErrRestored) || ctx.Err() != nil {
			return changes, err
		}
		failure = err
		if !r.Relays.exclude(source.VM, err) || time.Since(r.confirmedAt) > r.Freshness.MaxAge/2 {
			break
		}
	}
	r.logSource("", failure)
	if r.defers() {
		return catalog.Changes{}, catalog.ErrDeferred
	}
	if failure != nil {
		// Processes that lose the same relay do not read the store at the same time.
		if err := sleep.For(ctx, rand.N(r.Freshness.MaxJitter+1)); err != nil {
			return catalog.Changes{}, err
		}
	}
	return r.watchStore(ctx, prefix, after, wait)
}

// defers reports whether the store must not be called yet after a failed call.
func (r *Reader) defers() bool {
	return time.Since(r.failedAt) < r.Freshness.ProbeInterval && !r.Relays.isReader()
}

// watchStore reads the store. While a large item changes, and after a time without a read, it is listed: a watch would
// return all versions written since the last read, which takes longer the longer it takes.
func (r *Reader) watchStore(
	ctx context.Context, prefix string, after catalog.Position, wait time.Duration,
) (catalog.Changes, error) {
	r.Relays.direct.Inc(1)
	began := time.Now()
	read := r.Store.Watch
	if r.listNext || r.large && time.Since(r.readAt) > maxReadPause*r.Freshness.BatchInterval {
		read = r.listChanges
	}
	changes, err := read(ctx, prefix, after, wait)
	r.logWatch("", began, after, changes, err)
	switch {
	case err == nil:
		r.confirmedAt, r.readAt, r.failedAt = changes.ConfirmedAt, time.Now(), time.Time{}
		r.listNext = hasLargeValue(changes.Items, after.Revision)
		r.large = r.large || r.listNext
		r.held.update(changes.Items)
	case errors.Is(err, catalog.ErrUnavailable):
		r.failedAt = time.Now()
	}
	return changes, err
}

// listChanges returns all items as a watch does, without a wait. Unlike a watch it returns each item once, however
// often it changed.
func (r *Reader) listChanges(
	ctx context.Context, prefix string, after catalog.Position, _ time.Duration,
) (catalog.Changes, error) {
	began := time.Now()
	items, position, err := r.Store.List(ctx, prefix)
	if err != nil {
		return catalog.Changes{}, err
	}
	if position.Epoch != after.Epoch || position.Revision < after.Revision {
		return catalog.Changes{}, catalog.ErrRestored
	}
	return catalog.Changes{Items: items, Position: position, ConfirmedAt: began, Complete: true}, nil
}

// hasLargeValue reports whether the value of an item that changed after a revision is large.
func hasLargeValue(items []catalog.Item, after int64) bool {
	return slices.ContainsFunc(items, func(i catalog.Item) bool { return i.Revision > after && len(i.Value) >= largeValueBytes })
}

// logSource logs that the changes come from another source than before. err is the reason why the
// relay is not used.
func (r *Reader) logSource(vm string, err error) {
	if vm == r.source {
		return
	}
	log := r.Relays.log.WithFields(logrus.Fields{"event": "changes_source", "topic": r.Topic, "relay": vm, "former_relay": r.source})
	if err != nil {
		log = log.WithError(err)
	}
	log.Info("source of changes in the store changed")
	r.source = vm
}

// logWatch counts the bytes of a watch and logs a failed one. If LogChanges is set, it also logs one that
// returned changes. vm is that of the relay, "" for the store.
func (r *Reader) logWatch(vm string, began time.Time, after catalog.Position, changes catalog.Changes, err error) {
	total, replaced := changes.ValueBytes()
	r.Relays.valueBytes.Inc(int64(total))
	r.Relays.replacedBytes.Inc(int64(replaced))
	log := r.Relays.log.WithFields(logrus.Fields{
		"topic": r.Topic, "relay": vm, "took_ms": time.Since(began).Milliseconds(), "after": after.Revision,
		"age_ms": time.Since(r.confirmedAt).Milliseconds(),
	})
	switch {
	case err != nil:
		log.WithError(err).WithField("event", "watch_failed").Info("watch of changes in the store failed")
	case r.LogChanges && len(changes.Items) > 0:
		log.WithFields(logrus.Fields{
			"event": "changes_read", "revision": changes.Position.Revision, "items": len(changes.Items), "bytes": total,
			"replaced_bytes": replaced, "new_age_ms": time.Since(changes.ConfirmedAt).Milliseconds(),
		}).Info("changes in the store read")
	}
}

// watchRelay watches a relay's change log.
func (r *Reader) watchRelay(ctx context.Context, source relaychoice.Relay, after catalog.Position) (catalog.Changes, error) {
	ctx, deadline := progress.WithTimeout(ctx, r.Freshness.PollTimeout+responseMargin)
	defer deadline.Stop()
	query := url.Values{
		paramTopic:    {r.Topic},
		paramEpoch:    {strconv.FormatInt(after.Epoch, 10)},
		paramAfter:    {strconv.FormatInt(after.Revision, 10)},
		paramWaitMS:   {strconv.FormatInt(r.Freshness.PollTimeout.Milliseconds(), 10)},
		paramMaxAgeMS: {strconv.FormatInt(r.Freshness.MaxAge.Milliseconds(), 10)},
		paramHave:     {"0"},
	}
	for _, i := range r.held {
		query.Add(paramHave, strconv.FormatInt(i.Revision, 10))
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+source.Address+pathChanges+"?"+query.Encode(), nil)
	if err != nil {
		return catalog.Changes{}, errors.WithType(err, ErrNoResponse)
	}
	sent := time.Now()
	resp, err := r.Relays.client.Do(req)
	if err != nil {
		return catalog.Changes{}, errors.WithType(err, ErrNoResponse)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		if known := statusErrors[resp.StatusCode]; known != nil {
			return catalog.Changes{}, known
		}
		return catalog.Changes{}, errors.WithType(errors.Errorf("relay responded with status %d", resp.StatusCode), ErrNoResponse)
	}
	var in wireChanges
	if err := json.NewDecoder(io.LimitReader(deadline.Reader(resp.Body), maxResponseBytes)).Decode(&in); err != nil {
		return catalog.Changes{}, errors.WithType(err, ErrNoResponse)
	}
	changes, err := in.decode(after, sent, time.Now(), r.Freshness.MaxAge)
	if err != nil {
		return catalog.Changes{}, err
	}
	changes.Items, err = r.decodeItems(in.Items)
	return changes, err
}

// decodeItems decodes the items that a relay sent. After an error the next relay sends whole values.
func (r *Reader) decodeItems(in []wireItem) ([]catalog.Item, error) {
	out := make([]catalog.Item, 0, len(in))
	for _, i := range in {
		value, err := r.held.decode(i)
		if err != nil {
			clear(r.held)
			return nil, err
		}
		out = append(out, catalog.Item{Key: i.Key, Value: value, Revision: i.Revision, Deleted: i.Deleted})
	}
	return out, nil
}

// decode returns the changes, without the items, in a response to a call that was sent and whose response was
// received at the given times.
func (in wireChanges) decode(after catalog.Position, sent, received time.Time, maxAge time.Duration) (catalog.Changes, error) {
	if in.Epoch != after.Epoch || !validMS(in.AgeMS) || !validMS(in.HeldMS) ||
		in.Outage != nil && !(validMS(in.Outage.BeganMS) && validMS(in.Outage.BackMS)) {
		return catalog.Changes{}, ErrNoResponse
	}
	// The response was written at this time or later.
	written := received
	if transit := received.Sub(sent) - millis(in.HeldMS); transit > 0 {
		written = received.Add(-transit)
	}
	out := catalog.Changes{
		Position: catalog.Position{Epoch: in.Epoch, Revision: in.Revision}, ConfirmedAt: written.Add(-millis(in.AgeMS)), Relayed: true,
	}
	if received.Sub(out.ConfirmedAt) >= maxAge {
		return catalog.Changes{}, ErrStale
	}
	if in.Outage != nil {
		out.Outage = catalog.Outage{Began: written.Add(-millis(in.Outage.BeganMS)), Back: written.Add(-millis(in.Outage.BackMS))}
	}
	return out, nil
}

// validMS reports whether a time in a response is in the possible range.
func validMS(ms int64) bool { return ms >= 0 && ms <= maxTime.Milliseconds() }

func millis(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
