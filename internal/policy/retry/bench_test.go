package retry

import (
	"testing"
	"time"
)

func BenchmarkDecide(b *testing.B) {
	budget := NewBudget(DefaultBudgetLimits(), start)
	a := Attempt{Kind: KindFailed, Idempotent: true, Number: 1, UntriedCandidates: 1, TimeLeft: time.Minute}
	for b.Loop() {
		budget.AddRequest(start)
		Decide(DefaultLimits(), a, budget, start)
	}
}
