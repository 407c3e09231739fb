package endpoints

import "github.com/uber-go/tally/v4"

// metrics counts endpoint selections and the outcomes of their attempts.
type metrics struct {
	choices     tally.Counter // Jobs for which endpoints were selected.
	noEndpoint  tally.Counter // Jobs without an available endpoint.
	resident    tally.Counter // Responses from an endpoint that had the build loaded.
	notResident tally.Counter // Responses from an endpoint that had to load the build.
	refused     tally.Counter // Attempts that an agent refused.
	failed      tally.Counter // Attempts that failed.
	endpoints   tally.Gauge   // Endpoints on the VM list.
	adapters    tally.Gauge   // Adapters for which the placement policy keeps state.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		choices:     scope.Counter("placement_choices_total"),
		noEndpoint:  scope.Counter("placement_no_endpoint_total"),
		resident:    scope.Counter("placement_resident_answers_total"),
		notResident: scope.Counter("placement_not_resident_answers_total"),
		refused:     scope.Counter("placement_refused_attempts_total"),
		failed:      scope.Counter("placement_failed_attempts_total"),
		endpoints:   scope.Gauge("placement_endpoints"),
		adapters:    scope.Gauge("placement_remembered_adapters"),
	}
}
