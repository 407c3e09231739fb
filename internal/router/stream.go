package router

import (
	"io"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/eventstream"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// passStream passes the events of a stream on as they come. The head of the
// answer goes out with the first event, so that a stream that breaks off before
// it leaves no trace at the caller.
func (r *Router) passStream(q *request, a *answer, silence time.Duration) result {
	whole := false
	defer func() { a.stream.Close(whole) }()
	events := eventstream.NewReader(a.stream.Body)
	for {
		if silence > 0 {
			a.stream.SetSilence(silence)
		}
		e, err := events.Next()
		if err == io.EOF {
			whole = true
			r.endStream(q, a)
			return resultAnswered
		}
		if err != nil {
			if q.ctx.Err() != nil {
				return resultLeft
			}
			return resultBroken
		}
		if !r.passEvent(q, a, e) {
			return resultLeft
		}
	}
}

// passEvent writes one event; it returns false where the caller has left.
func (r *Router) passEvent(q *request, a *answer, e eventstream.Event) bool {
	r.beginStream(q, a)
	if _, err := q.w.Write(e.Raw); err != nil {
		q.story.outcome = "caller_left_midway"
		return false
	}
	now := time.Now()
	if q.events > 0 {
		q.story.pause = max(q.story.pause, now.Sub(q.eventAt))
	}
	q.eventAt = now
	q.events++
	if e.ID != "" {
		q.last = e.ID
	}
	return http.NewResponseController(q.w).Flush() == nil
}

// beginStream writes the head of the first engine's answer.
func (r *Router) beginStream(q *request, a *answer) {
	if q.begun {
		return
	}
	h := q.w.Header()
	for name, values := range platform.CallerHeader(a.header) {
		h[name] = values
	}
	q.begun = true
	q.story.first = time.Since(q.arrived)
	q.story.status = a.status
	q.w.WriteHeader(a.status)
}

func (r *Router) endStream(q *request, a *answer) {
	r.beginStream(q, a)
	q.story.outcome = "answered"
	r.lengths.note(q.route.Name, q.events)
}
