package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
)

var config = DefaultConfig()

func key(n int) catalog.AdapterKey {
	return catalog.AdapterKey{Model: "base", Adapter: fmt.Sprintf("a%d", n)}
}

// fleet returns n idle engines with free adapter slots.
func fleet(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{
			ID: catalog.EndpointID(fmt.Sprintf("e%d", i)), FailureDomain: "a", SnapshotFresh: true,
			Snapshot: grants.Snapshot{Alive: true, Models: []string{"base"}, IdleAdapterSlots: 7, Slowdown: 1},
		}
	}
	return out
}

func addAdapter(e *Engine, k catalog.AdapterKey) {
	e.Snapshot.Adapters = append(e.Snapshot.Adapters, grants.AdapterState{Model: k.Model, Adapter: k.Adapter, Usable: true})
}

func first(t *testing.T, engines []Engine, k catalog.AdapterKey) Choice {
	t.Helper()
	ranked := Rank(config, Job{Key: k, FailureDomain: "a", PromptTokens: 1000}, engines)
	if len(ranked) == 0 {
		t.Fatal("Rank() returns no engine")
	}
	return ranked[0]
}

// The first load of a rare adapter always goes to the same engine, and the preferred
// engines of many adapters are spread over the fleet.
func TestRareAdapterHasOnePreferredEngine(t *testing.T) {
	engines := fleet(18)
	count := make(map[catalog.EndpointID]int)
	for n := range 900 {
		preferred := first(t, engines, key(n)).ID
		if again := first(t, engines, key(n)).ID; again != preferred {
			t.Fatalf("adapter %d is ranked first on %s, then on %s", n, preferred, again)
		}
		count[preferred]++
	}
	for id, n := range count {
		if n < 25 || n > 100 {
			t.Errorf("%s is the preferred engine of %d of 900 adapters on 18 engines, want 25 to 100", id, n)
		}
	}
}

// A recently unloaded adapter returns to the engine whose host has it cached, because
// the load is faster there.
func TestAdapterReturnsToEngineThatHasItCached(t *testing.T) {
	engines := fleet(6)
	for i := range engines {
		if engines[i].ID != first(t, fleet(6), key(1)).ID {
			engines[i].Cached = true
			if got := first(t, engines, key(1)).ID; got != engines[i].ID {
				t.Errorf("Rank() puts %s first, want %s, which has the adapter cached", got, engines[i].ID)
			}
			return
		}
	}
}

// An adapter spreads to a second engine only if the queue of the first one is long.
func TestPopularAdapterSpreadsWithItsLoad(t *testing.T) {
	engines := fleet(4)
	addAdapter(&engines[2], key(1))
	if c := first(t, engines, key(1)); c.ID != "e2" || !c.Resident {
		t.Errorf("idle engine with the adapter: first choice %+v, want e2 with Resident", c)
	}
	engines[2].Snapshot.PrefillWaitMS[0] = 200
	if c := first(t, engines, key(1)); c.ID != "e2" {
		t.Errorf("wait of 200 ms: first choice %+v, want e2", c)
	}
	engines[2].Snapshot.PrefillWaitMS[0] = 1500
	if c := first(t, engines, key(1)); c.ID == "e2" {
		t.Errorf("wait of 1500 ms: first choice %+v, want an engine other than e2", c)
	}
}

// During a flash crowd with many loads in progress, requests stay on the engine that
// holds their adapter, unless its queue is too long.
func TestNoSpreadingDuringManyLoadsWithModerateQueue(t *testing.T) {
	engines := fleet(4)
	addAdapter(&engines[2], key(1))
	engines[2].Snapshot.PrefillWaitMS[0] = 900
	if c := first(t, engines, key(1)); c.ID == "e2" {
		t.Errorf("no loads in progress: first choice %+v, want an engine other than e2", c)
	}
	for i := range engines {
		engines[i].Snapshot.LoadingAdapters = 2
	}
	if c := first(t, engines, key(1)); c.ID != "e2" {
		t.Errorf("two loads per engine: first choice %+v, want e2", c)
	}
}

// Guards against a popular prompt that is prefilled on every engine that holds its adapter: requests with the same parts meet on
// one of them, those with other parts are spread, and a queue that takes longer than the prefill is avoided.
func TestRequestsWithSharedPartsMeet(t *testing.T) {
	engines := fleet(6)
	for i := range 4 {
		addAdapter(&engines[i], key(1))
	}
	homes := make(map[catalog.EndpointID]int)
	for prefix := range uint64(40) {
		job := Job{Key: key(1), FailureDomain: "a", PromptTokens: 9000, SharedTokens: 6400, PrefixSeed: 1 + prefix*0x9e3779b97f4a7c15}
		job.Seed = 1
		home := Rank(config, job, engines)[0].ID
		for job.Seed = range uint64(20) {
			if got := Rank(config, job, engines)[0].ID; got != home {
				t.Fatalf("prefix %d: requests go to %s and %s", prefix, home, got)
			}
		}
		homes[home]++
		busy := append([]Engine{}, engines...)
		for i := range busy {
			if busy[i].ID == home {
				busy[i].Snapshot.PrefillWaitMS[0] = 300 // The shared parts take 200 ms.
			}
		}
		if got := Rank(config, job, busy)[0].ID; got == home {
			t.Errorf("prefix %d: a queue of 300 ms is not avoided", prefix)
		}
	}
	if len(homes) != 4 {
		t.Errorf("40 prefixes meet on %d of 4 engines that hold the adapter", len(homes))
	}
}

// When many rare adapters are requested at once, a load that would slow down those in
// progress too much is not started. Loads that the snapshots do not show yet count
// too. Engines that hold the adapter or have it cached are not affected. An adapter
// whose engines miss the latency target may still spread, because many requests
// benefit from that load.
func TestConcurrentLoadsAreLimitedAcrossFleet(t *testing.T) {
	engines := fleet(18)
	if c := first(t, engines, key(1)); c.LoadLimitExceeded || c.ColdLoadTime != config.ColdLoadTime {
		t.Errorf("no loads in progress: first choice %+v, want LoadLimitExceeded false and a load at full speed", c)
	}
	for i := range 12 {
		engines[i].Snapshot.LoadingAdapters = 1
	}
	if c := first(t, engines, key(1)); !c.LoadLimitExceeded || c.ColdLoadTime < config.ColdLoadTime*3/2 {
		t.Errorf("12 loads in progress: first choice %+v, want LoadLimitExceeded and a load of at least 1.5 times ColdLoadTime", c)
	}
	addAdapter(&engines[3], key(2))
	engines[3].Snapshot.PrefillWaitMS[0] = 5000
	if c := first(t, engines, key(2)); c.LoadLimitExceeded || c.ID == engines[3].ID {
		t.Errorf("adapter with a queue of 5 s: first choice %+v, want another engine and LoadLimitExceeded false", c)
	}
	engines[4].Cached = true
	if c := first(t, engines, key(1)); c.LoadLimitExceeded || c.ID != engines[4].ID || c.ColdLoadTime != 0 {
		t.Errorf("adapter cached on e4: first choice %+v, want e4 without a load from the weight store", c)
	}
	engines = fleet(18)
	engines[0].PendingLoads = 3
	ranked := Rank(config, Job{Key: key(1), FailureDomain: "a", Routers: 4}, engines)
	if !ranked[0].LoadLimitExceeded {
		t.Errorf("12 loads caused by 4 routers: first choice %+v, want LoadLimitExceeded", ranked[0])
	}
}

// During a flash crowd, a request that would miss its latency target on every engine
// with its adapter goes to a free engine, regardless of the cost of the load.
func TestRequestThatWouldMissTargetSpreads(t *testing.T) {
	engines := fleet(4)
	addAdapter(&engines[2], key(1))
	for i := range engines {
		engines[i].Snapshot.LoadingAdapters = 3
	}
	engines[2].Snapshot.PrefillWaitMS[0] = 1100
	ranked := Rank(config, Job{Key: key(1), FailureDomain: "a", PromptTokens: 1000, MaxOnTimeWait: time.Second}, engines)
	if ranked[0].ID == "e2" || ranked[3].ID != "e2" {
		t.Errorf("Rank() = %+v, want e2, which has the queue, last", ranked)
	}
}

// An engine that is slow or processes large prompts produces late events. Long streams
// avoid it. Short streams, which are unlikely to have a late event, do not.
func TestLongStreamsAvoidEngineWithLateEvents(t *testing.T) {
	engines := fleet(3)
	preferred := first(t, engines, key(1)).ID
	for i := range engines {
		if engines[i].ID == preferred {
			engines[i].Snapshot.LateEventRate = 0.05
		}
	}
	long := Rank(config, Job{Key: key(1), FailureDomain: "a", PromptTokens: 1000, MeanEvents: 50}, engines)
	if long[0].ID == preferred {
		t.Error("a stream of 50 events goes to the engine with a late-event rate of 0.05")
	}
	short := Rank(config, Job{Key: key(1), FailureDomain: "a", PromptTokens: 1000, MeanEvents: 2}, engines)
	if short[0].ID != preferred {
		t.Error("a stream of 2 events avoids its preferred engine for a late-event rate of 0.05")
	}
}

// An engine can be slow while its health checks pass.
func TestSlowEngineIsAvoided(t *testing.T) {
	engines := fleet(3)
	preferred := first(t, engines, key(1)).ID
	for i := range engines {
		if engines[i].ID == preferred {
			engines[i].Snapshot.Slowdown = 5
		}
	}
	ranked := Rank(config, Job{Key: key(1), FailureDomain: "a", PromptTokens: 9000}, engines)
	if ranked[0].ID == preferred {
		t.Error("Rank() puts the engine with a slowdown of 5 first")
	}
}

// An engine can fail requests while its health checks pass. It is avoided within a few
// requests, and its failure rate decays.
func TestFailingEngineIsAvoidedWithinFewRequests(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	engines := fleet(3)
	preferred := first(t, engines, key(1)).ID
	failures := 0
	for first(t, engines, key(1)).ID == preferred {
		if failures++; failures > 5 {
			t.Fatal("the failing engine is still ranked first after five failures")
		}
		h.RecordFailure(now)
		for i := range engines {
			if engines[i].ID == preferred {
				engines[i].FailureRate = h.FailureRate(now)
			}
		}
	}
	if later := h.FailureRate(now.Add(30 * time.Second)); later > 0.01 {
		t.Errorf("failure rate after 30 s: %.2f, want at most 0.01", later)
	}
}

// Engines that their schedulers report as unreachable, and engines that were tried,
// are not ranked. An engine whose scheduler sends no snapshots is still
// ranked.
func TestUnreachableEnginesAreNotRanked(t *testing.T) {
	engines := fleet(4)
	engines[0].Snapshot.Alive = false
	engines[1].Tried = true
	engines[2].SnapshotFresh = false
	addAdapter(&engines[2], key(1))
	ranked := Rank(config, Job{Key: key(1), FailureDomain: "a"}, engines)
	if len(ranked) != 2 {
		t.Fatalf("Rank() returns %d engines, want 2", len(ranked))
	}
	for _, c := range ranked {
		if c.ID == "e0" || c.ID == "e1" {
			t.Errorf("Rank() returns %s, which is unreachable or was tried", c.ID)
		}
	}
}

func TestUnreachedEndpointIsBlockedLongerEachTime(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.RecordUnreachable(now)
	if !h.IsBlocked(now.Add(minBlockTime/2)) || h.IsBlocked(now.Add(minBlockTime+1)) {
		t.Error("first block: want IsBlocked until minBlockTime and not after it")
	}
	for range 10 {
		h.RecordUnreachable(now)
	}
	if !h.IsBlocked(now.Add(maxBlockTime/2)) || h.IsBlocked(now.Add(maxBlockTime+1)) {
		t.Error("block after 11 failures to connect: want IsBlocked until maxBlockTime and not after it")
	}
	h.RecordSuccess(time.Millisecond, now)
	h.RecordUnreachable(now)
	if h.IsBlocked(now.Add(minBlockTime + 1)) {
		t.Error("RecordSuccess does not reset the block time: still blocked after minBlockTime")
	}
}

func TestPlainEndpointsAreRankedByLoadAndFailureRate(t *testing.T) {
	noJitter := func() float64 { return 0 }
	list := []PlainEndpoint{
		{ID: "busy", FailureDomain: "a", Slots: 6, Outstanding: 6},
		{ID: "free", FailureDomain: "a", Slots: 6},
		{ID: "far", FailureDomain: "b", Slots: 6},
		{ID: "failing", FailureDomain: "a", Slots: 6, FailureRate: 0.5},
		{ID: "tried", FailureDomain: "a", Slots: 6, Tried: true},
	}
	got := fmt.Sprint(RankPlainEndpoints("a", list, 0, noJitter))
	if got != "[free far busy failing]" {
		t.Errorf("RankPlainEndpoints() = %v, want [free far busy failing]", got)
	}
}

// A plain endpoint with several times the latency of the others is ranked lower.
func TestSlowPlainEndpointIsRankedLower(t *testing.T) {
	noJitter := func() float64 { return 0 }
	list := []PlainEndpoint{
		{ID: "slow", FailureDomain: "a", Slots: 6, LatencyMS: 300},
		{ID: "usual", FailureDomain: "a", Slots: 6, LatencyMS: 60, Outstanding: 2},
		{ID: "usual2", FailureDomain: "a", Slots: 6, LatencyMS: 60, Outstanding: 2},
	}
	if got := RankPlainEndpoints("a", list, 0, noJitter); got[0] != "usual" {
		t.Errorf("RankPlainEndpoints() = %v, want usual first", got)
	}
}
