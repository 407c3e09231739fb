package retry

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

var start = time.Unix(1_000_000, 0)

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Kind:              Kind(rapid.IntRange(0, 3).Draw(t, "kind")),
		Ran:               rapid.SampledFrom([]refusal.Ran{refusal.RanNo, refusal.RanYes, refusal.RanUnknown}).Draw(t, "ran"),
		Idempotent:        rapid.Bool().Draw(t, "idempotent"),
		ResponseStarted:   rapid.Bool().Draw(t, "passed"),
		Number:            rapid.IntRange(1, 6).Draw(t, "number"),
		UntriedCandidates: rapid.IntRange(0, 3).Draw(t, "untried"),
		TimeLeft:          time.Duration(rapid.IntRange(-100, 1000).Draw(t, "left")) * time.Millisecond,
	}
}

// Decide must not retry an attempt that may have run, whose response has reached the
// caller, or that exceeds a limit.
func TestUnsafeAttemptsAreNotRetried(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := drawAttempt(t)
		limits := DefaultLimits()
		retried, reason := Decide(limits, a, NewBudget(DefaultBudgetLimits(), start), start)
		if !retried {
			return
		}
		switch {
		case !a.Idempotent && a.Ran != refusal.RanNo:
			t.Fatalf("Decide() retries %+v, which is not idempotent and may have run: %s", a, reason)
		case a.ResponseStarted:
			t.Fatalf("Decide() retries %+v, whose response has reached the caller: %s", a, reason)
		case a.Number >= limits.MaxAttempts || a.UntriedCandidates == 0 || a.TimeLeft < limits.MinTimeLeft || a.Kind == KindFinal:
			t.Fatalf("Decide() retries %+v, which is final or exceeds a limit: %s", a, reason)
		}
	})
}

// The retries taken must not exceed Burst + Ratio × requests + PerSecond × seconds.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultBudgetLimits()
		b := NewBudget(limits, start)
		now := start
		requests, taken := 0, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.AddRequest(now)
				requests++
			} else if b.TryTake(now) {
				taken++
			}
			bound := limits.Burst + limits.Ratio*float64(requests) + limits.PerSecond*now.Sub(start).Seconds()
			if float64(taken) > bound {
				t.Fatalf("%d retries were taken after %d requests in %v, want at most %g", taken, requests, now.Sub(start), bound)
			}
		}
	})
}

// With an empty budget, attempts that cost an endpoint no work are retried, and failed
// attempts are not.
func TestAttemptsWithoutWorkAreNotCharged(t *testing.T) {
	empty := NewBudget(BudgetLimits{}, start)
	for kind, want := range map[Kind]bool{KindUnreachable: true, KindRefused: true, KindFailed: false} {
		a := Attempt{Kind: kind, Ran: refusal.RanNo, Number: 1, UntriedCandidates: 1, TimeLeft: time.Minute}
		if retried, reason := Decide(DefaultLimits(), a, empty, start); retried != want {
			t.Errorf("Decide() for kind %d with an empty budget = %t, %s; want %t", kind, retried, reason, want)
		}
	}
}

// CombineRan must not return RanNo if either attempt may have run.
func TestCombineRan(t *testing.T) {
	no, yes, unknown := refusal.RanNo, refusal.RanYes, refusal.RanUnknown
	for _, tt := range []struct{ a, b, want refusal.Ran }{
		{no, no, no}, {no, unknown, unknown}, {unknown, yes, yes}, {yes, no, yes},
	} {
		if CombineRan(tt.a, tt.b) != tt.want || CombineRan(tt.b, tt.a) != tt.want {
			t.Errorf("CombineRan(%s, %s) = %s and CombineRan(%s, %s) = %s, want %s for both",
				tt.a, tt.b, CombineRan(tt.a, tt.b), tt.b, tt.a, CombineRan(tt.b, tt.a), tt.want)
		}
	}
}
