package router

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// The metrics registry panics if a metric appears with different tag names. When requests
// without a route had other tags, a router whose first request had no route aborted every
// response.
func TestRequestsWithAndWithoutRouteHaveTheSameTags(t *testing.T) {
	metrics := process.NewMetrics()
	defer metrics.Close()
	c := NewCounters(metrics.Scope)
	c.recordRequest(&request{trace: trace{status: 404, outcome: "unknown_route"}}, time.Millisecond)
	c.recordRequest(&request{
		route: &catalog.Route{}, trace: trace{status: 200, outcome: "answered", service: "booking"},
	}, time.Millisecond)
}
