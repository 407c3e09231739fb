package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/turns"
)

var config = DefaultConfig()

func key(n int) catalog.AdapterKey {
	return catalog.AdapterKey{Model: "base", Adapter: fmt.Sprintf("a%d", n)}
}

// fleet returns idle engines with empty places.
func fleet(n int) []Engine {
	out := make([]Engine, n)
	for i := range out {
		out[i] = Engine{
			ID: catalog.EndpointID(fmt.Sprintf("e%d", i)), Domain: "a", Fresh: true,
			Snapshot: turns.Snapshot{Alive: true, Models: []string{"base"}, IdleAdapterSlots: 7, Slowdown: 1},
		}
	}
	return out
}

func hold(e *Engine, k catalog.AdapterKey) {
	e.Snapshot.Adapters = append(e.Snapshot.Adapters, turns.AdapterState{Model: k.Model, Adapter: k.Adapter, Usable: true})
}

func first(t *testing.T, engines []Engine, k catalog.AdapterKey) Choice {
	t.Helper()
	ranked := Rank(config, Job{Key: k, Domain: "a", Prompt: 1000}, engines)
	if len(ranked) == 0 {
		t.Fatal("no engine")
	}
	return ranked[0]
}

// Pattern: rare adapters. One always goes to the same engine, and many spread.
func TestRareAdapterHasOneHome(t *testing.T) {
	engines := fleet(18)
	count := make(map[catalog.EndpointID]int)
	for n := range 900 {
		home := first(t, engines, key(n)).ID
		if again := first(t, engines, key(n)).ID; again != home {
			t.Fatalf("adapter %d: %s, then %s", n, home, again)
		}
		count[home]++
	}
	for id, n := range count {
		if n < 25 || n > 100 {
			t.Errorf("%s is the home of %d of 900 adapters on 18 engines", id, n)
		}
	}
}

// Pattern: an adapter that was held lately loads quickly where it was.
func TestAdapterGoesBackWhereItWas(t *testing.T) {
	engines := fleet(6)
	for i := range engines {
		if engines[i].ID != first(t, fleet(6), key(1)).ID {
			engines[i].Remembered = true
			if got := first(t, engines, key(1)).ID; got != engines[i].ID {
				t.Errorf("%s, want %s", got, engines[i].ID)
			}
			return
		}
	}
}

// Pattern: popularity moving on. An adapter whose engine has a long queue
// spreads to another one, and comes back when the queue is short.
func TestPopularAdapterSpreadsWithItsLoad(t *testing.T) {
	engines := fleet(4)
	hold(&engines[2], key(1))
	if c := first(t, engines, key(1)); c.ID != "e2" || !c.Resident {
		t.Errorf("idle engine that holds it: %+v", c)
	}
	engines[2].Snapshot.WaitMS[0] = 200
	if c := first(t, engines, key(1)); c.ID != "e2" {
		t.Errorf("short queue: %+v", c)
	}
	engines[2].Snapshot.WaitMS[0] = 1500
	if c := first(t, engines, key(1)); c.ID == "e2" {
		t.Errorf("long queue: %+v", c)
	}
}

// Pattern: flash crowd. While many loads are under way, requests stay where
// their adapter is.
func TestNoSpreadingWhileLoadsAreManyAndQueuesBearable(t *testing.T) {
	engines := fleet(4)
	hold(&engines[2], key(1))
	engines[2].Snapshot.WaitMS[0] = 900
	if c := first(t, engines, key(1)); c.ID == "e2" {
		t.Errorf("few loads: %+v", c)
	}
	for i := range engines {
		engines[i].Snapshot.LoadingAdapters = 2
	}
	if c := first(t, engines, key(1)); c.ID != "e2" {
		t.Errorf("many loads: %+v", c)
	}
}

// Pattern: rare adapters all at once. Loads that would slow those under way too
// much are not begun, also where the snapshots do not tell of them yet; an engine
// that holds or held the adapter is not concerned. An adapter whose engines are
// late may still spread, since many requests gain from that load.
func TestLoadsAreBoundedOverTheFleet(t *testing.T) {
	engines := fleet(18)
	if c := first(t, engines, key(1)); c.Crowded || c.Load != config.ColdLoad {
		t.Errorf("no loads under way: %+v", c)
	}
	for i := range 12 {
		engines[i].Snapshot.LoadingAdapters = 1
	}
	if c := first(t, engines, key(1)); !c.Crowded || c.Load < config.ColdLoad*3/2 {
		t.Errorf("12 loads under way: %+v", c)
	}
	hold(&engines[3], key(2))
	engines[3].Snapshot.WaitMS[0] = 5000
	if c := first(t, engines, key(2)); c.Crowded || c.ID == engines[3].ID {
		t.Errorf("adapter that spreads: %+v", c)
	}
	engines[4].Remembered = true
	if c := first(t, engines, key(1)); c.Crowded || c.ID != engines[4].ID || c.Load != 0 {
		t.Errorf("quick load: %+v", c)
	}
	engines = fleet(18)
	engines[0].Asked = 3
	ranked := Rank(config, Job{Key: key(1), Domain: "a", Routers: 4}, engines)
	if !ranked[0].Crowded {
		t.Errorf("12 loads asked for by 4 routers: %+v", ranked[0])
	}
}

// Pattern: flash crowd. A request that would be late wherever its adapter is goes
// to an engine that is free, whatever the load costs.
func TestLateRequestSpreads(t *testing.T) {
	engines := fleet(4)
	hold(&engines[2], key(1))
	for i := range engines {
		engines[i].Snapshot.LoadingAdapters = 3
	}
	engines[2].Snapshot.WaitMS[0] = 1100
	ranked := Rank(config, Job{Key: key(1), Domain: "a", Prompt: 1000, Longest: time.Second}, engines)
	if ranked[0].ID == "e2" || ranked[3].ID != "e2" {
		t.Errorf("%+v, want the engine with the queue last", ranked)
	}
}

// Pattern: engines whose streams pause too long, since they are slow or read
// large prompts. Long streams avoid them, short ones, which hardly meet a pause,
// do not.
func TestPausingEngineIsAvoidedByLongStreams(t *testing.T) {
	engines := fleet(3)
	home := first(t, engines, key(1)).ID
	for i := range engines {
		if engines[i].ID == home {
			engines[i].Snapshot.LateEventRate = 0.05
		}
	}
	long := Rank(config, Job{Key: key(1), Domain: "a", Prompt: 1000, Events: 50}, engines)
	if long[0].ID == home {
		t.Error("a stream of 50 events goes where one in 20 events is late")
	}
	short := Rank(config, Job{Key: key(1), Domain: "a", Prompt: 1000, Events: 2}, engines)
	if short[0].ID != home {
		t.Error("a stream of 2 events leaves its home for one late event in 20")
	}
}

// Pattern: engines slow behind good health.
func TestSlowEngineIsAvoided(t *testing.T) {
	engines := fleet(3)
	home := first(t, engines, key(1)).ID
	for i := range engines {
		if engines[i].ID == home {
			engines[i].Snapshot.Slowdown = 5
		}
	}
	ranked := Rank(config, Job{Key: key(1), Domain: "a", Prompt: 9000}, engines)
	if ranked[0].ID == home {
		t.Error("the slow engine is still the first")
	}
}

// Pattern: engines that fail part of their requests behind good health: out
// within a few requests, back after a while.
func TestFailingEngineIsAvoidedWithinAFewRequests(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	engines := fleet(3)
	home := first(t, engines, key(1)).ID
	failures := 0
	for first(t, engines, key(1)).ID == home {
		if failures++; failures > 5 {
			t.Fatal("still the first after five failures")
		}
		h.Failed(now)
		for i := range engines {
			if engines[i].ID == home {
				engines[i].Failing = h.Failing(now)
			}
		}
	}
	if later := h.Failing(now.Add(30 * time.Second)); later > 0.01 {
		t.Errorf("after half a minute it counts as %.2f failing", later)
	}
}

// Pattern: half of the engines gone. Those that their schedulers report as lost
// get nothing; silent schedulers count against an engine, no more.
func TestLostEnginesGetNothing(t *testing.T) {
	engines := fleet(4)
	engines[0].Snapshot.Alive = false
	engines[1].Tried = true
	engines[2].Fresh = false
	hold(&engines[2], key(1))
	ranked := Rank(config, Job{Key: key(1), Domain: "a"}, engines)
	if len(ranked) != 2 {
		t.Fatalf("%d engines, want 2", len(ranked))
	}
	for _, c := range ranked {
		if c.ID == "e0" || c.ID == "e1" {
			t.Errorf("%s is offered", c.ID)
		}
	}
}

func TestUnreachedEndpointIsBlockedLongerEachTime(t *testing.T) {
	var h Health
	now := time.Unix(1000, 0)
	h.Unreached(now)
	if !h.Blocked(now.Add(blockFirst/2)) || h.Blocked(now.Add(blockFirst+1)) {
		t.Error("the first block does not last its time")
	}
	for range 10 {
		h.Unreached(now)
	}
	if !h.Blocked(now.Add(blockMost/2)) || h.Blocked(now.Add(blockMost+1)) {
		t.Error("the longest block does not last its time")
	}
	h.Finished(time.Millisecond, now)
	h.Unreached(now)
	if h.Blocked(now.Add(blockFirst + 1)) {
		t.Error("an answer does not end the growth")
	}
}

func TestPlainEndpointsByLoadAndFailure(t *testing.T) {
	none := func() float64 { return 0 }
	list := []Plain{
		{ID: "busy", Domain: "a", Slots: 6, Outstanding: 6},
		{ID: "free", Domain: "a", Slots: 6},
		{ID: "far", Domain: "b", Slots: 6},
		{ID: "failing", Domain: "a", Slots: 6, Failing: 0.5},
		{ID: "tried", Domain: "a", Slots: 6, Tried: true},
	}
	got := fmt.Sprint(RankPlain("a", list, none))
	if got != "[free far busy failing]" {
		t.Error(got)
	}
}

// Pattern: one instance works several times as long as the others.
func TestSlowPlainEndpointGetsLess(t *testing.T) {
	none := func() float64 { return 0 }
	list := []Plain{
		{ID: "slow", Domain: "a", Slots: 6, LatencyMS: 300},
		{ID: "usual", Domain: "a", Slots: 6, LatencyMS: 60, Outstanding: 2},
		{ID: "usual2", Domain: "a", Slots: 6, LatencyMS: 60, Outstanding: 2},
	}
	if got := RankPlain("a", list, none); got[0] != "usual" {
		t.Error(got)
	}
}
