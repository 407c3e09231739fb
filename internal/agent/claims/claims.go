// Package claims prevents a request with an Idempotency-Key from running twice
// on a route that is not idempotent. It stores one record per key in the
// key-value store.
//
// Invariants:
//   - A claim is stored before its request runs. The outcome is added to the
//     claim when the request has run.
//   - No claim exists only in the memory of a process. While the store does not
//     respond, such requests are refused without running.
package claims

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// MaxStoredBytes is the size of the longest response body that is stored for
// repeats of a request.
const MaxStoredBytes = 16 << 10

const (
	maxWrites      = 4 // Writes tried per claim.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 10 * time.Second
)

// Options configures New.
type Options struct {
	Store          store.Store
	CallTimeout    time.Duration // Timeout of one store call.
	Retention      time.Duration // Time from the creation of a claim to its expiry.
	PersistTimeout time.Duration // Longest time to retry the write of an outcome.
	Timeline       *timeline.Ring
	Metrics        tally.Scope
}

// Claims acquires and completes claims, and deletes expired ones. It is safe for
// concurrent use.
type Claims struct {
	opts     Options
	pending  sync.WaitGroup // Outcomes whose write is being retried.
	acquired tally.Counter  // Claims acquired.
	replayed tally.Counter  // Repeats that got the stored outcome.
	refused  tally.Counter  // Requests and repeats refused.
	lost     tally.Counter  // Outcomes that were not stored within Options.PersistTimeout.
	swept    tally.Counter  // Expired claims deleted.
}

// New returns a Claims that stores its records in opts.Store.
func New(opts Options) *Claims {
	return &Claims{
		opts:     opts,
		acquired: opts.Metrics.Counter("agent_claims_taken_total"),
		replayed: opts.Metrics.Counter("agent_claims_replayed_total"),
		refused:  opts.Metrics.Counter("agent_claims_refused_total"),
		lost:     opts.Metrics.Counter("agent_claim_outcomes_lost_total"),
		swept:    opts.Metrics.Counter("agent_claims_swept_total"),
	}
}

// HeldClaim is a claim that an attempt has acquired. The caller calls either
// Finish or Release, once. If it calls neither, repeats are refused with an
// unknown outcome.
type HeldClaim struct {
	claims *Claims
	key    string
	record claim.Record
}

// Acquire claims the job's Idempotency-Key. It returns the claim if the job may
// run, the stored outcome if the job repeats a request that has run, or a
// *refusal.Refusal.
func (c *Claims) Acquire(ctx context.Context, job wire.Job, body []byte) (*HeldClaim, *claim.Outcome, error) {
	held := c.newClaim(ctx, job, body)
	data, err := json.Marshal(held.record)
	if err != nil {
		return nil, nil, errors.Trace(err)
	}
	index := store.Index(0)
	for range maxWrites {
		ok, err := c.writeRecord(ctx, held.key, data, index)
		if ok {
			return c.recordAcquired(held, job)
		}
		if err != nil && !errors.Is(err, store.ErrOutcomeUnknown) {
			break
		}
		// Either another claim exists or the response of the write was lost. The
		// stored record shows which.
		found, foundIndex, err := c.readRecord(ctx, held.key)
		if errors.Is(err, store.ErrNotFound) {
			index = 0
			continue
		}
		if err != nil {
			break
		}
		verdict := claim.Decide(found, job.AttemptID, held.record.Fingerprint, time.Now())
		if verdict == claim.VerdictReplace {
			index = foundIndex
			continue
		}
		return c.applyVerdict(verdict, held, found, job)
	}
	c.refused.Inc(1)
	return nil, nil, claimUnavailable()
}

// newClaim returns the claim to be stored for the job. Its deadline is
// that of ctx, or the current time if ctx has none.
func (c *Claims) newClaim(ctx context.Context, job wire.Job, body []byte) *HeldClaim {
	req := claim.Request{
		Organisation: job.Organisation, Service: job.Service, Key: job.IdempotencyKey,
		Method: job.Method, Path: job.Path, ContentType: job.ContentType, Body: body,
	}
	now := time.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now
	}
	return &HeldClaim{claims: c, key: req.StoreKey(), record: claim.Record{
		Attempt: job.AttemptID, Request: job.RequestID, Fingerprint: req.Fingerprint(),
		Deadline: deadline.UTC(), Expires: now.Add(c.opts.Retention).UTC(),
	}}
}

// recordAcquired counts an acquired claim and returns the result of Acquire.
func (c *Claims) recordAcquired(held *HeldClaim, job wire.Job) (*HeldClaim, *claim.Outcome, error) {
	c.acquired.Inc(1)
	c.recordEvent(timeline.KindIdempotencyClaimed, job)
	return held, nil, nil
}

// applyVerdict returns the result of Acquire for a job that found a record at
// its key.
func (c *Claims) applyVerdict(
	v claim.Verdict, held *HeldClaim, found claim.Record, job wire.Job,
) (*HeldClaim, *claim.Outcome, error) {
	switch v {
	case claim.VerdictRun:
		return c.recordAcquired(held, job)
	case claim.VerdictReplay:
		c.replayed.Inc(1)
		c.recordEvent(timeline.KindIdempotencyReplayed, job)
		return nil, found.Outcome, nil
	default:
		c.refused.Inc(1)
		return nil, nil, refusalFor(v, found, time.Now())
	}
}

func (c *Claims) recordEvent(kind timeline.Kind, job wire.Job) {
	c.opts.Timeline.Record(timeline.Event{
		Kind: kind, Request: job.RequestID, Attempt: job.AttemptID, Organisation: job.Organisation,
	})
}

// Finish stores the outcome of the run. If the write fails, Finish returns and
// the write is retried in the background for up to Options.PersistTimeout.
// Repeats are refused until the outcome is stored.
func (h *HeldClaim) Finish(ctx context.Context, outcome claim.Outcome) {
	if len(outcome.Body) > MaxStoredBytes {
		outcome.Body = nil
		outcome.BodyNotStored = true
	}
	h.record.Outcome = &outcome
	ctx = context.WithoutCancel(ctx)
	if h.storeOutcome(ctx) == nil {
		return
	}
	h.claims.pending.Add(1)
	go h.retryStoreOutcome(ctx)
}

// retryStoreOutcome retries storeOutcome with exponential backoff.
func (h *HeldClaim) retryStoreOutcome(ctx context.Context) {
	defer h.claims.pending.Done()
	ctx, cancel := context.WithTimeout(ctx, h.claims.opts.PersistTimeout)
	defer cancel()
	for wait := initialBackoff; ctx.Err() == nil; wait = min(2*wait, maxBackoff) {
		_ = sleep.For(ctx, wait)
		if h.storeOutcome(ctx) == nil {
			return
		}
	}
	h.claims.lost.Inc(1)
}

// storeOutcome adds the outcome to the stored claim. It returns nil if the
// outcome is stored, or if the key's record now belongs to another attempt or
// already has an outcome.
func (h *HeldClaim) storeOutcome(ctx context.Context) error {
	found, index, err := h.claims.readRecord(ctx, h.key)
	if errors.Is(err, store.ErrNotFound) {
		index = 0 // The store has lost the claim. The outcome still prevents a second run.
	} else if err != nil {
		return errors.Trace(err)
	} else if found.Attempt != h.record.Attempt || found.Outcome != nil {
		return nil
	}
	data, err := json.Marshal(h.record)
	if err != nil {
		return errors.Trace(err)
	}
	ok, err := h.claims.writeRecord(ctx, h.key, data, index)
	if err != nil {
		return errors.Trace(err)
	}
	if !ok {
		return errors.New("the stored claim changed between read and write")
	}
	return nil
}

// Release deletes the claim of a request that did not run, so that a repeat may
// run. If the store does not respond, the claim stays until it expires.
func (h *HeldClaim) Release(ctx context.Context) {
	ctx = context.WithoutCancel(ctx)
	found, index, err := h.claims.readRecord(ctx, h.key)
	if err != nil || found.Attempt != h.record.Attempt {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.claims.opts.CallTimeout)
	defer cancel()
	_, _ = h.claims.opts.Store.Delete(ctx, h.key, index) // A claim that stays only causes refusals.
}

// Flush blocks until no write of an outcome is being retried, or until ctx ends.
func (c *Claims) Flush(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		c.pending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// writeRecord writes a record if the record stored at the key still has the given
// index; index 0 means that no record exists. It returns store.ErrOutcomeUnknown if
// the call timed out or was cancelled.
func (c *Claims) writeRecord(ctx context.Context, key string, data []byte, index store.Index) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	ok, err := c.opts.Store.CompareAndSwap(ctx, key, data, index)
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
		err = store.ErrOutcomeUnknown
	}
	return ok, err
}

// readRecord returns the record at a key and its index.
func (c *Claims) readRecord(ctx context.Context, key string) (claim.Record, store.Index, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	entry, err := c.opts.Store.Get(ctx, key)
	if err != nil {
		return claim.Record{}, 0, err
	}
	var record claim.Record
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		return claim.Record{}, 0, errors.Annotate(err, "decode the stored claim")
	}
	return record, entry.Index, nil
}
