package router

import (
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// routerWithDomains returns a router that knows one engine of the service llm in each failure domain a, b and c.
func routerWithDomains(t *testing.T) *Router {
	t.Helper()
	r := startedRouter(t)
	r.domains.config.Return = time.Minute
	for _, d := range []string{"a", "b", "c"} {
		r.state.SetEndpoint(&catalog.Endpoint{ID: catalog.EndpointID("engine-" + d), Service: "llm", Address: "127.0.0.1:" + d, FailureDomain: d})
		r.schedulerConns.byAddress["127.0.0.1:"+d] = &schedulerConn{}
	}
	r.state.MarkListed()
	return r
}

// domainsOf returns the failure domains of the engines that are candidates for a request of the service llm, with and
// without a grant.
func domainsOf(r *Router, q *request) []string {
	q.service = &catalog.Service{Name: "llm"}
	var out []string
	for _, e := range r.engineCandidates(r.state.View(), q, time.Now()) {
		out = append(out, e.FailureDomain)
	}
	slices.Sort(out)
	return out
}

// While a domain hands over, only requests for adapters that are usable nowhere else may use it. Once it is closed,
// nothing may.
func TestEvacuatedDomainIsUsedForItsAdaptersOnly(t *testing.T) {
	r := routerWithDomains(t)
	adapter := func(name string) *request {
		return &request{call: platform.RequestHeader{Adapter: catalog.AdapterKey{Model: "m", Adapter: name}}}
	}
	r.schedulerConns.byAddress["127.0.0.1:b"] = &schedulerConn{snapshotAt: time.Now(), snapshot: grants.Snapshot{
		Alive: true, Adapters: []grants.AdapterState{{Model: "m", Adapter: "elsewhere", Usable: true}},
	}}
	for _, tc := range []struct {
		name  string
		since time.Time
		q     *request
		want  []string
	}{
		{"handing over, adapter usable elsewhere", time.Now(), adapter("elsewhere"), []string{"b", "c"}},
		{"handing over, adapter usable nowhere else", time.Now(), adapter("only-here"), []string{"a", "b", "c"}},
		{"handing over, no adapter", time.Now(), &request{}, []string{"b", "c"}},
		{"closed, adapter usable nowhere else", time.Time{}, adapter("only-here"), []string{"b", "c"}},
	} {
		r.state.EndEvacuation("a", false, time.Now())
		r.state.BeginEvacuation("a", tc.since, time.Now())
		if got := domainsOf(r, tc.q); !slices.Equal(got, tc.want) {
			t.Errorf("%s: domains = %v, want %v", tc.name, got, tc.want)
		}
	}
}

// A domain that returns is used by all requests at once if the endpoints of all other domains drain. Otherwise most
// requests at first avoid it.
func TestReturningDomainIsUsedAtOnceIfTheOthersDrain(t *testing.T) {
	r := routerWithDomains(t)
	r.state.BeginEvacuation("a", time.Time{}, time.Now())
	r.state.EndEvacuation("a", false, time.Now())
	if got := domainsOf(r, &request{}); !slices.Equal(got, []string{"b", "c"}) {
		t.Errorf("domains right after the return = %v, want [b c]", got)
	}
	for _, d := range []string{"b", "c"} {
		r.state.SetEndpoint(&catalog.Endpoint{
			ID: catalog.EndpointID("engine-" + d), Service: "llm", Address: "127.0.0.1:" + d, FailureDomain: d, Draining: true, Heartbeat: 1,
		})
	}
	if got := domainsOf(r, &request{}); !slices.Equal(got, []string{"a"}) {
		t.Errorf("domains while the others drain = %v, want [a]", got)
	}
}

// A request whose service has endpoints in closed domains only is refused at once with the promise that it did not
// run, not after the wait for a grant.
func TestRequestIsRefusedAtOnceIfAllDomainsAreClosed(t *testing.T) {
	r := routerWithDomains(t)
	for _, d := range []string{"a", "b", "c"} {
		r.state.BeginEvacuation(d, time.Time{}, time.Now())
	}
	w := httptest.NewRecorder()
	r.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://forge.example/brief/x", nil))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Hyssop-Ran") != "no" || w.Header().Get("Retry-After") == "" ||
		!strings.Contains(w.Body.String(), `"evacuated"`) {
		t.Errorf("status %d, headers %v, body %s; want 503, evacuated, not run, with Retry-After", w.Code, w.Header(), w.Body)
	}
}

// The key of an unknown failure domain must have no effect but a line in the log.
func TestUnknownDomainIsLogged(t *testing.T) {
	r := routerWithDomains(t)
	var lines strings.Builder
	r.log.Logger.SetOutput(&lines)
	r.state.BeginEvacuation("typo", time.Time{}, time.Now())
	for range 2 {
		r.logPhases(r.state.View(), time.Now())
	}
	if strings.Count(lines.String(), "without endpoints has no effect") != 1 {
		t.Errorf("log = %q, want one warning", lines.String())
	}
	if got := domainsOf(r, &request{}); !slices.Equal(got, []string{"a", "b", "c"}) {
		t.Errorf("domains = %v, want all", got)
	}
}

// A router must not become ready with a configuration but without the evacuations, which are listed after it.
func TestRouterIsReadyOnlyOnceOperatorItemsAreListed(t *testing.T) {
	r := routerWithDomains(t)
	status := func() int {
		w := httptest.NewRecorder()
		r.serveReady(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return w.Code
	}
	if got := status(); got != http.StatusServiceUnavailable {
		t.Errorf("status before the operator's items are listed = %d, want 503", got)
	}
	r.state.MarkOperatorListed()
	if got := status(); got != http.StatusOK {
		t.Errorf("status afterwards = %d, want 200", got)
	}
}

// A restricted request must not reach an endpoint outside of the regions that both its route and its organisation
// allow, nor one whose region is unknown. Other requests use all endpoints.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	r := routerWithDomains(t)
	r.settings.Regions = map[string]string{"a": "north", "b": "south"}
	for _, tc := range []struct {
		route, org []string
		want       []string
	}{
		{nil, nil, []string{"a", "b", "c"}},
		{[]string{"north"}, nil, []string{"a"}},
		{nil, []string{"south", "west"}, []string{"b"}},
		{[]string{"north", "south"}, []string{"south"}, []string{"b"}},
		{[]string{"north"}, []string{"south"}, nil},
		{[]string{""}, nil, nil},
	} {
		q := &request{route: &catalog.Route{AllowedRegions: tc.route}, org: &catalog.Organisation{AllowedRegions: tc.org}}
		if got := domainsOf(r, q); !slices.Equal(got, tc.want) {
			t.Errorf("route %v, organisation %v: domains = %v, want %v", tc.route, tc.org, got, tc.want)
		}
	}
}
