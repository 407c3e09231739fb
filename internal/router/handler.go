package router

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	"github.com/hyssoptiller/hyssoptiller/internal/relay"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// defaultDeadline applies if neither the caller nor the route sets a timeout.
	defaultDeadline = 60 * time.Second
	// bodyTimeout bounds the time to receive a request body.
	bodyTimeout = 10 * time.Second
	// defaultMaxBodyBytes applies if the configuration sets no limit.
	defaultMaxBodyBytes = 4 << 20
)

// ServeHTTP handles a caller's request.
func (r *Router) ServeHTTP(w http.ResponseWriter, in *http.Request) {
	q := &request{
		w: w, in: in, arrived: time.Now(), config: r.state.View().Config, call: platform.ParseRequestHeader(in.Header),
		tried: make(map[catalog.EndpointID]bool), reached: make(map[string]bool),
	}
	q.configAge = q.arrived.Sub(r.changes.Log(relay.TopicOperator).ConfirmedAt())
	q.ctx = in.Context()
	r.inFlight.Add(1)
	defer r.inFlight.Add(-1)
	defer q.release()
	defer r.finish(q)
	if r.memory != nil {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Time{}) // That of the previous response.
	}
	if len(in.TransferEncoding) > 0 || r.draining.Load() {
		// A proxy could place the end of a chunked body elsewhere (request smuggling),
		// so the connection serves no further request.
		w.Header().Set("Connection", "close")
	}
	if r.beginUnfinished(q) {
		defer r.limiter.End(in.Context())
		if r.admit(q) {
			r.forward(q)
		}
	}
	if !q.ended {
		// If the handler returned, net/http would end the response as complete, and a caller that has only closed its
		// sending side would receive an empty success or a truncated stream.
		panic(http.ErrAbortHandler)
	}
}

// forward sends an admitted request to endpoints until its deadline.
func (r *Router) forward(q *request) {
	ctx, cancel := context.WithDeadline(q.ctx, q.deadline)
	defer cancel()
	defer context.AfterFunc(r.stopper.ctx, cancel)()
	q.ctx = ctx
	if q.service.Engine != nil && q.call.Adapter.Model != "" {
		r.run(q, r.engineStrategy())
		return
	}
	r.run(q, r.plainStrategy())
}

// admit checks configuration, route, key, body, quarantine and quota before an endpoint is
// selected. If the request may not run, admit writes the refusal and returns false.
func (r *Router) admit(q *request) bool {
	if q.config == nil {
		r.refuse(q, refusal.CodeNotReady, "No configuration is known yet.", notReadyRetryAfter)
		return false
	}
	if !r.storedRecords.ready(q.arrived) {
		r.refuse(q, refusal.CodeNotReady, "It is not known yet which requests crash endpoints.", notReadyRetryAfter)
		return false
	}
	q.route = q.config.Route(hostOnly(q.in.Host), q.in.URL.EscapedPath())
	if q.route == nil {
		r.refuse(q, refusal.CodeUnknownRoute, "No route matches host and path.", 0)
		return false
	}
	q.deadline = q.arrived.Add(timeoutOf(q))
	if q.config.NeedsKeys() && !q.route.Public {
		if q.org = q.config.OrganisationByKey(q.call.APIKey); q.org == nil {
			r.refuse(q, refusal.CodeUnknownKey, "The key is not known.", 0)
			return false
		}
	}
	q.trace.service = q.route.SelectService(rand.Float64())
	if q.service = q.config.Services[q.trace.service]; q.service == nil {
		r.refuse(q, refusal.CodeNoEndpoint, "The route's service is not configured.", notReadyRetryAfter)
		return false
	}
	return r.readBody(q) && r.checkStop(q) && r.bindResumedStream(q) && r.checkQuarantine(q) && r.checkDomains(q) && r.checkParts(q) && r.takeQuota(q)
}

// hostOnly returns the host without its port.
func hostOnly(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// timeoutOf returns how long the request may take: the shorter of the caller's and the route's
// timeout.
func timeoutOf(q *request) time.Duration {
	d := defaultDeadline
	if q.route.Timeout > 0 {
		d = q.route.Timeout
	}
	if q.call.Deadline > 0 {
		d = min(d, q.call.Deadline)
	}
	return d
}

// checkQuarantine refuses a quarantined request. It returns false if it has refused the
// request.
func (r *Router) checkQuarantine(q *request) bool {
	if !r.crashTracker.quarantined(q.fingerprint, time.Now()) {
		return true
	}
	r.refuse(q, refusal.CodeEndpointBusy, "The request crashed each endpoint that ran it.", maxRetryAfter)
	return false
}

// checkParts refuses a request with a prompt part on which engines crash. It returns false if it has
// refused the request.
func (r *Router) checkParts(q *request) bool {
	v := r.beginParts(q)
	if permits(v) {
		return true
	}
	r.refuseParts(q, v)
	return false
}

// beginParts decides whether a request may run with its prompt parts. A request on trial stays so.
func (r *Router) beginParts(q *request) quarantine.PartVerdict {
	if len(q.trial) > 0 {
		return quarantine.PartVerdict{Verdict: quarantine.VerdictIsolate, Trial: q.trial}
	}
	v := r.parts.beginRun(q.sharedParts(), time.Now())
	q.trial = v.Trial
	return v
}

// permits reports whether a request may run.
func permits(v quarantine.PartVerdict) bool {
	return v.Verdict == quarantine.VerdictRun || v.Verdict == quarantine.VerdictIsolate
}

// refuseParts refuses a request because of a prompt part.
func (r *Router) refuseParts(q *request, v quarantine.PartVerdict) {
	r.counters.partsRefused.Inc(1)
	q.addStep("part", v.Part)
	if v.Verdict == quarantine.VerdictQuarantined {
		r.refuse(q, refusal.CodeEndpointBusy, "A part of the prompt crashed each engine that ran it.", v.RetryAfter)
		return
	}
	r.refuse(q, refusal.CodeEndpointBusy, "A part of the prompt may have crashed engines and is on trial.", suspectRetryAfter)
}

// checkCrash checks in the background whether an endpoint crashed during a request, and counts the
// crash for the request and, unless its response had begun before, for its prompt parts.
func (r *Router) checkCrash(q *request, endpoint *catalog.Endpoint) {
	c := partCrash{Endpoint: endpoint.ID, Incarnation: endpoint.Incarnation, Trial: q.trial}
	if q.attemptBegunAt.IsZero() || time.Since(q.attemptBegunAt) < recentlyBegun {
		c.Parts = q.sharedParts()
	}
	r.crashTracker.checkCrash(q.fingerprint(), endpoint, c, func() { r.parts.endTrial(c.Trial) })
}

// fingerprint identifies equal requests of one organisation.
func (q *request) fingerprint() quarantine.Fingerprint {
	org := ""
	if q.org != nil {
		org = q.org.Name
	}
	return fingerprint(org, q.in.Method, q.in.RequestURI, q.body.Pieces()...)
}

// takeQuota takes the request's units from its organisation's quota. If the quota is used up,
// takeQuota refuses the request and returns false.
func (r *Router) takeQuota(q *request) bool {
	if q.org == nil || q.org.Rate <= 0 {
		return true
	}
	units := quotaUnits(q.org, q.call)
	d := r.quota.Take(q.ctx, q.org, units)
	if d.Admitted {
		q.units = units
		return true
	}
	q.addStep("quota", d.OwnerVM)
	r.refuse(q, refusal.CodeRateLimited, "The organisation has used up its rate.", d.RetryAfter)
	return false
}

// returnQuota returns the units of a request that did not run, without waiting for the call.
func (r *Router) returnQuota(q *request) {
	if q.units == 0 {
		return
	}
	units, org := q.units, q.org
	q.units = 0
	go r.quota.Return(context.WithoutCancel(q.ctx), org, units)
}

// finish records the request's outcome in the metrics and the log.
func (r *Router) finish(q *request) {
	took := time.Since(q.arrived)
	if q.trace.outcome == "answered" && q.trace.status < http.StatusMultipleChoices {
		r.crashTracker.recordSuccess(q.fingerprint)
		r.parts.recordFinish(q.sharedParts())
		r.stopper.record(q.route.Name, took, time.Now())
	}
	if len(q.trial) > 0 && !q.trace.broken { // After a broken attempt, checkCrash ends the trial.
		r.parts.endTrial(q.trial)
	}
	if q.in.Context().Err() != nil && q.trace.status == 0 {
		q.trace.outcome = "caller_left"
	}
	r.counters.recordRequest(q, took)
	r.logRequest(q, took)
}

// requestURI returns the path and the query as the caller sent them.
func requestURI(in *http.Request) string {
	if strings.HasPrefix(in.RequestURI, "/") {
		return in.RequestURI
	}
	return in.URL.RequestURI()
}
