package schedule

import "github.com/uber-go/tally/v4"

// metrics counts turns and orders.
type metrics struct {
	running      tally.Gauge   // Attempts on the endpoint.
	queued       tally.Gauge   // Attempts that wait.
	slotsTaken   tally.Gauge   // Slots that are not free.
	wait         tally.Timer   // From an attempt's arrival to its turn.
	stalls       tally.Counter // Attempts whose build was not resident when they arrived.
	stall        tally.Timer   // From the arrival of such an attempt to its turn.
	refusedFull  tally.Counter // Attempts that the queue did not take.
	displaced    tally.Counter // Attempts that gave way to another organisation's.
	cancelled    tally.Counter // Attempts whose caller left while they waited.
	loads        tally.Counter // Loads carried out.
	loadFailures tally.Counter // Loads that failed or were not answered.
	unloads      tally.Counter // Unloads carried out.
	unanswered   tally.Counter // Orders without an answer.
	boots        tally.Counter // Boots of the engine.
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		running:      scope.Gauge("schedule_running_attempts"),
		queued:       scope.Gauge("schedule_queued_attempts"),
		slotsTaken:   scope.Gauge("schedule_taken_slots"),
		wait:         scope.Timer("schedule_wait_seconds"),
		stalls:       scope.Counter("schedule_load_stalls_total"),
		stall:        scope.Timer("schedule_load_stall_seconds"),
		refusedFull:  scope.Counter("schedule_queue_refusals_total"),
		displaced:    scope.Counter("schedule_displaced_attempts_total"),
		cancelled:    scope.Counter("schedule_cancelled_attempts_total"),
		loads:        scope.Counter("schedule_loads_total"),
		loadFailures: scope.Counter("schedule_load_failures_total"),
		unloads:      scope.Counter("schedule_unloads_total"),
		unanswered:   scope.Counter("schedule_unanswered_orders_total"),
		boots:        scope.Counter("schedule_engine_boots_total"),
	}
}
