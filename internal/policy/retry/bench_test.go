package retry

import (
	"testing"
	"time"
)

func BenchmarkDecide(b *testing.B) {
	budget := NewBudget(DefaultBudget(), start)
	a := Attempt{Kind: KindFailed, Idempotent: true, Number: 1, Untried: 1, Left: time.Minute}
	for b.Loop() {
		budget.Request(start)
		Decide(DefaultLimits(), a, budget, start)
	}
}
