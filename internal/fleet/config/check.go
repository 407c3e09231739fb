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
	// MinBurst is the smallest burst of a plan with adapters, in tokens: what
	// one completion reserves that names no max_tokens, 256 of output and at
	// least one of the prompt.
	MinBurst = 257

	maxNumber     = 1_000_000_000_000
	maxPathBytes  = 256
	maxRowBytes   = 200_000 // Of one allowance without its adapters.
	defaultWeight = 1
)

var methods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"}

// Catalog is what the VM list knows. An empty list of names is not checked
// against, since the list may not have been read yet.
type Catalog struct {
	Bases    []string
	Services []string
}

// with adds the names that are in force: the last VM of a service may be off
// the list for a while, and the list must be editable then.
func (c Catalog) with(former Allowances) Catalog {
	bases, services := slices.Clone(c.Bases), slices.Clone(c.Services)
	for _, a := range former.Allowances {
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

// parse checks a list against the other one and returns the tables with the
// list in them, or an *Invalid error.
func (e *Editor) parse(list List, text string, present tables) (tables, error) {
	if list == ListPlans {
		plans, err := parsePlans(text, planNames(present.allowances))
		if err != nil {
			return tables{}, err
		}
		present.plans = plansTree(plans)
		return present, nil
	}
	users, err := usersOf(present.plans)
	if err != nil {
		return tables{}, err
	}
	former, err := allowancesOf(present.allowances)
	if err != nil {
		return tables{}, err
	}
	allowances, err := parseAllowances(text, users, e.opts.Catalog().with(former))
	if err != nil {
		return tables{}, err
	}
	present.allowances = allowancesTree(allowances)
	return present, nil
}

func planNames(allowances *hashtree.Tree) []string {
	var names []string
	allowances.Each(func(row hashtree.Row) { names = append(names, row.Key) })
	slices.Sort(names)
	return names
}

// usersOf returns the plans that are in use, each with one organisation.
func usersOf(t *hashtree.Tree) (map[ident.Plan]ident.Organisation, error) {
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

// parsePlans reads a plans list, whose plans must be among known.
func parsePlans(text string, known []string) (Plans, error) {
	out, r := readPlans(text, known, false)
	if r.unsure {
		out, r = readPlans(text, known, true)
	}
	return out, r.err()
}

func readPlans(text string, known []string, whole bool) (Plans, *reader) {
	r := &reader{}
	var out Plans
	seen := make(map[string]bool)
	r.eachItem(text, "plans", whole, func(item ast.Node) {
		f := r.fields(item, "organisation", "plan", "weight")
		entry := PlanEntry{
			Organisation: ident.Organisation(r.name(item, f["organisation"], "organisation")),
			Plan:         ident.Plan(r.name(item, f["plan"], "plan")),
			Weight:       defaultWeight,
		}
		if f["weight"] != nil {
			entry.Weight = int(r.integer(item, f["weight"], "weight", 1))
		}
		r.once(seen, f["organisation"], "organisation", string(entry.Organisation))
		r.among(f["plan"], string(entry.Plan), known, "the allowances list has no plan %q")
		out.Plans = append(out.Plans, entry)
	})
	return out, r
}

// once records a problem where a name was given before.
func (r *reader) once(seen map[string]bool, node ast.Node, field, name string) {
	if name == "" {
		return
	}
	if seen[name] {
		r.problem(node, "", "%s %q is given twice", field, name)
	}
	seen[name] = true
}

// among records a problem where a name is not known.
func (r *reader) among(node ast.Node, name string, known []string, format string) {
	if name == "" || slices.Contains(known, name) {
		return
	}
	r.problem(node, nearest(name, known), format, name)
}

// allowanceReader reads an allowances list.
type allowanceReader struct {
	reader
	catalog Catalog
	routes  map[routeName]routeUse
}

type routeName struct {
	service      ident.Service
	method, path string
}

type routeUse struct {
	idempotent bool
	plan       ident.Plan
}

// parseAllowances reads an allowances list, which must hold the plans that
// users name.
func parseAllowances(text string, users map[ident.Plan]ident.Organisation, catalog Catalog) (Allowances, error) {
	out, r := readAllowances(text, users, catalog, false)
	if r.unsure {
		out, r = readAllowances(text, users, catalog, true)
	}
	return out, r.err()
}

func readAllowances(
	text string, users map[ident.Plan]ident.Organisation, catalog Catalog, whole bool,
) (Allowances, *allowanceReader) {
	r := &allowanceReader{catalog: catalog, routes: make(map[routeName]routeUse)}
	var out Allowances
	seen := make(map[string]bool)
	r.eachItem(text, "allowances", whole, func(item ast.Node) {
		out.Allowances = append(out.Allowances, r.allowance(item, seen))
	})
	r.stillUsed(users, seen)
	return out, r
}

func (r *allowanceReader) stillUsed(users map[ident.Plan]ident.Organisation, have map[string]bool) {
	names := slices.Sorted(maps.Keys(have))
	for _, plan := range slices.Sorted(maps.Keys(users)) {
		if !have[string(plan)] {
			r.problem(nil, nearest(string(plan), names),
				"plan %q is missing, but organisation %q has it; change the plans list first", plan, users[plan])
		}
	}
}

func (r *allowanceReader) allowance(item ast.Node, seen map[string]bool) Allowance {
	f := r.fields(item, "plan", "tokens_per_second", "burst", "priority", "adapters", "services")
	a := Allowance{
		Plan:            ident.Plan(r.name(item, f["plan"], "plan")),
		TokensPerSecond: r.integer(item, f["tokens_per_second"], "tokens_per_second", 1),
	}
	r.once(seen, f["plan"], "plan", string(a.Plan))
	if f["priority"] != nil {
		a.Priority = int(r.integer(item, f["priority"], "priority", 0))
	}
	a.Adapters = r.adapters(f["adapters"])
	a.Services = r.services(a.Plan, f["services"])
	a.Burst = r.burst(item, f["burst"], len(a.Adapters) > 0)
	if size := len(encodeJSON(a.Services)); size > maxRowBytes {
		r.problem(f["services"], "", "the plan's routes take %d bytes; at most %d fit", size, maxRowBytes)
	}
	return a
}

func (r *allowanceReader) burst(item, node ast.Node, completions bool) int64 {
	burst := r.integer(item, node, "burst", 1)
	if node != nil && completions && burst < MinBurst {
		r.problem(node, "",
			"burst %d is smaller than one request; a completion without max_tokens needs %d (256 of output, 1 of the prompt)",
			burst, MinBurst)
	}
	return burst
}

func (r *allowanceReader) adapters(node ast.Node) []AdapterUse {
	var out []AdapterUse
	seen := make(map[string]bool)
	for _, item := range r.items(node) {
		f := r.fields(item, "name", "version", "base")
		use := AdapterUse{
			Name:    ident.Adapter(r.name(item, f["name"], "name")),
			Version: ident.Version(r.name(item, f["version"], "version")),
			Base:    ident.Base(r.name(item, f["base"], "base")),
		}
		r.once(seen, f["name"], "adapter", string(use.Name))
		if len(r.catalog.Bases) > 0 {
			r.among(f["base"], string(use.Base), r.catalog.Bases, "no engine on the VM list runs the base model %q")
		}
		out = append(out, use)
	}
	return out
}

func (r *allowanceReader) services(plan ident.Plan, node ast.Node) []ServiceUse {
	var out []ServiceUse
	seen := make(map[string]bool)
	for _, item := range r.items(node) {
		f := r.fields(item, "name", "routes")
		use := ServiceUse{Name: ident.Service(r.name(item, f["name"], "name"))}
		r.once(seen, f["name"], "service", string(use.Name))
		if len(r.catalog.Services) > 0 {
			r.among(f["name"], string(use.Name), r.catalog.Services, "the VM list has no service %q")
		}
		for _, route := range r.items(f["routes"]) {
			use.Routes = append(use.Routes, r.route(plan, use.Name, route, seen))
		}
		if len(use.Routes) == 0 {
			r.problem(item, "", "service %q has no routes", use.Name)
		}
		out = append(out, use)
	}
	return out
}

func (r *allowanceReader) route(plan ident.Plan, service ident.Service, item ast.Node, seen map[string]bool) Route {
	f := r.fields(item, "method", "path", "idempotent", "open")
	var route Route
	if method, ok := r.scalar(item, f["method"], "method"); ok {
		route.Method = method
		r.among(f["method"], method, methods, "unknown method %q")
	}
	if path, ok := r.scalar(item, f["path"], "path"); ok {
		route.Path = path
		if reason := badPath(path); reason != "" {
			r.problem(f["path"], "", "bad path %.64q: %s", path, reason)
		}
	}
	route.Idempotent = r.boolean(item, f["idempotent"], "idempotent")
	if f["open"] != nil {
		route.Open = r.boolean(item, f["open"], "open")
	}
	r.once(seen, f["path"], "route", string(service)+" "+route.Method+" "+route.Path)
	r.sameEverywhere(plan, routeName{service, route.Method, route.Path}, route.Idempotent, f["idempotent"])
	return route
}

// sameEverywhere records a problem where two plans differ on whether a second
// run of the same route does harm.
func (r *allowanceReader) sameEverywhere(plan ident.Plan, name routeName, idempotent bool, node ast.Node) {
	former, ok := r.routes[name]
	if ok && former.idempotent != idempotent {
		r.problem(node, "", "route %s %s of service %q is idempotent: %t in plan %q",
			name.method, name.path, name.service, former.idempotent, former.plan)
		return
	}
	r.routes[name] = routeUse{idempotent, plan}
}

// badPath returns why a path cannot be a route's, or "".
func badPath(path string) string {
	body := strings.TrimSuffix(path, "/*")
	switch {
	case len(path) > maxPathBytes:
		return "it is longer than 256 bytes"
	case !strings.HasPrefix(path, "/"):
		return `it must begin with "/"`
	case strings.Contains(body, "*"):
		return `"*" may only end it, as in "/orders/*"`
	case strings.Contains(path, "//"), strings.Contains(path+"/", "/../"), strings.Contains(path+"/", "/./"):
		return "it has an empty, \".\" or \"..\" part"
	case strings.ContainsFunc(path, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune(`?#%"\`, c) }):
		return `it must be printable ASCII without ?, #, %, " and \`
	default:
		return ""
	}
}
