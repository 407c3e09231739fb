package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// errNotAccepted cancels an attempt that its agent did not accept within
// acceptTimeout.
const errNotAccepted = errors.ConstError("agent did not accept the attempt within the accept timeout")

// acceptTimeout bounds how long an agent may take to accept an attempt that
// can be retried on another endpoint.
const acceptTimeout = 2 * time.Second

// deadlineMargin is how much earlier than its entry an agent gives an attempt up, at most a twentieth of its time. The agent
// knows whether the request ran, and its refusal arrives before the entry stops waiting.
const deadlineMargin = 50 * time.Millisecond

// agentTimeout returns the timeout of an attempt on an agent if left is the time until the caller's deadline.
func agentTimeout(left time.Duration) time.Duration {
	return left - min(deadlineMargin, left/20)
}

// attempt is one attempt to run a request on one agent.
type attempt struct {
	d    *Dispatcher
	req  Request
	job  wire.Job
	vm   vmlist.VM
	w    http.ResponseWriter
	sent time.Time
	load wire.Load
	boot ident.BootID
}

// runAttempt sends the request to one agent, forwards its response and reports
// the outcome.
func (d *Dispatcher) runAttempt(ctx context.Context, req Request, vm vmlist.VM, w http.ResponseWriter) attemptResult {
	a := &attempt{d: d, req: req, job: req.Job, vm: vm, w: w, sent: time.Now()}
	a.job.AttemptID = ident.NewAttemptID()
	a.job.Timeout = agentTimeout(time.Until(req.Deadline))
	a.job.Deadline = req.Deadline
	d.metrics.attempts.Inc(1)
	a.record(timeline.KindRequestSent)
	a.observe(OutcomeSent)
	res := a.send(ctx)
	if res.result.Refusal != nil || res.result.Incomplete {
		a.observe(a.failureOutcome(ctx, res))
	} else {
		a.observe(OutcomeCompleted)
	}
	return res
}

// failureOutcome classifies an attempt without a complete response: the caller
// cancelled, the agent refused before anything ran, or the agent or the
// endpoint failed.
func (a *attempt) failureOutcome(ctx context.Context, res attemptResult) Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return OutcomeCallerLeft
	}
	r := res.result.Refusal
	if r == nil || r.Ran != refusal.RanNo || r.Code == refusal.CodeEndpointFailed {
		return OutcomeFailed
	}
	return OutcomeRefused
}

// send sends the request to the agent and handles its response.
func (a *attempt) send(ctx context.Context) attemptResult {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var connected atomic.Bool
	stopAcceptTimer := a.startAcceptTimer(cancel)
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn:        func(httptrace.GotConnInfo) { connected.Store(true) },
		Got1xxResponse: func(int, textproto.MIMEHeader) error { stopAcceptTimer(); return nil },
	})
	httpReq, err := a.newRequest(traced)
	if err != nil {
		stopAcceptTimer()
		return attemptResult{result: refusedResult(refuseUnreachable()), kind: retry.KindUnreachable}
	}
	resp, err := a.d.opts.Client.HTTP.Do(httpReq)
	stopAcceptTimer()
	if err != nil {
		return a.handleNoResponse(ctx, connected.Load())
	}
	defer resp.Body.Close()
	return a.handleResponse(ctx, resp)
}

// startAcceptTimer cancels the attempt with errNotAccepted after acceptTimeout
// if the attempt requires acceptance. The returned function stops the timer.
func (a *attempt) startAcceptTimer(cancel context.CancelCauseFunc) func() {
	if !a.req.requireAccept {
		return func() {}
	}
	timer := time.AfterFunc(acceptTimeout, func() { cancel(errNotAccepted) })
	return func() { timer.Stop() }
}

// handleNoResponse ends an attempt that got no response. Without a connection,
// nothing was sent. An agent that did not accept the attempt is not known to
// have spent any work on it, so a retry elsewhere is not charged to the budget.
func (a *attempt) handleNoResponse(ctx context.Context, connected bool) attemptResult {
	if !connected {
		return attemptResult{result: refusedResult(refuseUnreachable()), kind: retry.KindUnreachable}
	}
	if errors.Is(context.Cause(ctx), errNotAccepted) {
		a.d.metrics.silentAgents.Inc(1)
		return attemptResult{result: refusedResult(refuseNoResponse(ctx)), kind: retry.KindUnreachable}
	}
	return attemptResult{result: refusedResult(refuseNoResponse(ctx)), kind: retry.KindFailed}
}

// newRequest builds the HTTP request to the agent. Its body has a type that
// net/http cannot rewind, so net/http never resends the request by itself,
// even if the body is empty.
func (a *attempt) newRequest(ctx context.Context) (*http.Request, error) {
	body := io.NopCloser(bytes.NewReader(a.req.Body))
	url := a.d.opts.Client.URL(a.vm.Address, wire.PathRun)
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost, url, body)
	if err != nil {
		return nil, errors.Trace(err)
	}
	httpReq.ContentLength = int64(len(a.req.Body))
	a.job.Encode(httpReq.Header)
	if a.req.requireAccept {
		httpReq.Header.Set(wire.HeaderAccept, "true")
	}
	return httpReq, nil
}

// handleResponse checks that a response belongs to the attempt and forwards
// it. A response with another attempt ID is dropped.
func (a *attempt) handleResponse(ctx context.Context, resp *http.Response) attemptResult {
	a.load, _ = wire.ParseLoad(resp.Header.Get(wire.HeaderLoad))
	a.boot = ident.BootID(resp.Header.Get(wire.HeaderBoot))
	if resp.Header.Get(wire.HeaderAttempt) != string(a.job.AttemptID) {
		a.d.metrics.mismatchedResponses.Inc(1)
		a.record(timeline.KindResponseDropped)
		return attemptResult{result: refusedResult(refuseInvalidResponse()), kind: retry.KindFailed}
	}
	if resp.Header.Get(refusal.HeaderRan) != "" {
		return readRefusal(ctx, resp)
	}
	a.observe(OutcomeResponseStarted)
	return a.forward(ctx, resp)
}

// readRefusal parses the agent's refusal from resp.
func readRefusal(ctx context.Context, resp *http.Response) attemptResult {
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	if err != nil {
		return attemptResult{result: refusedResult(refuseNoResponse(ctx)), kind: retry.KindFailed}
	}
	r, ok := refusal.Parse(resp.StatusCode, resp.Header, data)
	if !ok {
		return attemptResult{result: refusedResult(refuseInvalidResponse()), kind: retry.KindFailed}
	}
	crashed := resp.Header.Get(wire.HeaderCrashed) == "true"
	return attemptResult{result: refusedResult(r), kind: retryKind(r), crashed: crashed}
}

// retryKind classifies an agent's refusal for the retry decision.
func retryKind(r *refusal.Refusal) retry.Kind {
	switch {
	case r.Ran != refusal.RanNo:
		return retry.KindFailed
	case r.Code == refusal.CodeClaimsUnavailable:
		return retry.KindFinal // All agents use the same store.
	case !r.Retryable():
		return retry.KindFinal
	case r.Code == refusal.CodeAdapterLoadFailed:
		return retry.KindFailed // The endpoint spent an adapter load.
	default:
		return retry.KindRefused
	}
}

func (a *attempt) observe(outcome Outcome) {
	a.d.opts.Endpoints.Observe(Observation{
		Job: a.job, VM: a.vm.ID, Outcome: outcome, Load: a.load, Boot: a.boot, Elapsed: time.Since(a.sent),
	})
}

func (a *attempt) record(kind timeline.Kind) {
	a.d.opts.Timeline.Record(timeline.Event{
		Kind: kind, Request: a.job.RequestID, Attempt: a.job.AttemptID, Organisation: a.job.Organisation,
		Endpoint: ident.Endpoint(a.vm.ID), Adapter: a.job.Adapter, Version: a.job.Version,
	})
}
