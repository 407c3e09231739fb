package slots

import (
	"sort"
	"time"
)

// OrderInput is the input of NextOrders in addition to the machine's own state.
type OrderInput struct {
	WantedBuilds  []Build // Builds that attempts wait for, most urgent first.
	Permits       int     // Available load permits.
	OrdersAllowed bool    // False while the engine would refuse load and unload orders.
}

// minPrefetchDemand is the minimum demand for which a build is loaded although no
// attempt waits for it.
const minPrefetchDemand = 2.0

// PermitsNeeded returns the number of load permits that NextOrders could use now.
func (m *Machine) PermitsNeeded(now time.Time, in OrderInput) int {
	if !m.listed || !in.OrdersAllowed || m.noOrdersBefore.After(now) {
		return 0
	}
	maxNewLoads := m.config.Slots - m.OccupiedSlots() + m.evictable() + m.inFlight(KindUnload)
	maxNewLoads = min(maxNewLoads, m.config.MaxLoads-m.inFlight(KindLoad))
	return max(min(maxNewLoads, len(m.loadCandidates(now, in.WantedBuilds))), 0) + m.dueLoadRepeats(now)
}

// dueLoadRepeats returns the number of due repetitions that need a load permit.
func (m *Machine) dueLoadRepeats(now time.Time) int {
	n := 0
	for _, e := range m.entries {
		if e.repeatDue(now) && e.waiting > 0 {
			n++
		}
	}
	return n
}

// NextOrders returns the orders to send now: a list if a state must be resolved, then
// repetitions of orders without a response, then loads for waiting attempts or the
// unloads that free slots for them. If no waiting attempt needs a load, it may return a
// prefetch into a free slot.
func (m *Machine) NextOrders(now time.Time, in OrderInput) []Order {
	var out []Order
	if m.listDue(now) {
		out = append(out, m.orderList())
	}
	if !m.listed || !in.OrdersAllowed || m.noOrdersBefore.After(now) {
		return out
	}
	// Each unload in flight keeps a permit for the load into the slot that it frees.
	permits := in.Permits - m.inFlight(KindUnload)
	repeated, permits := m.repeatOrders(now, permits)
	out = append(out, repeated...)
	for _, b := range m.loadCandidates(now, in.WantedBuilds) {
		if permits <= 0 || m.inFlight(KindLoad) >= m.config.MaxLoads {
			break
		}
		order, ok := m.loadOrEvict(now, b)
		if !ok {
			break
		}
		permits--
		out = append(out, order)
	}
	return out
}

// NextWakeup returns the earliest time after now at which NextOrders may return more
// orders without a further event. It returns the zero time if there is none.
func (m *Machine) NextWakeup(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if !m.listed || m.needsNewList {
		consider(m.listRetryAt)
	}
	consider(m.noOrdersBefore)
	for _, e := range m.entries {
		if e.state == StateUnknown {
			consider(e.repeatAt)
		}
		if e.state == StateAbsent && e.waiting > 0 {
			consider(e.retryAt)
		}
	}
	return next
}

// loadCandidates returns the wanted builds that are absent and not in backoff. If there
// are none, it returns the prefetch candidates.
func (m *Machine) loadCandidates(now time.Time, wanted []Build) []Build {
	var out []Build
	for _, b := range wanted {
		e, ok := m.entries[b]
		if ok && e.state == StateAbsent && !e.retryAt.After(now) {
			out = append(out, b)
		}
	}
	if len(out) > 0 {
		return out
	}
	return m.prefetchCandidates(now)
}

// prefetchCandidates returns the absent build with the highest demand, if a slot is
// free and no load is in flight. Builds are prefetched one at a time, so that the load
// permits remain available for waiting attempts.
func (m *Machine) prefetchCandidates(now time.Time) []Build {
	if m.OccupiedSlots() >= m.config.Slots || m.inFlight(KindLoad) > 0 {
		return nil
	}
	var best Build
	maxDemand := minPrefetchDemand
	found := false
	for b, e := range m.entries {
		if e.state != StateAbsent || e.superseded || e.retryAt.After(now) {
			continue
		}
		demand := e.demand.valueAt(now, m.config.DemandHalfLife)
		if demand > maxDemand || (demand == maxDemand && (!found || buildLess(b, best))) {
			best, maxDemand, found = b, demand, true
		}
	}
	if !found {
		return nil
	}
	return []Build{best}
}

// loadOrEvict returns the load of a build, or the unload that frees a slot for it. It
// returns false if no slot is free and no build may be unloaded.
func (m *Machine) loadOrEvict(now time.Time, b Build) (Order, bool) {
	if m.OccupiedSlots() < m.config.Slots {
		return m.orderBuild(now, KindLoad, b), true
	}
	victim, ok := m.victim(now)
	if !ok {
		return Order{}, false
	}
	return m.orderBuild(now, KindUnload, victim), true
}

// repeatOrders returns the due orders for builds whose state a list did not resolve,
// and the remaining permits. A build without waiting attempts is unloaded. A build with
// waiting attempts is loaded if a permit is available.
func (m *Machine) repeatOrders(now time.Time, permits int) ([]Order, int) {
	var out []Order
	due := m.sorted(func(e *entry) bool { return e.repeatDue(now) })
	for _, b := range due {
		switch e := m.entries[b]; {
		case e.waiting == 0:
			out = append(out, m.orderBuild(now, KindUnload, b))
		case permits > 0:
			permits--
			out = append(out, m.orderBuild(now, KindLoad, b))
		}
	}
	return out, permits
}

func (m *Machine) orderBuild(now time.Time, kind Kind, b Build) Order {
	e := m.entry(b)
	e.stateBefore = e.state
	e.state = StateLoading
	if kind == KindUnload {
		e.state = StateUnloading
	}
	o := m.issue(kind, b)
	e.orderID = o.ID
	e.changedAtOrder = o.ID
	e.orderedAt = now
	e.repeatAt = time.Time{}
	return o
}

func (m *Machine) orderList() Order {
	o := m.issue(KindList, Build{})
	m.listOrder = o.ID
	m.listBoot = m.boot
	return o
}

func (m *Machine) issue(kind Kind, b Build) Order {
	m.lastOrder++
	o := Order{ID: m.lastOrder, Kind: kind, Build: b}
	m.orders[o.ID] = issuedOrder{order: o, boot: m.boot}
	return o
}

func (m *Machine) listDue(now time.Time) bool {
	if m.listOrder != 0 || m.listRetryAt.After(now) {
		return false
	}
	return !m.listed || m.needsNewList
}

func (m *Machine) inFlight(kind Kind) int {
	n := 0
	for _, issued := range m.orders {
		if issued.order.Kind == kind {
			n++
		}
	}
	return n
}

// evictable returns the number of resident builds that may be unloaded.
func (m *Machine) evictable() int {
	n := 0
	for _, e := range m.entries {
		if e.state == StateResident && e.idle() {
			n++
		}
	}
	return n
}

// sorted returns the builds whose entries match, ordered by adapter and version.
func (m *Machine) sorted(match func(*entry) bool) []Build {
	var out []Build
	for b, e := range m.entries {
		if match(e) {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(i, j int) bool { return buildLess(out[i], out[j]) })
	return out
}
