package router

import (
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

// endpoints is what the router has seen of each endpoint.
type endpoints struct {
	mu  sync.Mutex
	all map[catalog.EndpointID]*seen
}

type seen struct {
	health      routing.Health
	outstanding int
	service     string
}

func newEndpoints() *endpoints { return &endpoints{all: make(map[catalog.EndpointID]*seen)} }

// begin counts a request that is sent to an endpoint.
func (e *endpoints) begin(to *catalog.Endpoint) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.get(to).outstanding++
}

// end counts the end of a request and notes how it went.
func (e *endpoints) end(to *catalog.Endpoint, note func(*routing.Health)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.get(to)
	s.outstanding--
	note(&s.health)
}

func (e *endpoints) get(to *catalog.Endpoint) *seen {
	s := e.all[to.ID]
	if s == nil {
		s = &seen{service: to.Service}
		e.all[to.ID] = s
	}
	return s
}

// sync forgets endpoints that left the view and run nothing.
func (e *endpoints) sync(v *catalog.View) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for id, s := range e.all {
		if s.outstanding == 0 && v.Find(s.service, id) == nil {
			delete(e.all, id)
		}
	}
}

// plain returns the candidates of a plain service. Blocked endpoints are left
// out unless all are blocked.
func (e *endpoints) plain(list []*catalog.Endpoint, tried map[catalog.EndpointID]bool, now time.Time) []routing.Plain {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make([]routing.Plain, 0, len(list))
	open := make([]routing.Plain, 0, len(list))
	for _, ep := range list {
		if ep.Draining {
			continue
		}
		s := e.get(ep)
		c := routing.Plain{
			ID: ep.ID, Domain: ep.Domain, Slots: ep.Slots, Outstanding: s.outstanding,
			Failing: s.health.Failing(now), LatencyMS: s.health.LatencyMS(), Tried: tried[ep.ID],
		}
		all = append(all, c)
		if !s.health.Blocked(now) {
			open = append(open, c)
		}
	}
	if len(open) == 0 {
		return all
	}
	return open
}

// health returns a copy of what is known of an endpoint.
func (e *endpoints) health(ep *catalog.Endpoint) routing.Health {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.get(ep).health
}

// engines returns the candidates of an engine service.
func (r *Router) engines(v *catalog.View, q *request, now time.Time) []routing.Engine {
	list := v.Endpoints[q.service.Name]
	out := make([]routing.Engine, 0, len(list))
	for _, ep := range list {
		l := r.links.to(ep.Address)
		if ep.Draining || l == nil {
			continue
		}
		health := r.endpoints.health(ep)
		state := l.state(now)
		out = append(out, routing.Engine{
			ID: ep.ID, Domain: ep.Domain, Snapshot: state.snapshot, Fresh: state.fresh, SentMS: state.sentMS, Asked: state.asked,
			Failing:    health.Failing(now),
			Remembered: l.remembers(q.call.Adapter), Tried: q.tried[ep.ID] || health.Blocked(now),
		})
	}
	return out
}
