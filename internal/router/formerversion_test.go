package router

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// Guards against attempts that begin too late on a former version because the new one was announced after they were sent,
// and against the end of attempts that have begun, or that are on the announced version.
func TestAttemptsOnFormerVersionAreGivenUpInTime(t *testing.T) {
	const bound = 5 * time.Second
	key := catalog.AdapterKey{Model: "base", Adapter: "a1"}
	for _, c := range []struct {
		name       string
		version    int64 // Of the attempt.
		former     int64 // Announced before the attempt; 0 for none.
		begins     bool  // Before the bound.
		wantGiveUp bool
	}{
		{"not begun", 1, 0, false, true},
		{"begun", 1, 0, true, false},
		{"on the announced version", 2, 0, false, false},
		{"on an unknown version", 0, 1, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				announced := catalog.Announcement{Version: c.former}
				f := newFormerVersions(bound, func(catalog.AdapterKey) catalog.Announcement { return announced })
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				a := f.start(key, c.version, cancel)
				time.Sleep(time.Minute)
				if ctx.Err() != nil {
					t.Fatal("attempt was given up before a newer version was announced")
				}
				announced = catalog.Announcement{Version: 2, Since: time.Now(), ReadAt: time.Now()}
				f.update()
				f.update() // After another change.
				if c.begins {
					time.Sleep(bound / 2)
					f.settle(a)
				}
				time.Sleep(bound)
				synctest.Wait()
				if got := ctx.Err() != nil; got != c.wantGiveUp || f.settle(a) != c.wantGiveUp {
					t.Errorf("given up = %t, want %t", got, c.wantGiveUp)
				}
				if len(f.attempts) > 0 {
					t.Errorf("attempts kept after their end = %d, want none", len(f.attempts))
				}
			})
		})
	}
}

// Guards against a further version that prolongs the time to begin on the first of several former ones.
func TestVersionsInSeriesAreEachInForceInTime(t *testing.T) {
	state := catalog.NewState()
	key := catalog.AdapterKey{Model: "base", Adapter: "a1"}
	began := time.Now()
	for v := int64(1); v <= 20; v++ {
		state.SetVersion(catalog.AdapterVersion{AdapterKey: key, Version: v}, began.Add(time.Duration(v)*time.Second))
	}
	f := newFormerVersions(5*time.Second, func(key catalog.AdapterKey) catalog.Announcement { return state.View().Versions[key] })
	for version, want := range map[int64]bool{13: false, 14: true, 19: true, 20: true} {
		if got := f.permits(key, version, 0, began.Add(19*time.Second)); got != want {
			t.Errorf("version %d, 19 s after version 0: permitted = %t, want %t", version, got, want)
		}
	}
	if n := len(state.View().Versions[key].Earlier); n > 8 {
		t.Errorf("announcements kept = %d, want at most 8", n)
	}
}

// Guards against a grant of a former version that is read late, or of a scheduler that does not know the new version.
func TestGrantOfFormerVersionIsNotUsedTooLate(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newFormerVersions(5*time.Second, func(catalog.AdapterKey) catalog.Announcement {
		return catalog.Announcement{Version: 2, Since: now, ReadAt: now}
	})
	for _, c := range []struct {
		name    string
		version int64
		after   time.Duration
		prefill time.Duration
		want    bool
	}{
		{"soon", 1, time.Second, 100 * time.Millisecond, true},
		{"late", 1, 4900 * time.Millisecond, 0, false},
		{"large prompt", 1, 3 * time.Second, 3 * time.Second, false},
		{"new version", 2, time.Minute, 0, true},
		{"unknown version", 0, time.Minute, 0, true},
	} {
		if got := f.permits(catalog.AdapterKey{}, c.version, c.prefill, now.Add(c.after)); got != c.want {
			t.Errorf("%s: permitted = %t, want %t", c.name, got, c.want)
		}
	}
}
