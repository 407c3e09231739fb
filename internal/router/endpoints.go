package router

import (
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

// endpointTracker keeps the health and the load of each endpoint as this router observes them.
type endpointTracker struct {
	mu       sync.Mutex
	byID     map[catalog.EndpointID]*endpointStats
	draining map[catalog.EndpointID]drainingEndpoint // Endpoints that said in a response that they drain.
	pushback map[catalog.EndpointID]pushback         // Endpoints that refused a request for a time.
}

// pushback is how long an incarnation wants no requests from this router.
type pushback struct {
	incarnation int64
	until       time.Time
}

// drainingEndpoint is an incarnation that drains, and when a response said so last.
type drainingEndpoint struct {
	incarnation int64
	at          time.Time
}

// drainingRetention is how long an endpoint that drains is remembered after its last response. It
// exceeds the time for which endpoints serve on after they started to drain.
const drainingRetention = 10 * time.Minute

// endpointStats is what this router has observed of one endpoint.
type endpointStats struct {
	health      routing.Health
	outstanding int    // Requests of this router that the endpoint has not finished.
	service     string // Name of the endpoint's service.
	incarnation int64  // Incarnation that rateLimit belongs to.
	rateLimit   ratelimit.Observation
}

func newEndpointTracker() *endpointTracker {
	return &endpointTracker{
		byID: make(map[catalog.EndpointID]*endpointStats), draining: make(map[catalog.EndpointID]drainingEndpoint),
		pushback: make(map[catalog.EndpointID]pushback),
	}
}

// requestStarted counts a request that this router sends to an endpoint.
func (e *endpointTracker) requestStarted(ep *catalog.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stats(ep).outstanding++
}

// requestEnded counts the end of a request and calls update to record its result in the
// endpoint's health.
func (e *endpointTracker) requestEnded(ep *catalog.Endpoint, update func(*routing.Health)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats(ep)
	s.outstanding--
	update(&s.health)
}

// observeRateLimit records the rate limit of a response that arrived now. It reports whether the
// limit differs from the last one of the incarnation.
func (e *endpointTracker) observeRateLimit(ep *catalog.Endpoint, limit ratelimit.Limit, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.stats(ep)
	former := s.rateLimitOf(ep)
	s.incarnation, s.rateLimit = ep.Incarnation, ratelimit.Observation{Limit: limit, At: now}
	return former.Limit != limit
}

// markDraining records that an incarnation drains. It reports whether that is new.
func (e *endpointTracker) markDraining(ep *catalog.Endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	known := e.isDraining(ep)
	e.draining[ep.ID] = drainingEndpoint{incarnation: ep.Incarnation, at: now}
	return !known
}

// isDraining reports whether an endpoint takes no new requests, by its registration or its
// responses. The caller holds e.mu.
func (e *endpointTracker) isDraining(ep *catalog.Endpoint) bool {
	d, ok := e.draining[ep.ID]
	return ep.Draining || ok && d.incarnation == ep.Incarnation
}

// setPushback records that an endpoint wants no requests before a time. An earlier time than the
// recorded one is ignored. It reports whether the endpoint was used until now.
func (e *endpointTracker) setPushback(ep *catalog.Endpoint, until, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	former := e.pushbackWait(ep, now)
	if now.Add(former).Before(until) {
		e.pushback[ep.ID] = pushback{incarnation: ep.Incarnation, until: until}
	}
	return former == 0
}

// pushbackWait returns how long an endpoint wants no requests. The caller holds e.mu.
func (e *endpointTracker) pushbackWait(ep *catalog.Endpoint, now time.Time) time.Duration {
	p := e.pushback[ep.ID]
	if p.incarnation != ep.Incarnation {
		return 0
	}
	return max(p.until.Sub(now), 0)
}

// usable reports whether an endpoint may receive a request now: it neither drains nor wants none
// for a time.
func (e *endpointTracker) usable(ep *catalog.Endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.isDraining(ep) && e.pushbackWait(ep, now) == 0
}

// minPushback returns the shortest time after which one of the endpoints that want no requests
// for a time may be used again; 0 if there is none.
func (e *endpointTracker) minPushback(list []*catalog.Endpoint, now time.Time) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	shortest := time.Duration(0)
	for _, ep := range list {
		if !e.isDraining(ep) {
			shortest = shorterWait(shortest, e.pushbackWait(ep, now))
		}
	}
	return shortest
}

// rateLimit returns the last observation of an endpoint's rate limit.
func (e *endpointTracker) rateLimit(ep *catalog.Endpoint) ratelimit.Observation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats(ep).rateLimitOf(ep)
}

// rateLimitOf returns the last observation of an incarnation's rate limit.
func (s *endpointStats) rateLimitOf(ep *catalog.Endpoint) ratelimit.Observation {
	if s.incarnation != ep.Incarnation {
		return ratelimit.Observation{}
	}
	return s.rateLimit
}

// stats returns the statistics of an endpoint and creates them if needed. The caller holds
// e.mu.
func (e *endpointTracker) stats(ep *catalog.Endpoint) *endpointStats {
	s := e.byID[ep.ID]
	if s == nil {
		s = &endpointStats{service: ep.Service}
		e.byID[ep.ID] = s
	}
	return s
}

// sync drops the statistics of endpoints that are not in the view and have no outstanding
// requests.
func (e *endpointTracker) sync(v *catalog.View, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, d := range e.draining {
		if now.Sub(d.at) > drainingRetention {
			delete(e.draining, id)
		}
	}
	for id, p := range e.pushback {
		if now.After(p.until) {
			delete(e.pushback, id)
		}
	}
	for id, s := range e.byID {
		if s.outstanding == 0 && v.FindEndpoint(s.service, id) == nil {
			delete(e.byID, id)
		}
	}
}

// plainCandidates returns the usable endpoints of a plain service. It leaves out
// blocked endpoints unless all are blocked.
func (e *endpointTracker) plainCandidates(
	list []*catalog.Endpoint, tried map[catalog.EndpointID]bool, now time.Time,
) []routing.PlainEndpoint {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]routing.PlainEndpoint, 0, len(list))
	unblocked := make([]routing.PlainEndpoint, 0, len(list))
	for _, ep := range list {
		if e.isDraining(ep) || e.pushbackWait(ep, now) > 0 {
			continue
		}
		s := e.stats(ep)
		c := routing.PlainEndpoint{
			ID: ep.ID, FailureDomain: ep.FailureDomain, Slots: ep.Slots, Outstanding: s.outstanding,
			FailureRate: s.health.FailureRate(now), LatencyMS: s.health.LatencyMS(), Tried: tried[ep.ID],
		}
		all = append(all, c)
		if !s.health.IsBlocked(now) {
			unblocked = append(unblocked, c)
		}
	}
	if len(unblocked) == 0 {
		return all
	}
	return unblocked
}

// healthOf returns a copy of an endpoint's health.
func (e *endpointTracker) healthOf(ep *catalog.Endpoint) routing.Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats(ep).health
}

// engineCandidates returns the usable engines of the request's service that have a scheduler
// connection.
func (r *Router) engineCandidates(v *catalog.View, q *request, now time.Time) []routing.Engine {
	list := v.Endpoints[q.service.Name]
	out := make([]routing.Engine, 0, len(list))
	for _, ep := range list {
		conn := r.schedulerConns.conn(ep.Address)
		if conn == nil || !r.endpointTracker.usable(ep, now) {
			continue
		}
		health := r.endpointTracker.healthOf(ep)
		state := conn.state(now)
		out = append(out, routing.Engine{
			ID: ep.ID, FailureDomain: ep.FailureDomain, Snapshot: state.snapshot, SnapshotFresh: state.fresh,
			PendingPrefillMS: state.pendingPrefillMS, PendingLoads: state.pendingLoads,
			FailureRate: health.FailureRate(now),
			Cached:      conn.cached(q.call.Adapter), Tried: q.tried[ep.ID] || health.IsBlocked(now),
		})
	}
	return out
}
