package endpoints

import "github.com/uber-go/tally/v4"

// metrics counts the choices and what became of them.
type metrics struct {
	choices     tally.Counter // Jobs for which endpoints were chosen.
	none        tally.Counter // Jobs for which there was no endpoint.
	resident    tally.Counter // Answers from an endpoint that held the build.
	notResident tally.Counter // Answers from an endpoint that had to load the build.
	refused     tally.Counter // Attempts that an agent refused.
	failed      tally.Counter // Attempts that failed.
	endpoints   tally.Gauge   // Endpoints on the VM list.
	adapters    tally.Gauge   // Adapters that placement remembers.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		choices:     scope.Counter("placement_choices_total"),
		none:        scope.Counter("placement_no_endpoint_total"),
		resident:    scope.Counter("placement_resident_answers_total"),
		notResident: scope.Counter("placement_not_resident_answers_total"),
		refused:     scope.Counter("placement_refused_attempts_total"),
		failed:      scope.Counter("placement_failed_attempts_total"),
		endpoints:   scope.Gauge("placement_endpoints"),
		adapters:    scope.Gauge("placement_remembered_adapters"),
	}
}
