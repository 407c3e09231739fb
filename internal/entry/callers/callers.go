// Package callers is the HTTP interface to callers: completions, the list of
// models, and plain services.
//
// A caller's key is read from the Authorization header, turned into its hash,
// and goes no further than this package.
package callers

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/running"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// HeaderRequestID is taken from the caller or made, and always returned.
const HeaderRequestID = "X-Request-Id"

// Freshness says whether this process's configuration is recent enough to
// trust its keys.
type Freshness interface {
	// Fresh reports whether keys may be trusted now.
	Fresh() bool
}

// Dispatcher runs admitted requests.
type Dispatcher interface {
	// Dispatch runs the request and writes the answer to w. Where the result
	// holds a refusal, nothing was written.
	Dispatch(ctx context.Context, req dispatch.Request, w http.ResponseWriter) dispatch.Result
}

// Options configures NewHandler.
type Options struct {
	Config       func() *config.Snapshot // Configuration in force.
	Freshness    Freshness
	Limiter      admission.Limiter
	Dispatcher   Dispatcher
	Running      *running.Index
	Timeline     *timeline.Ring
	Metrics      tally.Scope
	MaxBodyBytes int64         // Largest request body.
	Timeout      time.Duration // Longest time for one request.
	BodyTimeout  time.Duration // Longest time that a caller may take to send its body.
	WriteTimeout time.Duration // Longest time that a caller may take to read one part of an answer.
}

// handler serves callers.
type handler struct {
	opts    Options
	metrics metrics
}

// NewHandler returns the callers' HTTP handler.
func NewHandler(opts Options) http.Handler {
	h := &handler{opts: opts, metrics: newMetrics(opts.Metrics)}
	router := chi.NewRouter()
	router.Post("/v1/chat/completions", h.complete)
	router.Post("/v1/completions", h.complete)
	router.Get("/v1/models", h.models)
	router.HandleFunc("/services/{service}", h.service)
	router.HandleFunc("/services/{service}/*", h.service)
	router.NotFound(h.notFound)
	router.MethodNotAllowed(h.notFound)
	return router
}

// call is one caller's request on its way through this package.
type call struct {
	id     ident.RequestID
	w      http.ResponseWriter
	r      *http.Request
	config *config.Snapshot
	key    ident.KeyHash
	tenant config.Tenant
}

func (h *handler) begin(w http.ResponseWriter, r *http.Request) *call {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, string(id))
	h.metrics.requests.Inc(1)
	return &call{id: id, w: w, r: r, config: h.opts.Config()}
}

// requestID takes the caller's request id, or makes one where it has none,
// where it is malformed and where it holds the caller's key.
func requestID(r *http.Request) ident.RequestID {
	id := r.Header.Get(HeaderRequestID)
	if !ident.ValidRequestID(id) {
		return ident.NewRequestID()
	}
	if key := bearerKey(r); key != "" && strings.Contains(id, key) {
		return ident.NewRequestID()
	}
	return ident.RequestID(id)
}

// refuse ends a call with a refusal.
func (h *handler) refuse(c *call, r *refusal.Refusal) {
	r.RequestID = c.id
	h.metrics.refusal(r.Code).Inc(1)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestRefused, Request: c.id,
		Organisation: c.tenant.Organisation, Detail: string(r.Code),
	})
	r.Write(c.w)
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	c := h.begin(w, r)
	h.refuse(c, unknownRoute())
}

// run admits and dispatches a request whose job is complete.
func (h *handler) run(c *call, req dispatch.Request) {
	ctx, done := h.track(c)
	defer done()
	if refused := h.lostMeanwhile(c); refused != nil {
		h.refuse(c, refused)
		return
	}
	grant, err := h.reserve(ctx, c, req.Job.Cost)
	if err != nil {
		h.refuse(c, limited(err))
		return
	}
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestAdmitted, Request: c.id, Organisation: c.tenant.Organisation,
		Adapter: req.Job.Adapter, Version: req.Job.Version,
	})
	req.Deadline = time.Now().Add(h.opts.Timeout)
	result := h.opts.Dispatcher.Dispatch(ctx, req, h.limitSlowReader(c))
	grant.Settle(usedTokens(req, result))
	h.finish(ctx, c, req, result)
}

func (h *handler) track(c *call) (context.Context, func()) {
	if c.key == "" {
		return c.r.Context(), func() {}
	}
	return h.opts.Running.Add(c.r.Context(), c.key)
}

// lostMeanwhile refuses a call whose key went, or whose entry lost touch,
// between the call's authentication and its entry in the index of running
// requests, where a cut finds it.
func (h *handler) lostMeanwhile(c *call) *refusal.Refusal {
	if c.key == "" {
		return nil
	}
	if !h.opts.Freshness.Fresh() {
		return stale()
	}
	if _, granted := h.opts.Config().Key(c.key); !granted {
		return unknownKey()
	}
	return nil
}

func (h *handler) reserve(ctx context.Context, c *call, cost int64) (admission.Grant, error) {
	if c.key == "" {
		return openGrant{}, nil
	}
	return h.opts.Limiter.Reserve(ctx, c.tenant, cost)
}

func (h *handler) finish(ctx context.Context, c *call, req dispatch.Request, result dispatch.Result) {
	whole := result.Refusal == nil && !result.Broken
	switch {
	case whole:
		h.answered(c)
	case errors.Is(context.Cause(ctx), running.ErrKeyWithdrawn):
		h.cut(c, req, result, keyWithdrawn)
	case errors.Is(context.Cause(ctx), running.ErrStale):
		h.cut(c, req, result, staleWhileRunning)
	case c.r.Context().Err() != nil:
		h.cancelled(c)
	case result.Refusal != nil:
		h.refuse(c, result.Refusal)
	default:
		h.broken(c, req, brokenAnswer())
	}
}

func (h *handler) answered(c *call) {
	h.metrics.answers.Inc(1)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestFinished, Request: c.id, Organisation: c.tenant.Organisation,
	})
}

// cancelled ends a request whose caller has gone.
func (h *handler) cancelled(c *call) {
	h.metrics.cancelled.Inc(1)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestCut, Request: c.id, Organisation: c.tenant.Organisation, Detail: "caller gone",
	})
	panic(http.ErrAbortHandler)
}

// cut ends a request that ran when its key was withdrawn or could not be
// confirmed any more.
func (h *handler) cut(c *call, req dispatch.Request, result dispatch.Result, why func(refusal.Ran) *refusal.Refusal) {
	ran := refusal.RanYes
	if result.Refusal != nil {
		ran = result.Ran
	}
	r := why(ran)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestCut, Request: c.id, Organisation: c.tenant.Organisation, Detail: string(r.Code),
	})
	if result.Refusal != nil {
		h.refuse(c, r)
		return
	}
	h.broken(c, req, r)
}

// broken ends an answer that has begun and cannot be completed: a stream gets
// an error event in place of its end mark, a plain answer a cut connection.
func (h *handler) broken(c *call, req dispatch.Request, r *refusal.Refusal) {
	r.RequestID = c.id
	h.metrics.broken.Inc(1)
	if !req.Job.Stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.w.Write([]byte("data: "))
	_, _ = c.w.Write(r.JSON())
	_, _ = c.w.Write([]byte("\n\n"))
}

// limitSlowReader bounds the time that each part of the answer may take.
func (h *handler) limitSlowReader(c *call) http.ResponseWriter {
	return &deadlineWriter{
		ResponseWriter: c.w,
		control:        http.NewResponseController(c.w),
		timeout:        h.opts.WriteTimeout,
	}
}

type deadlineWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Write implements io.Writer.
func (w *deadlineWriter) Write(p []byte) (int, error) {
	_ = w.control.SetWriteDeadline(time.Now().Add(w.timeout))
	return w.ResponseWriter.Write(p)
}

// Unwrap lets http.ResponseController reach the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

type openGrant struct{}

// Settle implements admission.Grant.
func (openGrant) Settle(int64) {}
