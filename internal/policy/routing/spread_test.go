package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

// firstChoices returns how many of 2,000 requests go to each engine first.
func firstChoices(engines []Engine, othersRate float64) map[catalog.EndpointID]int {
	chosen := make(map[catalog.EndpointID]int)
	for r := range 2000 {
		job := Job{
			Key: key(1), FailureDomain: "a", PromptTokens: 1000, Seed: rendezvous.Hash(fmt.Sprint("request-", r)),
			OthersPrefillRate: othersRate, MaxOnTimeWait: time.Second,
		}
		chosen[Rank(config, job, engines)[0].ID]++
	}
	return chosen
}

// Pattern: by snapshots of 500 ms ago one of 12 holders has no queue and the others have 400 ms each. All routers take the idle
// one at any rate, which then has the longest queue. It must get no more than it can work off, and all of it in calm. Loads
// stay scarce: no engine without the adapter is used, although all of them are idle.
func TestIdleHolderIsNotOverrun(t *testing.T) {
	engines := withHolders(120, 12, 4, 400)
	for i := range engines {
		engines[i].SnapshotAge = 500 * time.Millisecond
	}
	engines[0].Snapshot.PrefillWaitMS[0] = 0
	for rate, want := range map[float64][2]int{0: {2000, 2000}, 0.5: {2000, 2000}, 60: {200, 500}} {
		chosen := firstChoices(engines, rate)
		if got := chosen["e0"]; got < want[0] || got > want[1] {
			t.Errorf("others send %g ms a ms: %d of 2000 requests go to the idle holder, want %d to %d", rate, got, want[0], want[1])
		}
		for _, e := range engines[12:] {
			if chosen[e.ID] > 0 {
				t.Errorf("others send %g ms a ms: %d requests go to %s, which needs a load", rate, chosen[e.ID], e.ID)
			}
		}
	}
}

// Guards against an engine that is faster than normal and counts as a normal one: with equal costs a busy service sends
// it requests by its speed.
func TestFasterEngineGetsMore(t *testing.T) {
	engines := withHolders(12, 2, 4, 100)
	engines[0].Snapshot.Slowdown = 0.75
	for i := range engines {
		engines[i].SnapshotAge = 500 * time.Millisecond
	}
	chosen := firstChoices(engines, 60)
	if fast, normal := chosen["e0"], chosen["e1"]; float64(fast) < 1.2*float64(normal) || float64(fast) > 1.5*float64(normal) {
		t.Errorf("requests to the engine with a slowdown of 0.75: %d, to a normal one: %d, want 1.2 to 1.5 times as many", fast, normal)
	}
}
