package quarantine

import (
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	stormLength = time.Minute
	stormRate   = 100 // Requests a second at one entry.
	candidates  = 4
)

// storm is what came of a minute in which a part of all attempts fail.
type storm struct {
	requests int
	attempts int
	answered int
}

// load returns the attempts that the endpoints saw for each request.
func (s storm) load() float64 {
	return float64(s.attempts) / float64(s.requests)
}

// success returns the part of the requests that were answered.
func (s storm) success() float64 {
	return float64(s.answered) / float64(s.requests)
}

// runStorm sends requests at one entry; each attempt fails with the given
// probability after it has cost an endpoint its work.
func runStorm(limits retry.BudgetLimits, failing float64, seed uint64) storm {
	rng := rand.New(rand.NewPCG(seed, 0))
	now := time.Unix(0, 0)
	budget := retry.NewBudget(limits, now)
	var s storm
	for range stormRate * int(stormLength/time.Second) {
		now = now.Add(time.Second / stormRate)
		budget.AddRequest(now)
		s.requests++
		for number := 1; ; number++ {
			s.attempts++
			if rng.Float64() >= failing {
				s.answered++
				break
			}
			again, _ := retry.Decide(retry.DefaultLimits(), retry.Attempt{
				Kind: retry.KindFailed, Ran: refusal.RanUnknown, Idempotent: true,
				Number: number, UntriedCandidates: candidates - number, TimeLeft: time.Minute,
			}, budget, now)
			if !again {
				break
			}
		}
	}
	return s
}
