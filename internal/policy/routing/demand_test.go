package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

// withHolders returns a large fleet in which the first engines hold an adapter.
func withHolders(engines, holders, demand, waitMS int) []Engine {
	out := fleet(engines)
	for i := range holders {
		s := &out[i].Snapshot
		s.Adapters = []grants.AdapterState{{Model: key(1).Model, Adapter: key(1).Adapter, Usable: true, Demand: demand}}
		for p := range s.PrefillWaitMS {
			s.PrefillWaitMS[p] = waitMS
		}
	}
	return out
}

// Pattern: a fifth of all requests is for one adapter on a fleet of 120 engines, of which four hold it. It
// must spread before the queues of its holders reach the latency target, also while many loads are under
// way. Before, it spread at 1.3 s of wait only, so that requests were refused until two dozen engines held it. A rare adapter
// with the same queue does not spread.
func TestAdapterSpreadsWithItsDemand(t *testing.T) {
	for _, loading := range []int{0, 30} { // Without and with many loads under way.
		for demand, spreads := range map[int]bool{0: false, 16: true, 32: true} {
			engines := withHolders(120, 4, demand, 550)
			engines[119].Snapshot.LoadingAdapters = loading
			job := Job{
				Key: key(1), FailureDomain: "a", PromptTokens: 1000, SharedTokens: 300, MaxOnTimeWait: time.Second, Seed: 7,
			}
			best := Rank(config, job, engines)[0]
			if got := !best.Resident; got != spreads {
				t.Errorf("%d loads under way, %d requests a second on each of 4 holders with a wait of 550 ms: spreads = %t, want %t",
					loading, demand, got, spreads)
			}
		}
	}
}

// An adapter that enough engines hold for its demand does not spread further, even if it is the most
// popular one.
func TestPopularAdapterStopsSpreading(t *testing.T) {
	engines := withHolders(120, 24, 4, 100)
	if best := Rank(config, Job{Key: key(1), FailureDomain: "a", PromptTokens: 1000, Seed: 7}, engines)[0]; !best.Resident {
		t.Errorf("adapter with 24 holders, each asked 4 times a second, spreads to %s", best.ID)
	}
}

// Pattern: 68 routers see the same snapshots of 24 engines that hold an adapter. Before, all of them
// selected the engine that looked idle most. They must spread over the holders.
func TestRoutersWithEqualSnapshotsSelectDifferentHolders(t *testing.T) {
	engines := withHolders(120, 24, 4, 0)
	chosen := make(map[catalog.EndpointID]int)
	const routers = 68
	for r := range routers {
		job := Job{Key: key(1), FailureDomain: "a", PromptTokens: 1000, Seed: rendezvous.Hash(fmt.Sprint("request-", r))}
		best := Rank(config, job, engines)[0]
		if !best.Resident {
			t.Fatalf("request %d goes to %s, which does not hold the adapter", r, best.ID)
		}
		chosen[best.ID]++
	}
	for id, n := range chosen {
		if n > routers/6 {
			t.Errorf("%d of %d routers select %s at the same moment, want at most %d", n, routers, id, routers/6)
		}
	}
	if len(chosen) < 12 {
		t.Errorf("%d routers select %d of 24 equal engines, want at least half of them", routers, len(chosen))
	}
}

// A holder that is busier by more than the random cost is never preferred to an idle one.
func TestRandomCostDoesNotHideQueues(t *testing.T) {
	engines := withHolders(6, 2, 0, 0)
	for p := range engines[0].Snapshot.PrefillWaitMS {
		engines[0].Snapshot.PrefillWaitMS[p] = int(config.MaxRandomCost.Milliseconds()) + 1
	}
	for r := range 200 {
		job := Job{Key: key(1), FailureDomain: "a", PromptTokens: 1000, Seed: rendezvous.Hash(fmt.Sprint("request-", r))}
		if best := Rank(config, job, engines)[0]; best.ID != engines[1].ID {
			t.Fatalf("request %d goes to %s, want the idle holder %s", r, best.ID, engines[1].ID)
		}
	}
}
