// Package intake takes attempts from entries, gives each its turn on the
// endpoint and passes the endpoint's answer back.
package intake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/schedule"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	copyBufferBytes = 32 << 10
	retryAfter      = time.Second
)

// Options configures NewHandler.
type Options struct {
	Endpoint     engine.Engine // Where attempts run; only Run is used.
	Scheduler    schedule.Scheduler
	Timeline     *timeline.Ring
	Metrics      tally.Scope
	MaxBodyBytes int64
}

// Handler serves wire.PathRun. It is safe for concurrent use.
type Handler struct {
	opts     Options
	draining atomic.Bool
	attempts tally.Counter
	refusals tally.Counter
	broken   tally.Counter
}

// NewHandler returns a Handler that takes work.
func NewHandler(opts Options) *Handler {
	return &Handler{
		opts:     opts,
		attempts: opts.Metrics.Counter("agent_attempts_total"),
		refusals: opts.Metrics.Counter("agent_refusals_total"),
		broken:   opts.Metrics.Counter("agent_broken_answers_total"),
	}
}

// Drain refuses all later attempts; those that run go on.
func (h *Handler) Drain() {
	h.draining.Store(true)
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.attempts.Inc(1)
	job, err := wire.Decode(r.Header)
	if err != nil {
		h.refuse(w, job, malformed(err))
		return
	}
	if h.draining.Load() {
		h.refuse(w, job, draining())
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.opts.MaxBodyBytes))
	if err != nil {
		h.refuse(w, job, malformed(err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), job.Timeout)
	defer cancel()
	h.run(ctx, w, job, body)
}

func (h *Handler) run(ctx context.Context, w http.ResponseWriter, job wire.Job, body []byte) {
	turn, err := h.opts.Scheduler.Acquire(ctx, job)
	if err != nil {
		h.refuse(w, job, noTurn(err))
		return
	}
	defer func() { turn.Release(job.Cost) }()
	h.record(timeline.KindRequestRunning, job)
	resp, err := h.opts.Endpoint.Run(ctx, endpointRequest(ctx, job, body))
	if err != nil {
		h.refuse(w, job, endpointFailed(err))
		return
	}
	defer resp.Body.Close()
	h.pass(w, job, resp)
}

// pass copies the endpoint's answer and marks it complete where it was whole.
func (h *Handler) pass(w http.ResponseWriter, job wire.Job, resp *http.Response) {
	header := w.Header()
	header.Set("Trailer", wire.TrailerComplete)
	header.Set("Content-Type", resp.Header.Get("Content-Type"))
	header.Set(wire.HeaderAttempt, string(job.Attempt))
	header.Set(wire.HeaderLoad, h.opts.Scheduler.Load(job).String())
	header.Set(wire.HeaderBoot, resp.Header.Get(engine.HeaderBoot))
	w.WriteHeader(resp.StatusCode)
	out := &endMark{w: w, flush: http.NewResponseController(w), stream: job.Stream}
	_, err := io.CopyBuffer(out, resp.Body, make([]byte, copyBufferBytes))
	if err != nil || !out.whole() {
		h.broken.Inc(1)
		return
	}
	header.Set(wire.TrailerComplete, "true")
	h.record(timeline.KindRequestFinished, job)
}

func (h *Handler) refuse(w http.ResponseWriter, job wire.Job, r *refusal.Refusal) {
	h.refusals.Inc(1)
	r.RequestID = job.Request
	w.Header().Set(wire.HeaderLoad, h.opts.Scheduler.Load(job).String())
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestRefused, Request: job.Request, Attempt: job.Attempt,
		Organisation: job.Organisation, Detail: string(r.Code),
	})
	r.Write(w)
}

func (h *Handler) record(kind timeline.Kind, job wire.Job) {
	h.opts.Timeline.Record(timeline.Event{
		Kind: kind, Request: job.Request, Attempt: job.Attempt,
		Organisation: job.Organisation, Adapter: job.Adapter, Version: job.Version,
	})
}

// endMark passes a stream on and watches for its end mark.
type endMark struct {
	w      io.Writer
	flush  *http.ResponseController
	stream bool
	tail   []byte
}

var streamEnd = []byte("data: [DONE]")

// Write implements io.Writer.
func (e *endMark) Write(p []byte) (int, error) {
	n, err := e.w.Write(p)
	if err != nil || !e.stream {
		return n, err
	}
	e.tail = append(e.tail, p...)
	e.tail = e.tail[max(0, len(e.tail)-2*len(streamEnd)):]
	_ = e.flush.Flush()
	return n, nil
}

func (e *endMark) whole() bool {
	return !e.stream || bytes.Contains(e.tail, streamEnd)
}

// endpointRequest builds the endpoint's request; it carries nothing of the
// caller but the body, its type and the organisation.
func endpointRequest(ctx context.Context, job wire.Job, body []byte) *http.Request {
	req := (&http.Request{
		Method:        job.Method,
		Header:        make(http.Header),
		Body:          io.NopCloser(bytes.NewReader(body)),
		ContentLength: int64(len(body)),
	}).WithContext(ctx)
	req.URL = parsePath(job.Path)
	if job.ContentType != "" {
		req.Header.Set("Content-Type", job.ContentType)
	}
	if job.Organisation != "" {
		req.Header.Set(wire.HeaderOrganisation, string(job.Organisation))
	}
	req.Header.Set(engine.HeaderRequestID, string(job.Attempt))
	return req
}

func parsePath(path string) *url.URL {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return &url.URL{Path: "/"}
	}
	return u
}

func malformed(err error) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadRequest, Type: refusal.TypeInvalidRequest, Code: refusal.CodeBadRequest,
		Message: err.Error(), Ran: refusal.RanNo,
	}
}

func draining() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeDraining,
		Message: "the endpoint takes no new work", Ran: refusal.RanNo, RetryAfter: retryAfter,
	}
}

// noTurn turns a scheduler's error into a refusal: nothing ran.
func noTurn(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &refusal.Refusal{
		Status: http.StatusGatewayTimeout, Type: refusal.TypeUnavailable, Code: refusal.CodeDeadline,
		Message: "the request's time ran out while it waited", Ran: refusal.RanNo,
	}
}

func endpointFailed(error) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint failed before it answered", Ran: refusal.RanUnknown,
	}
}
