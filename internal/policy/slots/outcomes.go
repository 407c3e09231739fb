package slots

import "time"

// CompleteOrder completes a load or unload order. It returns true if a load failed. The
// caller must then refuse the attempts that wait for the build.
func (m *Machine) CompleteOrder(now time.Time, id OrderID, outcome Outcome) (loadFailed bool) {
	issued, ok := m.orders[id]
	if !ok {
		return false
	}
	delete(m.orders, id)
	e := m.entry(issued.order.Build)
	e.orderID = 0
	switch {
	case outcome == OutcomeNotSent:
		m.orderNotSent(now, issued, e)
		return false
	case issued.boot != m.boot:
		// The order was sent to a former boot; its effect on the current one is not known.
		m.markUnknown(e, issued.order.Kind, false)
		return false
	case issued.order.Kind == KindLoad:
		return m.loadEnded(now, e, outcome)
	}
	m.unloadEnded(issued.order.Build, e, outcome)
	return false
}

// orderNotSent restores the state that a build had before an order that could not be
// sent. It delays further orders by RepeatDelay, because sending them would fail as well.
func (m *Machine) orderNotSent(now time.Time, issued issuedOrder, e *entry) {
	m.noOrdersBefore = now.Add(m.config.RepeatDelay)
	e.state = e.stateBefore
	switch {
	case issued.boot != m.boot:
		m.markUnknown(e, issued.order.Kind, true)
	case e.state == StateUnknown:
		e.repeatAt = now.Add(m.config.RepeatDelay)
	}
	m.trim(issued.order.Build)
}

func (m *Machine) loadEnded(now time.Time, e *entry, outcome Outcome) bool {
	if outcome == OutcomeDone {
		e.state = StateResident
		e.changedAtOrder = m.lastOrder
		e.failures = 0
		e.retryAt = time.Time{}
		e.loadTime = now.Sub(e.orderedAt)
		e.lastUsed = now
		return false
	}
	m.markUnknown(e, KindLoad, outcome == OutcomeFailed)
	m.recordLoadFailure(now, e)
	return true
}

func (m *Machine) unloadEnded(b Build, e *entry, outcome Outcome) {
	if outcome != OutcomeDone {
		m.markUnknown(e, KindUnload, outcome == OutcomeFailed)
		return
	}
	e.state = StateAbsent
	e.changedAtOrder = m.lastOrder
	m.trim(b)
}

// markUnknown sets a build to StateUnknown until a list or a repeated order resolves
// its state.
func (m *Machine) markUnknown(e *entry, lastKind Kind, hasResponse bool) {
	e.state = StateUnknown
	e.changedAtOrder = m.lastOrder
	e.lastKind = lastKind
	e.hasResponse = hasResponse
	e.repeatAt = time.Time{}
	m.needsNewList = true
}

// recordLoadFailure starts the backoff of a build. The backoff doubles with each
// consecutive failure, up to MaxBackoff.
func (m *Machine) recordLoadFailure(now time.Time, e *entry) {
	backoff := m.config.MaxBackoff
	if shift := min(e.failures, maxBackoffShift); m.config.FailureBackoff<<shift < backoff {
		backoff = m.config.FailureBackoff << shift
	}
	e.failures++
	e.retryAt = now.Add(backoff)
}

// maxBackoffShift limits the doubling of the backoff to prevent overflow.
const maxBackoffShift = 16

// CompleteList completes a list order with the builds that the engine holds. If ok is
// false, the engine did not respond and the list is ordered again after RepeatDelay.
func (m *Machine) CompleteList(now time.Time, id OrderID, builds []Build, ok bool) {
	if id != m.listOrder {
		return
	}
	delete(m.orders, id)
	m.listOrder = 0
	if !ok || m.listBoot != m.boot {
		m.listRetryAt = now.Add(m.config.RepeatDelay)
		return
	}
	m.listed = true
	m.needsNewList = false
	resident := make(map[Build]bool, len(builds))
	for _, b := range builds {
		resident[b] = true
		m.entry(b)
	}
	for _, b := range m.sorted(func(*entry) bool { return true }) {
		m.applyList(now, id, b, resident[b])
	}
}

// applyList applies a list to one build. It ignores the list if the state of the build
// has changed since the list was ordered.
func (m *Machine) applyList(now time.Time, list OrderID, b Build, resident bool) {
	e := m.entries[b]
	if e.changedAtOrder >= list {
		m.needsNewList = m.needsNewList || e.state == StateUnknown
		return
	}
	if e.state == StateUnknown {
		m.resolveUnknown(now, e, resident)
	} else {
		m.applyListToKnown(now, e, resident)
	}
	m.trim(b)
}

// applyListToKnown applies a list to a build that is not in StateUnknown. It does not
// change a build with an order in flight.
func (m *Machine) applyListToKnown(now time.Time, e *entry, resident bool) {
	switch {
	case resident && e.state == StateAbsent:
		e.state = StateResident
		e.lastUsed = now
	case !resident && e.state == StateResident:
		e.state = StateAbsent
	}
}

// resolveUnknown applies a list to a build in StateUnknown if no order can still change
// it: the engine responded to the last order, or the list shows the order's effect.
// Otherwise it schedules a repetition of the order.
func (m *Machine) resolveUnknown(now time.Time, e *entry, resident bool) {
	effectVisible := resident == (e.lastKind == KindLoad)
	if !effectVisible && !e.hasResponse {
		e.repeatAt = now.Add(m.config.RepeatDelay)
		return
	}
	e.state = StateAbsent
	if resident {
		e.state = StateResident
		e.lastUsed = now
	}
}
