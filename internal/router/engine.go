package router

import (
	"strings"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

const (
	// maxGrantAttempts bounds the schedulers that receive a grant request for one request.
	maxGrantAttempts = 3
	// maxWaitFactor limits the wait for a grant to this multiple of the latency target. A
	// request that waits longer is refused rather than queued, because serving it would make
	// other requests late.
	maxWaitFactor = 1.5
	// minMaxWait keeps the maximum wait longer than an adapter load takes.
	minMaxWait = 400 * time.Millisecond
	// defaultLatencyTarget applies to routes without a latency target.
	defaultLatencyTarget = time.Second
	// silenceFactor is how long an engine may send nothing before the request continues on
	// another engine, as a multiple of the latency target.
	silenceFactor = 2.0
	// maxLoadingRouters bounds the number of routers that are assumed to request loads at the
	// same rate as this one. With a higher bound, one load of this router would be counted for
	// too many others.
	maxLoadingRouters = 4
	// maxColdGrantDelay is the largest delay of the reply with which the scheduler of a cold engine grants a request. A
	// router that was suspended would otherwise use all grants of that time at once.
	maxColdGrantDelay = 250 * time.Millisecond
	// minBusyRetryAfter is the shortest Retry-After for callers that are refused because all
	// engines are busy. Load peaks last for seconds and these requests are late in any case.
	minBusyRetryAfter = 2 * time.Second
)

// engineStrategy returns the strategy for model engines. It sends a request to an engine once
// the engine's scheduler has granted it.
func (r *Router) engineStrategy() strategy {
	return strategy{
		selectEndpoint: r.selectEngine,
		send: func(q *request, p *placement) (result, *response) {
			defer p.release()
			return r.attempt(q, p, q.engineSilenceLimit())
		},
		refuse: func(q *request, expectedWait time.Duration) {
			r.refuse(q, refusal.CodeEndpointBusy, "No engine can begin the request in time.", max(expectedWait, minBusyRetryAfter))
		},
	}
}

// selectEngine requests a grant from the best-ranked engines, one after the other. If none
// grants it, selectEngine returns the shortest expected wait.
func (r *Router) selectEngine(q *request) (*placement, time.Duration) {
	minWait := time.Duration(0)
	for range maxGrantAttempts {
		v := r.state.View()
		now := time.Now()
		ranked := routing.Rank(r.routing, r.job(q, now), r.engineCandidates(v, q, now))
		if len(ranked) == 0 {
			return nil, shorterWait(minWait, r.endpointTracker.minPushback(r.eligible(v, q, now), now))
		}
		best := ranked[0]
		endpoint := v.FindEndpoint(q.service.Name, best.ID)
		if endpoint == nil {
			q.tried[best.ID] = true
			continue
		}
		q.trace.expectedWait, q.trace.snapshotAge = best.ExpectedWait, best.SnapshotAge
		if best.LoadLimitExceeded {
			q.addStep(best.ID, "loads_crowded")
			return nil, minBusyRetryAfter
		}
		p, expectedWait := r.requestGrant(q, endpoint, best)
		if p != nil || q.ctx.Err() != nil {
			return p, expectedWait
		}
		q.tried[best.ID] = true
		minWait = shorterWait(minWait, expectedWait)
		if time.Since(q.arrived) > time.Duration(maxWaitFactor*float64(q.latencyTarget())) {
			break // The request has reached its maximum wait, and other queues are as long.
		}
	}
	return nil, minWait
}

// job returns the request's properties that the ranking of engines uses.
func (r *Router) job(q *request, now time.Time) routing.Job {
	return routing.Job{
		Key: q.call.Adapter, FailureDomain: r.settings.FailureDomain, Seed: rendezvous.Hash(q.call.RequestID), Priority: q.priority(), PromptTokens: q.call.PromptTokens,
		SharedTokens: q.sharedTokens(), PrefixSeed: q.prefixSeed(), MeanEvents: r.streamLengths.expected(q.route.Name),
		OthersPrefillRate: r.sendRates.others(q.service.Name, r.peers.Count(), now),
		Routers:           min(r.peers.Count(), maxLoadingRouters), MaxOnTimeWait: q.onTimeWait(now),
	}
}

// requestGrant requests a grant from one engine's scheduler. If it is not granted,
// requestGrant returns the expected wait. If the scheduler's last snapshot is stale and lists
// the adapter as loaded, the request is sent without a grant, unless the engine names a rate
// limit or is cold: the scheduler counts those requests.
func (r *Router) requestGrant(q *request, endpoint *catalog.Endpoint, choice routing.Choice) (*placement, time.Duration) {
	conn := r.schedulerConns.conn(endpoint.Address)
	if conn == nil {
		return nil, minRetryAfter
	}
	now := time.Now()
	rateLimit := r.endpointTracker.rateLimit(endpoint)
	cold := coldOf(r.state.View(), endpoint).Remaining(now)
	if !conn.state(now).fresh {
		if cold > 0 {
			r.counters.coldRefused.Inc(1)
			q.addStep(endpoint.ID, string(grants.RefusalCold))
			return nil, minRetryAfter
		}
		if choice.Resident && !rateLimit.Limit.Named && !q.binding.Bound { // Only a grant names the incarnation.
			// The engine refuses the request if the adapter is no longer loaded, or in another version.
			return &placement{endpoint: endpoint, announced: r.state.View().Versions[q.call.Adapter].Version}, 0
		}
		return nil, minRetryAfter
	}
	maxWait := q.maxWait(now)
	announced := r.state.View().Versions[q.call.Adapter].Version
	prefillMS := float64(q.call.PromptTokens) / r.routing.PrefillTokensPerMS
	r.sendRates.add(q.service.Name, prefillMS, now)
	conn.addPending(now, prefillMS, choice.ColdLoadTime > 0)
	began := time.Now()
	g, reply, err := conn.requestGrant(q.ctx, schedulerapi.GrantRequest{
		RequestID: q.call.RequestID, EndpointID: string(endpoint.ID), Incarnation: endpoint.Incarnation,
		Version: announced, FormerVersionMS: r.formerVersionMS(q.call.Adapter, announced, now),
		Model: q.call.Adapter.Model, Adapter: q.call.Adapter.Adapter,
		Parts: q.call.PromptParts, PromptTokens: q.call.PromptTokens, OutputTokens: q.call.OutputTokens, Priority: q.priority(),
		Continuation: q.binding.Bound,
		MaxWaitMS:    maxWait.Milliseconds(), LatencyTargetMS: max(q.latencyTarget()-now.Sub(q.arrived), 0).Milliseconds(),
		GapTargetMS: q.route.GapTarget.Milliseconds(), LoadMS: choice.ColdLoadTime.Milliseconds(),
		RateLimit: schedulerapi.EncodeRateLimit(rateLimit, now), ColdMS: cold.Milliseconds(),
	})
	took := time.Since(began)
	q.trace.grantWait += took
	if err != nil {
		q.addStep(endpoint.ID, "scheduler_silent")
		return nil, minRetryAfter
	}
	if g == nil {
		q.addStep(endpoint.ID, string(reply.Refusal))
		return nil, time.Duration(reply.ExpectedWaitMS) * time.Millisecond
	}
	if late := took - time.Duration(reply.WaitedMS)*time.Millisecond; reply.ColdMS > 0 && late > maxColdGrantDelay {
		g.release()
		q.addStep(endpoint.ID, "grant_late")
		return nil, minRetryAfter
	}
	v := r.state.View()
	now = time.Now()
	current := v.FindEndpoint(endpoint.Service, endpoint.ID)
	if current == nil || !r.endpointTracker.usable(current, now) || r.domains.isClosed(v, current.FailureDomain, now) {
		// The engine started to drain or refused another request while this one waited, or its domain was closed.
		g.release()
		q.addStep(endpoint.ID, "left_meanwhile")
		return nil, minRetryAfter
	}
	if !r.formerVersions.permits(q.call.Adapter, reply.Version, millis.Duration(prefillMS), now) {
		g.release() // The scheduler does not know the new version, or its reply came late.
		q.addStep(endpoint.ID, "former_version")
		return nil, minRetryAfter
	}
	software := softwareOf(current, reply.Incarnation)
	if !q.binding.Permits(software) {
		g.release() // The engine has started again with other software, or is about to be registered.
		q.addStep(endpoint.ID, "software_changed")
		return nil, minRetryAfter
	}
	q.trace.cold, q.trace.version = reply.Cold, reply.Version
	return &placement{endpoint: endpoint, grant: g, software: software}, 0
}

// formerVersionMS returns the time that is left to begin on a version before the announced one, nil if none is announced.
func (r *Router) formerVersionMS(key catalog.AdapterKey, announced int64, now time.Time) *int64 {
	if announced == 0 {
		return nil
	}
	by, _ := r.formerVersions.beginBy(key, announced-1)
	left := by.Sub(now).Milliseconds()
	return &left
}

// maxWait returns how long the request may wait for a grant.
func (q *request) maxWait(now time.Time) time.Duration {
	wait := time.Duration(maxWaitFactor*float64(q.latencyTarget())) - now.Sub(q.arrived)
	return min(max(wait, minMaxWait), q.remaining())
}

// onTimeWait returns the longest wait after which the first event can still be on time, and at
// least minMaxWait.
func (q *request) onTimeWait(now time.Time) time.Duration {
	return max(q.latencyTarget()-now.Sub(q.arrived), minMaxWait)
}

// latencyTarget returns the time from arrival within which the first event is on time.
func (q *request) latencyTarget() time.Duration {
	if q.route.LatencyTarget <= 0 {
		return defaultLatencyTarget
	}
	return q.route.LatencyTarget
}

// sharedTokens returns the tokens of all prompt parts but the last. Other requests may share
// these parts.
func (q *request) sharedTokens() int {
	shared := 0
	for i, part := range q.call.PromptParts {
		if i < len(q.call.PromptParts)-1 {
			shared += part.Tokens
		}
	}
	return shared
}

// minAffinityTokens is the number of shared prompt tokens from which requests with the same parts are sent to the same engine.
// Fewer are prefilled in a few milliseconds.
const minAffinityTokens = 1000

// prefixSeed returns a hash of the shared prompt parts, 0 if they are short.
func (q *request) prefixSeed() uint64 {
	if q.sharedTokens() < minAffinityTokens {
		return 0
	}
	return max(rendezvous.Hash(q.call.Adapter.Model+"/"+q.call.Adapter.Adapter+"/"+strings.Join(q.sharedParts(), ",")), 1)
}

// engineSilenceLimit returns how long an engine may send nothing, before the first event and
// between events, before another engine is tried. It returns 0 (no limit) if the request must
// not run again.
func (q *request) engineSilenceLimit() time.Duration {
	if !q.mayRunAgain() {
		return 0
	}
	return time.Duration(silenceFactor * float64(max(q.route.LatencyTarget, defaultLatencyTarget)))
}
