package slots

import (
	"sort"
	"time"
)

// Situation is what Orders decides on beside the machine's own state.
type Situation struct {
	Wanted   []Build // Builds that attempts wait for, the most urgent first.
	Permits  int     // Load permits at hand.
	MayOrder bool    // False while the engine would refuse loads and unloads.
}

// prefetchDemand is the demand from which a build is loaded before an attempt
// waits for it.
const prefetchDemand = 2.0

// PermitsNeeded returns the load permits that Orders could use now.
func (m *Machine) PermitsNeeded(now time.Time, s Situation) int {
	if !m.listed || !s.MayOrder || m.holdUntil.After(now) {
		return 0
	}
	room := m.config.Slots - m.Taken() + m.evictable() + m.inFlight(KindUnload)
	room = min(room, m.config.MaxLoads-m.inFlight(KindLoad))
	return max(min(room, len(m.loadable(now, s.Wanted))), 0) + m.repeatedLoads(now)
}

// repeatedLoads returns how many repeats need a permit.
func (m *Machine) repeatedLoads(now time.Time) int {
	n := 0
	for _, e := range m.entries {
		if e.repeatDue(now) && e.waiting > 0 {
			n++
		}
	}
	return n
}

// Orders returns the orders to give now: a list where something must be
// settled, then loads for waiting attempts with the unloads that make room for
// them, then repeats of orders without an answer, and only where no attempt
// waits for a load, prefetches into free slots.
func (m *Machine) Orders(now time.Time, s Situation) []Order {
	var out []Order
	if m.needsList(now) {
		out = append(out, m.list())
	}
	if !m.listed || !s.MayOrder || m.holdUntil.After(now) {
		return out
	}
	permits := s.Permits - m.inFlight(KindUnload)
	repeats, permits := m.repeats(now, permits)
	out = append(out, repeats...)
	for _, b := range m.loadable(now, s.Wanted) {
		if permits <= 0 || m.inFlight(KindLoad) >= m.config.MaxLoads {
			break
		}
		order, ok := m.makeRoomOrLoad(now, b)
		if !ok {
			break
		}
		permits--
		out = append(out, order)
	}
	return out
}

// NextTime returns the first time after now at which Orders may have more to
// give although no event comes; zero where only an event changes that.
func (m *Machine) NextTime(now time.Time) time.Time {
	var next time.Time
	consider := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if !m.listed || m.listAgain {
		consider(m.listRetry)
	}
	consider(m.holdUntil)
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

// loadable returns the builds that are absent and may be loaded: the wanted
// ones, or where none is, those that are worth a prefetch into a free slot.
func (m *Machine) loadable(now time.Time, wanted []Build) []Build {
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
	return m.prefetches(now)
}

// prefetches returns the absent build that is most in demand where a slot is
// free and no load is in flight: prefetches go one at a time, so that they
// leave the load permits to waiting attempts.
func (m *Machine) prefetches(now time.Time) []Build {
	if m.Taken() >= m.config.Slots || m.inFlight(KindLoad) > 0 {
		return nil
	}
	var best Build
	most := prefetchDemand
	found := false
	for b, e := range m.entries {
		if e.state != StateAbsent || e.superseded || e.retryAt.After(now) {
			continue
		}
		demand := e.demand.read(now, m.config.DemandHalfLife)
		if demand > most || (demand == most && (!found || before(b, best))) {
			best, most, found = b, demand, true
		}
	}
	if !found {
		return nil
	}
	return []Build{best}
}

func (m *Machine) makeRoomOrLoad(now time.Time, b Build) (Order, bool) {
	if m.Taken() < m.config.Slots {
		return m.order(now, KindLoad, b), true
	}
	victim, ok := m.victim(now)
	if !ok {
		return Order{}, false
	}
	return m.order(now, KindUnload, victim), true
}

// repeats gives the orders that settle unknown builds where a list has not:
// a load where attempts wait for the build and a permit is at hand, else an unload.
func (m *Machine) repeats(now time.Time, permits int) ([]Order, int) {
	var out []Order
	due := m.sorted(func(e *entry) bool { return e.repeatDue(now) })
	for _, b := range due {
		switch e := m.entries[b]; {
		case e.waiting == 0:
			out = append(out, m.order(now, KindUnload, b))
		case permits > 0:
			permits--
			out = append(out, m.order(now, KindLoad, b))
		}
	}
	return out, permits
}

func (m *Machine) order(now time.Time, kind Kind, b Build) Order {
	e := m.entry(b)
	e.before = e.state
	e.state = StateLoading
	if kind == KindUnload {
		e.state = StateUnloading
	}
	o := m.issue(kind, b)
	e.order = o.ID
	e.changed = o.ID
	e.loadBegan = now
	e.repeatAt = time.Time{}
	return o
}

func (m *Machine) list() Order {
	o := m.issue(KindList, Build{})
	m.listOrder = o.ID
	m.listBoot = m.boot
	return o
}

func (m *Machine) issue(kind Kind, b Build) Order {
	m.lastOrder++
	o := Order{ID: m.lastOrder, Kind: kind, Build: b}
	m.orders[o.ID] = issued{order: o, boot: m.boot}
	return o
}

func (m *Machine) needsList(now time.Time) bool {
	if m.listOrder != 0 || m.listRetry.After(now) {
		return false
	}
	return !m.listed || m.listAgain
}

func (m *Machine) inFlight(kind Kind) int {
	n := 0
	for _, i := range m.orders {
		if i.order.Kind == kind {
			n++
		}
	}
	return n
}

func (m *Machine) evictable() int {
	n := 0
	for _, e := range m.entries {
		if e.state == StateResident && e.idle() {
			n++
		}
	}
	return n
}

// sorted returns the builds whose entries match, in a fixed order.
func (m *Machine) sorted(match func(*entry) bool) []Build {
	var out []Build
	for b, e := range m.entries {
		if match(e) {
			out = append(out, b)
		}
	}
	sort.Slice(out, func(i, j int) bool { return before(out[i], out[j]) })
	return out
}
