// Package callers serves the HTTP interface for callers: completions, the list
// of models, and plain services.
//
// The package reads a caller's key from the Authorization header and hashes it.
// Only the hash leaves the package.
package callers

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/connlimit"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/inflight"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// HeaderRequestID carries the request id. Every response has it: the caller's id
// if that is usable, otherwise a generated one.
const HeaderRequestID = "X-Request-Id"

// Freshness reports whether this process's configuration is recent enough to
// authenticate keys against it.
type Freshness interface {
	// IsFresh reports whether keys may be authenticated now.
	IsFresh() bool
}

// Dispatcher runs admitted requests.
type Dispatcher interface {
	// Dispatch runs the request and writes the response to w. If the result
	// contains a refusal, nothing was written to w.
	Dispatch(ctx context.Context, req dispatch.Request, w http.ResponseWriter) dispatch.Result
}

// Options configures NewHandler. All fields but Memory and Connections are required.
type Options struct {
	Config       func() *config.Snapshot // Returns the configuration in force.
	Freshness    Freshness
	Limiter      admission.Limiter
	Dispatcher   Dispatcher
	Running      *inflight.Index
	Timeline     *timeline.Ring
	Metrics      tally.Scope
	MaxBodyBytes int64              // Maximum size of a request body.
	Memory       *bodies.Memory     // Bounds the bodies that are held; nil sets no limit.
	Connections  *connlimit.Limiter // Bounds the unfinished requests; nil sets no limit.
	Timeout      time.Duration      // Maximum time from admission to the end of the response.
	BodyTimeout  time.Duration      // Maximum time to receive a request body.
	WriteTimeout time.Duration      // Maximum time to send one written part of a response.
}

// handler implements the routes of NewHandler.
type handler struct {
	opts    Options
	metrics metrics
}

// NewHandler returns the HTTP handler for callers.
func NewHandler(opts Options) http.Handler {
	h := &handler{opts: opts, metrics: newMetrics(opts.Metrics)}
	router := chi.NewRouter()
	router.Use(h.limitUnfinished)
	router.Post("/v1/chat/completions", h.serveCompletion)
	router.Post("/v1/completions", h.serveCompletion)
	router.Get("/v1/models", h.serveModels)
	router.HandleFunc("/services/{service}", h.serveService)
	router.HandleFunc("/services/{service}/*", h.serveService)
	router.NotFound(h.serveNotFound)
	router.MethodNotAllowed(h.serveNotFound)
	return router
}

// limitUnfinished refuses requests beyond the limit of unfinished ones.
func (h *handler) limitUnfinished(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !h.opts.Connections.Begin(r.Context()) {
			c := h.newCall(w, r)
			c.endReading()
			h.refuse(c, noMemory())
			return
		}
		defer h.opts.Connections.End(r.Context())
		next.ServeHTTP(w, r)
	})
}

// call is the state of one caller's request in this package.
type call struct {
	id     ident.RequestID
	w      http.ResponseWriter
	r      *http.Request
	config *config.Snapshot          // Configuration in force when the request arrived.
	key    ident.KeyHash             // Hash of the authenticated key; empty on an open route.
	limits config.OrganisationLimits // Organisation of the key; zero on an open route.
	body   *bodies.Body              // Holds the memory of the body.
}

// newCall assigns the request id, sets it on the response and counts the request.
func (h *handler) newCall(w http.ResponseWriter, r *http.Request) *call {
	id := requestID(r)
	w.Header().Set(HeaderRequestID, string(id))
	h.metrics.requests.Inc(1)
	return &call{id: id, w: w, r: r, config: h.opts.Config()}
}

// requestID returns the caller's request id. It generates a new id if the
// caller's is missing or malformed, or contains the caller's key: request ids
// are recorded and forwarded, and the key must not be.
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

// refuse sends the refusal as the whole response, counts it and records it in the
// timeline.
func (h *handler) refuse(c *call, r *refusal.Refusal) {
	r.RequestID = c.id
	h.metrics.refusal(r.Code).Inc(1)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestRefused, Request: c.id,
		Organisation: c.limits.Organisation, Detail: string(r.Code),
	})
	r.Write(c.w)
}

func (h *handler) serveNotFound(w http.ResponseWriter, r *http.Request) {
	c := h.newCall(w, r)
	h.refuse(c, unknownRoute())
}

// run reserves the request's tokens, dispatches the request, settles the
// reservation and finishes the response. It refuses the request if its key is no
// longer valid or its tokens cannot be reserved.
func (h *handler) run(c *call, req dispatch.Request) {
	ctx, untrack := h.track(c)
	defer untrack()
	if refused := h.recheckKey(c); refused != nil {
		h.refuse(c, refused)
		return
	}
	reservation, err := h.reserve(ctx, c, req.Job.Cost)
	if err != nil {
		h.refuse(c, limitRefusal(err))
		return
	}
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestAdmitted, Request: c.id, Organisation: c.limits.Organisation,
		Adapter: req.Job.Adapter, Version: req.Job.Version,
	})
	req.Deadline = time.Now().Add(h.opts.Timeout)
	result := h.opts.Dispatcher.Dispatch(ctx, req, h.withWriteDeadline(c))
	reservation.Settle(chargedTokens(req, result))
	h.finish(ctx, c, req, result)
}

// track adds the call to the index of running requests, which cancels the
// returned context when the key is withdrawn or can no longer be confirmed. The
// returned function removes the call. Calls without a key are not tracked.
func (h *handler) track(c *call) (context.Context, func()) {
	if c.key == "" {
		return c.r.Context(), func() {}
	}
	return h.opts.Running.Add(c.r.Context(), c.key)
}

// recheckKey checks the key again after track. A key that is withdrawn, or a
// configuration that becomes stale, between authentication and track does not
// cancel the call, because the call is not yet in the index of running requests.
func (h *handler) recheckKey(c *call) *refusal.Refusal {
	if c.key == "" {
		return nil
	}
	if !h.opts.Freshness.IsFresh() {
		return staleConfiguration()
	}
	if _, granted := h.opts.Config().Key(c.key); !granted {
		return unknownKey()
	}
	return nil
}

// reserve reserves cost tokens of the organisation's quota. Calls without a key
// are not charged.
func (h *handler) reserve(ctx context.Context, c *call, cost int64) (admission.Reservation, error) {
	if c.key == "" {
		return openRouteReservation{}, nil
	}
	return h.opts.Limiter.Reserve(ctx, c.limits, cost)
}

// finish ends the call according to the dispatch result. A response that is
// already whole stays valid even if the key was withdrawn at its end.
func (h *handler) finish(ctx context.Context, c *call, req dispatch.Request, result dispatch.Result) {
	whole := result.Refusal == nil && !result.Incomplete
	switch {
	case whole:
		h.recordFinished(c)
	case errors.Is(context.Cause(ctx), inflight.ErrKeyWithdrawn):
		h.abort(c, req, result, keyWithdrawn)
	case errors.Is(context.Cause(ctx), inflight.ErrKeysStale):
		h.abort(c, req, result, staleWhileRunning)
	case c.r.Context().Err() != nil:
		h.abortCancelled(c)
	case result.Refusal != nil:
		h.refuse(c, result.Refusal)
	default:
		h.abortResponse(c, req, brokenResponse())
	}
}

// recordFinished counts and records a whole response.
func (h *handler) recordFinished(c *call) {
	h.metrics.responses.Inc(1)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestFinished, Request: c.id, Organisation: c.limits.Organisation,
	})
}

// abortCancelled ends a request whose caller has disconnected.
func (h *handler) abortCancelled(c *call) {
	h.metrics.cancelled.Inc(1)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestAborted, Request: c.id, Organisation: c.limits.Organisation, Detail: "caller gone",
	})
	panic(http.ErrAbortHandler)
}

// abort ends a request whose key was withdrawn, or could no longer be confirmed,
// while it ran. newRefusal makes the refusal for the reason.
func (h *handler) abort(c *call, req dispatch.Request, result dispatch.Result, newRefusal func(refusal.Ran) *refusal.Refusal) {
	ran := refusal.RanYes
	if result.Refusal != nil {
		ran = result.Ran
	}
	r := newRefusal(ran)
	h.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestAborted, Request: c.id, Organisation: c.limits.Organisation, Detail: string(r.Code),
	})
	if result.Refusal != nil {
		h.refuse(c, r)
		return
	}
	h.abortResponse(c, req, r)
}

// abortResponse ends a response that has begun and cannot be completed. A stream
// ends with an error event in place of its end mark. For any other response the
// connection is closed, so that the caller does not take the response as whole.
func (h *handler) abortResponse(c *call, req dispatch.Request, r *refusal.Refusal) {
	r.RequestID = c.id
	h.metrics.brokenResponses.Inc(1)
	if !req.Job.Stream {
		panic(http.ErrAbortHandler)
	}
	_, _ = c.w.Write([]byte("data: "))
	_, _ = c.w.Write(r.JSON())
	_, _ = c.w.Write([]byte("\n\n"))
}

// withWriteDeadline returns a writer that gives each write to the caller
// Options.WriteTimeout to complete, so that a caller that stops reading does not
// keep the request running.
func (h *handler) withWriteDeadline(c *call) http.ResponseWriter {
	return &deadlineWriter{
		ResponseWriter: c.w,
		control:        http.NewResponseController(c.w),
		timeout:        h.opts.WriteTimeout,
	}
}

// deadlineWriter sets a new write deadline before each write.
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

// Unwrap gives http.ResponseController access to the connection.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// openRouteReservation is the reservation of a call on an open route, which is
// not charged.
type openRouteReservation struct{}

// Settle implements admission.Reservation.
func (openRouteReservation) Settle(int64) {}
