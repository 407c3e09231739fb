package config

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// maxWatchWait limits how long a watch waits for a change. Each watch that
	// ends confirms the revision in the store, so confirmations stay recent.
	maxWatchWait = 500 * time.Millisecond
	// retryDelay is the delay before the next call to the store after a failure.
	retryDelay = 500 * time.Millisecond
	// callTimeout limits one call to the store, in addition to the wait of a watch.
	callTimeout = 5 * time.Second
	// maxConfirmationAge is the age of the last confirmation from which an entry
	// that does not watch polls the store.
	maxConfirmationAge = 2 * time.Second
	// maxPollsPerSecond limits the rate at which all entries together poll the
	// store, as long as they are in contact with a majority of the entries.
	maxPollsPerSecond = 20
	// idleDelay is the interval at which an entry that neither watches nor polls
	// checks its role and the last confirmation.
	idleDelay = 250 * time.Millisecond
	// announceDelay is the delay between a push to the push targets and the
	// announcement to the announce targets.
	announceDelay = 300 * time.Millisecond
	// maxParallelPushes limits the revisions that are distributed concurrently.
	maxParallelPushes = 8
)

// Serve watches or polls the store, according to the entry's role, and distributes
// revisions until ctx ends. It implements suture.Service.
func (r *Replica) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.followStore(ctx) })
	group.Go(func() error { return r.distribute(ctx) })
	return group.Wait()
}

// followStore reads the head from the store until ctx ends. An entry whose role is to
// watch does so continuously. Any other entry polls the store only if its last
// confirmation is older than maxConfirmationAge.
func (r *Replica) followStore(ctx context.Context) error {
	var index store.Index
	var nextPoll time.Time // Earliest time of the next poll.
	for ctx.Err() == nil {
		entries := r.opts.Members.Entries()
		if DistributionRoleOf(r.opts.Members.Self(), entries).WatchesStore {
			index = r.readStore(ctx, index, maxWatchWait)
			continue
		}
		now := time.Now()
		if now.Sub(r.opts.Confirmations.ConfirmedAt()) < maxConfirmationAge || now.Before(nextPoll) {
			_ = sleep.For(ctx, idleDelay)
			continue
		}
		nextPoll = now.Add(pollInterval(len(entries), r.opts.Confirmations.HasMajority()))
		index = r.readStore(ctx, index, 0)
	}
	return ctx.Err()
}

// pollInterval returns the time until an entry that does not watch polls again. It
// is random between half and one and a half times the mean that keeps
// maxPollsPerSecond, and at least one second. Without contact to a majority of the
// entries it is one second.
func pollInterval(entries int, majority bool) time.Duration {
	if !majority {
		return time.Second
	}
	mean := time.Second * time.Duration(entries) / maxPollsPerSecond
	return max(time.Second, mean/2+rand.N(mean+1))
}

// readStore waits until the index of the head differs from after, at most for the
// duration wait. It applies the head and returns its index for the next call. With
// a wait of 0 it reads the present head. The head counts as confirmed at the time
// the call was sent. After a failure, readStore pauses for retryDelay.
func (r *Replica) readStore(ctx context.Context, after store.Index, wait time.Duration) store.Index {
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	r.metrics.storeReads.Inc(1)
	if wait == 0 {
		after = 0
		wait = time.Millisecond
	}
	entry, err := r.opts.Store.Watch(callCtx, headKey, after, wait)
	if ctx.Err() != nil {
		return after
	}
	r.health.set(degradedStore, err != nil)
	if err != nil {
		_ = sleep.For(ctx, retryDelay)
		return after
	}
	if !r.applyHead(ctx, sent, entry) {
		_ = sleep.For(ctx, retryDelay)
		return 0
	}
	return entry.Index
}

// applyHead confirms the head that the store returned and puts its revision into
// force if it is higher than the current one. If the store has the current revision
// with another root, it sets degradedDiverged. It returns false if the head or its
// chunks cannot be read.
func (r *Replica) applyHead(ctx context.Context, sent time.Time, entry store.Record) bool {
	var h head
	if entry.Index > 0 {
		decoded, err := decodeHead(entry.Value)
		if err != nil {
			r.recordReadFailure(err)
			return false
		}
		h = decoded
	}
	r.opts.Confirmations.RecordConfirmation(sent, h.Revision)
	current := r.Current()
	r.setRegressed(h.Revision < current.revision)
	if h.Revision == current.revision && hashtree.Hash(h.Root) != current.Root() && h.Revision > 0 {
		r.health.set(degradedDiverged, true)
	}
	if h.Revision <= current.revision {
		return true
	}
	r.metrics.storeReads.Inc(1)
	top, err := r.chunks.tree(ctx, hashtree.Hash(h.Root), current.top)
	if err != nil {
		r.recordReadFailure(err)
		return false
	}
	if _, err := r.install(h.Revision, top); err != nil {
		r.recordReadFailure(err)
		return false
	}
	r.health.set(degradedCorrupt, false)
	return true
}

// setRegressed records whether the store holds a lower revision than the one in
// force.
func (r *Replica) setRegressed(regressed bool) {
	r.health.set(degradedRegressed, regressed)
	value := 0.0
	if regressed {
		value = 1
	}
	r.metrics.regressed.Update(value)
}

// recordReadFailure records that the stored configuration cannot be read.
func (r *Replica) recordReadFailure(err error) {
	r.metrics.readFailures.Inc(1)
	r.opts.Log.WithError(err).Debug("stored configuration cannot be read")
	r.health.set(degradedCorrupt, true)
}

// distribute pushes each revision that comes into force to other entries, until
// ctx ends.
func (r *Replica) distribute(ctx context.Context) error {
	var jobs errgroup.Group
	jobs.SetLimit(maxParallelPushes)
	defer func() { _ = jobs.Wait() }()
	for {
		select {
		case job := <-r.pushQueue:
			jobs.Go(func() error {
				r.pushRevision(ctx, job)
				return nil
			})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pushRevision sends a revision with its changed chunks to the push targets of the
// entry. After announceDelay it sends the head alone to the announce targets,
// unless a higher revision has come into force.
func (r *Replica) pushRevision(ctx context.Context, job pushJob) {
	self := r.opts.Members.Self()
	role := DistributionRoleOf(self, r.opts.Members.Entries())
	req := newPushRequest(self, job)
	var calls errgroup.Group
	for _, target := range role.PushTargets {
		calls.Go(func() error {
			r.pushTo(ctx, target, req)
			return nil
		})
	}
	_ = sleep.For(ctx, announceDelay)
	if r.Current() == job.next {
		announcement := &rpc.PushRequest{Vm: req.Vm, Head: req.Head}
		for _, target := range role.AnnounceTargets {
			calls.Go(func() error {
				r.pushTo(ctx, target, announcement)
				return nil
			})
		}
	}
	_ = calls.Wait()
}
