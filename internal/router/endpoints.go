package router

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/availability"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/coldstart"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

// endpointTracker keeps the health and the load of each endpoint as this router observes them.
type endpointTracker struct {
	mu           sync.Mutex
	byID         map[catalog.EndpointID]*endpointStats
	availability map[catalog.EndpointID]*availability.State // Of endpoints that said something about it.
}

// coldOf returns until when an endpoint is cold, as this router knows it.
func coldOf(v *catalog.View, ep *catalog.Endpoint) coldstart.Cold {
	if v.Config == nil || v.Config.Services[ep.Service] == nil {
		return coldstart.Cold{}
	}
	returnedAt, _ := v.Evacuations.ReturnedAt(ep.FailureDomain)
	return coldstart.OfEndpoint(v.Config.Services[ep.Service].Cold, ep.ColdUntil, returnedAt)
}

// coldLog logs when endpoints become cold. It is not safe for concurrent use.
type coldLog struct {
	log   *logrus.Entry
	until map[catalog.EndpointID]time.Time // Of cold endpoints.
}

// observe logs the endpoints that are cold in a view and were not before.
func (l *coldLog) observe(v *catalog.View, now time.Time) {
	maps.DeleteFunc(l.until, func(_ catalog.EndpointID, until time.Time) bool { return !until.After(now) })
	for _, list := range v.Endpoints {
		for _, ep := range list {
			cold := coldOf(v, ep)
			remaining := cold.Remaining(now)
			if remaining == 0 {
				continue
			}
			if _, known := l.until[ep.ID]; !known {
				l.log.WithFields(logrus.Fields{
					"event": "endpoint_cold", "endpoint": ep.ID, "service": ep.Service, "born": ep.Incarnation,
					"ms": remaining.Milliseconds(), "source": cold.Source,
				}).Info("endpoint is cold")
			}
			l.until[ep.ID] = cold.Until
		}
	}
}

// availabilityRetention is how long the availability of an endpoint is kept after its last signal.
// It exceeds the time for which endpoints serve on after they started to drain.
const availabilityRetention = 10 * time.Minute

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
		byID:         make(map[catalog.EndpointID]*endpointStats),
		availability: make(map[catalog.EndpointID]*availability.State),
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

// observeAvailability records what an endpoint says about its availability in a response that
// arrived now.
func (e *endpointTracker) observeAvailability(ep *catalog.Endpoint, signals availability.Signals, now time.Time) availability.Change {
	if signals == (availability.Signals{}) {
		return availability.Change{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.availability[ep.ID]
	if state == nil {
		state = &availability.State{}
		e.availability[ep.ID] = state
	}
	return state.Observe(ep.Incarnation, signals, now)
}

// isDraining reports whether an endpoint takes no new requests, by its registration or its
// responses. The caller holds e.mu.
func (e *endpointTracker) isDraining(ep *catalog.Endpoint) bool {
	state := e.availability[ep.ID]
	return ep.Draining || state != nil && state.Drains(ep.Incarnation)
}

// drains reports whether an endpoint takes no new requests.
func (e *endpointTracker) drains(ep *catalog.Endpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.isDraining(ep)
}

// pushbackWait returns how long an endpoint wants no requests. The caller holds e.mu.
func (e *endpointTracker) pushbackWait(ep *catalog.Endpoint, now time.Time) time.Duration {
	state := e.availability[ep.ID]
	if state == nil {
		return 0
	}
	return state.Wait(ep.Incarnation, now)
}

// usable reports whether an endpoint may receive a request now: it neither drains nor wants none
// for a time.
func (e *endpointTracker) usable(ep *catalog.Endpoint, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.isDraining(ep) && e.pushbackWait(ep, now) == 0
}

// anyStays reports whether at least one of the endpoints does not drain.
func (e *endpointTracker) anyStays(list []*catalog.Endpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(list, func(ep *catalog.Endpoint) bool { return !e.isDraining(ep) })
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
	for id, state := range e.availability {
		if state.IsExpired(now, availabilityRetention) {
			delete(e.availability, id)
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
	list []*catalog.Endpoint, excludes func(*catalog.Endpoint) bool, now time.Time,
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
			FailureRate: s.health.FailureRate(now), LatencyMS: s.health.LatencyMS(now), Tried: excludes(ep),
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
	registered, list := v.Endpoints[q.service.Name], r.eligible(v, q, now)
	out := make([]routing.Engine, 0, len(list))
	for _, ep := range list {
		conn := r.schedulerConns.conn(ep.Address)
		if conn == nil || !r.endpointTracker.usable(ep, now) || !q.binding.Permits(ep.SoftwareVersion) {
			continue
		}
		health := r.endpointTracker.healthOf(ep)
		state := conn.state(now)
		if isFormer(ep, state.snapshot.Incarnation, registered) {
			continue
		}
		out = append(out, routing.Engine{
			ID: ep.ID, FailureDomain: ep.FailureDomain, Snapshot: state.snapshot, SnapshotFresh: state.fresh, SnapshotAge: state.age,
			PendingPrefillMS: state.pendingPrefillMS, PendingLoads: state.pendingLoads,
			FailureRate: health.FailureRate(now),
			Cached:      conn.cached(q.call.Adapter), Tried: q.excludes(ep) || health.IsBlocked(now),
		})
	}
	return out
}

// isFormer reports whether an endpoint is a former incarnation of the engine at its address, whose current one is registered too. The
// engine would refuse its requests until the registration expires.
func isFormer(ep *catalog.Endpoint, current int64, registered []*catalog.Endpoint) bool {
	return ep.Incarnation < current && slices.ContainsFunc(registered, func(other *catalog.Endpoint) bool {
		return other.Address == ep.Address && other.Incarnation == current
	})
}
