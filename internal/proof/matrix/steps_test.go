package matrix_test

import (
	"context"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const (
	subjectMarker = "subject-1"
	maxStepWait   = 5 * time.Second        // For the subject to reach its step.
	faultLead     = 10 * time.Millisecond  // From a fault to the request or edit after it.
	queueingTime  = 500 * time.Millisecond // From sending the subject to its fault while it is queued.
	loadingTime   = 100 * time.Millisecond // From the load order to the fault.
)

// step is a stage of the subject's request at which faults are injected.
type step struct {
	name      string
	drive     func(sim *simulation, inject func()) // Sends the subject and calls inject at the step.
	appliesTo func(k routeKind) bool               // Nil if the step applies to every route kind.
}

var steps = []step{
	{name: "before admission", drive: driveBeforeAdmission},
	{name: "queued", drive: driveQueued},
	{name: "loading", drive: driveLoading, appliesTo: func(k routeKind) bool { return k.onEngine }},
	{name: "running, no byte yet", drive: driveToHoldPoint(harness.HoldOnArrival)},
	{name: "mid-answer", drive: driveToHoldPoint(harness.HoldMidResponse)},
	{name: "after the answer", drive: driveAfterResponse},
}

func (s step) canRunWith(k routeKind) bool { return s.appliesTo == nil || s.appliesTo(k) }

// sendSubject sends the subject through entry-1. The returned channel receives
// the response.
func (sim *simulation) sendSubject() <-chan harness.Response {
	ctx, cancel := context.WithCancel(sim.t.Context())
	sim.cancelSubject = cancel
	c := sim.newCall(sim.kind, subjectOrg, "entry-1", subjectMarker)
	out := make(chan harness.Response, 1)
	go func() {
		out <- sim.sendCall(ctx, sim.kind, subjectOrg, subjectMarker, c)
		cancel()
	}()
	return out
}

// warmUp sends a request of the subject's route kind, so that its adapter is
// loaded and connections are open. It does nothing if skipWarmUp is set.
func (sim *simulation) warmUp() {
	if sim.skipWarmUp {
		return
	}
	sim.send(sim.t.Context(), sim.kind, subjectOrg, "entry-1", "warm-1")
}

func driveBeforeAdmission(sim *simulation, inject func()) {
	sim.warmUp()
	inject()
	time.Sleep(faultLead)
	<-sim.sendSubject()
}

func driveQueued(sim *simulation, inject func()) {
	sim.warmUp()
	hold := sim.fillEndpoints()
	response := sim.sendSubject()
	time.Sleep(queueingTime)
	if len(response) > 0 || len(sim.fleet.Runs(subjectMarker)) > 0 {
		sim.t.Errorf("the subject received %d responses and ran %d times, want it queued while every endpoint is full",
			len(response), len(sim.fleet.Runs(subjectMarker)))
	}
	inject()
	time.Sleep(sim.holdTime)
	hold.Release()
	<-response
}

func driveLoading(sim *simulation, inject func()) {
	ordered := make(chan struct{})
	sim.onNextLoad(func(string) { close(ordered) })
	response := sim.sendSubject()
	sim.awaitStep(ordered)
	time.Sleep(loadingTime)
	inject()
	<-response
}

func driveToHoldPoint(p harness.HoldPoint) func(*simulation, func()) {
	return func(sim *simulation, inject func()) {
		sim.warmUp()
		hold := sim.fleet.HoldRuns(subjectMarker, p)
		response := sim.sendSubject()
		sim.awaitStep(hold.Reached)
		inject()
		time.Sleep(sim.holdTime)
		hold.Release()
		<-response
	}
}

func driveAfterResponse(sim *simulation, inject func()) {
	<-sim.sendSubject()
	inject()
	time.Sleep(faultLead)
	sim.send(sim.t.Context(), sim.kind, subjectOrg, "entry-2", "next-1")
}

// awaitStep waits until reached is closed and the bubble is idle. It fails the
// test after maxStepWait.
func (sim *simulation) awaitStep(reached <-chan struct{}) {
	timer := time.NewTimer(maxStepWait)
	defer timer.Stop()
	select {
	case <-reached:
		synctest.Wait()
	case <-timer.C:
		sim.t.Errorf("the subject did not reach the step within %s", maxStepWait)
	}
}
