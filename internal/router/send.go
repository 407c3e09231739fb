package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/availability"
	"github.com/hyssoptiller/hyssoptiller/internal/upstream"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// result is the result of sending a request to one endpoint.
type result int

// Values of result.
const (
	resultUnreached   result = iota // No byte was sent.
	resultNotRun                    // The endpoint proved that it did not run the request.
	resultMisdirected               // As resultNotRun: another endpoint is at the address.
	resultFailed                    // The endpoint may have run the request and responded with a failure.
	resultBroken                    // The endpoint may have run the request; there is no complete response.
	resultResponded                 // The response is complete, or a stream has started.
	resultCancelled                 // The caller disconnected or the deadline passed.
	resultNoRoom                    // The endpoint may have run the request; there is no memory for the response.
	resultOutdated                  // As resultBroken: it was given up, as it had not begun in time on a former version of its adapter.
)

// resultNames are the names of the results in the log.
var resultNames = [...]string{"unreached", "not_run", "misdirected", "failed", "broken", "answered", "left", "no_room", "former_version"}

const (
	// maxBufferedBytes bounds a response that is read completely before it is forwarded.
	maxBufferedBytes = 8 << 20
	// maxFailureBytes bounds the same for a failure, whose body is a short text. Bodies that never end would otherwise
	// add up to maxBufferedBytes for each request that waits for one.
	maxFailureBytes = 256 << 10
	// failureBodyTimeout bounds the time to read it, so that an idempotent request has time left for another endpoint.
	failureBodyTimeout = time.Second
)

// response is an endpoint's response. Its body is complete unless it is a stream.
type response struct {
	status int
	header http.Header
	body   *bodies.Body
	stream *upstream.Response // Nil unless the response is streamed.
	from   *placement         // Where the response comes from.
}

// send sends a request to the endpoint of its placement. silenceLimit bounds the wait for the response header; 0
// sets no limit other than the deadline. The end of ctx ends the attempt, also while the response is read.
func (r *Router) send(ctx context.Context, q *request, p *placement, silenceLimit time.Duration) (result, *response) {
	endpoint := p.endpoint
	upReq := &upstream.Request{
		ID: q.call.RequestID, Method: q.in.Method, URI: requestURI(q.in), Host: q.in.Host, Header: q.endpointHeader(endpoint.ID, p.adapterVersion()),
		Pieces: q.body.Pieces(), Sent: q.body.Release, NonIdempotent: !q.route.Idempotent(), MatchResponse: q.matchResponse,
	}
	q.body.Retain()
	upResp, err := r.pool.Do(ctx, endpoint.Address, upReq, silenceLimit)
	if err != nil {
		q.addEvidence(endpoint.ID, evidenceOf(err))
		return q.sendFailed(endpoint.Address, err), nil
	}
	sameAddress := q.reached[endpoint.Address]
	q.recordDelivery(endpoint.Address)
	head := platform.ParseResponseHead(upResp.Status, upResp.Header)
	if upResp.Status != http.StatusMisdirectedRequest { // 421 may come from another endpoint at the address.
		r.observeRateLimit(endpoint, upResp)
		r.observeAvailability(endpoint, head)
	}
	doubtful := isDoubtfulRefusal(head, upResp)
	switch {
	case doubtful:
		q.addEvidence(endpoint.ID, strconv.Itoa(upResp.Status)+"_signed_reused")
		q.possibleRuns++
	case head.NotExecuted:
		q.addRefusalEvidence(endpoint.ID, upResp, sameAddress)
		r.counters.recordRefusal(upResp, sameAddress)
	default:
		q.possibleRuns++
	}
	if head.Forged || doubtful {
		upResp.Close(false)
		q.addStep(endpoint.ID, "forged")
		return resultBroken, nil
	}
	resp := &response{status: upResp.Status, header: upResp.Header, from: p}
	if q.route.Kind == catalog.KindStream && upResp.Status == http.StatusOK {
		resp.stream = upResp
		return resultResponded, resp
	}
	return r.readResponse(q, upResp, resp, head)
}

// isDoubtfulRefusal reports whether a refusal may consist of the first bytes of an earlier response and the rest of that to a
// request that ran: only the latter bears a signature, and only a connection in use has an earlier one.
func isDoubtfulRefusal(head platform.ResponseHead, resp *upstream.Response) bool {
	return head.NotExecuted && head.Signed && resp.Reused
}

// observeRateLimit records the rate limit that an endpoint names, or does not name, in a
// response.
func (r *Router) observeRateLimit(endpoint *catalog.Endpoint, resp *upstream.Response) {
	log := r.log.WithField("endpoint", endpoint.ID)
	limit, err := platform.ParseRateLimit(resp.Header)
	if err != nil {
		log.WithError(err).WithField("event", "endpoint_rate_limit").Warn("rate limit of an endpoint is invalid, ignored")
		return
	}
	if r.endpointTracker.observeRateLimit(endpoint, limit, time.Now()) {
		log.WithFields(logrus.Fields{
			"event": "endpoint_rate_limit", "named": limit.Named, "per_second": limit.PerSecond, "service": endpoint.Service,
		}).Info("rate limit of an endpoint changed")
		r.endpointLimits.SetNamed(endpoint, limit.Named, time.Now())
	}
}

// observeAvailability records whether an endpoint says that it drains or wants no requests for a
// time.
func (r *Router) observeAvailability(endpoint *catalog.Endpoint, head platform.ResponseHead) {
	signals := availability.Signals{Draining: head.Draining, RetryAfter: head.RetryAfter}
	change := r.endpointTracker.observeAvailability(endpoint, signals, time.Now())
	log := r.log.WithFields(logrus.Fields{"endpoint": endpoint.ID, "service": endpoint.Service})
	if change.Draining {
		r.counters.endpointsDraining.Inc(1)
		log.WithField("event", "endpoint_draining").Info("endpoint says that it drains")
	}
	if change.PushedBack {
		r.counters.endpointPushbacks.Inc(1)
		log.WithFields(logrus.Fields{"event": "endpoint_pushback", "ms": head.RetryAfter.Milliseconds()}).
			Info("endpoint wants no requests for a time")
	}
}

// matchResponse decides by the request id in a response whether it belongs to the request.
func (q *request) matchResponse(h http.Header) upstream.Match {
	switch platform.ParseResponseHead(http.StatusOK, h).RequestID {
	case q.call.RequestID:
		return upstream.MatchOwn
	case "":
		return upstream.MatchUnnamed
	default:
		return upstream.MatchOther
	}
}

// readResponse reads the whole response before any of it is forwarded, so that a truncated
// response is never passed on as complete.
func (r *Router) readResponse(q *request, upResp *upstream.Response, resp *response, head platform.ResponseHead) (result, *response) {
	maxBytes := maxBufferedBytes
	if upResp.Status >= http.StatusBadRequest {
		maxBytes = maxFailureBytes
		upResp.LimitBodyTime(failureBodyTimeout)
	}
	resp.body = bodies.NewBody(r.openResponse(q, int64(maxBytes)))
	q.responses = append(q.responses, resp.body)
	err := resp.body.ReadAll(q.ctx, upResp.Body, int64(maxBytes))
	upResp.Close(err == nil)
	if err != nil {
		if head.NotExecuted {
			return q.refusalResult(upResp.Status), nil
		}
		if errors.Is(err, bodies.ErrNoRoom) && q.ctx.Err() == nil {
			return resultNoRoom, nil
		}
		if q.ctx.Err() != nil {
			return resultCancelled, nil
		}
		return resultBroken, nil
	}
	switch {
	case head.NotExecuted:
		return q.refusalResult(upResp.Status), resp
	case promisesNotRun(upResp.Status) && !q.route.Idempotent():
		q.addEvidence(resp.from.endpoint.ID, strconv.Itoa(upResp.Status)+"_unproven")
		return resultFailed, nil // Passed on, the status would promise what the endpoint does not state.
	case upResp.Status >= http.StatusInternalServerError:
		return resultFailed, resp
	default:
		return resultResponded, resp
	}
}

// refusalResult returns the result of a refusal. An engine refuses requests for models and adapters that it has not loaded with the
// same status as those for another endpoint.
func (q *request) refusalResult(status int) result {
	if status == http.StatusMisdirectedRequest && q.call.Adapter.Model == "" {
		return resultMisdirected
	}
	return resultNotRun
}

// evidenceOf names what an error of the connection tells about the request, for the log.
func evidenceOf(err error) string {
	switch {
	case errors.Is(err, upstream.ErrNotSent):
		return "not_sent"
	case errors.Is(err, upstream.ErrWrongResponse):
		return "wrong_response"
	case errors.Is(err, upstream.ErrMalformedResponse):
		return "malformed"
	default:
		return "connection_broken"
	}
}

// sendFailed returns the result for a request that got no response header.
func (q *request) sendFailed(address string, err error) result {
	if errors.Is(err, upstream.ErrNotSent) {
		if q.ctx.Err() != nil {
			return resultCancelled
		}
		return resultUnreached
	}
	q.recordDelivery(address)
	q.possibleRuns++
	if q.ctx.Err() != nil {
		return resultCancelled
	}
	return resultBroken
}

// writeResponse writes a complete response to the caller.
func (r *Router) writeResponse(q *request, resp *response) {
	h := q.w.Header()
	for name, values := range platform.ResponseHeader(resp.header) {
		h[name] = values
	}
	h.Set("Content-Length", strconv.Itoa(resp.body.Len()))
	q.headerSent = true
	q.trace.status, q.trace.outcome = resp.status, "answered"
	q.trace.firstByte = time.Since(q.arrived)
	r.limitWrite(q)
	q.w.WriteHeader(resp.status)
	account := resp.body.Account()
	account.SetWriting(true)
	for _, piece := range resp.body.Pieces() {
		if err := r.writeBody(q, account, piece); err != nil {
			q.trace.outcome = "caller_left"
			return
		}
	}
	q.ended = true
}
