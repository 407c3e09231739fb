package router

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// An endpoint that said in a response that it drains stays so until its next incarnation, also if
// its registration is removed and written again.
func TestDrainingEndpointStaysSoWithinIncarnation(t *testing.T) {
	tracker, now := newEndpointTracker(), time.Unix(1000, 0)
	endpoint := &catalog.Endpoint{ID: "e", Service: "s", Incarnation: 5}
	if tracker.drains(endpoint) {
		t.Fatal("endpoint drains before it said so")
	}
	if !tracker.markDraining(endpoint, now) || tracker.markDraining(endpoint, now) {
		t.Error("markDraining: want the first response to be new and the second not")
	}
	tracker.sync(catalog.NewState().View(), now.Add(time.Second))
	if !tracker.drains(endpoint) || len(tracker.plainCandidates([]*catalog.Endpoint{endpoint}, nil, now)) > 0 {
		t.Error("endpoint is used again after its registration was removed, want it left out")
	}
	if tracker.drains(&catalog.Endpoint{ID: "e", Service: "s", Incarnation: 6}) {
		t.Error("the next incarnation counts as draining")
	}
}
