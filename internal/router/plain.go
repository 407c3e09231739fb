package router

import (
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// stepRateLimited is the step of an endpoint whose rate limit does not permit the request.
const stepRateLimited = "endpoint_rate_limit"

// silenceShare is the part of the remaining time that an endpoint of a plain service may stay
// silent before an idempotent request is sent to another one.
const silenceShare = 0.45

// plainStrategy returns the strategy for plain services. Their requests need no grant.
func (r *Router) plainStrategy() strategy {
	return strategy{
		selectEndpoint: r.selectPlain,
		send: func(q *request, p *placement) (result, *response) {
			return r.attempt(q, p.endpoint, 0, q.plainSilenceLimit())
		},
		refuse: func(q *request, expectedWait time.Duration) {
			if expectedWait == 0 {
				r.refuseUnanswered(q)
				return
			}
			r.refuse(q, refusal.CodeEndpointBusy, "All endpoints of the service are at their rate limits.", expectedWait)
		},
	}
}

// selectPlain selects the best endpoint that was not tried and whose rate limit permits the
// request. If the limits of all permit none, it returns the shortest wait.
func (r *Router) selectPlain(q *request) (*placement, time.Duration) {
	v := r.state.View()
	candidates := r.endpointTracker.plainCandidates(v.Endpoints[q.service.Name], q.tried, time.Now())
	minWait := time.Duration(0)
	for _, id := range routing.RankPlainEndpoints(r.settings.FailureDomain, candidates, rand.Float64) {
		endpoint := v.FindEndpoint(q.service.Name, id)
		if endpoint == nil {
			continue
		}
		d := r.endpointLimits.Take(q.ctx, endpoint, r.endpointTracker.rateLimit(endpoint))
		if d.Admitted {
			return &placement{endpoint: endpoint}, 0
		}
		r.counters.rateLimited.Inc(1)
		q.addStep(id, stepRateLimited)
		if minWait == 0 || d.RetryAfter < minWait {
			minWait = d.RetryAfter
		}
	}
	return nil, minWait
}

// plainSilenceLimit returns how long an endpoint may stay silent before another one is tried.
// It returns 0 (no limit) if the request must not run again.
func (q *request) plainSilenceLimit() time.Duration {
	if !q.mayRunAgain() {
		return 0
	}
	return max(time.Duration(silenceShare*float64(q.remaining())), q.route.LatencyTarget)
}
