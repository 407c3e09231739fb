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
			return r.attempt(q, p, q.plainSilenceLimit())
		},
		refuse: func(q *request, expectedWait time.Duration) {
			if expectedWait == 0 {
				r.refuseUnanswered(q)
				return
			}
			r.refuse(q, refusal.CodeEndpointBusy, "The endpoints of the service take no further requests for now.", expectedWait)
		},
	}
}

// selectPlain selects the best endpoint that was not tried and whose rate limit permits the
// request. If there is none, it returns the shortest wait until a limit or a Retry-After permits
// one, or 0 if no endpoint has either.
func (r *Router) selectPlain(q *request) (*placement, time.Duration) {
	v := r.state.View()
	now, list := time.Now(), q.permitted(v.Endpoints[q.service.Name])
	candidates := r.endpointTracker.plainCandidates(list, q.excludes, now)
	othersRate := r.sendRates.others(q.service.Name, r.peers.Count(), now)
	minWait := r.endpointTracker.minPushback(list, now)
	for _, id := range routing.RankPlainEndpoints(r.settings.FailureDomain, candidates, othersRate, rand.Float64) {
		endpoint := v.FindEndpoint(q.service.Name, id)
		if endpoint == nil {
			continue
		}
		d := r.endpointLimits.Take(q.ctx, endpoint, r.endpointTracker.rateLimit(endpoint))
		if d.Admitted {
			r.sendRates.add(q.service.Name, 1, now)
			return &placement{endpoint: endpoint, software: endpoint.SoftwareVersion}, 0
		}
		r.counters.rateLimited.Inc(1)
		q.addStep(id, stepRateLimited)
		minWait = shorterWait(minWait, d.RetryAfter)
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
