package config

import (
	"strings"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Tenant is what an organisation's plan gives it.
type Tenant struct {
	Organisation    ident.Organisation
	Plan            ident.Plan
	Weight          int   // Share in fair queueing, at least 1.
	TokensPerSecond int64 // Over all VMs.
	Burst           int64 // Tokens, over all VMs.
	Priority        int   // Lower runs first.
}

// Snapshot is the whole configuration of one revision. It is immutable and
// safe for concurrent use.
type Snapshot struct {
	revision Revision
	keys     map[ident.KeyHash]ident.Organisation
	tenants  map[ident.Organisation]Tenant
	plans    map[ident.Plan]*planIndex
	open     map[ident.Service][]Route
}

type planIndex struct {
	adapters map[ident.Adapter]AdapterUse
	order    []AdapterUse
	services map[ident.Service][]Route
}

// NewSnapshot indexes the lists of one revision.
func NewSnapshot(revision Revision, plans Plans, allowances Allowances, keys []Key) *Snapshot {
	s := &Snapshot{
		revision: revision,
		keys:     make(map[ident.KeyHash]ident.Organisation, len(keys)),
		tenants:  make(map[ident.Organisation]Tenant, len(plans.Plans)),
		plans:    make(map[ident.Plan]*planIndex, len(allowances.Allowances)),
		open:     make(map[ident.Service][]Route),
	}
	for _, k := range keys {
		s.keys[k.Hash] = k.Organisation
	}
	limits := make(map[ident.Plan]Allowance, len(allowances.Allowances))
	for _, a := range allowances.Allowances {
		limits[a.Plan] = a
		s.plans[a.Plan] = indexPlan(a)
		s.indexOpen(a)
	}
	for _, p := range plans.Plans {
		s.tenants[p.Organisation] = newTenant(p, limits[p.Plan])
	}
	return s
}

// Revision returns the revision that the snapshot holds; 0 before the first.
func (s *Snapshot) Revision() Revision {
	return s.revision
}

// Key returns the organisation that a key was granted to.
func (s *Snapshot) Key(hash ident.KeyHash) (ident.Organisation, bool) {
	org, ok := s.keys[hash]
	return org, ok
}

// Tenant returns what an organisation's plan gives it.
func (s *Snapshot) Tenant(org ident.Organisation) (Tenant, bool) {
	t, ok := s.tenants[org]
	return t, ok
}

// Adapter returns the build that an organisation's plan names for an adapter.
func (s *Snapshot) Adapter(org ident.Organisation, name ident.Adapter) (AdapterUse, bool) {
	plan, ok := s.planOf(org)
	if !ok {
		return AdapterUse{}, false
	}
	use, ok := plan.adapters[name]
	return use, ok
}

// Adapters returns the builds that an organisation's plan names, in the
// order of the list. The caller must not change the slice.
func (s *Snapshot) Adapters(org ident.Organisation) []AdapterUse {
	plan, ok := s.planOf(org)
	if !ok {
		return nil
	}
	return plan.order
}

// Route returns the route of a service that an organisation's plan names.
func (s *Snapshot) Route(org ident.Organisation, service ident.Service, method, path string) (Route, bool) {
	plan, ok := s.planOf(org)
	if !ok {
		return Route{}, false
	}
	return matchRoute(plan.services[service], method, path)
}

// OpenRoute returns the route of a service that is open to all.
func (s *Snapshot) OpenRoute(service ident.Service, method, path string) (Route, bool) {
	return matchRoute(s.open[service], method, path)
}

func (s *Snapshot) planOf(org ident.Organisation) (*planIndex, bool) {
	t, ok := s.tenants[org]
	if !ok {
		return nil, false
	}
	plan, ok := s.plans[t.Plan]
	return plan, ok
}

func (s *Snapshot) indexOpen(a Allowance) {
	for _, service := range a.Services {
		for _, route := range service.Routes {
			if route.Open {
				s.open[service.Name] = append(s.open[service.Name], route)
			}
		}
	}
}

func indexPlan(a Allowance) *planIndex {
	index := &planIndex{
		adapters: make(map[ident.Adapter]AdapterUse, len(a.Adapters)),
		order:    a.Adapters,
		services: make(map[ident.Service][]Route, len(a.Services)),
	}
	for _, use := range a.Adapters {
		index.adapters[use.Name] = use
	}
	for _, service := range a.Services {
		index.services[service.Name] = service.Routes
	}
	return index
}

func newTenant(p PlanEntry, a Allowance) Tenant {
	return Tenant{
		Organisation:    p.Organisation,
		Plan:            p.Plan,
		Weight:          max(p.Weight, 1),
		TokensPerSecond: a.TokensPerSecond,
		Burst:           a.Burst,
		Priority:        a.Priority,
	}
}

func matchRoute(routes []Route, method, path string) (Route, bool) {
	for _, route := range routes {
		if route.Method == method && matchPath(route.Path, path) {
			return route, true
		}
	}
	return Route{}, false
}

func matchPath(pattern, path string) bool {
	prefix, ok := strings.CutSuffix(pattern, "/*")
	if !ok {
		return pattern == path
	}
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}
