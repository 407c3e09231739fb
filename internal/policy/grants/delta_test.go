package grants

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawSnapshot(t *rapid.T) Snapshot {
	s := Snapshot{
		Alive: rapid.Bool().Draw(t, "alive"), Draining: rapid.Bool().Draw(t, "draining"),
		Incarnation:      rapid.Int64Range(0, 2).Draw(t, "incarnation"),
		IdleAdapterSlots: rapid.IntRange(0, 2).Draw(t, "idle"), LoadingAdapters: rapid.IntRange(0, 2).Draw(t, "loading"),
		RateWaitMS: rapid.IntRange(0, 20).Draw(t, "rate"), Slowdown: rapid.Float64Range(1, 1.2).Draw(t, "slowdown"),
		LateEventRate:     rapid.Float64Range(0, 0.1).Draw(t, "late"),
		AdapterSlotWaitMS: rapid.Float64Range(0, 30).Draw(t, "slot"),
	}
	if rapid.Bool().Draw(t, "model") {
		s.Models = []string{"base"}
	}
	for i := range s.PrefillWaitMS {
		s.PrefillWaitMS[i] = rapid.IntRange(0, 40).Draw(t, "wait")
	}
	for i := range 4 {
		if rapid.Bool().Draw(t, "resident") {
			s.Adapters = append(s.Adapters, AdapterState{Adapter: fmt.Sprint(i), Model: "base", Usable: rapid.Bool().Draw(t, "usable")})
		}
	}
	return s.Rounded()
}

// byAdapter returns a snapshot without its adapters, and these by their names.
func byAdapter(s Snapshot) (Snapshot, map[string]AdapterState) {
	adapters := map[string]AdapterState{}
	for _, a := range s.Adapters {
		adapters[a.Adapter] = a
	}
	s.Adapters = nil
	if len(s.Models) == 0 {
		s.Models = nil
	}
	return s, adapters
}

// A router that applies the differences of a stream as they were encoded has the last snapshot. The
// snapshots that it had before stay as they were, since requests still read them.
func TestDeltasRebuildSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var sent, received Snapshot
		for range rapid.IntRange(1, 8).Draw(t, "snapshots") {
			next := drawSnapshot(t)
			line, err := json.Marshal(next.Delta(sent))
			if err != nil {
				t.Fatal(err)
			}
			var d SnapshotDelta
			if err := json.Unmarshal(line, &d); err != nil {
				t.Fatal(err)
			}
			before := fmt.Sprintf("%+v", received)
			rebuilt := d.Apply(received)
			if after := fmt.Sprintf("%+v", received); after != before {
				t.Fatalf("former snapshot changed to %s from %s", after, before)
			}
			sent, received = next, rebuilt
			want, wantAdapters := byAdapter(next)
			got, gotAdapters := byAdapter(rebuilt)
			if !reflect.DeepEqual(got, want) || !reflect.DeepEqual(gotAdapters, wantAdapters) {
				t.Fatalf("rebuilt snapshot = %+v, want %+v", rebuilt, next)
			}
		}
	})
}

// Only waits and their rounding errors may be left out, up to the resolution of the ranking.
func TestSnapshotsThatDifferForRouters(t *testing.T) {
	base := Snapshot{Alive: true, Slowdown: 1, PrefillWaitMS: [NumPriorities]int{100, 100, 100}}
	for name, tc := range map[string]struct {
		change func(*Snapshot)
		want   bool
	}{
		"nothing":              {func(*Snapshot) {}, false},
		"a short wait":         {func(s *Snapshot) { s.PrefillWaitMS[1] += waitResolutionMS }, false},
		"a longer wait":        {func(s *Snapshot) { s.PrefillWaitMS[1] += waitResolutionMS + 1 }, true},
		"a shorter wait":       {func(s *Snapshot) { s.PrefillWaitMS[0] -= waitResolutionMS + 1 }, true},
		"rate limit":           {func(s *Snapshot) { s.RateWaitMS = waitResolutionMS + 1 }, true},
		"wait for a slot":      {func(s *Snapshot) { s.AdapterSlotWaitMS = waitResolutionMS + 1 }, true},
		"engine is lost":       {func(s *Snapshot) { s.Alive = false }, true},
		"engine drains":        {func(s *Snapshot) { s.Draining = true }, true},
		"new incarnation":      {func(s *Snapshot) { s.Incarnation = 2 }, true},
		"model":                {func(s *Snapshot) { s.Models = []string{"base"} }, true},
		"adapter":              {func(s *Snapshot) { s.Adapters = []AdapterState{{Adapter: "a"}} }, true},
		"load":                 {func(s *Snapshot) { s.LoadingAdapters = 1 }, true},
		"idle slot":            {func(s *Snapshot) { s.IdleAdapterSlots = 1 }, true},
		"slowdown":             {func(s *Snapshot) { s.Slowdown = 1.1 }, true},
		"slowdown in rounding": {func(s *Snapshot) { s.Slowdown = 1.01 }, false},
		"late events":          {func(s *Snapshot) { s.LateEventRate = 0.02 }, true},
	} {
		s := base
		tc.change(&s)
		if got := s.Rounded().DiffersForRouters(base.Rounded()); got != tc.want {
			t.Errorf("%s: differs = %t, want %t", name, got, tc.want)
		}
	}
}

// No line of a scheduler makes a router fail, and the former snapshot stays as it was.
func FuzzSnapshotDelta(f *testing.F) {
	f.Add([]byte(`{"alive":true,"born":5,"models":["base"],"set":[{"a":"1","m":"base","r":true}],"waitMs":[1,2,3]}`))
	f.Add([]byte(`{"remove":[{"a":"0","m":"base"},{"a":"0","m":"base"}],"set":[{"a":"0"},{"a":"0"}]}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var d SnapshotDelta
		if json.Unmarshal(line, &d) != nil {
			return
		}
		former := Snapshot{Adapters: []AdapterState{{Adapter: "0", Model: "base"}, {Adapter: "1", Model: "base", Usable: true}}}
		before := fmt.Sprintf("%+v", former)
		s := d.Apply(former)
		if after := fmt.Sprintf("%+v", former); after != before {
			t.Errorf("former snapshot changed to %s from %s", after, before)
		}
		if _, err := json.Marshal(s.Rounded().Delta(former)); err != nil {
			t.Errorf("snapshot %+v cannot be encoded: %v", s, err)
		}
	})
}
