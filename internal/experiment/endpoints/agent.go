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
	capacity        = 16           // Concurrent runs of an endpoint.
	adapterSlots    = 8            // Adapter slots of an engine.
	maxWantedBuilds = 8 * capacity // Maximum number of wanted builds that the slot policy considers.
)

// attempt is an attempt to run a request on an endpoint.
type attempt struct {
	request           *request
	agent             *agent // Nil until the agent receives the attempt.
	id                fairqueue.ID
	item              fairqueue.Item
	queuedAt          time.Duration
	residentOnArrival bool
	waiting           bool // In the agent's queue.
	slotUse           slots.Run
	onEnded           func(a *attempt, refused bool)
}

// agent applies the queueing and slot policies to one endpoint.
type agent struct {
	simulation       *simulation
	vm               ident.VM
	fifo             bool // The queue ignores organisations, weights, priorities and deadlines.
	queue            *fairqueue.Queue
	machine          *slots.Machine
	engine           *fakeEngine
	attempts         map[fairqueue.ID]*attempt // Attempts in the queue.
	lastID           fairqueue.ID
	running          int
	permits          int // Granted by the weight store and not used yet.
	permitsRequested int // Not granted yet.
}

// newAgent returns an agent; the endpoint of a plain service has no adapter slots.
func newAgent(sim *simulation, vm ident.VM, s system, plain bool) *agent {
	a := &agent{simulation: sim, vm: vm, fifo: s.fifo, attempts: make(map[fairqueue.ID]*attempt)}
	a.queue = fairqueue.New(queueConfig(s))
	slotCount := adapterSlots
	if plain {
		slotCount = 0
	}
	a.machine = slots.New(slotsConfig(s, slotCount))
	a.machine.SetBoot("boot")
	a.engine = newFakeEngine(&sim.clock, a.runFinished)
	return a
}

func (a *agent) currentLoad() placement.Load {
	return placement.Load{Running: a.running, Capacity: capacity, Queued: a.queue.Len()}
}

// enqueue queues an attempt, or refuses it if the queue does not accept it.
func (a *agent) enqueue(att *attempt) {
	now := a.simulation.clock.Time()
	att.agent = a
	att.queuedAt = a.simulation.clock.Now()
	att.residentOnArrival = a.machine.State(att.request.build) == slots.StateResident
	a.lastID++
	att.id = a.lastID
	att.item = a.queueItem(att)
	pushed := a.queue.Push(now, att.item)
	if pushed.Refusal != fairqueue.Accepted {
		att.onEnded(att, true)
		return
	}
	att.waiting = true
	a.attempts[att.id] = att
	if att.request.build != (slots.Build{}) {
		a.machine.AddWaiting(now, att.request.build)
	}
	if pushed.Displaced != nil {
		a.refuse(pushed.Displaced.ID)
	}
	a.advance()
	if att.waiting {
		a.simulation.clock.After(schedule.MaxSlotWait, a.advance)
	}
}

// queueItem returns the queue's description of an attempt. For a first-in-first-out
// queue, it omits the organisation, priority and deadline and gives the same weight
// to all attempts.
func (a *agent) queueItem(att *attempt) fairqueue.Item {
	item := fairqueue.Item{ID: att.id, Weight: 1, ReservedTokens: att.request.tokens(), Build: att.request.build}
	if a.fifo {
		return item
	}
	item.Organisation = att.request.organisation()
	item.Weight = att.request.weight
	item.Priority = att.request.priority
	item.Deadline = time.Unix(0, 0).Add(att.request.arrival + maxWait)
	return item
}

// cancel refuses an attempt that still waits in the queue.
func (a *agent) cancel(att *attempt) {
	if !att.waiting {
		return
	}
	a.queue.Cancel(att.id)
	a.refuse(att.id)
	a.advance()
}

// refuse ends an attempt that is no longer in the queue.
func (a *agent) refuse(id fairqueue.ID) {
	att := a.attempts[id]
	delete(a.attempts, id)
	att.waiting = false
	if att.request.build != (slots.Build{}) {
		a.machine.RemoveWaiting(att.request.build)
		a.recordStall(att)
	}
	att.onEnded(att, true)
}

// runFinished ends an attempt whose run is complete.
func (a *agent) runFinished(att *attempt) {
	now := a.simulation.clock.Time()
	a.running--
	if att.request.build != (slots.Build{}) {
		a.machine.EndRun(now, att.slotUse)
	}
	a.queue.Release(now, att.item, att.request.tokens())
	att.onEnded(att, false)
	a.advance()
}

// advance starts the attempts that can run, refuses those that waited too long for
// a slot, and issues load and unload orders.
func (a *agent) advance() {
	now := a.simulation.clock.Time()
	for a.running < capacity {
		item, ok := a.queue.Pop(now, a.fit)
		if !ok {
			break
		}
		a.start(now, item)
	}
	a.refuseTimedOut()
	a.issueOrders(now)
}

// fit reports whether a queued attempt can run. A build that already has runs is
// preferred, because a step takes longer with each different adapter.
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

// start runs an attempt that left the queue.
func (a *agent) start(now time.Time, item fairqueue.Item) {
	att := a.attempts[item.ID]
	delete(a.attempts, item.ID)
	att.waiting = false
	if item.Build != (slots.Build{}) {
		att.slotUse, _ = a.machine.StartRun(now, item.Build)
	}
	a.recordStall(att)
	a.running++
	a.simulation.responseStarted(att)
	a.engine.addAttempt(att)
}

// recordStall records the time since the arrival of the request if its build was
// not resident when the attempt arrived. It applies to refused attempts too.
func (a *agent) recordStall(att *attempt) {
	if att.residentOnArrival || att.request.build == (slots.Build{}) {
		return
	}
	att.request.stalled = true
	att.request.stallTime = a.simulation.clock.Now() - att.request.arrival
}

// refuseTimedOut refuses attempts that waited schedule.MaxSlotWait for an adapter
// slot while all slots are in use.
func (a *agent) refuseTimedOut() {
	if !a.machine.Listed() || a.machine.AvailableSlots() > 0 {
		return
	}
	timedOut := a.queue.RemoveMatching(func(item fairqueue.Item) bool {
		waited := a.simulation.clock.Now() - a.attempts[item.ID].queuedAt
		absent := item.Build != (slots.Build{}) && a.machine.State(item.Build) == slots.StateAbsent
		return absent && waited >= schedule.MaxSlotWait
	})
	for _, item := range timedOut {
		a.refuse(item.ID)
	}
}

// issueOrders executes the orders of the slot policy and requests the load permits
// that it needs.
func (a *agent) issueOrders(now time.Time) {
	input := slots.OrderInput{WantedBuilds: a.queue.WantedBuilds(now, maxWantedBuilds), Permits: a.permits, OrdersAllowed: true}
	for _, o := range a.machine.NextOrders(now, input) {
		a.execute(o)
	}
	input.Permits = a.permits
	needed := a.machine.PermitsNeeded(now, input)
	for a.permits+a.permitsRequested < needed {
		a.permitsRequested++
		a.simulation.store.requestPermit(a.permitGranted)
	}
}

func (a *agent) permitGranted() {
	a.permitsRequested--
	a.permits++
	a.advance()
}

// execute carries out an order. Loads and unloads complete after the call.
func (a *agent) execute(o slots.Order) {
	done := func() {
		a.machine.CompleteOrder(a.simulation.clock.Time(), o.ID, slots.OutcomeDone)
		a.advance()
	}
	switch o.Kind {
	case slots.KindList:
		a.machine.CompleteList(a.simulation.clock.Time(), o.ID, nil, true)
	case slots.KindUnload:
		a.simulation.clock.After(unloadTime, done)
	case slots.KindLoad:
		a.permits--
		a.queue.ChargeLoad(o.Build)
		a.simulation.loadsStarted++
		a.simulation.store.startLoad(done)
	}
}
