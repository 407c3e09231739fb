package matrix_test

import (
	"context"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const (
	subjectMarker = "subject-1"
	stepTimeout   = 5 * time.Second
	beforeSend    = 10 * time.Millisecond
	queueTime     = 500 * time.Millisecond
	loadingTime   = 100 * time.Millisecond
)

// step is a moment in the life of the subject's request.
type step struct {
	name  string
	drive func(w *world, inject func()) // Sends the subject and injects at the moment.
	only  func(k kind) bool             // Nil where every kind has the step.
}

var steps = []step{
	{name: "before admission", drive: driveBefore},
	{name: "queued", drive: driveQueued},
	{name: "loading", drive: driveLoading, only: func(k kind) bool { return k.engine }},
	{name: "running, no byte yet", drive: driveAt(harness.HoldOnArrival)},
	{name: "mid-answer", drive: driveAt(harness.HoldMidResponse)},
	{name: "after the answer", drive: driveAfter},
}

func (s step) has(k kind) bool { return s.only == nil || s.only(k) }

// subject starts the subject's call at entry-1.
func (w *world) subject() <-chan harness.Response {
	ctx, cancel := context.WithCancel(w.t.Context())
	w.callerGone = cancel
	c := w.call(w.kind, subjectOrg, "entry-1", subjectMarker)
	out := make(chan harness.Response, 1)
	go func() {
		out <- w.sendCall(ctx, w.kind, subjectOrg, subjectMarker, c)
		cancel()
	}()
	return out
}

// warm has the subject's adapter resident and connections open.
func (w *world) warm() {
	if w.cold {
		return
	}
	w.send(w.t.Context(), w.kind, subjectOrg, "entry-1", "warm-1")
}

func driveBefore(w *world, inject func()) {
	w.warm()
	inject()
	time.Sleep(beforeSend)
	<-w.subject()
}

func driveQueued(w *world, inject func()) {
	w.warm()
	hold := w.occupyAll()
	answer := w.subject()
	time.Sleep(queueTime)
	if len(answer) > 0 || len(w.f.Runs(subjectMarker)) > 0 {
		w.t.Error("the subject did not queue")
	}
	inject()
	time.Sleep(w.holdFor)
	hold.Release()
	<-answer
}

func driveLoading(w *world, inject func()) {
	ordered := make(chan struct{})
	w.onNextLoad(func(string) { close(ordered) })
	answer := w.subject()
	w.await(ordered)
	time.Sleep(loadingTime)
	inject()
	<-answer
}

func driveAt(p harness.HoldPoint) func(*world, func()) {
	return func(w *world, inject func()) {
		w.warm()
		hold := w.f.HoldRuns(subjectMarker, p)
		answer := w.subject()
		w.await(hold.Reached)
		inject()
		time.Sleep(w.holdFor)
		hold.Release()
		<-answer
	}
}

func driveAfter(w *world, inject func()) {
	<-w.subject()
	inject()
	time.Sleep(beforeSend)
	w.send(w.t.Context(), w.kind, subjectOrg, "entry-2", "next-1")
}

// await waits until the subject has come to its step.
func (w *world) await(c <-chan struct{}) {
	timer := time.NewTimer(stepTimeout)
	defer timer.Stop()
	select {
	case <-c:
		synctest.Wait()
	case <-timer.C:
		w.t.Error("the subject did not come to the step")
	}
}
