// Package dispatch carries an admitted request to an agent and the answer
// back to the caller.
//
// A request that is not idempotent is sent once: after its first byte has
// left, a missing answer is refused with ran "unknown". An idempotent one is
// tried elsewhere while nothing has reached the caller.
package dispatch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	copyBufferBytes  = 32 << 10
	maxRefusalBytes  = 64 << 10
	maxAttempts      = 3
	busyRetryAfter   = time.Second
	failedRetryAfter = 2 * time.Second
)

// Endpoints chooses agents for jobs and learns from their answers.
type Endpoints interface {
	// Candidates returns the VMs whose endpoint can run the job, best first.
	// An attempt that is then sent is reported by Observe.
	Candidates(job wire.Job) []vmlist.VM
	// Observe tells what became of an attempt.
	Observe(o Observation)
}

// Outcome says what became of an attempt.
type Outcome int

// Values of Outcome.
const (
	OutcomeSent    Outcome = iota // The attempt was sent; its answer is due.
	OutcomeAnswer                 // The answer began.
	OutcomeDone                   // The whole answer was passed on.
	OutcomeRefused                // The agent refused; nothing ran.
	OutcomeFailed                 // The agent or endpoint failed or did not answer.
)

// Observation tells Endpoints about one attempt.
type Observation struct {
	Job     wire.Job
	VM      ident.VM
	Outcome Outcome
	Load    wire.Load     // The agent's load; zero where it did not answer.
	Boot    ident.BootID  // The engine's boot id; empty where unknown.
	Elapsed time.Duration // Since the attempt was sent.
}

// Options configures New.
type Options struct {
	Client    *transport.Client
	Endpoints Endpoints
	Timeline  *timeline.Ring
}

// Dispatcher sends requests to agents.
type Dispatcher struct {
	opts Options
}

// New returns a Dispatcher.
func New(opts Options) *Dispatcher {
	return &Dispatcher{opts: opts}
}

// Request is one admitted request.
type Request struct {
	Job      wire.Job  // Attempt and Timeout are set for each attempt.
	Body     []byte    // In the form that the endpoint expects.
	Deadline time.Time // When the caller's time is up.
}

// Result tells what became of a request.
type Result struct {
	Ran     refusal.Ran      // Whether it ran.
	Refusal *refusal.Refusal // Set where nothing was written to the caller.
	Broken  bool             // True where the answer ended before it was whole.
	Events  int64            // Events of a stream that were passed on.
	Body    []byte           // Start of a plain answer, for its usage field.
}

// Dispatch runs the request and writes the answer to w. Where the result holds
// a refusal, nothing was written.
func (d *Dispatcher) Dispatch(ctx context.Context, req Request, w http.ResponseWriter) Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	last := noEndpoint(req)
	for i, vm := range d.opts.Endpoints.Candidates(req.Job) {
		if i == maxAttempts {
			break
		}
		result := d.attempt(ctx, req, vm, w)
		if result.Refusal == nil || !d.mayRetry(ctx, req, result) {
			return result
		}
		last = result
	}
	return last
}

func (d *Dispatcher) mayRetry(ctx context.Context, req Request, result Result) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.Ran == refusal.RanNo {
		return result.Refusal.Retryable()
	}
	return req.Job.Idempotent
}

func (d *Dispatcher) attempt(ctx context.Context, req Request, vm vmlist.VM, w http.ResponseWriter) Result {
	job := req.Job
	job.Attempt = ident.NewAttemptID()
	job.Timeout = time.Until(req.Deadline)
	d.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestSent, Request: job.Request, Attempt: job.Attempt,
		Organisation: job.Organisation, Endpoint: ident.Endpoint(vm.ID), Adapter: job.Adapter, Version: job.Version,
	})
	httpReq, err := http.NewRequestWithContext(ctx, http.MethodPost,
		d.opts.Client.URL(vm.Address, wire.PathRun), bytes.NewReader(req.Body))
	if err != nil {
		return refused(unsent(req))
	}
	httpReq.GetBody = nil // Keeps the transport from sending the body again by itself.
	job.Encode(httpReq.Header)
	resp, err := d.opts.Client.HTTP.Do(httpReq)
	if err != nil {
		return refused(sendFailure(ctx, req, err))
	}
	defer resp.Body.Close()
	return d.pass(req, job, resp, w)
}

// pass copies an agent's answer to the caller.
func (d *Dispatcher) pass(req Request, job wire.Job, resp *http.Response, w http.ResponseWriter) Result {
	if resp.Header.Get(refusal.HeaderRan) != "" {
		return refused(readRefusal(req, resp))
	}
	if resp.Header.Get(wire.HeaderAttempt) != string(job.Attempt) {
		d.opts.Timeline.Record(timeline.Event{Kind: timeline.KindAnswerDropped, Request: job.Request, Attempt: job.Attempt})
		return refused(crossed(req))
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	out := &counter{w: w, stream: job.Stream, flush: http.NewResponseController(w)}
	_, err := io.CopyBuffer(out, resp.Body, make([]byte, copyBufferBytes))
	whole := err == nil && resp.Trailer.Get(wire.TrailerComplete) == "true"
	return Result{Ran: refusal.RanYes, Broken: !whole, Events: out.events, Body: out.head}
}

// counter passes an answer on as it arrives.
type counter struct {
	w      io.Writer
	flush  *http.ResponseController
	stream bool
	events int64
	head   []byte
}

// Write implements io.Writer.
func (c *counter) Write(p []byte) (int, error) {
	if c.stream {
		c.events += int64(bytes.Count(p, []byte("data: ")))
	} else if len(c.head) < maxRefusalBytes {
		c.head = append(c.head, p...)
	}
	n, err := c.w.Write(p)
	if err == nil && c.stream {
		_ = c.flush.Flush()
	}
	return n, err
}

func refused(r *refusal.Refusal) Result {
	return Result{Ran: r.Ran, Refusal: r}
}

func readRefusal(req Request, resp *http.Response) *refusal.Refusal {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
	r, ok := refusal.Parse(resp.StatusCode, resp.Header, data)
	if !ok {
		return crossed(req)
	}
	r.RequestID = req.Job.Request
	return r
}

func noEndpoint(req Request) Result {
	return refused(&refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeNoEndpoint,
		Message: "no endpoint can take the request now", RequestID: req.Job.Request,
		Ran: refusal.RanNo, RetryAfter: failedRetryAfter,
	})
}

func unsent(req Request) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint was not reached", RequestID: req.Job.Request,
		Ran: refusal.RanNo, RetryAfter: busyRetryAfter,
	}
}

func crossed(req Request) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeBrokenAnswer,
		Message: "the endpoint's answer did not belong to the request", RequestID: req.Job.Request,
		Ran: refusal.RanUnknown,
	}
}

func sendFailure(ctx context.Context, req Request, err error) *refusal.Refusal {
	if neverSent(err) {
		return unsent(req)
	}
	r := &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint failed before it answered", RequestID: req.Job.Request, Ran: refusal.RanUnknown,
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		r.Status = http.StatusGatewayTimeout
		r.Code = refusal.CodeDeadline
		r.Message = "the endpoint did not answer before the deadline"
	}
	return r
}
