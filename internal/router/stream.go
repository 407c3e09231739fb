package router

import (
	"cmp"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/eventstream"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// forwardStream forwards the events of a stream as they arrive. The response header is sent
// with the first event. A stream that breaks off before its first event can therefore be
// retried without the caller noticing. silenceLimit is how long an event may take; 0 sets no limit. After
// that time a stream that has not begun is given up, and one that has begun once another endpoint has taken it.
func (r *Router) forwardStream(q *request, resp *response, silenceLimit time.Duration) result {
	complete := false
	defer func() { resp.stream.Close(complete) }()
	source := r.newEventSource(q, resp.stream.Body)
	defer source.stop()
	for {
		next := r.nextEvent(q, source, silenceLimit)
		e, err := next.event, next.err
		if err == io.EOF && q.attemptBegunAt.IsZero() && !resp.stream.SelfDelimited() {
			return resultBroken // Without an event, the end of the connection is no evidence of a complete stream.
		}
		if err == io.EOF {
			complete = true
			r.endStream(q, resp)
			return resultResponded
		}
		if err != nil {
			if q.ctx.Err() != nil {
				return resultCancelled
			}
			if errors.Is(err, bodies.ErrNoRoom) {
				return resultNoRoom
			}
			return resultBroken
		}
		if !eventstream.Follows(cmp.Or(q.lastEventID, q.call.LastEventID), e.ID) {
			q.addStep(resp.from.endpoint.ID, "event_out_of_order")
			return resultBroken // The caller has the event, or it belongs to another stream.
		}
		if q.attemptBegunAt.IsZero() && r.formerVersions.settle(q.attempt) {
			return resultBroken // It was given up before.
		}
		if q.attemptBegunAt.IsZero() && !r.beginStream(q, resp.from) {
			q.addStep(resp.from.endpoint.ID, "software_changed")
			return resultBroken
		}
		if !r.forwardEvent(q, resp, next) {
			return resultCancelled
		}
	}
}

// errSilent reports a stream that is given up because its endpoint sends nothing.
const errSilent = errors.ConstError("endpoint sends nothing")

// nextEvent returns the next event of a stream, or errSilent once the stream is to be given up.
func (r *Router) nextEvent(q *request, source *eventSource, silenceLimit time.Duration) eventResult {
	source.request()
	for {
		var silent <-chan time.Time
		if silenceLimit > 0 {
			timer := time.NewTimer(silenceLimit)
			defer timer.Stop()
			silent = timer.C
		}
		select {
		case next := <-source.results:
			return next
		case <-silent:
		}
		if q.attemptBegunAt.IsZero() {
			return eventResult{err: errSilent}
		}
		if !r.takeNextPlacement(q) {
			continue // The endpoint may be slow but sound.
		}
		select {
		case next := <-source.results:
			q.next.release()
			q.next = nil
			return next
		default:
			return eventResult{err: errSilent}
		}
	}
}

// takeNextPlacement looks for another endpoint that goes on with a stream. It returns false, and leaves the request as it
// was, if there is none.
func (r *Router) takeNextPlacement(q *request) bool {
	if !q.mayRetry(resultBroken) {
		return false
	}
	tried := maps.Clone(q.tried)
	if q.next, _ = r.takePlacement(q, false); q.next == nil {
		q.tried = tried
	}
	return q.next != nil
}

// eventSource reads the events of a stream in the background, one for each request.
type eventSource struct {
	requests chan struct{}
	results  chan eventResult
}

// eventResult is an event or the error in its place.
type eventResult struct {
	event   eventstream.Event
	err     error
	account *bodies.Account // Of the buffer that holds the event; nil for a short one.
}

// newEventSource returns a source of the events of body. It reads until body ends or fails, or until stop.
func (r *Router) newEventSource(q *request, body io.Reader) *eventSource {
	s := &eventSource{requests: make(chan struct{}, 1), results: make(chan eventResult, 1)}
	go func() {
		var account *bodies.Account
		defer func() { account.Close() }()
		events := eventstream.NewReader(body)
		events.Reserve = func(n int) error {
			if n < 0 {
				account.Release(-n)
				return nil
			}
			if account == nil {
				account = r.openResponse(q, eventstream.MaxEventBytes)
			}
			return account.Reserve(q.ctx, n)
		}
		for range s.requests {
			e, err := events.Next()
			s.results <- eventResult{e, err, account}
		}
	}()
	return s
}

// request asks for the next event. The former one is no longer valid.
func (s *eventSource) request() { s.requests <- struct{}{} }

// stop ends the source once its current read has ended.
func (s *eventSource) stop() { close(s.requests) }

// forwardEvent writes one event to the caller. It returns false if the caller has
// disconnected.
func (r *Router) forwardEvent(q *request, resp *response, next eventResult) bool {
	e := next.event
	next.account.SetWriting(true)
	defer next.account.SetWriting(false)
	r.limitWrite(q)
	r.writeStreamHeader(q, resp)
	if err := r.writeBody(q, next.account, e.Raw); err != nil {
		q.trace.outcome = "caller_left_midway"
		return false
	}
	now := time.Now()
	if q.events > 0 {
		q.trace.longestGap = max(q.trace.longestGap, now.Sub(q.lastEventAt))
	}
	if q.attemptBegunAt.IsZero() {
		q.attemptBegunAt = now
		q.trace.software = append(q.trace.software, resp.from.software)
	}
	q.lastEventAt = now
	q.events++
	if e.ID != "" {
		q.lastEventID = e.ID
	}
	return http.NewResponseController(q.w).Flush() == nil
}

// writeStreamHeader sends the response header unless it was sent before. After a retry the
// header of the first endpoint remains in force.
func (r *Router) writeStreamHeader(q *request, resp *response) {
	if q.headerSent {
		return
	}
	h := q.w.Header()
	for name, values := range platform.ResponseHeader(resp.header) {
		h[name] = values
	}
	q.headerSent = true
	q.trace.firstByte = time.Since(q.arrived)
	q.trace.status = resp.status
	q.w.WriteHeader(resp.status)
}

// endStream records the end of a complete stream.
func (r *Router) endStream(q *request, resp *response) {
	r.writeStreamHeader(q, resp)
	q.ended = true
	q.trace.outcome = "answered"
	r.streamLengths.record(q.route.Name, q.events)
}
