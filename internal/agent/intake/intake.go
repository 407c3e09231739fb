// Package intake accepts attempts from entries, runs each on the endpoint once
// the scheduler has granted it, and forwards the endpoint's response.
//
// Invariants:
//   - An attempt on a route that is not idempotent is not cancelled once it has
//     started, even if the entry disconnects. Only its deadline ends it early.
//   - On such a route, the claim of an attempt with an Idempotency-Key is stored
//     before the attempt runs. Its outcome is stored before the response is marked
//     complete, and before the first byte is sent if the response is buffered.
package intake

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/claims"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/drain"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/schedule"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// maxClockSkew is the largest difference between the clocks of an entry and an
// agent for which an attempt does not count as late.
const maxClockSkew = claim.ClockSkew

// Endpoint is the part of engine.Engine that runs requests.
type Endpoint interface {
	// Run sends one request. The caller closes the response body.
	Run(ctx context.Context, req *http.Request) (*http.Response, error)
}

// Claimer is the part of claims.Claims that acquires claims.
type Claimer interface {
	// Acquire claims the job's Idempotency-Key. It returns the claim if the job
	// may run, the stored outcome if the job repeats a request that has run, or a
	// *refusal.Refusal.
	Acquire(ctx context.Context, job wire.Job, body []byte) (*claims.HeldClaim, *claim.Outcome, error)
}

// Watcher is the part of watch.Watch that tracks the endpoint's boot id.
type Watcher interface {
	// Boot returns the last observed boot id.
	Boot() ident.BootID
	// ObserveBoot reports the boot id that a response carried.
	ObserveBoot(boot ident.BootID)
	// IncarnationEnded reports whether the endpoint's incarnation with the given
	// boot id has ended.
	IncarnationEnded(ctx context.Context, startBoot ident.BootID) bool
}

// Options configures NewHandler.
type Options struct {
	Endpoint     Endpoint
	Scheduler    schedule.Scheduler
	Gate         *drain.Gate
	Claims       Claimer
	Watch        Watcher
	Timeline     *timeline.Ring
	Metrics      tally.Scope
	MaxBodyBytes int64
}

// Handler is the http.Handler of wire.PathRun. It is safe for concurrent use.
type Handler struct {
	opts           Options
	attempts       tally.Counter // Attempts received.
	refusals       tally.Counter // Attempts refused.
	broken         tally.Counter // Responses that were not forwarded completely.
	mismatched     tally.Counter // Responses that are not shown to be those of their attempt.
	crashed        tally.Counter // Attempts during which the endpoint crashed.
	endedBeforeRun tally.Counter // Attempts whose context ended after they were granted and before they ran.
	reuse          reuse         // Of connections to the endpoint.
}

// NewHandler returns a Handler that accepts attempts while opts.Gate is open.
func NewHandler(opts Options) *Handler {
	return &Handler{
		opts:           opts,
		attempts:       opts.Metrics.Counter("agent_attempts_total"),
		refusals:       opts.Metrics.Counter("agent_refusals_total"),
		broken:         opts.Metrics.Counter("agent_broken_answers_total"),
		mismatched:     opts.Metrics.Counter("agent_crossed_answers_total"),
		crashed:        opts.Metrics.Counter("agent_attempts_crashed_total"),
		endedBeforeRun: opts.Metrics.Counter("agent_late_attempts_total"),
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.attempts.Inc(1)
	job, err := wire.Decode(r.Header)
	a := &attempt{h: h, w: w, job: job}
	if err != nil {
		a.refuse(malformed(err))
		return
	}
	if refused := h.opts.Gate.Check(); refused != nil {
		a.refuse(refused)
		return
	}
	if r.Header.Get(wire.HeaderAccept) == "true" {
		sendAccepted(w)
	}
	a.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes))
	if err != nil {
		a.refuse(malformed(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), attemptDeadline(job, time.Now()))
	defer cancel()
	a.serve(ctx)
}

// sendAccepted sends the informational response that confirms to the entry that
// the attempt has arrived. If the stream ends meanwhile, net/http may still be
// writing the header after WriteHeader has returned. With a Content-Length it
// writes a copy, so that changing the header then is safe.
func sendAccepted(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(wire.StatusAccepted)
	w.Header().Del("Content-Length")
}

// attemptDeadline returns the time at which the attempt must have ended: the
// earlier of its timeout from now and the deadline by the entry's clock plus
// maxClockSkew. The entry's deadline also covers the time for which the attempt
// was not read because this process was paused.
func attemptDeadline(job wire.Job, now time.Time) time.Time {
	byTimeout := now.Add(job.Timeout)
	if job.Deadline.IsZero() {
		return byTimeout
	}
	// Unlike job.Deadline, a time derived from now has a monotonic clock reading.
	byClock := now.Add(job.Deadline.Add(maxClockSkew).Sub(now))
	if byClock.Before(byTimeout) {
		return byClock
	}
	return byTimeout
}

// attempt is the state of one attempt in a Handler.
type attempt struct {
	h          *Handler
	w          http.ResponseWriter
	job        wire.Job
	body       []byte
	startBoot  ident.BootID      // Boot id of the endpoint when the attempt started to run.
	held       *claims.HeldClaim // Claim of the attempt; nil if it needs none.
	usedTokens int64             // Tokens to report when the grant is released.
}

// serve waits for a grant, acquires the claim and runs the attempt.
func (a *attempt) serve(ctx context.Context) {
	release, err := a.acquireGrant(ctx)
	if err != nil {
		a.refuse(a.grantRefusal(err))
		return
	}
	defer release()
	if !a.acquireClaim(ctx) {
		return
	}
	if ctx.Err() != nil {
		a.releaseClaim(ctx)
		a.h.endedBeforeRun.Inc(1)
		a.refuse(deadlineExceeded())
		return
	}
	ctx, cancel := a.runContext(ctx)
	defer cancel()
	a.run(ctx)
}

// acquireGrant waits until the attempt may run and returns the function that
// releases its grant. Waiting attempts are refused when the gate closes.
func (a *attempt) acquireGrant(ctx context.Context) (func(), error) {
	ctx, cancel := a.h.opts.Gate.WaitContext(ctx)
	defer cancel()
	grant, err := a.h.opts.Scheduler.Acquire(ctx, a.job)
	if err != nil {
		return nil, err
	}
	release := func() { grant.Release(a.usedTokens) }
	if refused := a.h.opts.Gate.Check(); refused != nil {
		release()
		return nil, refused
	}
	return release, nil
}

// acquireClaim acquires the attempt's claim if it needs one. It reports whether
// the attempt may run; if not, acquireClaim has sent the response.
func (a *attempt) acquireClaim(ctx context.Context) bool {
	if a.job.Idempotent || a.job.IdempotencyKey == "" {
		return true
	}
	held, outcome, err := a.h.opts.Claims.Acquire(ctx, a.job, a.body)
	if err != nil {
		a.refuse(claimRefusal(err))
		return false
	}
	if outcome != nil {
		a.replayOutcome(*outcome)
		return false
	}
	a.held = held
	return true
}

// releaseClaim deletes the claim of an attempt that did not run.
func (a *attempt) releaseClaim(ctx context.Context) {
	if a.held != nil {
		a.held.Release(ctx)
	}
}

// runContext returns the context of the run. An attempt that is not idempotent
// is not cancelled when the entry disconnects.
func (a *attempt) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.job.Idempotent {
		return ctx, func() {}
	}
	end, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

// refuse sends a refusal with the attempt's id and the endpoint's load.
func (a *attempt) refuse(r *refusal.Refusal) {
	a.h.refusals.Inc(1)
	withID := *r
	withID.RequestID = a.job.RequestID
	a.w.Header().Set(wire.HeaderAttempt, string(a.job.AttemptID))
	a.w.Header().Set(wire.HeaderLoad, a.h.opts.Scheduler.Load(a.job).String())
	a.h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestRefused, Request: a.job.RequestID, Attempt: a.job.AttemptID,
		Organisation: a.job.Organisation, Detail: string(r.Code),
	})
	withID.Write(a.w)
}

// record adds a timeline event of the attempt.
func (a *attempt) record(kind timeline.Kind) {
	a.h.opts.Timeline.Record(timeline.Event{
		Kind: kind, Request: a.job.RequestID, Attempt: a.job.AttemptID,
		Organisation: a.job.Organisation, Adapter: a.job.Adapter, Version: a.job.Version,
	})
}
