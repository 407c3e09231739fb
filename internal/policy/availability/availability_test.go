package availability

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// firstStart is a start time in Unix milliseconds after all signals of TestStateFollowsLatestIncarnation, so that none of
// them can have come from a later incarnation than the one that it is attributed to.
const firstStart = 2_000_000

// Responses of several incarnations arrive in any order. Of the latest one that said something, an
// endpoint drains from its first such response on, and wants no requests until the end of the
// longest time that it set.
func TestStateFollowsLatestIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s State
		now := time.Unix(1000, 0)
		latest, draining, until := int64(0), false, time.Time{}
		for range rapid.IntRange(1, 40).Draw(t, "responses") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			incarnation := firstStart + int64(rapid.IntRange(1, 4).Draw(t, "incarnation"))
			signals := Signals{Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0}
			if rapid.IntRange(0, 2).Draw(t, "refused") == 0 {
				signals.RetryAfter = time.Duration(rapid.IntRange(1, 5000).Draw(t, "retry after")) * time.Millisecond
			}
			s.Observe(incarnation, signals, now)
			if signals != (Signals{}) && incarnation >= latest {
				if incarnation > latest {
					latest, draining, until = incarnation, false, time.Time{}
				}
				draining = draining || signals.Draining
				if end := now.Add(signals.RetryAfter); end.After(until) {
					until = end
				}
			}
			if got := s.Drains(latest); got != draining {
				t.Fatalf("Drains(%d) = %v, want %v", latest, got, draining)
			}
			if got, want := s.Wait(latest, now), max(until.Sub(now), 0); got != want {
				t.Fatalf("Wait(%d) = %s, want %s", latest, got, want)
			}
			if s.Drains(latest+1) || s.Wait(latest+1, now) > 0 {
				t.Fatalf("the next incarnation after %d is not available", latest)
			}
		}
	})
}

// An endpoint starts again under its ID and refuses a request before its registration is read. The refusal is attributed to the
// former incarnation, and must not be forgotten when the registration catches up; that of a true former incarnation must.
func TestRetryAfterOutlivesLateRegistration(t *testing.T) {
	const former, wait = int64(900_000), 4 * time.Second
	refusedAt := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		started time.Time
		want    time.Duration
	}{
		"started before the refusal":                  {refusedAt.Add(-2 * time.Second), wait},
		"started before it by a clock that is ahead":  {refusedAt.Add(300 * time.Millisecond), wait},
		"started after the refusal of the former one": {refusedAt.Add(time.Second), 0},
	} {
		var s State
		s.Observe(former, Signals{Draining: true, RetryAfter: wait}, refusedAt)
		started := tc.started.UnixMilli()
		if got := s.Wait(started, refusedAt); got != tc.want {
			t.Errorf("%s: wait = %s, want %s", name, got, tc.want)
		}
		s.Observe(started, Signals{RetryAfter: time.Millisecond}, refusedAt)
		if got := s.Wait(started, refusedAt); got != max(tc.want, time.Millisecond) {
			t.Errorf("%s: wait after a further refusal = %s, want %s", name, got, max(tc.want, time.Millisecond))
		}
		if s.Drains(started) {
			t.Errorf("%s: drains, want only the former incarnation to drain", name)
		}
	}
}

// A process sends requests at any times while the endpoint is available, and the responses take up to
// the notice time. The endpoint receives none between the notice time after a refusal and the end of
// its Retry-After, whether or not it serves others meanwhile.
func TestNoRequestsWithinRetryAfter(t *testing.T) {
	const (
		notice      = 500 * time.Millisecond
		maxArrivals = 2
	)
	rapid.Check(t, func(t *rapid.T) {
		type response struct {
			at      time.Time
			signals Signals
		}
		var s State
		now := time.Unix(1000, 0)
		var pending []response
		refusedFrom, refusedUntil, arrivals := time.Time{}, time.Time{}, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(1, 200).Draw(t, "gap")) * time.Millisecond)
			var later []response
			for _, r := range pending {
				if r.at.After(now) {
					later = append(later, r)
				} else {
					s.Observe(1, r.signals, r.at)
				}
			}
			pending = later
			if s.Wait(1, now) > 0 {
				continue
			}
			if now.After(refusedFrom.Add(notice)) && now.Before(refusedUntil) {
				if arrivals++; arrivals > maxArrivals {
					t.Fatalf("requests within a Retry-After = %d, want at most %d", arrivals, maxArrivals)
				}
			}
			r := response{at: now.Add(time.Duration(rapid.IntRange(1, int(notice.Milliseconds())).Draw(t, "latency")) * time.Millisecond)}
			if rapid.IntRange(0, 4).Draw(t, "refused") == 0 {
				r.signals.RetryAfter = time.Duration(rapid.IntRange(100, 8000).Draw(t, "retry after")) * time.Millisecond
				refusedFrom, refusedUntil, arrivals = now, now.Add(r.signals.RetryAfter), 0
			}
			pending = append(pending, r)
		}
	})
}
