package ratelimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

func named(perSecond float64) Limit { return Limit{Named: true, PerSecond: perSecond} }

// Requests beyond the rate must be refused in every period, however requests and observations of
// an unchanged limit arrive, and no request must wait longer than the rate requires.
func TestLimiterStaysWithinRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(minPerSecond, 50).Draw(t, "rate")
		l := &Limiter{}
		now := start
		l.Observe(FromResponse, Observation{Limit: named(rate), At: now})
		var admitted []time.Time
		last := now.Add(-time.Hour)
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "observes") {
				source := Source(rapid.IntRange(0, int(numSources)-1).Draw(t, "source"))
				l.Observe(source, Observation{Limit: named(rate), At: now})
			}
			wait := l.Wait(0, now)
			taken := l.Take(now)
			if taken != (wait == 0) {
				t.Fatalf("request admitted = %v with an expected wait of %s", taken, wait)
			}
			if taken {
				admitted, last = append(admitted, now), now
			} else if now.Sub(last).Seconds() > 1.001/rate {
				t.Fatalf("request refused %s after the last admitted one at %.2f requests a second", now.Sub(last), rate)
			}
		}
		for i, first := range admitted {
			for j := i; j < len(admitted); j++ {
				period := admitted[j].Sub(first).Seconds()
				if most := rate*period + max(1, rate*BurstPeriod.Seconds()) + 0.001; float64(j-i+1) > most {
					t.Fatalf("%d requests admitted in %.3f s, want at most %.3f", j-i+1, period, most)
				}
			}
		}
	})
}

// A limit is withdrawn only by a newer response of the same source, and the lowest limit counts.
func TestNewestObservationOfEachSourceCounts(t *testing.T) {
	l := &Limiter{}
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	for _, step := range []struct {
		source Source
		o      Observation
		want   Limit
	}{
		{FromResponse, Observation{named(4), at(10)}, named(4)},
		{FromReport, Observation{Limit{}, at(11)}, named(4)},
		{FromResponse, Observation{Limit{}, at(9)}, named(4)},
		{FromReport, Observation{named(2), at(12)}, named(2)},
		{FromReport, Observation{named(6), at(13)}, named(4)},
		{FromResponse, Observation{Limit{}, at(14)}, named(6)},
		{FromResponse, Observation{}, named(6)},
		{FromReport, Observation{Limit{}, at(15)}, Limit{}},
	} {
		l.Observe(step.source, step.o)
		if got := l.Limit(); got != step.want {
			t.Errorf("limit after %+v of source %d = %+v, want %+v", step.o, step.source, got, step.want)
		}
	}
	if !l.Take(at(16)) || l.Wait(5, at(16)) != 0 {
		t.Error("request refused without a limit, want it admitted")
	}
}

// A limit of 0 still admits a request from time to time, so that its withdrawal is noticed.
func TestZeroLimitAdmitsProbes(t *testing.T) {
	l := &Limiter{}
	l.Observe(FromResponse, Observation{Limit: named(0), At: start})
	if !l.Take(start) || l.Take(start.Add(time.Second)) {
		t.Error("requests at 0 and 1 s: want the first one admitted only")
	}
	if !l.Take(start.Add(4 * time.Second)) {
		t.Error("request at 4 s refused, want it admitted")
	}
}

// An endpoint that withdraws its limit and names it again at once must not get a further request
// each time.
func TestLimitNamedAgainKeepsBalance(t *testing.T) {
	l := &Limiter{}
	admitted := 0
	for i := range 40 {
		now := start.Add(time.Duration(i) * 25 * time.Millisecond)
		l.Observe(FromResponse, Observation{Limit: named(1), At: now})
		if l.Take(now) {
			admitted++
		}
		l.Observe(FromResponse, Observation{At: now})
	}
	if admitted != 1 {
		t.Errorf("requests admitted in 1 s at 1/s = %d, want 1", admitted)
	}
}
