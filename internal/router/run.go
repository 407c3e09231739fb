package router

import (
	"context"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	// maxSends bounds the endpoints that one request is sent to, including those that prove
	// that they did not run it.
	maxSends = 4
	// minRetryTime is the remaining time below which a request is not retried.
	minRetryTime = 30 * time.Millisecond
	// noEndpointRetryAfter is the Retry-After if no endpoint took the request.
	noEndpointRetryAfter = 300 * time.Millisecond
)

// placement is the endpoint selected for a request and the grant to use it.
type placement struct {
	endpoint *catalog.Endpoint
	grant    *grant // Nil for a plain service, and for an engine whose scheduler sends no snapshots.
	software string // Software version of the incarnation that runs the request; "" if it is not certain.
	// announced is the latest announced adapter version that the router knows, for a request without a grant; 0 if
	// none is.
	announced int64
}

// adapterVersion returns the adapter version that the engine must have: the one that the scheduler granted, or without
// a grant the announced one; 0 if neither is known.
func (p *placement) adapterVersion() int64 {
	if p.grant == nil {
		return p.announced
	}
	return p.grant.reply.Version
}

// release releases the grant, if there is one.
func (p *placement) release() {
	if p.grant != nil {
		p.grant.release()
	}
}

// strategy selects and uses the endpoints of one kind of service.
type strategy struct {
	// selectEndpoint returns the next endpoint. If there is none, it returns the shortest
	// expected wait.
	selectEndpoint func(*request) (*placement, time.Duration)
	// send sends the request to the selected endpoint.
	send func(*request, *placement) (result, *response)
	// refuse refuses a request that has not run and has no endpoint.
	refuse func(q *request, expectedWait time.Duration)
}

// shorterWait returns the shorter of two waits, of which 0 is an unknown one.
func shorterWait(a, b time.Duration) time.Duration {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// run sends the request to one endpoint after the other until the caller has its final
// response.
func (r *Router) run(q *request, s strategy) {
	r.budgets.recordRequest(q.service.Name, time.Now())
	q.strategy = s
	var failure *response // Error response to forward if no other endpoint succeeds.
	for sends := 0; sends < maxSends || q.next != nil; sends++ {
		p, refused := q.next, false
		q.next = nil
		if p == nil {
			p, refused = r.takePlacement(q, failure == nil)
		}
		if refused {
			return
		}
		if p == nil {
			break
		}
		res, resp := s.send(q, p)
		q.addStep(p.endpoint.ID, resultNames[res])
		if done := r.handleResult(q, res, resp, &failure); done {
			return
		}
		if q.next == nil && !q.mayRetry(res) {
			break
		}
	}
	if failure != nil && !q.headerSent {
		r.writeResponse(q, failure)
		return
	}
	r.refuseUnanswered(q)
}

// takePlacement selects the next endpoint and takes what the request needs to be sent there. If there is none, and
// the request has not run, takePlacement may refuse the request; refused is set then.
func (r *Router) takePlacement(q *request, mayRefuse bool) (p *placement, refused bool) {
	p, expectedWait := q.strategy.selectEndpoint(q)
	if p == nil {
		if q.ctx.Err() == nil && mayRefuse && q.possibleRuns == 0 {
			q.strategy.refuse(q, expectedWait)
			return nil, true
		}
		return nil, false
	}
	if v := r.beginParts(q); !permits(v) {
		p.release()
		if q.possibleRuns == 0 {
			r.refuseParts(q, v)
			return nil, true
		}
		return nil, false
	}
	if q.delivered > 0 && !r.budgets.takeRetry(q.service.Name, time.Now()) {
		q.addStep(p.endpoint.ID, "no_budget")
		p.release()
		return nil, false
	}
	return p, false
}

// handleResult acts on the result of one attempt. It returns true if the request is finished.
func (r *Router) handleResult(q *request, res result, resp *response, failure **response) bool {
	switch res {
	case resultResponded:
		if resp != nil && q.headerSent {
			r.refuseUnanswered(q) // The response is no part of the stream that has begun.
			return true
		}
		if resp != nil {
			r.writeResponse(q, resp)
		}
		return true
	case resultFailed:
		if resp != nil {
			*failure = resp
		}
		return false
	case resultCancelled:
		r.finishLate(q)
		return true
	case resultNoRoom:
		r.refuse(q, refusal.CodeNoMemory, "There is no memory for the response; the request may have run.", noRoomRetryAfter)
		return true
	default:
		return false
	}
}

// attempt sends the request to an endpoint, forwards a streamed response and records the
// result in the endpoint's health. silenceLimit bounds each wait for data from the endpoint; 0
// sets no limit other than the deadline.
func (r *Router) attempt(q *request, p *placement, silenceLimit time.Duration) (result, *response) {
	endpoint := p.endpoint
	q.tried[endpoint.ID] = true
	q.attemptBegunAt = time.Time{}
	r.endpointTracker.requestStarted(endpoint)
	began := time.Now()
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	q.attempt = nil
	if key := q.call.Adapter; q.service.Engine != nil && key.Adapter != "" {
		q.attempt = r.formerVersions.start(key, p.adapterVersion(), cancel)
	}
	res, resp := r.send(ctx, q, p, silenceLimit)
	if res == resultResponded && resp.stream != nil {
		res, resp = r.forwardStream(q, resp, silenceLimit), nil
	}
	if r.formerVersions.settle(q.attempt) && res == resultBroken {
		res = resultOutdated
		r.counters.attemptsOutdated.Inc(1)
	}
	now := time.Now()
	r.endpointTracker.requestEnded(endpoint, func(h *routing.Health) { q.updateHealth(h, res, now.Sub(began), now) })
	if res == resultBroken || res == resultUnreached {
		r.pool.CloseIdle(endpoint.Address)
	}
	if res == resultBroken {
		q.trace.broken = true
		r.checkCrash(q, endpoint)
	}
	return res, resp
}

// updateHealth records the result of an attempt in the endpoint's health.
func (q *request) updateHealth(h *routing.Health, res result, took time.Duration, now time.Time) {
	switch res {
	case resultResponded:
		h.RecordSuccess(took, now)
	case resultUnreached, resultMisdirected:
		h.RecordUnreachable(now)
	case resultBroken, resultFailed:
		h.RecordFailure(now)
	case resultNotRun, resultCancelled, resultNoRoom, resultOutdated:
	}
}

// mayRunAgain reports whether another endpoint may run the request if the next attempt fails
// midway.
func (q *request) mayRunAgain() bool {
	return q.route.Idempotent() && q.possibleRuns+1 < q.route.MaxAttempts
}

// mayRetry reports whether the request may be sent to another endpoint after an attempt with
// this result.
func (q *request) mayRetry(res result) bool {
	if q.remaining() < minRetryTime || q.ctx.Err() != nil {
		return false
	}
	switch res {
	case resultUnreached, resultNotRun, resultMisdirected:
		return q.possibleRuns == 0 || q.route.Idempotent()
	case resultBroken, resultFailed, resultOutdated:
		return q.route.Idempotent() && q.possibleRuns < q.route.MaxAttempts && len(q.trial) == 0
	default:
		return false
	}
}

// refuseUnanswered refuses a request that got no response from any endpoint.
func (r *Router) refuseUnanswered(q *request) {
	if q.ctx.Err() != nil {
		r.finishLate(q)
		return
	}
	if q.possibleRuns > 0 {
		r.refuse(q, refusal.CodeEndpointFailed, "The endpoint broke off; the request may have run.", 0)
		return
	}
	r.refuse(q, refusal.CodeNoEndpoint, "No endpoint took the request.", noEndpointRetryAfter)
}

// finishLate ends a request whose deadline has passed, whose router stops or whose caller has disconnected. A
// disconnected caller gets no response.
func (r *Router) finishLate(q *request) {
	if q.in.Context().Err() != nil {
		q.trace.outcome = "caller_left"
		if q.headerSent {
			q.trace.outcome = "caller_left_midway"
		}
		if q.possibleRuns == 0 {
			r.returnQuota(q)
		}
		return
	}
	if r.stopper.stopped() {
		r.refuse(q, refusal.CodeDraining, "The router stops before the request has ended.", minRetryAfter)
		return
	}
	if q.possibleRuns > 0 {
		r.refuse(q, refusal.CodeDeadlineExceeded, "The deadline passed; the request may have run.", 0)
		return
	}
	r.refuse(q, refusal.CodeEndpointBusy, "The deadline passed before an endpoint took the request.", minRetryAfter)
}
