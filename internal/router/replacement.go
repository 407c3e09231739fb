package router

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/replacement"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// replacementKey is the name whose owner orders the preloads.
	replacementKey = "replacement"
	// replacementInterval is the interval between two plans. Schedulers send a changed snapshot after 120 ms.
	replacementInterval = 200 * time.Millisecond
	// pendingPreloadTTL is how long an ordered preload may stay out of the snapshots: the time after which the scheduler
	// forgets it, and that of a load.
	pendingPreloadTTL = 2500 * time.Millisecond
	// preloadCallTimeout bounds the call of a preload, which the scheduler answers at once.
	preloadCallTimeout = time.Second
)

// replacer replaces the adapters of lost and evacuated engines. All routers observe the engines, so that each can take
// over; only the owner of replacementKey orders preloads.
type replacer struct {
	router   *Router
	services map[string]*serviceReplacement
}

// serviceReplacement is the state of one service.
type serviceReplacement struct {
	tracker *replacement.Tracker
	pending []pendingPreload
}

// pendingPreload is a preload that was ordered.
type pendingPreload struct {
	replacement.Load
	at time.Time
}

// run observes the engines until ctx ends, where lost engines are replaced or domains are evacuated.
func (p *replacer) run(ctx context.Context) error {
	for sleep.For(ctx, replacementInterval) == nil {
		v := p.router.state.View()
		if v.Config == nil || !p.router.settings.EvacuateBound.IsSet() && v.Evacuations == nil {
			continue
		}
		for name, service := range v.Config.Services {
			if service.Engine != nil {
				p.step(ctx, v, service, p.service(name), time.Now())
			}
		}
	}
	return ctx.Err()
}

func (p *replacer) service(name string) *serviceReplacement {
	s := p.services[name]
	if s == nil {
		s = &serviceReplacement{tracker: replacement.NewTracker(p.router.settings.EvacuateBound.IsSet())}
		p.services[name] = s
	}
	return s
}

// step observes the engines of a service and orders the preloads that are due.
func (p *replacer) step(ctx context.Context, v *catalog.View, service *catalog.Service, s *serviceReplacement, now time.Time) {
	observations, engines := p.observe(v, service.Name, now)
	s.tracker.Observe(observations, now)
	if !s.tracker.AnyMissing() || !p.router.peers.Owns(replacementKey, 0, now) {
		s.pending = nil
		return
	}
	missing := s.tracker.Missing()
	s.pending = slices.DeleteFunc(s.pending, func(l pendingPreload) bool {
		return now.Sub(l.at) >= pendingPreloadTTL || !slices.ContainsFunc(missing, func(m replacement.Missing) bool { return m.Key == l.Key })
	})
	fleet := replacement.Fleet{Engines: engines, AdapterSlots: service.Engine.AdapterSlots}
	for _, l := range s.pending {
		fleet.Pending = append(fleet.Pending, l.Load)
	}
	conns := make(map[catalog.EndpointID]*schedulerConn, len(engines))
	for _, e := range engines {
		if ep := v.FindEndpoint(service.Name, e.ID); ep != nil {
			conns[e.ID] = p.router.schedulerConns.conn(ep.Address)
		}
	}
	fleet.Cached = func(id catalog.EndpointID, key catalog.AdapterKey) bool {
		return conns[id] != nil && conns[id].cached(key)
	}
	loads := replacement.Plan(p.router.routing, missing, fleet)
	for _, l := range loads {
		if conn := conns[l.Engine]; conn != nil {
			s.pending = append(s.pending, pendingPreload{l, now})
			conn.addPending(now, 0, !conn.cached(l.Key))
			go p.order(ctx, conn, l)
		}
	}
	if len(loads) > 0 {
		p.router.log.WithFields(logrus.Fields{
			"event": "replacement", "service": service.Name, "missing": len(missing), "ordered": len(loads),
		}).Info("preloads of adapters of lost or evacuated engines ordered")
	}
}

// observe returns the state of all engines of a service, and those of them that may take loads.
func (p *replacer) observe(v *catalog.View, service string, now time.Time) ([]replacement.Observation, []routing.Engine) {
	list := v.Endpoints[service]
	observations := make([]replacement.Observation, 0, len(list))
	engines := make([]routing.Engine, 0, len(list))
	for _, ep := range list {
		conn := p.router.schedulerConns.conn(ep.Address)
		if conn == nil {
			continue
		}
		state := conn.state(now)
		if isFormer(ep, state.snapshot.Incarnation, list) {
			continue
		}
		o := replacement.Observation{
			Address: ep.Address, Incarnation: state.snapshot.Incarnation, Adapters: state.snapshot.Adapters,
			Usable:    state.fresh && state.snapshot.Alive && !state.snapshot.Draining && !p.router.endpointTracker.drains(ep),
			Evacuated: v.Evacuations.Evacuated(ep.FailureDomain),
		}
		observations = append(observations, o)
		if o.Usable && !o.Evacuated {
			engines = append(engines, routing.Engine{
				ID: ep.ID, FailureDomain: ep.FailureDomain, Snapshot: state.snapshot, SnapshotFresh: true,
				PendingPrefillMS: state.pendingPrefillMS, PendingLoads: state.pendingLoads,
			})
		}
	}
	return observations, engines
}

// order orders one preload. A lost call is not repeated: the adapter is planned again after pendingPreloadTTL.
func (p *replacer) order(ctx context.Context, conn *schedulerConn, l replacement.Load) {
	ctx, cancel := context.WithTimeout(ctx, preloadCallTimeout)
	defer cancel()
	req := schedulerapi.PreloadRequest{Model: l.Key.Model, Adapter: l.Key.Adapter, Demand: l.Demand}
	if _, err := schedulerapi.Post(ctx, conn.client, conn.address+schedulerapi.PathPreload, req, schedulerapi.MaxPreloadBytes); err != nil {
		p.router.counters.preloadsFailed.Inc(1)
		p.router.log.WithError(err).WithFields(logrus.Fields{"event": "preload_failed", "endpoint": l.Engine, "adapter": l.Key.Adapter}).
			Warn("call of a preload failed")
		return
	}
	p.router.counters.preloadsOrdered.Inc(1)
}
