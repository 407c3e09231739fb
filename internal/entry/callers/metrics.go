package callers

import (
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// metrics counts what callers get.
type metrics struct {
	scope     tally.Scope
	requests  tally.Counter // Requests begun.
	answers   tally.Counter // Whole answers given.
	broken    tally.Counter // Answers that ended before they were whole.
	cancelled tally.Counter // Requests whose caller went away.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		scope:     scope,
		requests:  scope.Counter("caller_requests_total"),
		answers:   scope.Counter("caller_answers_total"),
		broken:    scope.Counter("caller_broken_answers_total"),
		cancelled: scope.Counter("caller_cancelled_requests_total"),
	}
}

// refusal returns the counter of refusals with a code.
func (m metrics) refusal(code refusal.Code) tally.Counter {
	return m.scope.Tagged(map[string]string{"code": string(code)}).Counter("caller_refusals_total")
}
