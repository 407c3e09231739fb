package grants

import (
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// rejectedOrderDelay is the delay before the next order after the engine
// rejected one.
const rejectedOrderDelay = 20 * time.Millisecond

// NextOrder returns the order to send now, or false if there is none. The caller
// must report its outcome to CompleteOrder before NextOrder returns another one.
func (m *Machine) NextOrder(now time.Time) (Order, bool) {
	if !m.alive || m.needsReport || m.outstanding != nil || now.Before(m.noOrderBefore) || now.Before(m.pausedUntil) {
		return Order{}, false
	}
	if m.unconfirmed != nil {
		return m.issue(*m.unconfirmed), true
	}
	if o, ok := m.modelOrder(now); ok {
		m.lastModelLoad = now
		return m.issue(o), true
	}
	if len(m.models) == 0 {
		return Order{}, false
	}
	if o, ok := m.adapterOrder(now); ok {
		return m.issue(o), true
	}
	return Order{}, false
}

func (m *Machine) issue(o Order) Order {
	o.Sequence = m.sequence
	m.outstanding = &o
	if a := m.adapters[o.Key]; a != nil && o.Unload {
		a.unloading = true // Nothing is granted while the engine may carry out the order.
	}
	return o
}

// CompleteOrder records the outcome of the order that NextOrder returned last.
func (m *Machine) CompleteOrder(outcome Outcome, now time.Time) {
	o := m.outstanding
	m.outstanding = nil
	if o == nil {
		return
	}
	if outcome != OutcomeUnknown {
		m.unconfirmed = nil
	}
	switch outcome {
	case OutcomeAccepted, OutcomeDone:
		m.applyOrder(*o, outcome, now)
	case OutcomeUnknown:
		// The order is repeated with the same sequence, so the engine accepts
		// only the copy that arrives first.
		m.unconfirmed = o
		m.needsReport = true
		if !o.Unload {
			m.recordUnknownLoad(*o, now)
		}
	default:
		m.needsReport = true
		m.noOrderBefore = now.Add(rejectedOrderDelay)
	}
	m.processQueue(now)
}

func (m *Machine) applyOrder(o Order, outcome Outcome, now time.Time) {
	if o.Key.Adapter == "" {
		m.needsReport = true
		m.sequence++
		return
	}
	if o.Unload {
		m.sequence++
		m.removeAdapter(o.Key)
		m.needsReport = outcome == OutcomeAccepted
		return
	}
	if outcome == OutcomeDone {
		m.needsReport = true
		return
	}
	m.sequence++
	delete(m.reloads, o.Key)
	a := m.ensureAdapter(o.Key, now)
	a.loading = true
	a.version = o.Version
}

// NeedsReportSoon reports whether the caller should fetch a report soon: a load is in
// progress, or the effect of the last order is unknown.
func (m *Machine) NeedsReportSoon() bool {
	return m.needsReport || m.busy || m.loadingAdapters() > 0
}

// loadingAdapters counts the adapters that are loading.
func (m *Machine) loadingAdapters() int {
	n := 0
	for _, a := range m.adapters {
		if a.loading {
			n++
		}
	}
	return n
}

// modelOrder returns a load of a model that queued requests need and that fits.
// If the engine holds no model, it falls back to the first configured one.
func (m *Machine) modelOrder(now time.Time) (Order, bool) {
	if m.busy || len(m.limits.Models) == 0 || now.Sub(m.lastModelLoad) < m.config.MinModelLoadInterval {
		return Order{}, false
	}
	for _, q := range m.queue {
		model := q.request.Key.Model
		if !slices.Contains(m.models, model) && m.modelFits(model) {
			return Order{Key: catalog.AdapterKey{Model: model}}, true
		}
	}
	if len(m.models) > 0 {
		return Order{}, false
	}
	return Order{Key: catalog.AdapterKey{Model: m.limits.Models[0].Name}}, true
}

// modelFits reports whether the weights memory holds the named model together
// with the resident models. It returns false for a model that is not configured.
func (m *Machine) modelFits(name string) bool {
	freeMB, configured := m.limits.WeightsMB, false
	for _, model := range m.limits.Models {
		if model.Name == name {
			configured = true
		}
		if model.Name == name || slices.Contains(m.models, model.Name) {
			freeMB -= model.WeightsMB
		}
	}
	return configured && freeMB >= 0
}

// adapterOrder returns the next adapter order: the unload of a replaced version,
// the load of the first adapter that a queued request needs, or the unload that
// frees a slot for it. If no queued request needs a load, it returns a reload or
// the order for a preload.
func (m *Machine) adapterOrder(now time.Time) (Order, bool) {
	if o, ok := m.replaceOrder(now); ok {
		return o, true
	}
	if m.loadingAdapters() >= m.config.MaxLoadingAdapters {
		return Order{}, false
	}
	for _, q := range m.queue {
		key := q.request.Key
		if key.Adapter == "" || m.adapters[key] != nil || !slices.Contains(m.models, key.Model) {
			continue
		}
		if m.adapterFits(now) {
			return Order{Key: key, Version: m.announced[key]}, true
		}
		if victim, ok := m.victim(); ok {
			return Order{Unload: true, Key: victim}, true
		}
		return Order{}, false
	}
	if o, ok := m.reloadOrder(now); ok {
		return o, true
	}
	return m.preloadOrder(now)
}

// reloadOrder returns the load of an adapter whose former version was unloaded.
func (m *Machine) reloadOrder(now time.Time) (Order, bool) {
	for _, key := range sortedKeys(m.reloads) {
		until := m.reloads[key]
		if m.adapters[key] != nil || now.After(until) {
			delete(m.reloads, key)
			continue
		}
		if m.adapterFits(now) {
			return Order{Key: key, Version: m.announced[key]}, true
		}
	}
	return Order{}, false
}

// adapterFits reports whether an adapter slot is free and the weights memory
// holds one more adapter.
func (m *Machine) adapterFits(now time.Time) bool {
	if len(m.adapters)+m.reservedSlots(now) >= m.limits.AdapterSlots {
		return false
	}
	freeMB, adapterMB := m.limits.WeightsMB, 0.0
	for _, model := range m.limits.Models {
		if slices.Contains(m.models, model.Name) {
			freeMB -= model.WeightsMB
			adapterMB = max(adapterMB, model.AdapterMB)
		}
	}
	return freeMB >= adapterMB*float64(len(m.adapters)+1)
}

// replaceOrder returns the unload of an idle adapter with a newer announced
// version. Unloading before loading keeps the count of used adapter slots exact.
// An adapter used within ReloadWindow is scheduled for an immediate reload.
func (m *Machine) replaceOrder(now time.Time) (Order, bool) {
	for _, key := range sortedKeys(m.adapters) {
		a := m.adapters[key]
		if a.staleSince.IsZero() || a.loading || a.activeGrants > 0 {
			continue
		}
		if now.Sub(a.lastUsed) < m.config.ReloadWindow {
			m.reloads[key] = now.Add(m.config.ReloadWindow)
		}
		return Order{Unload: true, Key: key}, true
	}
	return Order{}, false
}

// victim returns the least recently used adapter that may be evicted.
func (m *Machine) victim() (catalog.AdapterKey, bool) {
	var oldest catalog.AdapterKey
	var lastUsed time.Time
	found := false
	for _, key := range sortedKeys(m.adapters) {
		a := m.adapters[key]
		if m.evictable(key, a) && (!found || a.lastUsed.Before(lastUsed)) {
			oldest, lastUsed, found = key, a.lastUsed, true
		}
	}
	return oldest, found
}
