package dispatch

import (
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
)

type metrics struct {
	scope       tally.Scope
	attempts    tally.Counter
	crossed     tally.Counter
	broken      tally.Counter
	silent      tally.Counter
	quarantines tally.Counter
	quarantined tally.Counter
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:       scope,
		attempts:    scope.Counter("entry_attempts_total"),
		crossed:     scope.Counter("entry_crossed_answers_total"),
		broken:      scope.Counter("entry_broken_answers_total"),
		silent:      scope.Counter("entry_silent_agents_total"),
		quarantines: scope.Counter("entry_quarantines_total"),
		quarantined: scope.Counter("entry_quarantined_requests_total"),
	}
}

// decision returns the counter of attempts that ended without an answer, by
// what came of it.
func (m metrics) decision(reason retry.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"decision": string(reason)}).Counter("entry_retry_decisions_total")
}
