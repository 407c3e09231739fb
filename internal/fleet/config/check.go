package config

import (
	"maps"
	"slices"
	"strings"

	"github.com/goccy/go-yaml/ast"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	// MinBurst is the smallest burst of a plan with adapters, in tokens. A
	// completion without max_tokens reserves 256 output tokens and at least one
	// prompt token.
	MinBurst = 257

	maxInteger    = 1_000_000_000_000
	maxPathBytes  = 256
	maxRowBytes   = 200_000 // Encoded services of one allowance.
	defaultWeight = 1
)

var routeMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// Catalog holds the base models and services on the VM list. An empty field
// accepts every name, because the VM list may not have been loaded yet.
type Catalog struct {
	Bases    []string
	Services []string
}

// withNamesFrom returns a copy of the catalog that also accepts the names in
// current. The last VM of a service may be off the VM list for a while, and the
// allowances list must stay editable during that time.
func (c Catalog) withNamesFrom(current Allowances) Catalog {
	bases, services := slices.Clone(c.Bases), slices.Clone(c.Services)
	for _, a := range current.Allowances {
		for _, use := range a.Adapters {
			if len(bases) > 0 && !slices.Contains(bases, string(use.Base)) {
				bases = append(bases, string(use.Base))
			}
		}
		for _, use := range a.Services {
			if len(services) > 0 && !slices.Contains(services, string(use.Name)) {
				services = append(services, string(use.Name))
			}
		}
	}
	return Catalog{Bases: bases, Services: services}
}

// parseList validates the text of one list against the other list. It returns
// current with the parsed list in place, or an *Invalid error.
func (e *Editor) parseList(list List, text string, current tables) (tables, error) {
	if list == ListPlans {
		plans, err := parsePlans(text, planNames(current.allowances))
		if err != nil {
			return tables{}, err
		}
		current.plans = plansTree(plans)
		return current, nil
	}
	assigned, err := organisationByPlan(current.plans)
	if err != nil {
		return tables{}, err
	}
	inForce, err := allowancesOf(current.allowances)
	if err != nil {
		return tables{}, err
	}
	allowances, err := parseAllowances(text, assigned, e.opts.Catalog().withNamesFrom(inForce))
	if err != nil {
		return tables{}, err
	}
	current.allowances = allowancesTree(allowances)
	return current, nil
}

// planNames returns the plans of the allowances table in sorted order.
func planNames(allowances *hashtree.Tree) []string {
	var names []string
	allowances.Each(func(row hashtree.Row) { names = append(names, row.Key) })
	slices.Sort(names)
	return names
}

// organisationByPlan maps each plan that is assigned to one of the organisations
// that have it.
func organisationByPlan(t *hashtree.Tree) (map[ident.Plan]ident.Organisation, error) {
	plans, err := plansOf(t)
	if err != nil {
		return nil, err
	}
	out := make(map[ident.Plan]ident.Organisation)
	for _, p := range plans.Plans {
		out[p.Plan] = p.Organisation
	}
	return out, nil
}

// parsePlans parses a plans list. Every plan in it must be one of knownPlans.
func parsePlans(text string, knownPlans []string) (Plans, error) {
	out, r := readPlans(text, knownPlans, false)
	if r.needsFullParse {
		out, r = readPlans(text, knownPlans, true)
	}
	return out, r.err()
}

// readPlans parses a plans list item by item, or at once if fullParse is set.
func readPlans(text string, knownPlans []string, fullParse bool) (Plans, *reader) {
	r := &reader{}
	var out Plans
	seen := make(map[string]bool)
	r.eachItem(text, "plans", fullParse, func(item ast.Node) {
		f := r.fields(item, "organisation", "plan", "weight")
		entry := PlanEntry{
			Organisation: ident.Organisation(r.name(item, f["organisation"], "organisation")),
			Plan:         ident.Plan(r.name(item, f["plan"], "plan")),
			Weight:       defaultWeight,
		}
		if f["weight"] != nil {
			entry.Weight = int(r.integer(item, f["weight"], "weight", 1))
		}
		r.checkUnique(seen, f["organisation"], "organisation", string(entry.Organisation))
		r.checkKnown(f["plan"], string(entry.Plan), knownPlans, "the allowances list has no plan %q")
		out.Plans = append(out.Plans, entry)
	})
	return out, r
}

// checkUnique records a problem if name is already in seen, and adds it.
func (r *reader) checkUnique(seen map[string]bool, node ast.Node, field, name string) {
	if name == "" {
		return
	}
	if seen[name] {
		r.addProblem(node, "", "%s %q is given twice", field, name)
	}
	seen[name] = true
}

// checkKnown records a problem if name is not one of known. The format takes
// the name.
func (r *reader) checkKnown(node ast.Node, name string, known []string, format string) {
	if name == "" || slices.Contains(known, name) {
		return
	}
	r.addProblem(node, nearest(name, known), format, name)
}

// allowanceReader parses an allowances list.
type allowanceReader struct {
	reader
	catalog Catalog
	routes  map[routeKey]routeUse // First use of each route in the list.
}

// routeKey identifies a route across plans.
type routeKey struct {
	service      ident.Service
	method, path string
}

// routeUse is the declaration of a route in one plan.
type routeUse struct {
	idempotent bool
	plan       ident.Plan
}

// parseAllowances parses an allowances list. It must contain every plan in
// assigned, which maps a plan to an organisation that has it.
func parseAllowances(text string, assigned map[ident.Plan]ident.Organisation, catalog Catalog) (Allowances, error) {
	out, r := readAllowances(text, assigned, catalog, false)
	if r.needsFullParse {
		out, r = readAllowances(text, assigned, catalog, true)
	}
	return out, r.err()
}

// readAllowances parses an allowances list item by item, or at once if fullParse is
// set.
func readAllowances(
	text string, assigned map[ident.Plan]ident.Organisation, catalog Catalog, fullParse bool,
) (Allowances, *allowanceReader) {
	r := &allowanceReader{catalog: catalog, routes: make(map[routeKey]routeUse)}
	var out Allowances
	seen := make(map[string]bool)
	r.eachItem(text, "allowances", fullParse, func(item ast.Node) {
		out.Allowances = append(out.Allowances, r.allowance(item, seen))
	})
	r.checkAssignedPlans(assigned, seen)
	return out, r
}

// checkAssignedPlans records a problem for each assigned plan that the list does
// not contain.
func (r *allowanceReader) checkAssignedPlans(assigned map[ident.Plan]ident.Organisation, listed map[string]bool) {
	names := slices.Sorted(maps.Keys(listed))
	for _, plan := range slices.Sorted(maps.Keys(assigned)) {
		if !listed[string(plan)] {
			r.addProblem(nil, nearest(string(plan), names),
				"plan %q is missing, but it is assigned to organisation %q; change the plans list first", plan, assigned[plan])
		}
	}
}

// allowance reads one row of the allowances list.
func (r *allowanceReader) allowance(item ast.Node, seen map[string]bool) Allowance {
	f := r.fields(item, "plan", "tokens_per_second", "burst", "priority", "adapters", "services")
	a := Allowance{
		Plan:            ident.Plan(r.name(item, f["plan"], "plan")),
		TokensPerSecond: r.integer(item, f["tokens_per_second"], "tokens_per_second", 1),
	}
	r.checkUnique(seen, f["plan"], "plan", string(a.Plan))
	if f["priority"] != nil {
		a.Priority = int(r.integer(item, f["priority"], "priority", 0))
	}
	a.Adapters = r.adapters(f["adapters"])
	a.Services = r.services(a.Plan, f["services"])
	a.Burst = r.burst(item, f["burst"], len(a.Adapters) > 0)
	if size := len(encodeJSON(a.Services)); size > maxRowBytes {
		r.addProblem(f["services"], "", "the plan's routes take %d bytes encoded; the limit is %d", size, maxRowBytes)
	}
	return a
}

// burst returns the burst of a plan. With completions set, it must be at least
// MinBurst.
func (r *allowanceReader) burst(item, node ast.Node, completions bool) int64 {
	burst := r.integer(item, node, "burst", 1)
	if node != nil && completions && burst < MinBurst {
		r.addProblem(node, "",
			"burst %d is smaller than one request; a completion without max_tokens needs %d (256 output tokens, 1 prompt token)",
			burst, MinBurst)
	}
	return burst
}

// adapters reads the adapters of an allowance.
func (r *allowanceReader) adapters(node ast.Node) []AdapterUse {
	var out []AdapterUse
	seen := make(map[string]bool)
	for _, item := range r.items(node) {
		f := r.fields(item, "name", "version", "base")
		use := AdapterUse{
			Name:    ident.Adapter(r.name(item, f["name"], "name")),
			Version: ident.Version(r.name(item, f["version"], "version")),
			Base:    ident.BaseModel(r.name(item, f["base"], "base")),
		}
		r.checkUnique(seen, f["name"], "adapter", string(use.Name))
		if len(r.catalog.Bases) > 0 {
			r.checkKnown(f["base"], string(use.Base), r.catalog.Bases, "no engine on the VM list runs the base model %q")
		}
		out = append(out, use)
	}
	return out
}

// services reads the plain services of a plan.
func (r *allowanceReader) services(plan ident.Plan, node ast.Node) []ServiceUse {
	var out []ServiceUse
	seen := make(map[string]bool)
	for _, item := range r.items(node) {
		f := r.fields(item, "name", "routes")
		use := ServiceUse{Name: ident.Service(r.name(item, f["name"], "name"))}
		r.checkUnique(seen, f["name"], "service", string(use.Name))
		if len(r.catalog.Services) > 0 {
			r.checkKnown(f["name"], string(use.Name), r.catalog.Services, "the VM list has no service %q")
		}
		for _, route := range r.items(f["routes"]) {
			use.Routes = append(use.Routes, r.route(plan, use.Name, route, seen))
		}
		if len(use.Routes) == 0 {
			r.addProblem(item, "", "service %q has no routes", use.Name)
		}
		out = append(out, use)
	}
	return out
}

// route reads one route of a service. The routes in seen must not occur again.
func (r *allowanceReader) route(plan ident.Plan, service ident.Service, item ast.Node, seen map[string]bool) Route {
	f := r.fields(item, "method", "path", "idempotent", "open")
	var route Route
	if method, ok := r.scalar(item, f["method"], "method"); ok {
		route.Method = method
		r.checkKnown(f["method"], method, routeMethods, "unknown method %q")
	}
	if path, ok := r.scalar(item, f["path"], "path"); ok {
		route.Path = path
		if reason := pathProblem(path); reason != "" {
			r.addProblem(f["path"], "", "bad path %.64q: %s", path, reason)
		}
	}
	route.Idempotent = r.boolean(item, f["idempotent"], "idempotent")
	if f["open"] != nil {
		route.Open = r.boolean(item, f["open"], "open")
	}
	r.checkUnique(seen, f["path"], "route", string(service)+" "+route.Method+" "+route.Path)
	r.checkIdempotent(plan, routeKey{service, route.Method, route.Path}, route.Idempotent, f["idempotent"])
	return route
}

// checkIdempotent records a problem if another plan gives the same route a
// different value of idempotent.
func (r *allowanceReader) checkIdempotent(plan ident.Plan, key routeKey, idempotent bool, node ast.Node) {
	other, ok := r.routes[key]
	if ok && other.idempotent != idempotent {
		r.addProblem(node, "", "route %s %s of service %q has idempotent: %t in plan %q",
			key.method, key.path, key.service, other.idempotent, other.plan)
		return
	}
	r.routes[key] = routeUse{idempotent, plan}
}

// pathProblem returns the reason why path is not a valid route path, or "".
func pathProblem(path string) string {
	body := strings.TrimSuffix(path, "/*")
	switch {
	case len(path) > maxPathBytes:
		return "it is longer than 256 bytes"
	case !strings.HasPrefix(path, "/"):
		return `it must begin with "/"`
	case strings.Contains(body, "*"):
		return `"*" is only allowed at the end, as in "/orders/*"`
	case strings.Contains(path, "//"), strings.Contains(path+"/", "/../"), strings.Contains(path+"/", "/./"):
		return "it has an empty, \".\" or \"..\" segment"
	case strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`?#%"\`, c) }):
		return `it must be printable ASCII without ?, #, %, " or \`
	default:
		return ""
	}
}
