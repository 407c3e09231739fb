package router

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/evacuation"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// domains decides which failure domains requests may use.
type domains struct {
	config evacuation.Config
	phases map[string]evacuation.Phase // Last logged ones; used by the sync loop only.
}

func newDomains(s Settings) *domains {
	return &domains{
		config: evacuation.NewConfig(s.EvacuateBound.Or(defaultEvacuateBound), s.ConfigBound),
		phases: make(map[string]evacuation.Phase),
	}
}

// isClosed reports whether nothing may be sent to a failure domain.
func (d *domains) isClosed(v *catalog.View, domain string, now time.Time) bool {
	return d.config.Phase(v.Evacuations, domain, now) == evacuation.Closed
}

// inAllowedRegions returns the endpoints of the request's service in the regions that both its route and its
// organisation allow.
func (r *Router) inAllowedRegions(v *catalog.View, q *request) []*catalog.Endpoint {
	list := v.Endpoints[q.service.Name]
	for _, allowed := range q.allowedRegions() {
		var in []*catalog.Endpoint
		for _, ep := range list {
			if region, known := r.settings.Regions[ep.FailureDomain]; known && slices.Contains(allowed, region) {
				in = append(in, ep)
			}
		}
		list = in
	}
	return list
}

// allowedRegions returns the lists of regions that restrict the request; all of them apply.
func (q *request) allowedRegions() [][]string {
	var out [][]string
	if q.route != nil && len(q.route.AllowedRegions) > 0 {
		out = append(out, q.route.AllowedRegions)
	}
	if q.org != nil && len(q.org.AllowedRegions) > 0 {
		out = append(out, q.org.AllowedRegions)
	}
	return out
}

// eligible returns the endpoints of the request's service in the regions and the failure domains that the request may
// use now.
func (r *Router) eligible(v *catalog.View, q *request, now time.Time) []*catalog.Endpoint {
	list := r.inAllowedRegions(v, q)
	if r.domains.config.AllOpen(v.Evacuations, now) {
		return list
	}
	var names []string // A returning domain is used at once if all others only have endpoints that drain.
	for _, ep := range list {
		if !slices.Contains(names, ep.FailureDomain) && !r.endpointTracker.drains(ep) {
			names = append(names, ep.FailureDomain)
		}
	}
	config := r.domains.config
	config.Return = max(config.Return, q.service.Cold.Period)
	uses := config.Uses(v.Evacuations, names, rendezvous.Hash(q.call.RequestID), now)
	var free, last []*catalog.Endpoint
	for _, ep := range list {
		switch uses[ep.FailureDomain] {
		case evacuation.UseFreely:
			free = append(free, ep)
		case evacuation.UseLastOnly:
			last = append(last, ep)
		case evacuation.UseNot:
		}
	}
	if len(last) > 0 && q.call.Adapter.Adapter != "" && !r.anyHolds(free, q.call.Adapter, now) {
		return append(free, last...)
	}
	return free
}

// anyHolds reports whether an adapter is usable on one of the engines.
func (r *Router) anyHolds(list []*catalog.Endpoint, key catalog.AdapterKey, now time.Time) bool {
	return slices.ContainsFunc(list, func(ep *catalog.Endpoint) bool {
		conn := r.schedulerConns.conn(ep.Address)
		return conn != nil && r.endpointTracker.usable(ep, now) && conn.state(now).holds(key)
	})
}

// checkDomains refuses a request whose service has endpoints, but none that the request may use. It returns false if
// it has refused the request.
func (r *Router) checkDomains(q *request) bool {
	v := r.state.View()
	if len(v.Endpoints[q.service.Name]) == 0 || len(r.eligible(v, q, time.Now())) > 0 {
		return true
	}
	if len(r.inAllowedRegions(v, q)) == 0 {
		r.refuse(q, refusal.CodeNoAllowedRegion, "No endpoint of the service is in a region that the request may use.", maxRetryAfter)
		return false
	}
	r.refuse(q, refusal.CodeEvacuated, "All endpoints of the service are in failure domains that are being evacuated.", maxRetryAfter)
	return false
}

// logPhases logs the failure domains whose phase has changed, and counts those that are being evacuated.
func (r *Router) logPhases(v *catalog.View, now time.Time) {
	evacuated := 0
	for _, domain := range v.Evacuations.Domains() {
		phase := r.domains.config.Phase(v.Evacuations, domain, now)
		if v.Evacuations.Evacuated(domain) {
			evacuated++
		}
		if phase == r.domains.phases[domain] {
			continue
		}
		r.domains.phases[domain] = phase
		endpoints := 0
		for _, list := range v.Endpoints {
			for _, ep := range list {
				if ep.FailureDomain == domain {
					endpoints++
				}
			}
		}
		log := r.log.WithFields(logrus.Fields{"event": "evacuation", "domain": domain, "phase": phase.String(), "endpoints": endpoints})
		if endpoints == 0 && domain != r.settings.FailureDomain {
			log.Warn("evacuation of a failure domain without endpoints has no effect")
			continue
		}
		log.Info("phase of a failure domain changed")
	}
	r.counters.evacuatedDomains.Update(float64(evacuated))
}
