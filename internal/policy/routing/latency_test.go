package routing

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// One slow response must not keep an idle endpoint of a plain service without requests for ever, beside an idle neighbour or
// busy ones: only a request can show that it is fast again.
func TestOldSlowSampleDoesNotKeepEndpointOut(t *testing.T) {
	for name, outstanding := range map[string][]int{"one idle neighbour": {0}, "two busy neighbours": {6, 6}} {
		now := time.Unix(1000, 0)
		var slow, usual Health
		slow.RecordSuccess(2*time.Second, now)
		chosen := 0
		for range 60 {
			now = now.Add(time.Second)
			usual.RecordSuccess(2*time.Millisecond, now)
			endpoints := []PlainEndpoint{{ID: "slow", FailureDomain: "a", Slots: 6, LatencyMS: slow.LatencyMS(now)}}
			for _, n := range outstanding {
				endpoints = append(endpoints, PlainEndpoint{
					ID: "usual", FailureDomain: "a", Slots: 6, Outstanding: n, LatencyMS: usual.LatencyMS(now),
				})
			}
			if RankPlainEndpoints("a", endpoints, 0, func() float64 { return 0 })[0] == catalog.EndpointID("slow") {
				chosen++
				slow.RecordSuccess(2*time.Millisecond, now)
			}
		}
		if chosen < 30 {
			t.Errorf("%s: requests to the endpoint with the old slow sample = %d in a minute, want most of 60", name, chosen)
		}
	}
}

// A latency counts for as long as there are new samples, and is unknown some time after the last one.
func TestLatencyHasAnAge(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	if got := h.LatencyMS(now); got != 0 {
		t.Errorf("latency without a sample = %g, want 0", got)
	}
	for range 10 {
		now = now.Add(latencyLifetime)
		h.RecordSuccess(100*time.Millisecond, now)
	}
	if got := h.LatencyMS(now.Add(latencyLifetime)); got != 100 {
		t.Errorf("latency = %g ms, want 100", got)
	}
	now = now.Add(latencyLifetime + 1)
	if got := h.LatencyMS(now); got != 0 {
		t.Errorf("latency after its lifetime = %g ms, want 0", got)
	}
	h.RecordSuccess(2*time.Millisecond, now)
	if got := h.LatencyMS(now); got != 2 {
		t.Errorf("latency of the first sample after that = %g ms, want 2", got)
	}
}
