package retry

import "time"

// BudgetLimits bound the retries that are charged.
type BudgetLimits struct {
	Ratio     float64 // Retries earned by each request.
	PerSecond float64 // Retries earned by each second, for quiet entries.
	Burst     float64 // Retries that can be saved up.
}

// DefaultBudget returns the budget of one entry in ordinary running.
func DefaultBudget() BudgetLimits {
	return BudgetLimits{Ratio: 0.1, PerSecond: 0.1, Burst: 10}
}

// Budget is a bucket of retries that requests fill. Over any span, the retries
// taken are at most Burst + Ratio × requests + PerSecond × seconds. It is not
// safe for concurrent use.
type Budget struct {
	limits  BudgetLimits
	balance float64
	last    time.Time
}

// NewBudget returns a full Budget as of now.
func NewBudget(limits BudgetLimits, now time.Time) *Budget {
	return &Budget{limits: limits, balance: limits.Burst, last: now}
}

// Request counts one new request of a caller.
func (b *Budget) Request(now time.Time) {
	b.refill(now)
	b.add(b.limits.Ratio)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Wait returns how long a quiet entry takes to earn the next retry.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.balance >= 1 || b.limits.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.balance) / b.limits.PerSecond * float64(time.Second))
}

func (b *Budget) refill(now time.Time) {
	if !now.After(b.last) {
		return
	}
	b.add(now.Sub(b.last).Seconds() * b.limits.PerSecond)
	b.last = now
}

func (b *Budget) add(retries float64) {
	b.balance = min(b.balance+retries, b.limits.Burst)
}
