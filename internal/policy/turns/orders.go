package turns

import (
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// conflictPause is the wait after an order that the engine did not take.
const conflictPause = 20 * time.Millisecond

// NextOrder returns the order to give now, if there is one. Its outcome is told
// by OrderDone before the next one is asked for.
func (m *Machine) NextOrder(now time.Time) (Order, bool) {
	if !m.alive || m.resync || m.outstanding != nil || now.Before(m.pause) {
		return Order{}, false
	}
	if m.doubtful != nil {
		return m.give(*m.doubtful), true
	}
	if o, ok := m.modelOrder(now); ok {
		m.modelAt = now
		return m.give(o), true
	}
	if len(m.models) == 0 {
		return Order{}, false
	}
	if o, ok := m.adapterOrder(now); ok {
		return m.give(o), true
	}
	return Order{}, false
}

func (m *Machine) give(o Order) Order {
	o.Sequence = m.seq
	m.outstanding = &o
	if a := m.held[o.Key]; a != nil && o.Unload {
		a.leaving = true // No turn is granted while the order may be carried out.
	}
	return o
}

// OrderDone takes the outcome of the order that NextOrder returned last.
func (m *Machine) OrderDone(outcome Outcome, now time.Time) {
	o := m.outstanding
	m.outstanding = nil
	if o == nil {
		return
	}
	if outcome != OutcomeUnknown {
		m.doubtful = nil
	}
	switch outcome {
	case OutcomeAccepted, OutcomeDone:
		m.accepted(*o, outcome, now)
	case OutcomeUnknown:
		// The same order again, with the same sequence: whichever arrives
		// first makes the other one void.
		m.doubtful = o
		m.resync = true
	default:
		m.resync = true
		m.pause = now.Add(conflictPause)
	}
	m.settle(now)
}

func (m *Machine) accepted(o Order, outcome Outcome, now time.Time) {
	if o.Key.Adapter == "" {
		m.resync = true
		m.seq++
		return
	}
	if o.Unload {
		m.seq++
		m.drop(o.Key)
		m.resync = outcome == OutcomeAccepted
		return
	}
	if outcome == OutcomeDone {
		m.resync = true
		return
	}
	m.seq++
	delete(m.refill, o.Key)
	a := m.holding(o.Key, now)
	a.loading = true
	a.version = o.Version
}

// Loading reports whether a report is needed soon: a load is under way, or the
// last order's effect is unknown.
func (m *Machine) Loading() bool {
	return m.resync || m.busy || m.coming() > 0
}

// coming counts the adapters that are on their way to the engine.
func (m *Machine) coming() int {
	n := 0
	for _, a := range m.held {
		if a.loading {
			n++
		}
	}
	return n
}

// modelOrder loads a model where the engine holds none, or one that turns wait
// for and that fits.
func (m *Machine) modelOrder(now time.Time) (Order, bool) {
	if m.busy || len(m.limits.Models) == 0 || now.Sub(m.modelAt) < m.config.ModelInterval {
		return Order{}, false
	}
	for _, w := range m.queue {
		model := w.turn.Key.Model
		if !slices.Contains(m.models, model) && m.modelFits(model) {
			return Order{Key: catalog.AdapterKey{Model: model}}, true
		}
	}
	if len(m.models) > 0 {
		return Order{}, false
	}
	return Order{Key: catalog.AdapterKey{Model: m.limits.Models[0].Name}}, true
}

// modelFits reports whether a model of the configuration has room beside those
// that are held and all adapter places.
func (m *Machine) modelFits(name string) bool {
	room, known := m.limits.WeightsMB, false
	for _, model := range m.limits.Models {
		if model.Name == name {
			known = true
		}
		if model.Name == name || slices.Contains(m.models, model.Name) {
			room -= model.WeightsMB
		}
	}
	return known && room >= 0
}

// adapterOrder loads the first adapter that a turn waits for, or makes room.
func (m *Machine) adapterOrder(now time.Time) (Order, bool) {
	if o, ok := m.replaceOrder(now); ok {
		return o, true
	}
	if m.coming() >= m.config.ComingMost {
		return Order{}, false
	}
	for _, w := range m.queue {
		key := w.turn.Key
		if key.Adapter == "" || m.held[key] != nil || !slices.Contains(m.models, key.Model) {
			continue
		}
		if m.adapterFits() {
			return Order{Key: key, Version: m.wanted[key]}, true
		}
		if victim, ok := m.victim(); ok {
			return Order{Unload: true, Key: victim}, true
		}
		return Order{}, false
	}
	return m.refillOrder(now)
}

// refillOrder brings back adapters that were unloaded for their next version.
func (m *Machine) refillOrder(now time.Time) (Order, bool) {
	for _, key := range sortedKeys(m.refill) {
		until := m.refill[key]
		if m.held[key] != nil || now.After(until) {
			delete(m.refill, key)
			continue
		}
		if m.adapterFits() {
			return Order{Key: key, Version: m.wanted[key]}, true
		}
	}
	return Order{}, false
}

// adapterFits reports whether one more adapter has a place, and room beside the
// models.
func (m *Machine) adapterFits() bool {
	if len(m.held) >= m.limits.AdapterSlots {
		return false
	}
	room, size := m.limits.WeightsMB, 0.0
	for _, model := range m.limits.Models {
		if slices.Contains(m.models, model.Name) {
			room -= model.WeightsMB
			size = max(size, model.AdapterMB)
		}
	}
	return room >= size*float64(len(m.held)+1)
}

// replaceOrder unloads an idle adapter of which a newer version is announced.
// Unloading first keeps the places exact; one that was used lately is loaded
// again at once.
func (m *Machine) replaceOrder(now time.Time) (Order, bool) {
	for _, key := range sortedKeys(m.held) {
		a := m.held[key]
		if a.stale.IsZero() || a.loading || a.users > 0 {
			continue
		}
		if now.Sub(a.used) < m.config.RefillWithin {
			m.refill[key] = now.Add(m.config.RefillWithin)
		}
		return Order{Unload: true, Key: key}, true
	}
	return Order{}, false
}

// victim returns the idle adapter that was used longest ago.
func (m *Machine) victim() (catalog.AdapterKey, bool) {
	var oldest catalog.AdapterKey
	var used time.Time
	found := false
	for _, key := range sortedKeys(m.held) {
		a := m.held[key]
		if m.evictable(key, a) && (!found || a.used.Before(used)) {
			oldest, used, found = key, a.used, true
		}
	}
	return oldest, found
}
