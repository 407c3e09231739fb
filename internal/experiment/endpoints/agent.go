package endpoints

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/schedule"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/fairqueue"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/placement"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

const (
	capacity    = 16
	slotCount   = 8
	queueLength = 8 * capacity
)

// attempt is one try of a request on an endpoint.
type attempt struct {
	request  *request
	agent    *agent
	id       fairqueue.ID
	item     fairqueue.Item
	since    time.Duration
	resident bool
	waiting  bool
	use      slots.Run
	ended    func(a *attempt, refused bool)
}

// agent drives the decisions of one endpoint.
type agent struct {
	run      *run
	vm       ident.VM
	fifo     bool
	queue    *fairqueue.Queue
	machine  *slots.Machine
	engine   *fakeEngine
	attempts map[fairqueue.ID]*attempt
	lastID   fairqueue.ID
	running  int
	permits  int
	asked    int
}

func newAgent(r *run, vm ident.VM, s system, plain bool) *agent {
	a := &agent{run: r, vm: vm, fifo: s.fifo, attempts: make(map[fairqueue.ID]*attempt)}
	a.queue = fairqueue.New(queueConfig(s))
	count := slotCount
	if plain {
		count = 0
	}
	a.machine = slots.New(slotsConfig(s, count))
	a.machine.SetBoot("boot")
	a.engine = newFakeEngine(&r.clock, a.finished)
	return a
}

func (a *agent) load() placement.Load {
	return placement.Load{Running: a.running, Capacity: capacity, Queued: a.queue.Len()}
}

// take puts an attempt into the queue, or refuses it.
func (a *agent) take(t *attempt) {
	now := a.run.clock.Time()
	t.agent = a
	t.since = a.run.clock.Now()
	t.resident = a.machine.State(t.request.build) == slots.StateResident
	a.lastID++
	t.id = a.lastID
	t.item = a.item(t)
	result := a.queue.Push(now, t.item)
	if result.Refusal != fairqueue.Accepted {
		t.ended(t, true)
		return
	}
	t.waiting = true
	a.attempts[t.id] = t
	if t.request.build != (slots.Build{}) {
		a.machine.AddWaiting(now, t.request.build)
	}
	if result.Displaced != nil {
		a.refuse(result.Displaced.ID)
	}
	a.advance()
	if t.waiting {
		a.run.clock.After(schedule.MaxSlotWait, a.advance)
	}
}

// item describes an attempt to the queue. A first-in-first-out queue knows no
// organisations, classes and deadlines.
func (a *agent) item(t *attempt) fairqueue.Item {
	item := fairqueue.Item{ID: t.id, Weight: 1, ReservedTokens: t.request.tokens(), Build: t.request.build}
	if a.fifo {
		return item
	}
	item.Organisation = t.request.organisation()
	item.Weight = t.request.weight
	item.Priority = t.request.priority
	item.Deadline = time.Unix(0, 0).Add(t.request.at + patience)
	return item
}

// leave ends the wait of an attempt whose caller has gone.
func (a *agent) leave(t *attempt) {
	if !t.waiting {
		return
	}
	a.queue.Cancel(t.id)
	a.refuse(t.id)
	a.advance()
}

func (a *agent) refuse(id fairqueue.ID) {
	t := a.attempts[id]
	delete(a.attempts, id)
	t.waiting = false
	if t.request.build != (slots.Build{}) {
		a.machine.RemoveWaiting(t.request.build)
		a.countStall(t)
	}
	t.ended(t, true)
}

func (a *agent) finished(t *attempt) {
	now := a.run.clock.Time()
	a.running--
	if t.request.build != (slots.Build{}) {
		a.machine.EndRun(now, t.use)
	}
	a.queue.Release(now, t.item, t.request.tokens())
	t.ended(t, false)
	a.advance()
}

func (a *agent) advance() {
	now := a.run.clock.Time()
	for a.running < capacity {
		item, ok := a.queue.Pop(now, a.fit)
		if !ok {
			break
		}
		a.begin(now, item)
	}
	a.refuseStuck()
	a.giveOrders(now)
}

func (a *agent) fit(item fairqueue.Item) fairqueue.Fit {
	switch {
	case item.Build == (slots.Build{}):
		return fairqueue.Ready
	case a.machine.State(item.Build) != slots.StateResident:
		return fairqueue.NotReady
	case a.machine.Running(item.Build) > 0:
		return fairqueue.Preferred
	}
	return fairqueue.Ready
}

func (a *agent) begin(now time.Time, item fairqueue.Item) {
	t := a.attempts[item.ID]
	delete(a.attempts, item.ID)
	t.waiting = false
	if item.Build != (slots.Build{}) {
		t.use, _ = a.machine.StartRun(now, item.Build)
	}
	a.countStall(t)
	a.running++
	a.run.answered(t)
	a.engine.add(t)
}

// countStall counts the wait of an attempt that found its build not resident,
// whether it then ran or not.
func (a *agent) countStall(t *attempt) {
	if t.resident || t.request.build == (slots.Build{}) {
		return
	}
	t.request.stalled = true
	t.request.stall = a.run.clock.Now() - t.request.at
}

// refuseStuck refuses attempts for which no slot could be had in time.
func (a *agent) refuseStuck() {
	if !a.machine.Listed() || a.machine.AvailableSlots() > 0 {
		return
	}
	stuck := a.queue.RemoveMatching(func(item fairqueue.Item) bool {
		waited := a.run.clock.Now() - a.attempts[item.ID].since
		absent := item.Build != (slots.Build{}) && a.machine.State(item.Build) == slots.StateAbsent
		return absent && waited >= schedule.MaxSlotWait
	})
	for _, item := range stuck {
		a.refuse(item.ID)
	}
}

func (a *agent) giveOrders(now time.Time) {
	s := slots.OrderInput{WantedBuilds: a.queue.WantedBuilds(now, queueLength), Permits: a.permits, OrdersAllowed: true}
	for _, o := range a.machine.NextOrders(now, s) {
		a.carryOut(o)
	}
	s.Permits = a.permits
	needed := a.machine.PermitsNeeded(now, s)
	for a.permits+a.asked < needed {
		a.asked++
		a.run.store.permit(a.permitCame)
	}
}

func (a *agent) permitCame() {
	a.asked--
	a.permits++
	a.advance()
}

func (a *agent) carryOut(o slots.Order) {
	done := func() {
		a.machine.CompleteOrder(a.run.clock.Time(), o.ID, slots.OutcomeDone)
		a.advance()
	}
	switch o.Kind {
	case slots.KindList:
		a.machine.CompleteList(a.run.clock.Time(), o.ID, nil, true)
	case slots.KindUnload:
		a.run.clock.After(unloadTime, done)
	case slots.KindLoad:
		a.permits--
		a.queue.ChargeLoad(o.Build)
		a.run.loads++
		a.run.store.load(done)
	}
}
