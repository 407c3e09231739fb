package router

import (
	"testing"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// Guards against classes that are counted across services, or once for each route of the same priority.
func TestUrgencyIsRankedByService(t *testing.T) {
	route := func(name, service string, priority int) *catalog.Route {
		return &catalog.Route{Name: name, Host: "h", PathPrefix: "/" + name + "/", Priority: priority, Splits: []catalog.Split{{Service: service, Weight: 1}}}
	}
	c := catalog.NewConfig(1, []*catalog.Route{
		route("a", "llm", 0), route("b", "llm", 1), route("c", "llm", 1), route("d", "llm", 2), route("e", "booking", 0),
	}, nil, nil)
	var u urgencyClasses
	for priority, want := range []float64{0, 0.5, 1} {
		if got := u.rank(c, "llm", priority); got != want {
			t.Errorf("rank of priority %d = %g, want %g", priority, got, want)
		}
	}
	if got := u.rank(c, "booking", 0); got != 0 {
		t.Errorf("rank of the only class = %g, want 0", got)
	}
	c.Organisations = []*catalog.Organisation{{Name: "gold", Priority: 0}, {Name: "basic", Priority: 1}}
	next := *c
	if got := u.rank(&next, "llm", priorityOf(&catalog.Route{Priority: 0}, c.Organisations[1])); got != 0.6 {
		t.Errorf("rank of the first class of the second organisation = %g, want 0.6", got)
	}
}
