// Package replacement decides which adapters of lost and evacuated engines are loaded on other engines ahead of
// their requests. It has no I/O, and time is an argument.
//
// A Tracker records what the last snapshots said of such engines. Plan returns the loads to order now. Both use
// snapshots only, so that another router continues where the acting one stopped.
package replacement

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

const (
	// loadShare is the part of the loads that the weight store carries at full speed which preloads may use. The rest
	// is left for loads that requests wait for.
	loadShare = 0.5
	// minLostDemand is the demand, in requests per second, from which an adapter of a lost engine is replaced.
	minLostDemand = 1
	// lossRetention is how long after its loss an engine's adapters are replaced. Later, requests have loaded them.
	lossRetention = 10 * time.Second
	// maxLoadsPerPlan bounds the work of one plan.
	maxLoadsPerPlan = 32
	// maxRanked is the number of engines that are ranked for a load besides those that have the adapter cached: the
	// first ones by rendezvous hashing, which the ranking prefers for an adapter that no engine holds. Ranking 532 engines
	// took 0.7 ms a load.
	maxRanked = 8
)

// Observation is what a router knows of an engine.
type Observation struct {
	Address     string
	Incarnation int64 // 0 if unknown.
	Usable      bool  // A fresh snapshot says that the engine takes requests.
	Evacuated   bool  // Its failure domain is being evacuated.
	Adapters    []grants.AdapterState
}

// engine is the last usable state of an engine.
type engine struct {
	incarnation int64
	adapters    []grants.AdapterState
}

// loss is an engine that was lost or evacuated.
type loss struct {
	at        time.Time // When the engine was lost, or last seen as evacuated.
	evacuated bool
	demands   map[catalog.AdapterKey]int
	settled   map[catalog.AdapterKey]bool // Adapters that another engine has held since.
}

// Tracker records the adapters of lost and evacuated engines of one service.
type Tracker struct {
	trackLost bool
	engines   map[string]engine // By address.
	losses    map[lossKey]*loss
}

// lossKey identifies a lost incarnation of an engine.
type lossKey struct {
	address     string
	incarnation int64
}

// NewTracker returns a Tracker. It records evacuated engines, and lost ones if trackLost is set.
func NewTracker(trackLost bool) *Tracker {
	return &Tracker{trackLost: trackLost, engines: make(map[string]engine), losses: make(map[lossKey]*loss)}
}

// Observe records the state of all registered engines of the service.
func (t *Tracker) Observe(list []Observation, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, o := range list {
		present[o.Address] = true
		t.observe(o, now)
	}
	for address, e := range t.engines {
		if !present[address] {
			t.lose(address, e, now)
		}
	}
	for key, l := range t.losses {
		if now.Sub(l.at) >= lossRetention {
			delete(t.losses, key)
		}
	}
	if t.AnyMissing() {
		t.settle(list)
	}
}

// observe records the state of one engine.
func (t *Tracker) observe(o Observation, now time.Time) {
	known, ok := t.engines[o.Address]
	if o.Incarnation == 0 { // The scheduler has started and has no report of the engine yet.
		if !o.Evacuated {
			return
		}
		o.Incarnation = known.incarnation
	}
	if ok && known.incarnation != o.Incarnation {
		t.lose(o.Address, known, now)
		ok = false
	}
	key := lossKey{o.Address, o.Incarnation}
	switch {
	case o.Evacuated:
		l := t.losses[key]
		if l == nil || !l.evacuated {
			l = newLoss(known.adapters)
			l.evacuated = true
			t.losses[key] = l
		}
		l.at = now
		l.add(o.Adapters) // Requests may still load adapters there.
		delete(t.engines, o.Address)
	case o.Usable:
		delete(t.losses, key)
		t.engines[o.Address] = engine{o.Incarnation, o.Adapters}
	case ok:
		t.lose(o.Address, known, now)
	}
}

// lose records the loss of an engine.
func (t *Tracker) lose(address string, e engine, now time.Time) {
	delete(t.engines, address)
	if !t.trackLost {
		return
	}
	l := newLoss(e.adapters)
	l.at = now
	t.losses[lossKey{address, e.incarnation}] = l
}

func newLoss(adapters []grants.AdapterState) *loss {
	l := &loss{demands: make(map[catalog.AdapterKey]int, len(adapters)), settled: make(map[catalog.AdapterKey]bool)}
	l.add(adapters)
	return l
}

// add adds adapters. The demand at an evacuated engine falls while its adapters are still to be replaced, so that the
// highest one counts.
func (l *loss) add(adapters []grants.AdapterState) {
	for _, a := range adapters {
		key := catalog.AdapterKey{Model: a.Model, Adapter: a.Adapter}
		l.demands[key] = max(l.demands[key], a.Demand)
	}
}

// settle records which adapters other engines hold. They are not loaded again for the same losses if those engines
// evict them.
func (t *Tracker) settle(list []Observation) {
	adapters := 0
	for _, o := range list {
		adapters += len(o.Adapters)
	}
	held := make(map[catalog.AdapterKey]bool, adapters)
	for _, o := range list {
		if !o.Usable || o.Evacuated {
			continue
		}
		for _, a := range o.Adapters {
			held[catalog.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = true
		}
	}
	for _, l := range t.losses {
		for key := range l.demands {
			if held[key] {
				l.settled[key] = true
			}
		}
	}
}

// AnyMissing reports whether there are adapters that no other engine has held yet, in demand or not.
func (t *Tracker) AnyMissing() bool {
	for _, l := range t.losses {
		if len(l.settled) < len(l.demands) {
			return true
		}
	}
	return false
}

// Missing is an adapter that no engine in use has held since its engine was lost or evacuated.
type Missing struct {
	Key       catalog.AdapterKey
	Demand    int // Requests per second at all these engines.
	Evacuated bool
}

// Missing returns the adapters to be replaced, the most urgent first.
func (t *Tracker) Missing() []Missing {
	byKey := make(map[catalog.AdapterKey]Missing)
	for _, l := range t.losses {
		for key, demand := range l.demands {
			if l.settled[key] {
				continue
			}
			m := byKey[key]
			byKey[key] = Missing{Key: key, Demand: m.Demand + demand, Evacuated: m.Evacuated || l.evacuated}
		}
	}
	out := make([]Missing, 0, len(byKey))
	for _, m := range byKey {
		if m.Evacuated || m.Demand >= minLostDemand {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Missing) int {
		if a.Evacuated != b.Evacuated {
			if a.Evacuated {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(b.Demand, a.Demand), cmp.Compare(a.Key.Model, b.Key.Model), cmp.Compare(a.Key.Adapter, b.Key.Adapter))
	})
	return out
}

// Load is a load to order.
type Load struct {
	Engine catalog.EndpointID
	Key    catalog.AdapterKey
	Demand int
}

// Fleet is the state of the engines that may take loads: those that take requests, outside of evacuated domains.
type Fleet struct {
	Engines      []routing.Engine
	AdapterSlots int // Of each engine.
	// Pending are the loads that were ordered lately and that no snapshot shows yet.
	Pending []Load
	// Cached reports whether an adapter is cached on an engine's host.
	Cached func(catalog.EndpointID, catalog.AdapterKey) bool
}

// Plan returns the loads to order now for adapters that no engine holds, in the order of missing.
func Plan(c routing.Config, missing []Missing, f Fleet) []Load {
	budget := f.budget(c)
	ordered := make(map[catalog.EndpointID]int)
	pending := make(map[catalog.AdapterKey]bool, len(f.Pending))
	for _, l := range f.Pending {
		ordered[l.Engine]++
		pending[l.Key] = true
	}
	hashes := make([]uint64, len(f.Engines))
	for i, e := range f.Engines {
		hashes[i] = rendezvous.Hash(string(e.ID))
	}
	noRoom := make(map[string]int) // Highest demand, plus one, of an adapter without room, by model. A lower one has none either.
	var loads []Load
	for _, m := range missing {
		if len(loads) >= min(budget, maxLoadsPerPlan) {
			break
		}
		if pending[m.Key] || m.Demand < noRoom[m.Key.Model] {
			continue
		}
		candidates := f.candidates(m, ordered, hashes)
		ranked := routing.Rank(c, routing.Job{Key: m.Key, Seed: rendezvous.Hash(m.Key.Adapter), Routers: 1}, candidates)
		if len(ranked) == 0 {
			noRoom[m.Key.Model] = m.Demand + 1
			continue
		}
		target := ranked[0].ID
		ordered[target]++
		loads = append(loads, Load{Engine: target, Key: m.Key, Demand: m.Demand})
	}
	return loads
}

// budget returns the number of loads that may be ordered now.
func (f Fleet) budget(c routing.Config) int {
	loading := len(f.Pending)
	for _, e := range f.Engines {
		loading += e.Snapshot.LoadingAdapters
	}
	fullSpeed := max(float64(c.MinFullSpeedLoads), c.FullSpeedLoadsPerEngine*float64(len(f.Engines)))
	return int(loadShare*fullSpeed) - loading
}

// candidates returns the engines to rank for an adapter: those with room, given the loads that are ordered already, that
// have it cached or are among the first maxRanked. hashes are those of the engines' IDs.
func (f Fleet) candidates(m Missing, ordered map[catalog.EndpointID]int, hashes []uint64) []routing.Engine {
	type scored struct {
		index int
		score uint64
	}
	var out []routing.Engine
	first := make([]scored, 0, maxRanked+1) // Highest score first.
	hash := rendezvous.Hash(m.Key.Model + "/" + m.Key.Adapter)
	for i := range f.Engines {
		e := &f.Engines[i]
		if !slices.Contains(e.Snapshot.Models, m.Key.Model) || ordered[e.ID] >= f.room(&e.Snapshot, m.Demand) {
			continue
		}
		if f.Cached(e.ID, m.Key) {
			candidate := *e
			candidate.Cached = true
			out = append(out, candidate)
			continue
		}
		s := scored{i, rendezvous.Score(hash, hashes[i])}
		at, _ := slices.BinarySearchFunc(first, s, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
		if at < maxRanked {
			first = slices.Insert(first, at, s)[:min(len(first)+1, maxRanked)]
		}
	}
	for _, s := range first {
		out = append(out, f.Engines[s.index])
	}
	return out
}

// room returns how many adapters fit into slots that are empty or hold an idle adapter of lower demand.
func (f Fleet) room(s *grants.Snapshot, demand int) int {
	lower := 0
	for _, a := range s.Adapters {
		if a.Demand < demand {
			lower++
		}
	}
	return min(s.IdleAdapterSlots, max(f.AdapterSlots-len(s.Adapters), 0)+lower)
}
