package coldstart

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var (
	start    = time.UnixMilli(1_700_000_000_000)
	settings = Settings{Period: 3 * time.Second, PerSecond: 6.9}
)

// A scheduler must take an engine for cold after a restart of either, unless the engine is certainly old, and must
// not keep an old engine cold.
func TestFirstReports(t *testing.T) {
	second := func(n float64) time.Time { return start.Add(time.Duration(n * float64(time.Second))) }
	for name, tc := range map[string]struct {
		settings Settings
		ages     []time.Duration // Ages of the incarnations in successive first reports, one a second.
		want     Cold
	}{
		"young engine":               {settings, []time.Duration{time.Second}, Cold{second(3), SourceScheduler}},
		"age within the margin":      {settings, []time.Duration{8 * time.Second}, Cold{second(3), SourceScheduler}},
		"old engine":                 {settings, []time.Duration{8*time.Second + time.Millisecond}, Cold{}},
		"engine started later":       {settings, []time.Duration{-time.Hour}, Cold{second(3), SourceScheduler}},
		"restart of an old engine":   {settings, []time.Duration{time.Hour, time.Second}, Cold{second(4), SourceRestart}},
		"clock set forward meantime": {settings, []time.Duration{time.Hour, time.Hour}, Cold{second(4), SourceRestart}},
		"no period":                  {Settings{PerSecond: 1}, []time.Duration{0}, Cold{}},
		"no bound":                   {Settings{Period: time.Second}, []time.Duration{0}, Cold{}},
	} {
		var tracker Tracker
		for i, age := range tc.ages {
			now := second(float64(i))
			tracker.Start(now.Add(-age).UnixMilli(), now)
		}
		if got := tracker.Cold(tc.settings); got != tc.want {
			t.Errorf("%s: cold = %+v, want %+v", name, got, tc.want)
		}
	}
}

// The latest statement on the current incarnation applies, in whatever order statements and restarts come.
func TestLatestTimeOfIncarnationApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tracker Tracker
		now, incarnation, want := start, int64(1), time.Time{}
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 5).Draw(t, "starts") == 0 {
				incarnation++
				tracker.Start(incarnation, now)
				want = time.Time{}
				if incarnation > 2 { // The first one is older than the margin.
					want = now.Add(settings.Period)
				}
			}
			about := incarnation + rapid.Int64Range(-1, 1).Draw(t, "about")
			remaining := time.Duration(rapid.IntRange(-1000, 1_000_000).Draw(t, "remaining")) * time.Millisecond
			tracker.Observe(about, remaining, now)
			if about == incarnation && incarnation > 1 && remaining > 0 {
				if until := now.Add(min(remaining, MaxRemaining)); until.After(want) {
					want = until
				}
			}
			if got := tracker.Cold(settings).Until; !got.Equal(want) {
				t.Fatalf("cold until %v, want %v", got, want)
			}
		}
	})
}

func TestOfEndpoint(t *testing.T) {
	registered, returned := start.Add(4*time.Second), start.Add(2*time.Second)
	for name, tc := range map[string]struct {
		settings             Settings
		registered, returned time.Time
		want                 Cold
	}{
		"nothing known":   {settings, time.Time{}, time.Time{}, Cold{}},
		"registered":      {settings, registered, time.Time{}, Cold{registered, SourceRegistry}},
		"returned later":  {settings, registered, returned, Cold{start.Add(5 * time.Second), SourceReturn}},
		"returned before": {settings, registered, start, Cold{registered, SourceRegistry}},
		"no bound":        {Settings{Period: time.Second}, registered, returned, Cold{}},
	} {
		if got := OfEndpoint(tc.settings, tc.registered, tc.returned); got != tc.want {
			t.Errorf("%s: cold = %+v, want %+v", name, got, tc.want)
		}
	}
}
