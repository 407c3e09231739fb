package slots

import "time"

// Answered ends a load or unload order. It returns true where attempts that
// wait for the build should be told that it could not be loaded.
func (m *Machine) Answered(now time.Time, id OrderID, outcome Outcome) (loadFailed bool) {
	i, ok := m.orders[id]
	if !ok {
		return false
	}
	delete(m.orders, id)
	e := m.entry(i.order.Build)
	e.order = 0
	switch {
	case outcome == OutcomeNotSent:
		m.notSent(now, i, e)
		return false
	case i.boot != m.boot:
		// The order was meant for a former boot; what it did to this one is open.
		m.unsettled(e, i.order.Kind, false)
		return false
	case i.order.Kind == KindLoad:
		return m.loadAnswered(now, e, outcome)
	}
	m.unloadAnswered(i.order.Build, e, outcome)
	return false
}

// notSent puts a build back to what it was before an order that never left,
// and holds further orders back for a while, since they would not leave either.
func (m *Machine) notSent(now time.Time, i issued, e *entry) {
	m.holdUntil = now.Add(m.config.RepeatDelay)
	e.state = e.before
	switch {
	case i.boot != m.boot:
		m.unsettled(e, i.order.Kind, true)
	case e.state == StateUnknown:
		e.repeatAt = now.Add(m.config.RepeatDelay)
	}
	m.forget(i.order.Build)
}

func (m *Machine) loadAnswered(now time.Time, e *entry, outcome Outcome) bool {
	if outcome == OutcomeDone {
		e.state = StateResident
		e.changed = m.lastOrder
		e.failures = 0
		e.retryAt = time.Time{}
		e.loadTime = now.Sub(e.loadBegan)
		e.lastUsed = now
		return false
	}
	m.unsettled(e, KindLoad, outcome == OutcomeFailed)
	m.fail(now, e)
	return true
}

func (m *Machine) unloadAnswered(b Build, e *entry, outcome Outcome) {
	if outcome != OutcomeDone {
		m.unsettled(e, KindUnload, outcome == OutcomeFailed)
		return
	}
	e.state = StateAbsent
	e.changed = m.lastOrder
	m.forget(b)
}

// unsettled leaves a build unknown until a list or a repeat settles it.
func (m *Machine) unsettled(e *entry, last Kind, answered bool) {
	e.state = StateUnknown
	e.changed = m.lastOrder
	e.last = last
	e.answered = answered
	e.repeatAt = time.Time{}
	m.listAgain = true
}

// fail begins or lengthens the backoff of a build.
func (m *Machine) fail(now time.Time, e *entry) {
	backoff := m.config.MaxBackoff
	if shift := min(e.failures, maxBackoffShift); m.config.FailureBackoff<<shift < backoff {
		backoff = m.config.FailureBackoff << shift
	}
	e.failures++
	e.retryAt = now.Add(backoff)
}

// maxBackoffShift keeps the doubling of a backoff from overflowing.
const maxBackoffShift = 16

// Listed ends a list order with the builds that the engine holds. Where ok is
// false the engine did not answer and is asked again later.
func (m *Machine) Listed(now time.Time, id OrderID, builds []Build, ok bool) {
	if id != m.listOrder {
		return
	}
	delete(m.orders, id)
	m.listOrder = 0
	if !ok || m.listBoot != m.boot {
		m.listRetry = now.Add(m.config.RepeatDelay)
		return
	}
	m.listed = true
	m.listAgain = false
	held := make(map[Build]bool, len(builds))
	for _, b := range builds {
		held[b] = true
		m.entry(b)
	}
	for _, b := range m.sorted(func(*entry) bool { return true }) {
		m.settle(now, id, b, held[b])
	}
}

// settle applies a list to one build. The list says nothing about a build
// whose state has changed since the list was asked for.
func (m *Machine) settle(now time.Time, list OrderID, b Build, held bool) {
	e := m.entries[b]
	if e.changed >= list {
		m.listAgain = m.listAgain || e.state == StateUnknown
		return
	}
	if e.state == StateUnknown {
		m.settleUnknown(now, e, held)
	} else {
		m.settleKnown(now, e, held)
	}
	m.forget(b)
}

// settleKnown believes a list about builds without an order in flight.
func (m *Machine) settleKnown(now time.Time, e *entry, held bool) {
	switch {
	case held && e.state == StateAbsent:
		e.state = StateResident
		e.lastUsed = now
	case !held && e.state == StateResident:
		e.state = StateAbsent
	}
}

// settleUnknown believes a list where no order can still change the build: the
// engine answered the last order, or the order's effect is seen. Otherwise the
// order is repeated.
func (m *Machine) settleUnknown(now time.Time, e *entry, held bool) {
	effect := held == (e.last == KindLoad)
	if !effect && !e.answered {
		e.repeatAt = now.Add(m.config.RepeatDelay)
		return
	}
	e.state = StateAbsent
	if held {
		e.state = StateResident
		e.lastUsed = now
	}
}
