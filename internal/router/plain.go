package router

import (
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

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
		refuse: func(q *request, _ time.Duration) { r.refuseUnanswered(q) },
	}
}

// selectPlain selects the best endpoint that was not tried.
func (r *Router) selectPlain(q *request) (*placement, time.Duration) {
	v := r.state.View()
	candidates := r.endpointTracker.plainCandidates(v.Endpoints[q.service.Name], q.tried, time.Now())
	ranked := routing.RankPlainEndpoints(r.settings.FailureDomain, candidates, rand.Float64)
	if len(ranked) == 0 {
		return nil, 0
	}
	endpoint := v.FindEndpoint(q.service.Name, ranked[0])
	if endpoint == nil {
		return nil, 0
	}
	return &placement{endpoint: endpoint}, 0
}

// plainSilenceLimit returns how long an endpoint may stay silent before another one is tried.
// It returns 0 (no limit) if the request must not run again.
func (q *request) plainSilenceLimit() time.Duration {
	if !q.mayRunAgain() {
		return 0
	}
	return max(time.Duration(silenceShare*float64(q.remaining())), q.route.LatencyTarget)
}
