// Package intake takes attempts from entries, gives each its turn on the
// endpoint and passes the endpoint's answer back.
//
// An attempt on a route that is not idempotent runs to its end once it has
// begun, also where the entry has gone meanwhile. With an Idempotency-Key its
// claim is taken before it runs and its outcome stored before it is answered.
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

// clockSkew is how far the clocks of an entry and an agent may differ before
// an attempt is taken for late.
const clockSkew = claim.ClockSkew

// Endpoint is the part of engine.Engine that runs requests.
type Endpoint interface {
	// Run sends one request; the caller closes the answer's body.
	Run(ctx context.Context, req *http.Request) (*http.Response, error)
}

// Claimer is the part of claims.Claims that takes claims.
type Claimer interface {
	// Acquire claims the job's key. It returns the claim where the job may run,
	// the stored outcome where it is a repeat, or a *refusal.Refusal.
	Acquire(ctx context.Context, job wire.Job, body []byte) (*claims.HeldClaim, *claim.Outcome, error)
}

// Watcher is the part of watch.Watch that follows the endpoint's lives.
type Watcher interface {
	// Boot returns the last known boot id.
	Boot() ident.BootID
	// Saw tells the boot id that an answer carried.
	Saw(boot ident.BootID)
	// Died reports whether the given life of the endpoint has ended.
	Died(ctx context.Context, life ident.BootID) bool
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

// Handler serves wire.PathRun. It is safe for concurrent use.
type Handler struct {
	opts     Options
	attempts tally.Counter
	refusals tally.Counter
	broken   tally.Counter
	crossed  tally.Counter
	crashed  tally.Counter
	late     tally.Counter
}

// NewHandler returns a Handler that takes work while the gate is open.
func NewHandler(opts Options) *Handler {
	return &Handler{
		opts:     opts,
		attempts: opts.Metrics.Counter("agent_attempts_total"),
		refusals: opts.Metrics.Counter("agent_refusals_total"),
		broken:   opts.Metrics.Counter("agent_broken_answers_total"),
		crossed:  opts.Metrics.Counter("agent_crossed_answers_total"),
		crashed:  opts.Metrics.Counter("agent_attempts_crashed_total"),
		late:     opts.Metrics.Counter("agent_late_attempts_total"),
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
	if refused := h.opts.Gate.Refuse(); refused != nil {
		a.refuse(refused)
		return
	}
	if r.Header.Get(wire.HeaderAccept) == "true" {
		accept(w)
	}
	a.body, err = io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes))
	if err != nil {
		a.refuse(malformed(err))
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline(job, time.Now()))
	defer cancel()
	a.serve(ctx)
}

// accept tells the entry that the attempt has arrived. Where the stream ends
// meanwhile, net/http goes on writing the informational answer's header after
// WriteHeader has returned; with a Content-Length it writes a copy, so that the
// header may be changed then.
func accept(w http.ResponseWriter) {
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(wire.StatusAccepted)
	w.Header().Del("Content-Length")
}

// deadline returns when the attempt's time is up. Time that the attempt spent
// unread, while this process was paused, counts by the entry's clock.
func deadline(job wire.Job, now time.Time) time.Time {
	byTimeout := now.Add(job.Timeout)
	if job.Deadline.IsZero() {
		return byTimeout
	}
	byClock := now.Add(job.Deadline.Add(clockSkew).Sub(now))
	if byClock.Before(byTimeout) {
		return byClock
	}
	return byTimeout
}

// attempt is one attempt on its way through this package.
type attempt struct {
	h    *Handler
	w    http.ResponseWriter
	job  wire.Job
	body []byte
	life ident.BootID      // Boot id of the endpoint when the attempt began to run.
	held *claims.HeldClaim // Claim of the attempt; nil where it needs none.
	used int64             // Tokens that the attempt took.
}

func (a *attempt) serve(ctx context.Context) {
	done, err := a.takeTurn(ctx)
	if err != nil {
		a.refuse(a.noTurn(err))
		return
	}
	defer done()
	if !a.claim(ctx) {
		return
	}
	if ctx.Err() != nil {
		a.release(ctx)
		a.h.late.Inc(1)
		a.refuse(late())
		return
	}
	ctx, cancel := a.runContext(ctx)
	defer cancel()
	a.run(ctx)
}

// takeTurn waits until the attempt may run. Work that waits is refused when
// the gate closes.
func (a *attempt) takeTurn(ctx context.Context) (func(), error) {
	ctx, cancel := a.h.opts.Gate.Waiting(ctx)
	defer cancel()
	turn, err := a.h.opts.Scheduler.Acquire(ctx, a.job)
	if err != nil {
		return nil, err
	}
	done := func() { turn.Release(a.used) }
	if refused := a.h.opts.Gate.Refuse(); refused != nil {
		done()
		return nil, refused
	}
	return done, nil
}

// claim takes the attempt's claim where it needs one, and reports whether the
// attempt runs; otherwise the attempt is answered.
func (a *attempt) claim(ctx context.Context) bool {
	if a.job.Idempotent || a.job.IdempotencyKey == "" {
		return true
	}
	held, outcome, err := a.h.opts.Claims.Acquire(ctx, a.job, a.body)
	if err != nil {
		a.refuse(refusalOf(err))
		return false
	}
	if outcome != nil {
		a.replay(*outcome)
		return false
	}
	a.held = held
	return true
}

// release gives the claim back where the attempt did not run.
func (a *attempt) release(ctx context.Context) {
	if a.held != nil {
		a.held.Release(ctx)
	}
}

// runContext returns the context of the run. Work that may not be repeated is
// not cut short when the entry goes away.
func (a *attempt) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.job.Idempotent {
		return ctx, func() {}
	}
	end, _ := ctx.Deadline()
	return context.WithDeadline(context.WithoutCancel(ctx), end)
}

func (a *attempt) refuse(r *refusal.Refusal) {
	a.h.refusals.Inc(1)
	copied := *r
	copied.RequestID = a.job.Request
	a.w.Header().Set(wire.HeaderAttempt, string(a.job.Attempt))
	a.w.Header().Set(wire.HeaderLoad, a.h.opts.Scheduler.Load(a.job).String())
	a.h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestRefused, Request: a.job.Request, Attempt: a.job.Attempt,
		Organisation: a.job.Organisation, Detail: string(r.Code),
	})
	copied.Write(a.w)
}

func (a *attempt) record(kind timeline.Kind) {
	a.h.opts.Timeline.Record(timeline.Event{
		Kind: kind, Request: a.job.Request, Attempt: a.job.Attempt,
		Organisation: a.job.Organisation, Adapter: a.job.Adapter, Version: a.job.Version,
	})
}
