package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	stormDuration = time.Minute
	stormRate     = 100 // Requests per second at one entry.
	candidates    = 4   // Endpoints that can run a request.
)

// stormResult are the counts of a simulation in which a share of all attempts fails.
type stormResult struct {
	requests int
	attempts int
	answered int
}

// attemptsPerRequest returns the mean number of attempts per request.
func (s stormResult) attemptsPerRequest() float64 {
	return float64(s.attempts) / float64(s.requests)
}

// answeredShare returns the share of the requests that were answered.
func (s stormResult) answeredShare() float64 {
	return float64(s.answered) / float64(s.requests)
}

// simulateStorm sends requests to one entry. Each attempt fails with the given
// probability, after an endpoint has executed it.
func simulateStorm(limits retry.BudgetLimits, failureProbability float64, seed uint64) stormResult {
	rng := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(0, 0)
	budget := retry.NewBudget(limits, now)
	var s stormResult
	for range stormRate * int(stormDuration/time.Second) {
		now = now.Add(time.Second / stormRate)
		budget.AddRequest(now)
		s.requests++
		for attempt := 1; ; attempt++ {
			s.attempts++
			if rng.Float64() >= failureProbability {
				s.answered++
				break
			}
			retryAllowed, _ := retry.Decide(retry.DefaultLimits(), retry.Attempt{
				Kind: retry.KindFailed, Ran: refusal.RanUnknown, Idempotent: true,
				Number: attempt, UntriedCandidates: candidates - attempt, TimeLeft: time.Minute,
			}, budget, now)
			if !retryAllowed {
				break
			}
		}
	}
	return s
}
