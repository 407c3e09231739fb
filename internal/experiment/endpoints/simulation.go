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
	maxAttempts    = 3 // Of a request.
)

// simulation is the state of one system under the arrivals of one scenario.
type simulation struct {
	clock          simclock.Clock
	system         system
	store          *weightStore
	engines        []*agent
	plainInstances []*agent // Of the plain service.
	byVM           map[ident.VM]*agent
	placers        []*placement.Placer // By entry.
	loadsStarted   int
}

// simulate runs the requests of a scenario with a system and returns the final
// state.
func simulate(d deployment, s scenario, sys system, requests []*request) *simulation {
	sim := &simulation{system: sys, byVM: make(map[ident.VM]*agent)}
	sim.store = &weightStore{clock: &sim.clock, interval: interval(d.loadsPerSecond)}
	sim.engines = sim.newAgents("engine", d.engines, false)
	sim.plainInstances = sim.newAgents("plain", d.plainInstances, true)
	for range entries {
		sim.placers = append(sim.placers, newPlacer(sim))
	}
	for _, q := range requests {
		sim.clock.After(q.arrival, func() { sim.handleArrival(q) })
	}
	sim.clock.RunUntil(s.duration + maxWait)
	return sim
}

// interval returns the time between two events at a rate.
func interval(perSecond float64) time.Duration {
	return time.Duration(float64(time.Second) / perSecond)
}

// newAgents returns the agents of n endpoints; kind is the prefix of their VM names.
func (sim *simulation) newAgents(kind string, n int, plain bool) []*agent {
	var out []*agent
	for i := range n {
		a := newAgent(sim, ident.VM(fmt.Sprintf("%s-%d", kind, i)), sim.system, plain)
		sim.byVM[a.vm] = a
		out = append(out, a)
	}
	return out
}

// handleArrival chooses the endpoints for a request and starts its first attempt.
func (sim *simulation) handleArrival(q *request) {
	sim.startAttempt(q, sim.system.choose(sim, q))
}

// startAttempt sends a request to the first candidate, and to the next one if it
// refuses. The request is refused after maxAttempts attempts, when no candidate is
// left, or when it has waited for maxWait; an attempt that is in a queue at that time
// is cancelled.
func (sim *simulation) startAttempt(q *request, candidates []*agent) {
	if len(candidates) == 0 || q.attempts == maxAttempts || sim.clock.Now()-q.arrival >= maxWait {
		q.refused = true
		return
	}
	q.attempts++
	target := candidates[0]
	placer := sim.placers[q.entry]
	placer.RecordSent(target.vm)
	sent := sim.clock.Now()
	att := &attempt{request: q}
	att.onEnded = func(att *attempt, refused bool) {
		if refused {
			placer.RecordRefusal(sim.clock.Time(), target.vm, placementJob(q), target.currentLoad())
			sim.clock.After(networkDelay, func() { sim.startAttempt(q, candidates[1:]) })
			return
		}
		q.done = true
		placer.RecordDone(target.vm, sim.clock.Now()-sent, att.residentOnArrival)
	}
	sim.clock.After(networkDelay, func() { target.enqueue(att) })
	sim.clock.After(q.arrival+maxWait-sim.clock.Now(), func() { sim.cancelWaiting(att) })
}

// cancelWaiting cancels an attempt if it still waits in a queue.
func (sim *simulation) cancelWaiting(att *attempt) {
	if att.agent != nil && att.waiting {
		att.agent.cancel(att)
	}
}

// responseStarted reports the start of a response to the placer of the entry.
func (sim *simulation) responseStarted(att *attempt) {
	q := att.request
	sim.placers[q.entry].RecordResponse(sim.clock.Time(), att.agent.vm, placementJob(q), "boot", att.agent.currentLoad())
}
