package config

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
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
// safe for concurrent use. Adapters and keys are looked up in the tree itself,
// so that a new revision costs no walk over them.
type Snapshot struct {
	revision Revision
	top      *hashtree.Tree
	tables   tables
	tenants  map[ident.Organisation]Tenant
	plans    map[ident.Plan]planIndex
	open     map[ident.Service][]Route
}

type planIndex struct {
	adapters *hashtree.Tree
	services map[ident.Service][]Route
}

// NewSnapshot returns the snapshot of one revision's lists.
func NewSnapshot(revision Revision, plans Plans, allowances Allowances, keys []Key) *Snapshot {
	t := tables{plans: plansTree(plans), allowances: allowancesTree(allowances), keys: keysTree(keys)}
	s, err := snapshotOf(revision, t.top())
	if err != nil {
		panic(err) // What was just encoded can be decoded.
	}
	return s
}

// snapshotOf indexes a tree, or returns ErrCorrupt.
func snapshotOf(revision Revision, top *hashtree.Tree) (*Snapshot, error) {
	s := &Snapshot{
		revision: revision,
		top:      top,
		tables:   tablesOf(top),
		tenants:  make(map[ident.Organisation]Tenant),
		plans:    make(map[ident.Plan]planIndex),
		open:     make(map[ident.Service][]Route),
	}
	limits := make(map[ident.Plan]allowanceValue)
	if err := eachRow(s.tables.allowances, func(row hashtree.Row) error { return s.addPlan(row, limits) }); err != nil {
		return nil, err
	}
	plans, err := plansOf(s.tables.plans)
	if err != nil {
		return nil, err
	}
	for _, p := range plans.Plans {
		s.tenants[p.Organisation] = newTenant(p, limits[p.Plan])
	}
	return s, nil
}

func (s *Snapshot) addPlan(row hashtree.Row, limits map[ident.Plan]allowanceValue) error {
	v, err := decodeAllowance(row)
	if err != nil {
		return err
	}
	plan := ident.Plan(row.Key)
	limits[plan] = v
	index := planIndex{adapters: row.Tree, services: make(map[ident.Service][]Route, len(v.Services))}
	for _, service := range v.Services {
		index.services[service.Name] = service.Routes
		s.addOpen(service)
	}
	s.plans[plan] = index
	return nil
}

func (s *Snapshot) addOpen(service ServiceUse) {
	for _, route := range service.Routes {
		if route.Open {
			s.open[service.Name] = append(s.open[service.Name], route)
		}
	}
}

// Revision returns the revision that the snapshot holds; 0 before the first.
func (s *Snapshot) Revision() Revision {
	return s.revision
}

// Root returns the hash of the snapshot's tree. Snapshots with equal roots
// hold the same configuration.
func (s *Snapshot) Root() hashtree.Hash {
	return s.top.Hash()
}

// Key returns the organisation that a key was granted to.
func (s *Snapshot) Key(hash ident.KeyHash) (ident.Organisation, bool) {
	row, ok := s.tables.keys.Get(string(hash))
	return ident.Organisation(row.Value), ok
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
	row, ok := plan.adapters.Get(string(name))
	if !ok {
		return AdapterUse{}, false
	}
	return decodeAdapter(row), true
}

// Adapters returns the builds that an organisation's plan names, ordered by
// name.
func (s *Snapshot) Adapters(org ident.Organisation) []AdapterUse {
	plan, ok := s.planOf(org)
	if !ok {
		return nil
	}
	return adaptersOf(plan.adapters)
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

func (s *Snapshot) planOf(org ident.Organisation) (planIndex, bool) {
	t, ok := s.tenants[org]
	if !ok {
		return planIndex{}, false
	}
	plan, ok := s.plans[t.Plan]
	return plan, ok
}

func decodeAllowance(row hashtree.Row) (allowanceValue, error) {
	var v allowanceValue
	err := json.Unmarshal(row.Value, &v)
	return v, errors.Trace(err)
}

func newTenant(p PlanEntry, a allowanceValue) Tenant {
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
