package router

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	"github.com/hyssoptiller/hyssoptiller/internal/upstream"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// request is the state of one caller's request.
type request struct {
	ctx      context.Context
	w        http.ResponseWriter
	in       *http.Request
	call     platform.RequestHeader
	arrived  time.Time
	deadline time.Time // Time by which the caller gets the final response.
	config   *catalog.Config
	// configAge is the time from the last read of the store that the configuration includes to the arrival.
	configAge time.Duration
	route     *catalog.Route
	org       *catalog.Organisation // Nil on a public route.
	service   *catalog.Service
	body      *bodies.Body   // Nil if the request has none.
	bodyRead  bool           // The body was read to its end.
	responses []*bodies.Body // Responses that were read for the request.
	units     float64        // Taken from the organisation's quota and not returned.

	tried        map[catalog.EndpointID]bool // Endpoints that are not tried again.
	delivered    int                         // Sends that reached an endpoint.
	reached      map[string]bool             // Addresses of these endpoints; several endpoints may be registered at one.
	possibleRuns int                         // Sends that the endpoint may have run.
	headerSent   bool                        // The response header has been sent to the caller.
	ended        bool                        // The response has been written to its end.
	events       int                         // Events sent to the caller.
	lastEventAt  time.Time                   // When the last event was sent to the caller.
	lastEventID  string                      // ID of the last event sent to the caller.
	// attemptBegunAt is the time of the first event of the current attempt; zero before it.
	attemptBegunAt time.Time
	attempt        *versionAttempt      // Of the current attempt; nil if it concerns no adapter.
	binding        streamorigin.Binding // Endpoints that the stream may go on at.
	trial          []string             // Prompt parts that the request is on trial for.
	strategy       strategy
	next           *placement // Goes on with the stream of an endpoint that is given up; nil if none was taken.
	trace          trace
}

// trace collects the facts for the request's log line and metrics.
type trace struct {
	status       int    // HTTP status sent to the caller; 0 if none or if the response was aborted.
	outcome      string // Final result, such as "answered" or a refusal code.
	service      string
	expectedWait time.Duration // Wait for the engine as estimated by the router.
	snapshotAge  time.Duration // Age of the snapshot by which the engine was chosen.
	grantWait    time.Duration // Time spent waiting for grants.
	cold         bool          // The request waited for an adapter load.
	version      int64         // Adapter version that the scheduler granted.
	firstByte    time.Duration // Time from arrival to the first byte of the response.
	longestGap   time.Duration // Longest gap between two events.
	steps        []string      // Endpoint and result of each attempt.
	evidence     []string      // Of attempts without a complete response: endpoint and what tells whether it ran.
	broken       bool          // An endpoint broke off an attempt.
	software     []string      // Software versions of the endpoints whose events were forwarded, in order; "" if unknown.
	recordCopies int           // Holders that had the record of the software version when the stream began.
}

// remaining returns the time until the deadline.
func (q *request) remaining() time.Duration { return time.Until(q.deadline) }

// maxSteps bounds the length of the log line.
const maxSteps = 12

// addStep records the result of an attempt at an endpoint.
func (q *request) addStep(id catalog.EndpointID, result string) {
	if len(q.trace.steps) < maxSteps {
		q.trace.steps = append(q.trace.steps, string(id)+":"+result)
	}
}

// addEvidence records what tells whether an endpoint ran an attempt that brought no complete response.
func (q *request) addEvidence(id catalog.EndpointID, evidence string) {
	if len(q.trace.evidence) < maxSteps {
		q.trace.evidence = append(q.trace.evidence, string(id)+":"+evidence)
	}
}

// recordDelivery records that an attempt reached an address.
func (q *request) recordDelivery(address string) {
	q.delivered++
	q.reached[address] = true
}

// excludes reports whether the request is not sent to an endpoint: it was there before, or it must run once and was at the
// endpoint's address, under another id of the endpoint there. A response names the request, not the attempt, so that the
// refusal of one attempt at an address could be taken for the response to another one.
func (q *request) excludes(ep *catalog.Endpoint) bool {
	return q.tried[ep.ID] || q.reached[ep.Address] && !q.route.Idempotent()
}

// addRefusalEvidence records the response in which an endpoint states that it did not run an attempt.
func (q *request) addRefusalEvidence(id catalog.EndpointID, resp *upstream.Response, sameAddress bool) {
	evidence := strconv.Itoa(resp.Status)
	if !resp.Named {
		evidence += "_unnamed"
	}
	if resp.Reused {
		evidence += "_reused"
	}
	if sameAddress {
		evidence += "_same_address"
	}
	q.addEvidence(id, evidence)
}

// sharedParts returns the IDs of all prompt parts but the last, which belongs to this request or
// its session. Other requests may share these parts.
func (q *request) sharedParts() []string {
	parts := q.call.PromptParts
	if len(parts) < 2 {
		return nil
	}
	ids := make([]string, len(parts)-1)
	for i := range ids {
		ids[i] = parts[i].ID
	}
	return ids
}

// ranStatus returns what a refusal may state about whether the request ran.
func (q *request) ranStatus() refusal.Ran {
	if q.possibleRuns > 0 {
		return refusal.RanUnknown
	}
	return refusal.RanNo
}

// routePriorities is the number of route priorities within one organisation priority.
const routePriorities = 3

// priority returns the request's priority; 0 is the most urgent. The organisation's priority
// takes precedence over the route's.
func (q *request) priority() int {
	rank := min(q.route.Priority, routePriorities-1)
	if q.org != nil && q.org.Priority >= 0 {
		rank += routePriorities * q.org.Priority
	}
	return rank
}

// quotaUnits returns the units that a request takes from its organisation's quota.
func quotaUnits(o *catalog.Organisation, call platform.RequestHeader) float64 {
	switch {
	case !o.CountsTokens:
		return 1
	case call.HasTokenCounts:
		return float64(call.PromptTokens + call.OutputTokens)
	default:
		return o.DefaultTokens
	}
}

// endpointHeader returns the header of the request to an endpoint.
func (q *request) endpointHeader(id catalog.EndpointID, version int64) http.Header {
	opts := platform.ForwardOptions{
		Instance: id, Deadline: q.remaining(), DropAuthorization: q.config.NeedsKeys(), Urgency: -1,
		Version: version, LastEventID: q.lastEventID,
	}
	if q.org != nil {
		opts.Organisation = q.org.Name
	}
	if q.service.Engine != nil {
		opts.Urgency = q.priority()
	}
	return platform.ForwardedHeader(q.in.Header, opts)
}
