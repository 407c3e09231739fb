package config

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// OrganisationLimits holds the limits that an organisation has from its plan.
type OrganisationLimits struct {
	Organisation    ident.Organisation
	Plan            ident.Plan
	Weight          int   // Weight in fair queueing, at least 1.
	TokensPerSecond int64 // Rate limit across all VMs.
	Burst           int64 // Burst in tokens across all VMs.
	Priority        int   // Requests with a lower value run first.
}

// Snapshot is the complete configuration of one revision. It is immutable and
// safe for concurrent use. It looks up adapters and keys in the hash tree, so a
// new revision does not have to index all of them.
type Snapshot struct {
	revision   Revision
	top        *hashtree.Tree
	tables     tables
	limits     map[ident.Organisation]OrganisationLimits
	plans      map[ident.Plan]planIndex
	openRoutes map[ident.Service][]Route // Routes that are open without a key.
}

// planIndex holds the adapters and routes that a plan may use.
type planIndex struct {
	adapters *hashtree.Tree
	services map[ident.Service][]Route
}

// NewSnapshot returns the snapshot of a revision with the given lists and keys.
func NewSnapshot(revision Revision, plans Plans, allowances Allowances, keys []Key) *Snapshot {
	t := tables{plans: plansTree(plans), allowances: allowancesTree(allowances), keys: keysTree(keys)}
	s, err := snapshotOf(revision, t.top())
	if err != nil {
		panic(err) // Rows that were just encoded can be decoded.
	}
	return s
}

// snapshotOf returns the snapshot of a revision with the given top tree. It returns
// ErrCorrupt for an invalid row.
func snapshotOf(revision Revision, top *hashtree.Tree) (*Snapshot, error) {
	s := &Snapshot{
		revision:   revision,
		top:        top,
		tables:     tablesOf(top),
		limits:     make(map[ident.Organisation]OrganisationLimits),
		plans:      make(map[ident.Plan]planIndex),
		openRoutes: make(map[ident.Service][]Route),
	}
	allowances := make(map[ident.Plan]allowanceValue)
	if err := eachRow(s.tables.allowances, func(row hashtree.Row) error { return s.addPlan(row, allowances) }); err != nil {
		return nil, err
	}
	plans, err := plansOf(s.tables.plans)
	if err != nil {
		return nil, err
	}
	for _, p := range plans.Plans {
		s.limits[p.Organisation] = newOrganisationLimits(p, allowances[p.Plan])
	}
	return s, nil
}

// addPlan indexes one row of the allowances table and stores its value in
// allowances.
func (s *Snapshot) addPlan(row hashtree.Row, allowances map[ident.Plan]allowanceValue) error {
	v, err := decodeAllowance(row)
	if err != nil {
		return err
	}
	plan := ident.Plan(row.Key)
	allowances[plan] = v
	index := planIndex{adapters: row.Tree, services: make(map[ident.Service][]Route, len(v.Services))}
	for _, service := range v.Services {
		index.services[service.Name] = service.Routes
		s.addOpenRoutes(service)
	}
	s.plans[plan] = index
	return nil
}

// addOpenRoutes indexes the routes of a service that callers without a key may
// use.
func (s *Snapshot) addOpenRoutes(service ServiceUse) {
	for _, route := range service.Routes {
		if route.Open {
			s.openRoutes[service.Name] = append(s.openRoutes[service.Name], route)
		}
	}
}

// Revision returns the revision of the snapshot. It is 0 for the empty
// configuration before the first revision.
func (s *Snapshot) Revision() Revision {
	return s.revision
}

// Root returns the root hash of the snapshot's tree. Snapshots with equal roots
// have the same configuration.
func (s *Snapshot) Root() hashtree.Hash {
	return s.top.Hash()
}

// Key returns the organisation that a key was granted to.
func (s *Snapshot) Key(hash ident.KeyHash) (ident.Organisation, bool) {
	row, ok := s.tables.keys.Get(string(hash))
	return ident.Organisation(row.Value), ok
}

// OrganisationLimits returns the limits of an organisation. It returns false if
// the organisation has no plan.
func (s *Snapshot) OrganisationLimits(org ident.Organisation) (OrganisationLimits, bool) {
	limits, ok := s.limits[org]
	return limits, ok
}

// Adapter returns the version and base model of an adapter in an organisation's
// plan. It returns false if the plan does not contain the adapter.
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

// Adapters returns the adapters in an organisation's plan, ordered by name.
func (s *Snapshot) Adapters(org ident.Organisation) []AdapterUse {
	plan, ok := s.planOf(org)
	if !ok {
		return nil
	}
	return adaptersOf(plan.adapters)
}

// Route returns the first route of a service in an organisation's plan that
// matches the method and the path.
func (s *Snapshot) Route(org ident.Organisation, service ident.Service, method, path string) (Route, bool) {
	plan, ok := s.planOf(org)
	if !ok {
		return Route{}, false
	}
	return matchRoute(plan.services[service], method, path)
}

// OpenRoute returns the first route of a service that matches the method and the
// path and that callers without a key may use.
func (s *Snapshot) OpenRoute(service ident.Service, method, path string) (Route, bool) {
	return matchRoute(s.openRoutes[service], method, path)
}

func (s *Snapshot) planOf(org ident.Organisation) (planIndex, bool) {
	limits, ok := s.limits[org]
	if !ok {
		return planIndex{}, false
	}
	plan, ok := s.plans[limits.Plan]
	return plan, ok
}

func decodeAllowance(row hashtree.Row) (allowanceValue, error) {
	var v allowanceValue
	err := json.Unmarshal(row.Value, &v)
	return v, errors.Trace(err)
}

// newOrganisationLimits returns the limits of an organisation from its plan.
func newOrganisationLimits(p PlanEntry, a allowanceValue) OrganisationLimits {
	return OrganisationLimits{
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

// matchPath reports whether a path matches a route's path pattern. The pattern
// "/a/*" matches "/a" and every path below it.
func matchPath(pattern, path string) bool {
	prefix, ok := strings.CutSuffix(pattern, "/*")
	if !ok {
		return pattern == path
	}
	return path == prefix || strings.HasPrefix(path, prefix+"/")
}
