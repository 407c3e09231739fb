package router

import (
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/upstream"
)

// Counters holds the router's metrics.
type Counters struct {
	scope             tally.Scope
	firstByte         tally.Histogram
	duration          tally.Histogram
	grantWait         tally.Histogram
	snapshotAge       tally.Histogram // Of the snapshot that decided on the engine.
	connections       tally.Counter
	rateLimited       tally.Counter // Plain endpoints left out for a request because of their rate limits.
	coldRefused       tally.Counter // Endpoints left out for a request because they are cold.
	endpointsDraining tally.Counter // Endpoints that said in a response that they drain.
	endpointPushbacks tally.Counter // Refusals with a Retry-After of endpoints that were in use.
	attemptsOutdated  tally.Counter // Attempts that were given up, as they had not begun in time on a former version.
	recordWrites      tally.Counter // Writes of the crash records to the store.
	recordExchanges   tally.Counter // Exchanges of crash records with other routers.
	partsRefused      tally.Counter // Requests refused because of a prompt part on which engines crash.
	evacuatedDomains  tally.Gauge   // Failure domains whose evacuation key stands.
	preloadsOrdered   tally.Counter // Preloads that schedulers took.
	preloadsFailed    tally.Counter // Calls of preloads that failed.
	streamsUnrecorded tally.Counter // Streams that began before any holder had recorded their software version.
}

// latencyBuckets are the histogram bounds, from a short lookup to the longest stream.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second, 15 * time.Second,
}

// snapshotAgeBuckets reach to the age from which a snapshot is stale.
var snapshotAgeBuckets = tally.DurationBuckets{
	30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond, 600 * time.Millisecond,
	800 * time.Millisecond, snapshotTimeout,
}

// NewCounters registers the router's metrics in scope.
func NewCounters(scope tally.Scope) *Counters {
	return &Counters{
		scope:             scope,
		firstByte:         scope.Histogram("first_byte_seconds", latencyBuckets),
		duration:          scope.Histogram("request_seconds", latencyBuckets),
		grantWait:         scope.Histogram("turn_wait_seconds", latencyBuckets),
		snapshotAge:       scope.Histogram("snapshot_age_seconds", snapshotAgeBuckets),
		connections:       scope.Counter("endpoint_connections_total"),
		rateLimited:       scope.Counter("endpoint_rate_limited_total"),
		coldRefused:       scope.Counter("cold_refused"),
		endpointsDraining: scope.Counter("endpoints_draining_total"),
		endpointPushbacks: scope.Counter("endpoint_pushbacks_total"),
		partsRefused:      scope.Counter("prompt_parts_refused_total"),
		evacuatedDomains:  scope.Gauge("evacuated_domains"),
		preloadsOrdered:   scope.Counter("preloads_ordered_total"),
		preloadsFailed:    scope.Counter("preloads_failed_total"),
		attemptsOutdated:  scope.Counter("former_version_given_up_total"),
		recordWrites:      scope.Counter("crash_record_writes_total"),
		recordExchanges:   scope.Counter("crash_record_exchanges_total"),
		streamsUnrecorded: scope.Counter("streams_unrecorded_total"),
	}
}

// recordRequest counts a finished request and records its latencies. duration is its total
// time.
func (c *Counters) recordRequest(q *request, duration time.Duration) {
	// Every request has the same tags: the metrics registry rejects a metric whose tag names change.
	tags := map[string]string{"status": strconv.Itoa(q.trace.status), "outcome": q.trace.outcome, "service": q.trace.service}
	c.scope.Tagged(tags).Counter("requests_total").Inc(1)
	c.duration.RecordDuration(duration)
	if q.trace.firstByte > 0 {
		c.firstByte.RecordDuration(q.trace.firstByte)
	}
	if q.trace.grantWait > 0 {
		c.grantWait.RecordDuration(q.trace.grantWait)
		c.snapshotAge.RecordDuration(q.trace.snapshotAge)
	}
}

// recordRefusal counts a response in which an endpoint states that it did not run the request.
func (c *Counters) recordRefusal(resp *upstream.Response, sameAddress bool) {
	tags := map[string]string{
		"named": strconv.FormatBool(resp.Named), "reused": strconv.FormatBool(resp.Reused), "same_address": strconv.FormatBool(sameAddress),
	}
	c.scope.Tagged(tags).Counter("endpoint_refusals_total").Inc(1)
}

// clip bounds the length of a value that a caller sent, for the log.
func clip(value string) string {
	const maxLength = 64
	return value[:min(len(value), maxLength)]
}

// logRequest writes the log line of a finished request.
func (r *Router) logRequest(q *request, duration time.Duration) {
	fields := logrus.Fields{
		"event": "request", "request": q.call.RequestID, "status": q.trace.status, "outcome": q.trace.outcome,
		"took_ms": duration.Milliseconds(), "first_ms": q.trace.firstByte.Milliseconds(), "runs": q.possibleRuns, "arrivals": q.delivered,
	}
	if q.config != nil {
		fields["config"] = q.config.Version
		fields["config_age_ms"] = q.configAge.Milliseconds()
	}
	if q.route != nil {
		fields["route"] = q.route.Name
		fields["service"] = q.trace.service
		fields["deadline_ms"] = q.deadline.Sub(q.arrived).Milliseconds()
	}
	if q.org != nil {
		fields["organisation"] = q.org.Name
	}
	if q.call.Adapter.Adapter != "" {
		fields["adapter"], fields["version"], fields["cold"] = q.call.Adapter.Adapter, q.trace.version, q.trace.cold
		fields["snapshot_age_ms"] = q.trace.snapshotAge.Milliseconds()
		fields["expected_ms"], fields["waited_ms"] = q.trace.expectedWait.Milliseconds(), q.trace.grantWait.Milliseconds()
		fields["pause_ms"] = q.trace.longestGap.Milliseconds()
		fields["events"], fields["prompt"], fields["units"] = q.events, q.call.PromptTokens, q.units
	}
	if q.trace.broken && len(q.call.PromptParts) > 0 {
		fields["parts"] = q.sharedParts()
	}
	if len(q.trace.software) > 0 {
		fields["software"], fields["record_copies"] = q.trace.software, q.trace.recordCopies
	}
	if q.call.IsResumption() {
		fields["after_event"], fields["first_attempt"] = clip(q.call.LastEventID), clip(q.call.ResumedRequestID)
	}
	if len(q.trace.steps) > 0 {
		fields["steps"] = q.trace.steps
	}
	if len(q.trace.evidence) > 0 {
		fields["evidence"] = q.trace.evidence
	}
	r.log.WithFields(fields).Info("request ended")
}
