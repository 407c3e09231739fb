package router

import (
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
)

const (
	// budgetShare is the part of the fleet's retry budget that the running routers may use.
	// The rest covers routers that restart with a full bucket.
	budgetShare = 0.6
	// minBudgetRouters is the smallest number of routers among which the fleet's burst is
	// divided.
	minBudgetRouters = 4
)

// retryBudgets bounds the retries of this router, with one budget for each service. Each
// router uses its part of the fleet's budget, so the routers need no coordination to stay
// within it.
type retryBudgets struct {
	ratio   float64    // Retries per request, for the whole fleet.
	burst   float64    // Retries beyond the ratio, for the whole fleet.
	routers func() int // Returns the number of running routers.

	mu        sync.Mutex
	byService map[string]*retry.Budget
}

func newRetryBudgets(ratio, burst float64, routers func() int) *retryBudgets {
	return &retryBudgets{ratio: ratio, burst: burst, routers: routers, byService: make(map[string]*retry.Budget)}
}

// forService returns the budget of a service and creates it if needed. The caller holds b.mu.
func (b *retryBudgets) forService(service string, now time.Time) *retry.Budget {
	budget := b.byService[service]
	if budget == nil {
		share := budgetShare * b.burst / float64(max(b.routers(), minBudgetRouters))
		budget = retry.NewBudget(retry.BudgetLimits{Ratio: budgetShare * b.ratio, Burst: max(share, 1)}, now)
		b.byService[service] = budget
	}
	return budget
}

// recordRequest counts a caller's request. Requests raise the number of allowed retries.
func (b *retryBudgets) recordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.forService(service, now).AddRequest(now)
}

// takeRetry takes one retry from the budget. It returns false if the budget is used up.
func (b *retryBudgets) takeRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.forService(service, now).TryTake(now)
}
