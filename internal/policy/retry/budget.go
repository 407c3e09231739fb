package retry

import "time"

// BudgetLimits configure a Budget.
type BudgetLimits struct {
	Ratio     float64 // Retries added per request.
	PerSecond float64 // Retries added per second, so that entries with little traffic can retry.
	Burst     float64 // Maximum balance in retries.
}

// DefaultBudgetLimits returns the default limits for one entry.
func DefaultBudgetLimits() BudgetLimits {
	return BudgetLimits{Ratio: 0.1, PerSecond: 0.1, Burst: 10}
}

// Budget is a token bucket of retries. Requests and elapsed time refill it. In any
// interval, at most Burst + Ratio × requests + PerSecond × seconds retries are taken.
// It is not safe for concurrent use.
type Budget struct {
	limits     BudgetLimits
	balance    float64
	refilledAt time.Time
}

// NewBudget returns a full Budget.
func NewBudget(limits BudgetLimits, now time.Time) *Budget {
	return &Budget{limits: limits, balance: limits.Burst, refilledAt: now}
}

// AddRequest adds Ratio retries for a new request of a caller.
func (b *Budget) AddRequest(now time.Time) {
	b.refill(now)
	b.add(b.limits.Ratio)
}

// TryTake takes one retry from the balance. It returns false if the balance is below one.
func (b *Budget) TryTake(now time.Time) bool {
	b.refill(now)
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Wait returns how long it takes until PerSecond alone raises the balance to one retry.
// It returns 0 if a retry is available or PerSecond is not positive.
func (b *Budget) Wait(now time.Time) time.Duration {
	b.refill(now)
	if b.balance >= 1 || b.limits.PerSecond <= 0 {
		return 0
	}
	return time.Duration((1 - b.balance) / b.limits.PerSecond * float64(time.Second))
}

func (b *Budget) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.add(now.Sub(b.refilledAt).Seconds() * b.limits.PerSecond)
	b.refilledAt = now
}

func (b *Budget) add(retries float64) {
	b.balance = min(b.balance+retries, b.limits.Burst)
}
