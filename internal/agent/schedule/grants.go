package schedule

import (
	"context"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/fairqueue"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// grant implements Grant for a Service.
type grant struct {
	service  *Service
	item     fairqueue.Item
	job      wire.Job
	run      slots.Run
	resident bool // Whether the build was resident when the attempt arrived.
}

// Release implements Grant.
func (g *grant) Release(usedTokens int64) {
	s := g.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running--
	if g.job.IsolateSuspect {
		s.runningIsolated--
	}
	delete(s.grants, g.job.AttemptID)
	if g.needsBuild() {
		s.machine.EndRun(now, g.run)
	}
	s.queue.Release(now, g.item, usedTokens)
	s.advance()
}

func (g *grant) needsBuild() bool {
	return g.item.Build != slots.Build{}
}

// enqueue adds a job to the queue. It returns a *refusal.Refusal if the queue
// rejects the job.
func (s *Service) enqueue(ctx context.Context, job wire.Job) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	w := &waiter{job: job, enqueuedAt: now, decision: make(chan decision, 1)}
	if job.Adapter != "" {
		w.build = slots.Build{Adapter: job.Adapter, Version: job.Version}
		w.resident = s.machine.State(w.build) == slots.StateResident
	}
	s.lastID++
	id := s.lastID
	result := s.queue.Push(now, newItem(ctx, id, w))
	if result.Refusal != fairqueue.Accepted {
		s.metrics.refusedFull.Inc(1)
		return nil, queueFull(result.RetryAfter)
	}
	s.waiters[id] = w
	if w.build != (slots.Build{}) {
		s.machine.AddWaiting(now, w.build)
	}
	if result.Displaced != nil {
		s.metrics.displaced.Inc(1)
		s.refuse(*result.Displaced, queueFull(result.DisplacedRetryAfter))
	}
	s.advance()
	s.recordQueued(id, job)
	return w, nil
}

func newItem(ctx context.Context, id fairqueue.ID, w *waiter) fairqueue.Item {
	deadline, _ := ctx.Deadline()
	return fairqueue.Item{
		ID:             id,
		Organisation:   w.job.Organisation,
		Weight:         w.job.Weight,
		Priority:       w.job.Priority,
		ReservedTokens: max(w.job.Cost, 1),
		Build:          w.build,
		Deadline:       deadline,
	}
}

// recordQueued adds a timeline event if the job is still waiting after it was
// enqueued.
func (s *Service) recordQueued(id fairqueue.ID, job wire.Job) {
	if _, waiting := s.waiters[id]; !waiting {
		return
	}
	s.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestQueued, Request: job.RequestID, Attempt: job.AttemptID,
		Organisation: job.Organisation, Adapter: job.Adapter, Version: job.Version,
	})
}

// cancelWait ends the wait of an attempt whose context has ended. If the
// attempt was granted at the same time, cancelWait releases the grant.
func (s *Service) cancelWait(w *waiter) {
	if s.removeWaiter(w) {
		return
	}
	if d := <-w.decision; d.grant != nil {
		d.grant.Release(0)
	}
}

// removeWaiter removes w from the queue. It returns false if w has already
// left the queue.
func (s *Service) removeWaiter(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, other := range s.waiters {
		if other == w {
			s.queue.Cancel(id)
			s.deleteWaiter(id, w)
			s.metrics.cancelled.Inc(1)
			s.advance()
			return true
		}
	}
	return false
}

// deleteWaiter deletes the record of a waiter that has left the queue without
// a grant.
func (s *Service) deleteWaiter(id fairqueue.ID, w *waiter) {
	delete(s.waiters, id)
	if w.build != (slots.Build{}) {
		s.machine.RemoveWaiting(w.build)
	}
}

// refuse delivers err to an attempt that has left the queue.
func (s *Service) refuse(item fairqueue.Item, err error) {
	w := s.waiters[item.ID]
	s.deleteWaiter(item.ID, w)
	w.decision <- decision{err: err}
}

// advance applies every decision that the current state allows: it grants
// attempts, refuses those that cannot be served here, and sends orders to the
// engine. It is called with mu held, after each event.
func (s *Service) advance() {
	now := time.Now()
	s.grantReady(now)
	s.refuseUnservable(now)
	s.issueOrders(now)
	s.setTimer(now)
	s.metrics.running.Update(float64(s.running))
	s.metrics.queued.Update(float64(s.queue.Len()))
	s.metrics.occupiedSlots.Update(float64(s.machine.OccupiedSlots()))
	s.signalIdle()
}

// grantReady grants attempts that can run now, up to the capacity.
func (s *Service) grantReady(now time.Time) {
	for s.running < s.opts.Capacity {
		item, ok := s.queue.Pop(now, s.itemFit)
		if !ok {
			return
		}
		s.grantItem(now, item)
	}
}

// itemFit reports whether an attempt can run now. At most one attempt with
// IsolateSuspect runs at a time.
func (s *Service) itemFit(item fairqueue.Item) fairqueue.Fit {
	if s.runningIsolated > 0 && s.waiters[item.ID].job.IsolateSuspect {
		return fairqueue.NotReady
	}
	if item.Build == (slots.Build{}) {
		return fairqueue.Ready
	}
	if s.machine.State(item.Build) != slots.StateResident {
		return fairqueue.NotReady
	}
	if s.machine.Running(item.Build) > 0 {
		return fairqueue.Preferred
	}
	return fairqueue.Ready
}

func (s *Service) grantItem(now time.Time, item fairqueue.Item) {
	w := s.waiters[item.ID]
	delete(s.waiters, item.ID)
	g := &grant{service: s, item: item, job: w.job, resident: w.resident}
	if g.needsBuild() {
		g.run, _ = s.machine.StartRun(now, item.Build)
		s.recordStall(now, w)
	}
	s.running++
	if w.job.IsolateSuspect {
		s.runningIsolated++
	}
	s.grants[w.job.AttemptID] = g
	s.metrics.wait.Record(now.Sub(w.enqueuedAt))
	w.decision <- decision{grant: g}
}

// recordStall counts a granted attempt that had to wait for its build.
func (s *Service) recordStall(now time.Time, w *waiter) {
	if w.resident {
		return
	}
	s.metrics.stalls.Inc(1)
	s.metrics.stall.Record(now.Sub(w.enqueuedAt))
}

// refuseUnservable refuses the attempts that cannot get their build here soon,
// so that the entry tries another endpoint. It does nothing until the engine
// has listed its builds.
func (s *Service) refuseUnservable(now time.Time) {
	if !s.machine.Listed() {
		return
	}
	mayOrder := s.mayOrder()
	availableSlots := s.machine.AvailableSlots()
	unservable := s.queue.RemoveMatching(func(item fairqueue.Item) bool {
		return s.unservableError(now, item, mayOrder, availableSlots) != nil
	})
	for _, item := range unservable {
		s.refuse(item, s.unservableError(now, item, mayOrder, availableSlots))
	}
}

// unservableError returns the refusal of an attempt that cannot get its build
// here soon, or nil if it may still get it. availableSlots counts the slots
// that are free or can be freed.
func (s *Service) unservableError(now time.Time, item fairqueue.Item, mayOrder bool, availableSlots int) error {
	if item.Build == (slots.Build{}) || s.machine.State(item.Build) != slots.StateAbsent {
		return nil
	}
	if !mayOrder {
		return noFencingToken()
	}
	if backoff := s.machine.Backoff(now, item.Build); backoff > 0 {
		return loadFailed(backoff)
	}
	if availableSlots <= 0 && now.Sub(s.waiters[item.ID].enqueuedAt) >= MaxSlotWait {
		return slotsInUse()
	}
	return nil
}

// setTimer schedules the next call of advance for the earliest time at which
// the passing of time alone changes a decision.
func (s *Service) setTimer(now time.Time) {
	s.stopTimer()
	next := s.machine.NextWakeup(now)
	useIfEarlier := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	useIfEarlier(s.permits.retryAt)
	for _, w := range s.waiters {
		if w.build != (slots.Build{}) {
			useIfEarlier(w.enqueuedAt.Add(MaxSlotWait))
		}
	}
	if len(s.waiters) > 0 && !s.mayOrder() {
		useIfEarlier(now.Add(tokenPollInterval))
	}
	if next.IsZero() || s.orderCtx.Err() != nil {
		return
	}
	s.timer = time.AfterFunc(next.Sub(now), s.handleTimer)
}

func (s *Service) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *Service) handleTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}
