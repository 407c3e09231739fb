package replacement

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

var start = time.Unix(1000, 0)

func at(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }

func adapters(demands map[string]int) []grants.AdapterState {
	var out []grants.AdapterState
	for name, demand := range demands {
		out = append(out, grants.AdapterState{Model: "m", Adapter: name, Usable: true, Demand: demand})
	}
	return out
}

func key(name string) catalog.AdapterKey { return catalog.AdapterKey{Model: "m", Adapter: name} }

func usable(address string, demands map[string]int) Observation {
	return Observation{Address: address, Incarnation: 1, Usable: true, Adapters: adapters(demands)}
}

// Whatever way an engine is lost, its adapters in demand are missing until another engine holds them. Those of an
// evacuated engine are missing in any case and come first.
func TestAdaptersOfLostEnginesAreMissing(t *testing.T) {
	x := usable("x", map[string]int{"busy": 4, "rare": 0})
	y := usable("y", map[string]int{"y": 2})
	changed := func(change func(*Observation)) Observation {
		o := x
		change(&o)
		return o
	}
	busy := []Missing{{Key: key("busy"), Demand: 4}}
	both := []Missing{{key("busy"), 4, true}, {key("rare"), 0, true}}
	for name, tc := range map[string]struct {
		then []Observation
		want []Missing
	}{
		"unchanged":             {[]Observation{x, y}, []Missing{}},
		"gone":                  {[]Observation{y}, busy},
		"not usable":            {[]Observation{changed(func(o *Observation) { o.Usable = false }), y}, busy},
		"scheduler restarts":    {[]Observation{changed(func(o *Observation) { o.Incarnation, o.Usable, o.Adapters = 0, false, nil }), y}, []Missing{}},
		"new incarnation":       {[]Observation{changed(func(o *Observation) { o.Incarnation, o.Adapters = 2, nil }), y}, busy},
		"evacuated":             {[]Observation{changed(func(o *Observation) { o.Evacuated = true }), y}, both},
		"evacuated, less asked": {[]Observation{changed(func(o *Observation) { o.Evacuated, o.Adapters = true, adapters(map[string]int{"busy": 1}) }), y}, both},
		"held elsewhere":        {[]Observation{usable("y", map[string]int{"busy": 0})}, []Missing{}},
		"evacuated and lost": {[]Observation{changed(func(o *Observation) { o.Evacuated = true })}, []Missing{
			{key("busy"), 4, true}, {key("rare"), 0, true}, {key("y"), 2, false},
		}},
	} {
		tracker := NewTracker(true)
		tracker.Observe([]Observation{x, y}, at(0))
		tracker.Observe(tc.then, at(1))
		if got := tracker.Missing(); !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s: missing = %v, want %v", name, got, tc.want)
		}
	}
}

// An adapter that was replaced once is not loaded again and again if it is evicted there, a loss is forgotten after a
// while, and without the setting only evacuated engines are replaced.
func TestLossesAreSettledOnce(t *testing.T) {
	tracker := NewTracker(true)
	tracker.Observe([]Observation{usable("x", map[string]int{"a": 4, "b": 4})}, at(0))
	tracker.Observe([]Observation{usable("y", map[string]int{"a": 0})}, at(1))
	tracker.Observe([]Observation{usable("y", nil)}, at(2))
	if got := tracker.Missing(); len(got) != 1 || got[0].Key != key("b") {
		t.Errorf("missing after a was held elsewhere for a time = %v, want b", got)
	}
	tracker.Observe(nil, at(11))
	if got := tracker.Missing(); len(got) != 0 {
		t.Errorf("missing 10 s after the loss = %v, want none", got)
	}
	tracker = NewTracker(false)
	tracker.Observe([]Observation{usable("x", map[string]int{"a": 4})}, at(0))
	tracker.Observe(nil, at(1))
	if got := tracker.Missing(); len(got) != 0 {
		t.Errorf("missing after a loss without the setting = %v, want none", got)
	}
}

// A plan never exceeds half of the loads that the weight store carries at full speed, nor the room of an engine, and
// orders no adapter twice.
func TestPlanStaysWithinLimits(t *testing.T) {
	const slots = 3
	c := routing.DefaultConfig()
	rapid.Check(t, func(t *rapid.T) {
		f := Fleet{AdapterSlots: slots, Cached: func(catalog.EndpointID, catalog.AdapterKey) bool { return false }}
		loading := 0
		for n := range rapid.IntRange(0, 40).Draw(t, "engines") {
			s := grants.Snapshot{Alive: true, Models: []string{"m"}, LoadingAdapters: rapid.IntRange(0, 1).Draw(t, "loading")}
			for i := range rapid.IntRange(0, slots).Draw(t, "adapters") {
				s.Adapters = append(s.Adapters, grants.AdapterState{
					Model: "m", Adapter: fmt.Sprintf("held-%d-%d", n, i), Usable: true, Demand: rapid.IntRange(0, 4).Draw(t, "held demand"),
				})
			}
			s.IdleAdapterSlots = rapid.IntRange(0, slots).Draw(t, "idle")
			loading += s.LoadingAdapters
			f.Engines = append(f.Engines, routing.Engine{ID: catalog.EndpointID(fmt.Sprint(n)), Snapshot: s, SnapshotFresh: true})
		}
		var missing []Missing
		for n := range rapid.IntRange(0, 40).Draw(t, "missing") {
			missing = append(missing, Missing{Key: key(fmt.Sprint("lost-", n)), Demand: rapid.IntRange(0, 4).Draw(t, "demand")})
		}
		first := Plan(c, missing, f)
		f.Pending = first
		all := append(first, Plan(c, missing, f)...)
		if limit := max(8, 0.33*float64(len(f.Engines))) / 2; len(all) > 0 && float64(len(all)+loading) > limit {
			t.Fatalf("%d loads beside %d, want at most %g", len(all), loading, limit)
		}
		taken, seen := map[catalog.EndpointID][]int{}, map[catalog.AdapterKey]bool{}
		for _, l := range all {
			if seen[l.Key] {
				t.Fatalf("adapter %v is ordered twice", l.Key)
			}
			seen[l.Key] = true
			taken[l.Engine] = append(taken[l.Engine], l.Demand)
		}
		for _, e := range f.Engines {
			empty := slots - len(e.Snapshot.Adapters)
			for n, demand := range taken[e.ID] {
				lower := 0
				for _, a := range e.Snapshot.Adapters {
					if a.Demand < demand {
						lower++
					}
				}
				if n >= e.Snapshot.IdleAdapterSlots || n >= empty+lower {
					t.Fatalf("load %d of demand %d on engine %s exceeds its room: %+v", n+1, demand, e.ID, e.Snapshot)
				}
			}
		}
	})
}

// The adapters in the highest demand are loaded first if the limit does not admit all of them.
func TestPlanLoadsTheMostUrgentFirst(t *testing.T) {
	f := Fleet{AdapterSlots: 2, Cached: func(catalog.EndpointID, catalog.AdapterKey) bool { return false }}
	for n := range 8 {
		f.Engines = append(f.Engines, routing.Engine{
			ID: catalog.EndpointID(fmt.Sprint(n)), Snapshot: grants.Snapshot{Alive: true, Models: []string{"m"}, IdleAdapterSlots: 2}, SnapshotFresh: true,
		})
	}
	var missing []Missing
	for n := range 6 {
		missing = append(missing, Missing{Key: key(fmt.Sprint(n)), Demand: 10 - n})
	}
	got := Plan(routing.DefaultConfig(), missing, f)
	if len(got) != 4 || got[0].Key != key("0") || got[3].Key != key("3") {
		t.Errorf("plan = %v, want the loads of 0 to 3", got)
	}
}

// BenchmarkStep measures what the acting router does each 200 ms while one of four failure domains with 710 engines is
// evacuated.
func BenchmarkStep(b *testing.B) {
	tracker := NewTracker(true)
	f := Fleet{AdapterSlots: 8, Cached: func(catalog.EndpointID, catalog.AdapterKey) bool { return false }}
	var observations []Observation
	for n := range 710 {
		held := make(map[string]int)
		for i := range 7 {
			held[fmt.Sprint(n, "-", i)] = i
		}
		o := usable(fmt.Sprint(n), held)
		if o.Evacuated = n%4 == 0; !o.Evacuated {
			f.Engines = append(f.Engines, routing.Engine{
				ID: catalog.EndpointID(o.Address), SnapshotFresh: true,
				Snapshot: grants.Snapshot{Alive: true, Models: []string{"m"}, Adapters: o.Adapters, IdleAdapterSlots: 4},
			})
		}
		observations = append(observations, o)
	}
	for name, idle := range map[string]int{"room": 4, "no room": 0} {
		for i := range f.Engines {
			f.Engines[i].Snapshot.IdleAdapterSlots = idle
		}
		b.Run(name, func(b *testing.B) {
			loads := 0
			for b.Loop() {
				tracker.Observe(observations, at(0))
				loads = len(Plan(routing.DefaultConfig(), tracker.Missing(), f))
			}
			b.ReportMetric(float64(loads), "loads")
		})
	}
}
