package grants

import (
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

const (
	// maxPreloads bounds the preloads that wait at one engine.
	maxPreloads = 64
	// preloadTTL is how long a preload waits. By then requests for the adapter have caused its load, or the router
	// asks again.
	preloadTTL = 2 * time.Second
)

// preload is an adapter to be loaded ahead of its requests.
type preload struct {
	key    catalog.AdapterKey
	demand int // Expected requests per second.
	at     time.Time
}

// PreloadResult says what became of a preload.
type PreloadResult string

// Values of PreloadResult.
const (
	PreloadQueued   PreloadResult = "queued"
	PreloadHeld     PreloadResult = "held"     // The engine holds the adapter or loads it.
	PreloadRejected PreloadResult = "rejected" // Too many wait, or the engine takes no requests for the adapter.
)

// Preload requests the load of an adapter ahead of its requests. demand is the number of requests per second that are
// expected for it. The load is ordered once no queued request needs one and a slot is empty or holds an idle adapter
// of lower demand, and forgotten after preloadTTL.
func (m *Machine) Preload(key catalog.AdapterKey, demand int, now time.Time) PreloadResult {
	m.prunePreloads(now)
	switch {
	case m.adapters[key] != nil:
		return PreloadHeld
	case slices.ContainsFunc(m.preloads, func(p preload) bool { return p.key == key }):
		return PreloadQueued
	case len(m.preloads) >= maxPreloads || m.draining || key.Adapter == "":
		return PreloadRejected
	}
	m.preloads = append(m.preloads, preload{key, demand, now})
	return PreloadQueued
}

// prunePreloads forgets the preloads that have waited too long or whose adapters the engine holds.
func (m *Machine) prunePreloads(now time.Time) {
	m.preloads = slices.DeleteFunc(m.preloads, func(p preload) bool {
		return m.adapters[p.key] != nil || now.Sub(p.at) >= preloadTTL
	})
}

// preloadOrder returns the order for the first preload that can be carried out: its load, or the unload that frees a
// slot for it.
func (m *Machine) preloadOrder(now time.Time) (Order, bool) {
	m.prunePreloads(now)
	if len(m.preloads) == 0 || m.draining {
		return Order{}, false
	}
	fits := m.adapterFits(now)
	for _, p := range m.preloads {
		if !slices.Contains(m.models, p.key.Model) {
			continue
		}
		if fits {
			return Order{Key: p.key, Version: m.announced[p.key]}, true
		}
		if victim, ok := m.leastDemanded(p.demand, now); ok {
			return Order{Unload: true, Key: victim}, true
		}
	}
	return Order{}, false
}

// leastDemanded returns the idle adapter of the lowest demand, if that is below a number of requests per second; of
// equal ones the least recently used.
func (m *Machine) leastDemanded(below int, now time.Time) (catalog.AdapterKey, bool) {
	var least catalog.AdapterKey
	lowest, found := below, false
	for _, key := range sortedKeys(m.adapters) {
		a, demand := m.adapters[key], m.demands.rate(key, now)
		if !m.evictable(key, a) || a.unloading || demand >= below {
			continue
		}
		if !found || demand < lowest || demand == lowest && a.lastUsed.Before(m.adapters[least].lastUsed) {
			least, lowest, found = key, demand, true
		}
	}
	return least, found
}
