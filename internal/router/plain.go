package router

import (
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Steps of an endpoint that its rate limit, or its rate while it is cold, leaves out for the request.
const (
	stepRateLimited = "endpoint_rate_limit"
	stepCold        = "endpoint_cold"
)

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

// selectPlain selects the best endpoint that was not tried and whose rate limit, and rate while it is cold, permit the
// request. If there is none, it returns the shortest wait until a limit or a Retry-After permits
// one, or 0 if no endpoint has either.
func (r *Router) selectPlain(q *request) (*placement, time.Duration) {
	v := r.state.View()
	now := time.Now()
	list := q.permitted(r.eligible(v, q, now))
	candidates := r.endpointTracker.plainCandidates(list, q.excludes, now)
	othersRate := r.sendRates.others(q.service.Name, r.peers.Count(), now)
	minWait := r.endpointTracker.minPushback(list, now)
	for _, id := range routing.RankPlainEndpoints(r.settings.FailureDomain, candidates, othersRate, rand.Float64) {
		endpoint := v.FindEndpoint(q.service.Name, id)
		if endpoint == nil {
			continue
		}
		cold := coldRate(v, endpoint, now)
		d := r.endpointLimits.Take(q.ctx, endpoint, r.endpointTracker.rateLimit(endpoint), cold)
		if r.domains.isClosed(r.state.View(), endpoint.FailureDomain, time.Now()) {
			q.addStep(id, "left_meanwhile") // The call to the router that counts takes time.
			continue
		}
		if d.Admitted {
			r.sendRates.add(q.service.Name, 1, now)
			return &placement{endpoint: endpoint, software: endpoint.SoftwareVersion}, 0
		}
		if cold.Remaining > 0 {
			r.counters.coldRefused.Inc(1)
			q.addStep(id, stepCold)
		} else {
			r.counters.rateLimited.Inc(1)
			q.addStep(id, stepRateLimited)
		}
		minWait = shorterWait(minWait, d.RetryAfter)
	}
	return nil, minWait
}

// coldRate returns the rate of an endpoint that is cold.
func coldRate(v *catalog.View, ep *catalog.Endpoint, now time.Time) quota.ColdRate {
	remaining := coldOf(v, ep).Remaining(now)
	if remaining == 0 {
		return quota.ColdRate{}
	}
	return quota.ColdRate{PerSecond: v.Config.Services[ep.Service].Cold.PerSecond, Remaining: remaining}
}

// plainSilenceLimit returns how long an endpoint may stay silent before another one is tried.
// It returns 0 (no limit) if the request must not run again.
func (q *request) plainSilenceLimit() time.Duration {
	if !q.mayRunAgain() {
		return 0
	}
	return max(time.Duration(silenceShare*float64(q.remaining())), q.route.LatencyTarget)
}
