package dispatch

import (
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
)

// metrics counts attempts, broken responses, retry decisions and quarantines.
type metrics struct {
	scope               tally.Scope
	attempts            tally.Counter // Attempts sent to agents.
	mismatchedResponses tally.Counter // Responses that belong to another attempt.
	brokenResponses     tally.Counter // Truncated responses.
	silentAgents        tally.Counter // Attempts that were not accepted within acceptTimeout.
	quarantines         tally.Counter // Quarantines that this entry started.
	quarantinedRequests tally.Counter // Requests refused because of a quarantine.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:               scope,
		attempts:            scope.Counter("entry_attempts_total"),
		mismatchedResponses: scope.Counter("entry_crossed_answers_total"),
		brokenResponses:     scope.Counter("entry_broken_answers_total"),
		silentAgents:        scope.Counter("entry_silent_agents_total"),
		quarantines:         scope.Counter("entry_quarantines_total"),
		quarantinedRequests: scope.Counter("entry_quarantined_requests_total"),
	}
}

// retryDecisions returns the counter of attempts without a response whose
// retry decision had the given reason.
func (m metrics) retryDecisions(reason retry.Reason) tally.Counter {
	return m.scope.Tagged(map[string]string{"decision": string(reason)}).Counter("entry_retry_decisions_total")
}
