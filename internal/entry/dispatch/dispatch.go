// Package dispatch sends an admitted request to an agent and forwards the
// response to the caller.
//
// A request that is not idempotent is retried only if the last attempt proves
// that it did not run. If no response arrives after a connection was obtained,
// the request is refused with ran "unknown". An idempotent request is retried
// on another endpoint as long as no part of a response was written to the
// caller, within the request's deadline and the retry budget.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Endpoints selects agents for jobs and learns from the outcomes of attempts.
type Endpoints interface {
	// Candidates returns the VMs whose endpoint can run the job, best first.
	// Each attempt on one of them is reported through Observe.
	Candidates(job wire.Job) []vmlist.VM
	// Observe reports the progress or the end of an attempt.
	Observe(o Observation)
}

// Outcome is the state of an attempt when it is reported.
type Outcome int

// Values of Outcome. All but the first two end the attempt.
const (
	OutcomeSent            Outcome = iota // The attempt is being sent.
	OutcomeResponseStarted                // The head of a response arrived that is not a refusal.
	OutcomeCompleted                      // The whole response was forwarded to the caller.
	OutcomeRefused                        // The agent refused the attempt; nothing ran.
	OutcomeFailed                         // The agent or the endpoint failed or did not respond.
	OutcomeCallerLeft                     // The caller cancelled; this is no evidence about the endpoint.
)

// Observation reports one attempt to Endpoints.
type Observation struct {
	Job     wire.Job
	VM      ident.VM
	Outcome Outcome
	Load    wire.Load     // Load reported by the agent; zero without a response.
	Boot    ident.BootID  // Boot ID of the engine; empty if unknown.
	Elapsed time.Duration // Time since the attempt was sent.
}

// Options configures New. Metrics, Notices, Retry and Budget are optional.
type Options struct {
	Client    *transport.Client
	Endpoints Endpoints
	Timeline  *timeline.Ring
	Metrics   tally.Scope
	Notices   Notices
	Retry     retry.Limits
	Budget    retry.BudgetLimits
}

// Dispatcher sends requests to agents. It is safe for concurrent use.
type Dispatcher struct {
	opts    Options
	metrics metrics
	crashes *crashTracker

	mu     sync.Mutex
	budget *retry.Budget
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	if opts.Retry == (retry.Limits{}) {
		opts.Retry = retry.DefaultLimits()
	}
	if opts.Budget == (retry.BudgetLimits{}) {
		opts.Budget = retry.DefaultBudgetLimits()
	}
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	m := newMetrics(opts.Metrics)
	return &Dispatcher{
		opts:    opts,
		metrics: m,
		crashes: newCrashTracker(opts.Notices, opts.Timeline, m),
		budget:  retry.NewBudget(opts.Budget, time.Now()),
	}
}

// Request is one admitted request.
type Request struct {
	Job      wire.Job  // Dispatch sets AttemptID, Timeout and Deadline for each attempt.
	Body     []byte    // In the format of the endpoint.
	Deadline time.Time // End of the caller's timeout.

	// requireAccept aborts the attempt if the agent does not accept it within
	// acceptTimeout. It is set for each attempt that has a successor.
	requireAccept bool
}

// Result describes how a request ended.
type Result struct {
	Ran        refusal.Ran      // Whether the request ran.
	Refusal    *refusal.Refusal // Set if nothing was written to the caller.
	Incomplete bool             // Whether the response ended before it was complete.
	Events     int64            // Stream events forwarded to the caller.
	Body       []byte           // Beginning of a non-streaming response, for its usage field.
}

// Dispatch runs the request and writes the response to w. If the result holds
// a refusal, nothing was written.
func (d *Dispatcher) Dispatch(ctx context.Context, req Request, w http.ResponseWriter) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	d.creditRetryBudget()
	ran := refusal.RanNo
	last := attemptResult{result: refusedResult(refuseNoEndpoint()), kind: retry.KindFinal}
	candidates := d.opts.Endpoints.Candidates(req.Job)
	for i, vm := range candidates {
		req.requireAccept = req.Job.Idempotent && i+1 < min(len(candidates), d.opts.Retry.MaxAttempts)
		last = d.tryCandidate(ctx, req, vm, w)
		if last.result.Refusal == nil {
			return last.result
		}
		ran = retry.CombineRan(ran, last.result.Ran)
		if !d.shouldRetry(ctx, req, last, i+1, len(candidates)) {
			break
		}
	}
	return d.finalRefusal(req, last.result.Refusal, ran)
}

// shouldRetry reports whether the next candidate is tried after the given
// number of attempts.
func (d *Dispatcher) shouldRetry(ctx context.Context, req Request, last attemptResult, attempts, candidates int) bool {
	if ctx.Err() != nil {
		return false
	}
	d.mu.Lock()
	again, reason := retry.Decide(d.opts.Retry, retry.Attempt{
		Kind: last.kind, Ran: last.result.Ran, Idempotent: req.Job.Idempotent,
		Number: attempts, UntriedCandidates: candidates - attempts, TimeLeft: time.Until(req.Deadline),
	}, d.budget, time.Now())
	d.mu.Unlock()
	d.metrics.retryDecisions(reason).Inc(1)
	if again {
		d.opts.Timeline.Record(timeline.Event{
			Kind: timeline.KindRequestRetried, Request: req.Job.RequestID,
			Organisation: req.Job.Organisation, Detail: string(last.result.Refusal.Code),
		})
	}
	return again
}

// creditRetryBudget adds the share of one request to the retry budget.
func (d *Dispatcher) creditRetryBudget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budget.AddRequest(time.Now())
}

// finalRefusal returns the last attempt's refusal with the ran value of all
// attempts together. An idempotent request that may have run also gets a
// Retry-After.
func (d *Dispatcher) finalRefusal(req Request, last *refusal.Refusal, ran refusal.Ran) Result {
	r := *last
	r.Ran = ran
	r.RequestID = req.Job.RequestID
	if req.Job.Idempotent && ran != refusal.RanNo && r.RetryAfter == 0 {
		r.RetryAfter = longRetryAfter
	}
	return Result{Ran: ran, Refusal: &r}
}

// attemptResult describes how one attempt ended.
type attemptResult struct {
	result  Result
	kind    retry.Kind
	crashed bool // Whether the endpoint crashed during the attempt.
}

// tryCandidate runs one attempt unless the request is quarantined. A request
// that is suspected of crashing endpoints runs alone on its endpoint.
func (d *Dispatcher) tryCandidate(ctx context.Context, req Request, vm vmlist.VM, w http.ResponseWriter) attemptResult {
	id := d.crashes.fingerprint(req)
	verdict := d.crashes.begin(ctx, id)
	switch verdict {
	case quarantine.VerdictQuarantined:
		d.metrics.quarantinedRequests.Inc(1)
		return attemptResult{result: refusedResult(refuseQuarantined(d.crashes.quarantinedUntil(id))), kind: retry.KindFinal}
	case quarantine.VerdictWait:
		return attemptResult{result: refusedResult(refuseDuringIsolatedRun()), kind: retry.KindFinal}
	case quarantine.VerdictIsolate:
		req.Job.IsolateSuspect = true
	case quarantine.VerdictRun:
	}
	res := d.runAttempt(ctx, req, vm, w)
	d.crashes.end(id, verdict, res, req.Job)
	return res
}
