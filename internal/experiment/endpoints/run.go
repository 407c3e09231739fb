package endpoints

import (
	"fmt"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/placement"
)

const (
	entries        = 4
	failureDomains = 4
	maxAttempts    = 3
)

// run is one system under the arrivals of one scenario.
type run struct {
	clock   simclock.Clock
	system  system
	store   *weightStore
	engines []*agent
	plain   []*agent
	byVM    map[ident.VM]*agent
	placers []*placement.Placer
	loads   int
}

// simulate runs the requests to their end.
func simulate(d deployment, s scenario, sys system, requests []*request) *run {
	r := &run{system: sys, byVM: make(map[ident.VM]*agent)}
	r.store = &weightStore{clock: &r.clock, interval: interval(d.loadRate)}
	r.engines = r.agents("engine", d.engines, false)
	r.plain = r.agents("plain", d.plain, true)
	for range entries {
		r.placers = append(r.placers, newPlacer(r))
	}
	for _, q := range requests {
		r.clock.After(q.at, func() { r.arrive(q) })
	}
	r.clock.Until(s.length + patience)
	return r
}

func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

func (r *run) agents(kind string, n int, plain bool) []*agent {
	var out []*agent
	for i := range n {
		a := newAgent(r, ident.VM(fmt.Sprintf("%s-%d", kind, i)), r.system, plain)
		r.byVM[a.vm] = a
		out = append(out, a)
	}
	return out
}

// arrive sends a request to its first endpoint. A caller leaves when its
// patience ends before the request began to run.
func (r *run) arrive(q *request) {
	r.try(q, r.system.choose(r, q))
}

func (r *run) try(q *request, candidates []*agent) {
	if len(candidates) == 0 || q.attempts == maxAttempts || r.clock.Now()-q.at >= patience {
		q.refused = true
		return
	}
	q.attempts++
	chosen := candidates[0]
	placer := r.placers[q.entry]
	placer.RecordSent(chosen.vm)
	sent := r.clock.Now()
	t := &attempt{request: q}
	t.ended = func(t *attempt, refused bool) {
		if refused {
			placer.RecordRefusal(r.clock.Time(), chosen.vm, placementJob(q), chosen.load())
			r.clock.After(networkDelay, func() { r.try(q, candidates[1:]) })
			return
		}
		q.done = true
		placer.RecordDone(chosen.vm, r.clock.Now()-sent, t.resident)
	}
	r.clock.After(networkDelay, func() { chosen.take(t) })
	r.clock.After(q.at+patience-r.clock.Now(), func() { r.giveUp(t) })
}

func (r *run) giveUp(t *attempt) {
	if t.agent != nil && t.waiting {
		t.agent.leave(t)
	}
}

// answered tells the entry that the answer began.
func (r *run) answered(t *attempt) {
	q := t.request
	r.placers[q.entry].RecordResponse(r.clock.Time(), t.agent.vm, placementJob(q), "boot", t.agent.load())
}
