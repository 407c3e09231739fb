package schedule

import (
	"context"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/fairqueue"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// turn is a Turn of a Service.
type turn struct {
	service  *Service
	item     fairqueue.Item
	job      wire.Job
	use      slots.Use
	resident bool // Whether the build was resident when the attempt arrived.
}

// Release implements Turn.
func (t *turn) Release(usedTokens int64) {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.running--
	if t.job.Alone {
		s.suspects--
	}
	delete(s.turns, t.job.Attempt)
	if t.needsBuild() {
		s.machine.End(now, t.use)
	}
	s.queue.Release(now, t.item, usedTokens)
	s.advance()
}

func (t *turn) needsBuild() bool {
	return t.item.Build != slots.Build{}
}

// enqueue puts a job into the queue, or refuses it at once.
func (s *Service) enqueue(ctx context.Context, job wire.Job) (*waiter, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	w := &waiter{job: job, since: now, answer: make(chan answer, 1)}
	if job.Adapter != "" {
		w.build = slots.Build{Adapter: job.Adapter, Version: job.Version}
		w.resident = s.machine.State(w.build) == slots.StateResident
	}
	s.lastID++
	id := s.lastID
	result := s.queue.Push(now, itemOf(ctx, id, w))
	if result.Refusal != fairqueue.Accepted {
		s.metrics.refusedFull.Inc(1)
		return nil, queueFull(result.RetryAfter)
	}
	s.waiters[id] = w
	if w.build != (slots.Build{}) {
		s.machine.Wait(now, w.build)
	}
	if result.Displaced != nil {
		s.metrics.displaced.Inc(1)
		s.refuse(*result.Displaced, queueFull(result.DisplacedRetryAfter))
	}
	s.advance()
	s.recordQueued(id, job)
	return w, nil
}

func itemOf(ctx context.Context, id fairqueue.ID, w *waiter) fairqueue.Item {
	deadline, _ := ctx.Deadline()
	return fairqueue.Item{
		ID:           id,
		Organisation: w.job.Organisation,
		Weight:       w.job.Weight,
		Priority:     w.job.Priority,
		Tokens:       max(w.job.Cost, 1),
		Build:        w.build,
		Deadline:     deadline,
	}
}

func (s *Service) recordQueued(id fairqueue.ID, job wire.Job) {
	if _, waits := s.waiters[id]; !waits {
		return
	}
	s.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindRequestQueued, Request: job.Request, Attempt: job.Attempt,
		Organisation: job.Organisation, Adapter: job.Adapter, Version: job.Version,
	})
}

// abandon ends the wait of an attempt whose context has ended. A turn that came
// at the same time is given back.
func (s *Service) abandon(w *waiter) {
	if s.leave(w) {
		return
	}
	if a := <-w.answer; a.turn != nil {
		a.turn.Release(0)
	}
}

func (s *Service) leave(w *waiter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, waiting := range s.waiters {
		if waiting == w {
			s.queue.Cancel(id)
			s.drop(id, w)
			s.metrics.cancelled.Inc(1)
			s.advance()
			return true
		}
	}
	return false
}

// drop forgets a waiter that is no longer in the queue and will not run.
func (s *Service) drop(id fairqueue.ID, w *waiter) {
	delete(s.waiters, id)
	if w.build != (slots.Build{}) {
		s.machine.Leave(w.build)
	}
}

// refuse ends the wait of an attempt that has left the queue.
func (s *Service) refuse(item fairqueue.Item, err error) {
	w := s.waiters[item.ID]
	s.drop(item.ID, w)
	w.answer <- answer{err: err}
}

// advance does what the present state allows: it gives turns, refuses attempts
// that cannot get one here, and gives orders to the engine. It is called after
// each event.
func (s *Service) advance() {
	now := time.Now()
	s.grant(now)
	s.refuseHopeless(now)
	s.giveOrders(now)
	s.setTimer(now)
	s.metrics.running.Update(float64(s.running))
	s.metrics.queued.Update(float64(s.queue.Len()))
	s.metrics.slotsTaken.Update(float64(s.machine.Taken()))
	s.tellIdle()
}

// grant gives free turns to the attempts that can use them.
func (s *Service) grant(now time.Time) {
	for s.running < s.opts.Capacity {
		item, ok := s.queue.Pop(now, s.fit)
		if !ok {
			return
		}
		s.begin(now, item)
	}
}

// fit tells whether an attempt can run now. Of the attempts with Alone, one
// runs at a time.
func (s *Service) fit(item fairqueue.Item) fairqueue.Fit {
	if s.suspects > 0 && s.waiters[item.ID].job.Alone {
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

func (s *Service) begin(now time.Time, item fairqueue.Item) {
	w := s.waiters[item.ID]
	delete(s.waiters, item.ID)
	t := &turn{service: s, item: item, job: w.job, resident: w.resident}
	if t.needsBuild() {
		t.use, _ = s.machine.Begin(now, item.Build)
		s.countStall(now, w)
	}
	s.running++
	if w.job.Alone {
		s.suspects++
	}
	s.turns[w.job.Attempt] = t
	s.metrics.wait.Record(now.Sub(w.since))
	w.answer <- answer{turn: t}
}

func (s *Service) countStall(now time.Time, w *waiter) {
	if w.resident {
		return
	}
	s.metrics.stalls.Inc(1)
	s.metrics.stall.Record(now.Sub(w.since))
}

// refuseHopeless refuses the attempts that cannot get their build here soon, so
// that the entry asks another endpoint.
func (s *Service) refuseHopeless(now time.Time) {
	if !s.machine.Known() {
		return
	}
	mayOrder := s.mayOrder()
	room := s.machine.Room()
	hopeless := s.queue.Take(func(item fairqueue.Item) bool {
		return s.whyHopeless(now, item, mayOrder, room) != nil
	})
	for _, item := range hopeless {
		s.refuse(item, s.whyHopeless(now, item, mayOrder, room))
	}
}

// whyHopeless returns nil where the attempt may still get its build.
func (s *Service) whyHopeless(now time.Time, item fairqueue.Item, mayOrder bool, room int) error {
	if item.Build == (slots.Build{}) || s.machine.State(item.Build) != slots.StateAbsent {
		return nil
	}
	if !mayOrder {
		return noFence()
	}
	if backoff := s.machine.Backoff(now, item.Build); backoff > 0 {
		return loadFailed(backoff)
	}
	if room <= 0 && now.Sub(s.waiters[item.ID].since) >= SlotPatience {
		return slotsInUse()
	}
	return nil
}

// setTimer calls advance again when time alone changes what it can do.
func (s *Service) setTimer(now time.Time) {
	s.stopTimer()
	next := s.machine.NextTime(now)
	sooner := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	sooner(s.permits.retryAt)
	for _, w := range s.waiters {
		if w.build != (slots.Build{}) {
			sooner(w.since.Add(SlotPatience))
		}
	}
	if len(s.waiters) > 0 && !s.mayOrder() {
		sooner(now.Add(fencePoll))
	}
	if next.IsZero() || s.life.Err() != nil {
		return
	}
	s.timer = time.AfterFunc(next.Sub(now), s.tick)
}

func (s *Service) stopTimer() {
	if s.timer != nil {
		s.timer.Stop()
	}
}

func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.advance()
}
