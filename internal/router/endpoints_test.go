package router

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/availability"
)

// An endpoint that said in a response that it drains stays so until its next incarnation, also if
// its registration is removed and written again.
func TestDrainingEndpointStaysSoWithinIncarnation(t *testing.T) {
	tracker, now := newEndpointTracker(), time.Unix(1000, 0)
	endpoint := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: 5}
	if !tracker.usable(endpoint, now) {
		t.Fatal("endpoint drains before it said so")
	}
	draining := availability.Signals{Draining: true}
	if !tracker.observeAvailability(endpoint, draining, now).Draining || tracker.observeAvailability(endpoint, draining, now).Draining {
		t.Error("observeAvailability: want the first response to be new and the second not")
	}
	tracker.sync(catalog.NewState().View(), now.Add(time.Second))
	if tracker.usable(endpoint, now) || len(tracker.plainCandidates([]*catalog.Endpoint{endpoint}, nil, now)) > 0 {
		t.Error("endpoint is used again after its registration was removed, want it left out")
	}
	if !tracker.usable(&catalog.Endpoint{ID: "e", Service: "s", Incarnation: 6}, now) {
		t.Error("the next incarnation counts as draining")
	}
}

// An endpoint that wants no requests for a time is left out until then. A shorter time does not
// replace a longer one, and an incarnation that starts afterwards is free of it.
func TestPushbackLastsUntilItsTime(t *testing.T) {
	tracker, now := newEndpointTracker(), time.Unix(1000, 0)
	endpoint := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: 5}
	list := []*catalog.Endpoint{endpoint}
	pushback := func(d time.Duration) bool {
		return tracker.observeAvailability(endpoint, availability.Signals{RetryAfter: d}, now).PushedBack
	}
	if !pushback(4*time.Second) || pushback(time.Second) {
		t.Error("observeAvailability: want the endpoint to be in use before the first response only")
	}
	tracker.sync(catalog.NewState().View(), now.Add(3*time.Second))
	later := now.Add(3 * time.Second)
	if tracker.usable(endpoint, later) || tracker.minPushback(list, later) != time.Second {
		t.Errorf("3 s after a pushback of 4 s: shortest wait = %s, want 1 s", tracker.minPushback(list, later))
	}
	if !tracker.usable(&catalog.Endpoint{ID: "e", Service: "s", Incarnation: later.UnixMilli()}, later) {
		t.Error("the next incarnation is left out too")
	}
	if tracker.usable(&catalog.Endpoint{ID: "e", Service: "s", Incarnation: now.Add(-time.Second).UnixMilli()}, later) {
		t.Error("an incarnation that had started before the pushback, and may have sent it, is used")
	}
	if !tracker.usable(endpoint, now.Add(4*time.Second)) {
		t.Error("endpoint is left out after its time")
	}
}
