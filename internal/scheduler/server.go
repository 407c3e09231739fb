package scheduler

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/turns"
	"github.com/hyssoptiller/hyssoptiller/internal/turncall"
)

const (
	// stateLeast is the shortest pause between two snapshots to one router.
	stateLeast = 120 * time.Millisecond
	// stateMost is the longest: routers take a silent scheduler as lost after
	// three of them.
	stateMost = 600 * time.Millisecond
)

// Handler serves the calls of routers.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post(turncall.PathTurn, e.serveTurn)
	r.Get(turncall.PathState, e.serveState)
	return r
}

func (e *Engine) serveTurn(w http.ResponseWriter, r *http.Request) {
	var ask turncall.Ask
	if !turncall.Read(w, r, turncall.MaxAsk, &ask) {
		return
	}
	id, decision := e.Ask(turns.Turn{
		Request: ask.Request, Key: catalog.AdapterKey{Model: ask.Model, Adapter: ask.Adapter},
		Parts: ask.Parts, Prompt: ask.Prompt, Output: ask.Output, Priority: ask.Priority,
		Patience: time.Duration(ask.PatienceMS) * time.Millisecond, Aim: time.Duration(ask.AimMS) * time.Millisecond,
		GapAim: time.Duration(ask.GapAimMS) * time.Millisecond, Load: time.Duration(ask.LoadMS) * time.Millisecond,
	}, ask.Version, catalog.EndpointID(ask.Instance), ask.Born)
	defer e.Release(id)
	var d turns.Decision
	select {
	case d = <-decision:
	case <-r.Context().Done():
		e.logTurn(ask, turns.Decision{Refusal: "router_left"})
		return
	}
	e.count.decision(d)
	e.logTurn(ask, d)
	if !writeLine(w, turncall.Reply{
		Granted: d.Granted, Refusal: d.Refusal, ExpectedMS: d.Expected.Milliseconds(),
		Version: d.Version, Cold: d.Cold, WaitedMS: d.Waited.Milliseconds(),
	}) || !d.Granted {
		return
	}
	<-r.Context().Done()
}

// logTurn tells of a decision that the router's own line does not hold whole.
func (e *Engine) logTurn(ask turncall.Ask, d turns.Decision) {
	if d.Granted && !d.Cold {
		return // The router's line for the request says so.
	}
	e.log.WithFields(logrus.Fields{
		"event": "turn", "request": ask.Request, "adapter": ask.Adapter, "granted": d.Granted, "refusal": d.Refusal,
		"expected_ms": d.Expected.Milliseconds(), "waited_ms": d.Waited.Milliseconds(), "cold": d.Cold, "version": d.Version,
	}).Info("turn decided")
}

func (e *Engine) serveState(w http.ResponseWriter, r *http.Request) {
	for {
		snapshot, changed := e.Snapshot()
		if !writeLine(w, snapshot) {
			return
		}
		pause := stateLeast
		if !snapshot.Alive {
			pause = 0 // Routers send an engine nothing until they know that it is up.
		}
		if !waitChange(r, changed, pause) {
			return
		}
	}
}

// waitChange waits for a change, at least for pause and at most for stateMost. It
// returns false where the router has gone.
func waitChange(r *http.Request, changed <-chan struct{}, pause time.Duration) bool {
	least, most := time.NewTimer(pause), time.NewTimer(stateMost)
	defer least.Stop()
	defer most.Stop()
	select {
	case <-r.Context().Done():
		return false
	case <-least.C:
	}
	select {
	case <-r.Context().Done():
		return false
	case <-changed:
	case <-most.C:
	}
	return true
}

func writeLine(w http.ResponseWriter, v any) bool {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
