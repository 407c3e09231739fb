package router

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	// mostSends bounds the endpoints that one request is sent to where each
	// proves that it did not run it.
	mostSends = 4
	// againMargin is the least time that a further try must have.
	againMargin = 30 * time.Millisecond
	// unreachedWait is the pause before all endpoints are tried once more.
	unreachedWait = 300 * time.Millisecond
)

// placed is an endpoint for a request, with its turn where it has one.
type placed struct {
	to   *catalog.Endpoint
	turn *turn // Nil for a plain service, and where a scheduler is silent.
}

func (p *placed) release() {
	if p.turn != nil {
		p.turn.release()
	}
}

// way is how the endpoints of a kind of service are found and used.
type way struct {
	// place returns the next endpoint. Where there is none, it returns the least
	// wait that was expected.
	place func(*request) (*placed, time.Duration)
	// use sends the request to an endpoint.
	use func(*request, *placed) (result, *answer)
	// none refuses a request that has not run and that no endpoint takes.
	none func(q *request, expected time.Duration)
}

// run sends a request to one endpoint after the other until it has its final
// answer.
func (r *Router) run(q *request, w way) {
	r.budget.request(q.service.Name, time.Now())
	var held *answer // A failure that is passed on if nothing better comes.
	for range mostSends {
		p, expected := w.place(q)
		if p == nil {
			if q.ctx.Err() == nil && held == nil && q.runs == 0 {
				w.none(q, expected)
				return
			}
			break
		}
		if q.arrivals > 0 && !r.budget.take(q.service.Name, time.Now()) {
			q.step(p.to.ID, "no_budget")
			p.release()
			break
		}
		res, a := w.use(q, p)
		q.step(p.to.ID, resultNames[res])
		if done := r.settle(q, res, a, &held); done {
			return
		}
		if !q.mayGoOn(res) {
			break
		}
	}
	if held != nil && !q.begun {
		r.pass(q, held)
		return
	}
	r.giveUp(q)
}

// settle handles the result of one endpoint; it returns true once the request
// has its final answer.
func (r *Router) settle(q *request, res result, a *answer, held **answer) bool {
	switch res {
	case resultAnswered:
		if a != nil {
			r.pass(q, a)
		}
		return true
	case resultFailed:
		*held = a
		return false
	case resultLeft:
		r.tooLate(q)
		return true
	default:
		return false
	}
}

// attempt sends the request to an endpoint, passes a stream on, and notes what
// became of it. silence bounds the waits for the endpoint; 0 waits until the
// deadline.
func (r *Router) attempt(q *request, to *catalog.Endpoint, version int64, silence time.Duration) (result, *answer) {
	q.tried[to.ID] = true
	r.endpoints.begin(to)
	began := time.Now()
	res, a := r.send(q, to, version, silence)
	if res == resultAnswered && a.stream != nil {
		res, a = r.passStream(q, a, silence), nil
	}
	now := time.Now()
	r.endpoints.end(to, func(h *routing.Health) { q.note(h, res, now.Sub(began), now) })
	if res == resultBroken || res == resultUnreached {
		r.pool.Forget(to.Address)
	}
	if res == resultBroken {
		r.suspects.broke(q.fingerprint(), to)
	}
	return res, a
}

// note tells an endpoint's health what became of the request.
func (q *request) note(h *routing.Health, res result, took time.Duration, now time.Time) {
	switch res {
	case resultAnswered:
		h.Finished(took, now)
	case resultUnreached:
		h.Unreached(now)
	case resultBroken, resultFailed:
		h.Failed(now)
	case resultNotRun, resultLeft:
	}
}

// mayRunAgain reports whether another endpoint may run the request, should the
// next one fail.
func (q *request) mayRunAgain() bool {
	return q.route.Idempotent() && q.runs+1 < q.route.Attempts
}

// mayGoOn reports whether the request may be sent to another endpoint.
func (q *request) mayGoOn(res result) bool {
	if q.left() < againMargin || q.ctx.Err() != nil {
		return false
	}
	switch res {
	case resultUnreached, resultNotRun:
		return q.runs == 0 || q.route.Idempotent()
	case resultBroken, resultFailed:
		return q.route.Idempotent() && q.runs < q.route.Attempts
	default:
		return false
	}
}

// giveUp answers a request that no endpoint answered.
func (r *Router) giveUp(q *request) {
	if q.ctx.Err() != nil {
		r.tooLate(q)
		return
	}
	if q.runs > 0 {
		r.refuse(q, refusal.CodeEndpointFailed, "The endpoint broke off; the request may have run.", 0)
		return
	}
	r.refuse(q, refusal.CodeNoEndpoint, "No endpoint took the request.", unreachedWait)
}

// tooLate answers a request whose deadline has passed. A caller that left gets
// nothing.
func (r *Router) tooLate(q *request) {
	if q.in.Context().Err() != nil {
		q.story.outcome = "caller_left"
		if q.begun {
			q.story.outcome = "caller_left_midway"
		}
		if q.runs == 0 {
			r.giveBack(q)
		}
		return
	}
	if q.runs > 0 {
		r.refuse(q, refusal.CodeDeadline, "The deadline passed; the request may have run.", 0)
		return
	}
	r.refuse(q, refusal.CodeEndpointBusy, "The deadline passed before an endpoint took the request.", retryLeast)
}
