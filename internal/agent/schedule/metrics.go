package schedule

import "github.com/uber-go/tally/v4"

// metrics holds the metrics of the queue, the slots and the orders to the
// engine.
type metrics struct {
	running       tally.Gauge   // Attempts that run on the endpoint.
	queued        tally.Gauge   // Attempts that wait.
	occupiedSlots tally.Gauge   // Adapter slots that are not free.
	wait          tally.Timer   // Time from an attempt's arrival to its grant.
	stalls        tally.Counter // Granted attempts whose build was not resident on arrival.
	stall         tally.Timer   // Time from the arrival of such an attempt to its grant.
	refusedFull   tally.Counter // Attempts that the queue refused on arrival.
	displaced     tally.Counter // Queued attempts removed in favour of another organisation's attempt.
	cancelled     tally.Counter // Attempts whose context ended while they waited.
	loads         tally.Counter // Successful loads.
	loadFailures  tally.Counter // Loads that failed, were not sent or have an unknown outcome.
	unloads       tally.Counter // Successful unloads.
	unanswered    tally.Counter // Orders with an unknown outcome.
	boots         tally.Counter // Boots of the engine, the first one included.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		running:       scope.Gauge("schedule_running_attempts"),
		queued:        scope.Gauge("schedule_queued_attempts"),
		occupiedSlots: scope.Gauge("schedule_taken_slots"),
		wait:          scope.Timer("schedule_wait_seconds"),
		stalls:        scope.Counter("schedule_load_stalls_total"),
		stall:         scope.Timer("schedule_load_stall_seconds"),
		refusedFull:   scope.Counter("schedule_queue_refusals_total"),
		displaced:     scope.Counter("schedule_displaced_attempts_total"),
		cancelled:     scope.Counter("schedule_cancelled_attempts_total"),
		loads:         scope.Counter("schedule_loads_total"),
		loadFailures:  scope.Counter("schedule_load_failures_total"),
		unloads:       scope.Counter("schedule_unloads_total"),
		unanswered:    scope.Counter("schedule_unanswered_orders_total"),
		boots:         scope.Counter("schedule_engine_boots_total"),
	}
}
