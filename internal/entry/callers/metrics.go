package callers

import (
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// metrics counts callers' requests by their outcome.
type metrics struct {
	scope           tally.Scope
	requests        tally.Counter // Requests received.
	responses       tally.Counter // Responses sent whole.
	brokenResponses tally.Counter // Responses aborted after they had begun.
	cancelled       tally.Counter // Requests whose caller disconnected.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:           scope,
		requests:        scope.Counter("caller_requests_total"),
		responses:       scope.Counter("caller_answers_total"),
		brokenResponses: scope.Counter("caller_broken_answers_total"),
		cancelled:       scope.Counter("caller_cancelled_requests_total"),
	}
}

// refusal returns the counter of the refusals with the given code.
func (m metrics) refusal(code refusal.Code) tally.Counter {
	return m.scope.Tagged(map[string]string{"code": string(code)}).Counter("caller_refusals_total")
}
