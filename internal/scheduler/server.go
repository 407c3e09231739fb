package scheduler

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// minSnapshotInterval is the shortest interval between two snapshots to one router.
	minSnapshotInterval = 120 * time.Millisecond
	// snapshotCheckInterval is the shortest interval between two checks whether a snapshot is due.
	snapshotCheckInterval = 20 * time.Millisecond
	// maxSnapshotInterval is the longest interval. Routers treat a scheduler that sends no
	// snapshot for about three such intervals as unreachable.
	maxSnapshotInterval = 600 * time.Millisecond
)

// Handler returns the handler for the calls of routers.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(schedulerapi.PathGrant, e.serveGrant)
	r.Get(schedulerapi.PathSnapshots, e.serveSnapshots)
	r.Get(schedulerapi.PathIncarnation, e.serveIncarnation)
	r.Post(schedulerapi.PathPreload, e.servePreload)
	e.streamRecords.Mount(r)
	e.crashRecords.Mount(r)
	return r
}

// serveGrant responds to a grant request with one decision. A grant lasts until the router
// closes the call.
func (e *Engine) serveGrant(w http.ResponseWriter, r *http.Request) {
	var req schedulerapi.GrantRequest
	if !schedulerapi.DecodeRequest(w, r, schedulerapi.MaxGrantRequestBytes, &req) {
		return
	}
	id, decision := e.RequestGrant(grants.Request{
		EngineRequestID: req.RequestID, Incarnation: req.Incarnation, Key: catalog.AdapterKey{Model: req.Model, Adapter: req.Adapter},
		PromptParts: req.Parts, PromptTokens: req.PromptTokens, MaxOutputTokens: req.OutputTokens, Priority: req.Priority,
		Continuation:  req.Continuation,
		MaxWait:       time.Duration(req.MaxWaitMS) * time.Millisecond,
		LatencyTarget: time.Duration(req.LatencyTargetMS) * time.Millisecond,
		GapTarget:     time.Duration(req.GapTargetMS) * time.Millisecond,
		ColdLoadTime:  time.Duration(req.LoadMS) * time.Millisecond,
	}, req.Version, req.FormerVersion(), catalog.EndpointID(req.EndpointID), req.RateLimit.Decode(time.Now()), time.Duration(req.ColdMS)*time.Millisecond)
	defer e.Release(id)
	var d grants.Decision
	select {
	case d = <-decision:
	case <-r.Context().Done():
		e.logDecision(req, grants.Decision{Refusal: "router_left"})
		return
	}
	e.counters.recordDecision(d)
	e.logDecision(req, d)
	incarnation, _ := e.Incarnation()
	if !writeLine(w, schedulerapi.GrantReply{
		Granted: d.Granted, Refusal: d.Refusal, ExpectedWaitMS: d.ExpectedWait.Milliseconds(),
		Version: d.Version, Cold: d.WaitedForLoad, WaitedMS: d.Waited.Milliseconds(),
		Incarnation: incarnation, ColdMS: e.coldRemaining().Milliseconds(),
	}) || !d.Granted {
		return
	}
	<-r.Context().Done()
}

// serveIncarnation responds with the incarnation of a new report. The report is not applied, because it may overtake
// an order.
func (e *Engine) serveIncarnation(w http.ResponseWriter, r *http.Request) {
	if time.Now().Before(e.paused()) {
		http.Error(w, "the engine wants no calls for a time", http.StatusServiceUnavailable)
		return
	}
	report, err := e.client.Report(r.Context())
	if err != nil {
		e.pauseIfRefused(err)
		http.Error(w, "the engine does not respond", http.StatusServiceUnavailable)
		return
	}
	writeLine(w, schedulerapi.Incarnation{Incarnation: report.Incarnation})
}

// servePreload passes a preload on to the machine. The response does not wait for the load.
func (e *Engine) servePreload(w http.ResponseWriter, r *http.Request) {
	var req schedulerapi.PreloadRequest
	if !schedulerapi.DecodeRequest(w, r, schedulerapi.MaxPreloadBytes, &req) {
		return
	}
	result := e.Preload(catalog.AdapterKey{Model: req.Model, Adapter: req.Adapter}, req.Demand)
	e.counters.recordPreload(result)
	e.log.WithFields(logrus.Fields{
		"event": "preload", "model": req.Model, "adapter": req.Adapter, "demand": req.Demand, "result": string(result),
	}).Info("preload requested")
	w.WriteHeader(http.StatusNoContent)
}

// logDecision logs refusals and grants after an adapter load. The router's log line covers all
// other grants.
func (e *Engine) logDecision(req schedulerapi.GrantRequest, d grants.Decision) {
	if d.Granted && !d.WaitedForLoad {
		return
	}
	e.log.WithFields(logrus.Fields{
		"event": "turn", "request": req.RequestID, "adapter": req.Adapter, "granted": d.Granted, "refusal": d.Refusal,
		"expected_ms": d.ExpectedWait.Milliseconds(), "waited_ms": d.Waited.Milliseconds(),
		"cold": d.WaitedForLoad, "version": d.Version,
	}).Info("grant request decided")
}

// serveSnapshots streams snapshots to a router, as differences of one JSON line each. It sends a
// snapshot if routers could decide differently because of it, and at least every
// maxSnapshotInterval.
func (e *Engine) serveSnapshots(w http.ResponseWriter, r *http.Request) {
	var sent grants.Snapshot
	snapshot, changed := e.Snapshot()
	for {
		if !writeLine(w, snapshot.Delta(sent)) {
			return
		}
		sent = snapshot
		minWait := minSnapshotInterval
		if !sent.Alive {
			minWait = 0 // Routers send no requests until a snapshot shows that the engine is reachable.
		}
		deadline := time.Now().Add(maxSnapshotInterval)
		for {
			if !waitForChange(r, changed, minWait, time.Until(deadline)) {
				return
			}
			snapshot, changed = e.Snapshot()
			if snapshot.DiffersForRouters(sent) || !time.Now().Before(deadline) {
				break
			}
			minWait = snapshotCheckInterval
		}
	}
}

// waitForChange waits for a change, for at least minWait and at most maxWait. It returns false if the
// router has disconnected.
func waitForChange(r *http.Request, changed <-chan struct{}, minWait, maxWait time.Duration) bool {
	began := time.Now()
	if sleep.For(r.Context(), min(minWait, maxWait)) != nil {
		return false
	}
	rest := maxWait - time.Since(began)
	if rest <= 0 {
		return true
	}
	timer := time.NewTimer(rest)
	defer timer.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
	case <-timer.C:
	}
	return true
}

// writeLine writes v as one JSON line and flushes it. It returns false if the write fails.
func writeLine(w http.ResponseWriter, v any) bool {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
