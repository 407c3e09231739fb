package turns

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
)

const (
	// memoryShare is the part of the engine's memory that granted turns may
	// fill; the rest is for prompts that are kept.
	memoryShare = 0.85
	// keptShare is the part of the engine's memory that kept prompts are
	// assumed to fill.
	keptShare = 0.6
	// smoothing weighs a new measurement in a moving average.
	smoothing = 0.1
	// firstHold is the assumed time of a run before one was measured.
	firstHold = time.Second
)

// adapter is one that is resident, or was ordered.
type adapter struct {
	version int64
	users   int // Granted turns.
	used    time.Time
	loading bool      // Ordered and not resident yet.
	leaving bool      // Its unloading was ordered; the outcome is not known yet.
	stale   time.Time // Since when a newer version is announced; zero if none.
}

type waiting struct {
	turn  Turn
	asked time.Time
	cold  bool
	wait  time.Duration
	ms    float64 // Of reading, at usual speed.
}

type granted struct {
	turn  Turn
	since time.Time
	read  reading
	made  progress
}

// Machine holds the state of one engine. It is not safe for concurrent use.
type Machine struct {
	config  Config
	limits  Limits
	wanted  map[catalog.AdapterKey]int64
	alive   bool
	born    int64
	seq     int64
	busy    bool
	models  []string
	held    map[catalog.AdapterKey]*adapter
	recent  []catalog.AdapterKey             // Unloaded last at the end.
	refill  map[catalog.AdapterKey]time.Time // To be loaded again, until when.
	queue   []*waiting
	running map[TurnID]*granted
	tokens  int // Of granted turns.
	prompts *prompts
	reads   reads
	pace    pace

	hold        time.Duration // Moving average of the time of a run.
	outstanding *Order
	doubtful    *Order // Last order had no answer: it is given again first.
	pause       time.Time
	modelAt     time.Time
	resync      bool // A report is needed before the next order.
	decisions   []Decision
}

// New returns a Machine for an engine that has not reported yet.
func New(config Config) *Machine {
	return &Machine{
		config: config, wanted: make(map[catalog.AdapterKey]int64), held: make(map[catalog.AdapterKey]*adapter),
		refill:  make(map[catalog.AdapterKey]time.Time),
		running: make(map[TurnID]*granted), prompts: newPrompts(0), hold: firstHold, resync: true,
		reads: newReads(config.PrefillPerMS),
	}
}

// SetLimits takes the description of the engine.
func (m *Machine) SetLimits(l Limits) {
	m.limits = l
	m.prompts.capacity = int(keptShare * float64(l.KVTokens))
}

// Announce takes a version of an adapter that is to be used from now on.
func (m *Machine) Announce(key catalog.AdapterKey, version int64, now time.Time) {
	if version <= m.wanted[key] {
		return
	}
	m.wanted[key] = version
	if a := m.held[key]; a != nil && a.version < version && a.stale.IsZero() {
		a.stale = now
	}
	m.settle(now)
}

// Ask takes a turn. Its decision is among the next Decisions, at once or later.
func (m *Machine) Ask(t Turn, now time.Time) {
	t.Priority = min(max(t.Priority, 0), Ranks-1)
	ms := float64(m.prompts.unknown(t.Key, t.Parts, t.Prompt)) / m.config.PrefillPerMS
	expected, refusal := m.expect(t, ms, now)
	if refusal != RefusalNone {
		m.decisions = append(m.decisions, Decision{ID: t.ID, Refusal: refusal, Expected: expected})
		return
	}
	m.queue = append(m.queue, &waiting{turn: t, asked: now, wait: expected, ms: ms})
	m.settle(now)
}

// Release gives a turn back, granted or not.
func (m *Machine) Release(id TurnID, now time.Time) {
	m.queue = slices.DeleteFunc(m.queue, func(w *waiting) bool { return w.turn.ID == id })
	g := m.running[id]
	if g == nil {
		m.settle(now)
		return
	}
	delete(m.running, id)
	m.reads.end(&g.read, now)
	m.tokens -= g.turn.Prompt + g.turn.Output
	m.hold += time.Duration(smoothing * float64(now.Sub(g.since)-m.hold))
	if a := m.held[g.turn.Key]; a != nil {
		a.users--
		a.used = now
	}
	m.settle(now)
}

// Lost tells that the engine does not answer. Waiting turns are refused.
func (m *Machine) Lost(now time.Time) {
	m.alive = false
	m.resync = true
	for _, w := range m.queue {
		m.decisions = append(m.decisions, Decision{ID: w.turn.ID, Refusal: RefusalLost, Waited: now.Sub(w.asked)})
	}
	m.queue = nil
}

// Observe takes a report that was asked for when no order was outstanding.
func (m *Machine) Observe(r Report, now time.Time) {
	if r.Born != m.born || r.Sequence < m.seq {
		m.reborn(r)
	}
	m.alive, m.resync = true, false
	if m.doubtful != nil && r.Sequence > m.doubtful.Sequence {
		m.doubtful = nil
	}
	m.seq, m.busy, m.models = r.Sequence, r.Busy, r.Models
	m.adopt(r, now)
	m.progress(r.Runs, now)
	m.settle(now)
}

// sortedKeys returns a map's adapters in order, so that what is decided for one
// after the other does not depend on chance.
func sortedKeys[V any](of map[catalog.AdapterKey]V) []catalog.AdapterKey {
	return slices.SortedFunc(maps.Keys(of), func(a, b catalog.AdapterKey) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// progress notes how many events the turns have made.
func (m *Machine) progress(runs []Run, now time.Time) {
	m.reads.drain(now)
	made := make(map[string]int, len(runs))
	for _, r := range runs {
		made[r.Request] = r.Events
	}
	for _, id := range slices.Sorted(maps.Keys(m.running)) {
		g := m.running[id]
		events, begun := made[g.turn.Request]
		if !begun {
			continue
		}
		m.reads.begun(&g.read, now)
		m.pace.observe(&g.made, events, g.turn.GapAim, now)
	}
}

// Reading reports whether the engine has prompts to read or turns wait.
func (m *Machine) Reading() bool { return len(m.reads.pending) > 0 || len(m.queue) > 0 }

// reborn forgets what belonged to the former incarnation. Turns that it ran are
// given back by those who hold them.
func (m *Machine) reborn(r Report) {
	m.born = r.Born
	m.held = make(map[catalog.AdapterKey]*adapter)
	m.recent = nil
	m.doubtful = nil
	m.modelAt = time.Time{}
	m.prompts.clear()
	m.reads.clear()
	m.pace = pace{}
	for _, g := range m.running {
		m.tokens -= g.turn.Prompt + g.turn.Output
	}
	m.running = make(map[TurnID]*granted)
}

// adopt makes held what the report lists.
func (m *Machine) adopt(r Report, now time.Time) {
	listed := make(map[catalog.AdapterKey]bool, len(r.Resident)+len(r.Coming))
	for _, b := range r.Resident {
		listed[b.Key] = true
		a := m.holding(b.Key, now)
		a.loading = false
		a.leaving = m.doubtful != nil && m.doubtful.Unload && m.doubtful.Key == b.Key
		a.version = b.Version
	}
	for _, b := range r.Coming {
		if listed[b.Key] {
			continue // A replacement: the former version is there until then.
		}
		listed[b.Key] = true
		a := m.holding(b.Key, now)
		a.loading = true
		a.version = b.Version
	}
	for _, key := range sortedKeys(m.held) {
		a := m.held[key]
		if !listed[key] {
			m.drop(key)
			continue
		}
		if want := m.wanted[key]; a.version < want && a.stale.IsZero() {
			a.stale = now
		} else if a.version >= want {
			a.stale = time.Time{}
		}
	}
}

func (m *Machine) holding(key catalog.AdapterKey, now time.Time) *adapter {
	a := m.held[key]
	if a == nil {
		a = &adapter{used: now}
		m.held[key] = a
		m.recent = slices.DeleteFunc(m.recent, func(k catalog.AdapterKey) bool { return k == key })
	}
	return a
}

func (m *Machine) drop(key catalog.AdapterKey) {
	delete(m.held, key)
	m.recent = append(m.recent, key)
	if len(m.recent) > m.config.Remembered {
		m.recent = m.recent[1:]
	}
}

// Decisions returns what was decided since the last call.
func (m *Machine) Decisions() []Decision {
	out := m.decisions
	m.decisions = nil
	return out
}

// settle grants what can be granted, in the queue's order.
func (m *Machine) settle(now time.Time) {
	if !m.alive {
		return
	}
	m.reads.drain(now)
	m.sortQueue(now)
	rest := m.queue[:0]
	ahead := 0.0
	for _, w := range m.queue {
		switch {
		case m.canRun(w, now):
			m.grant(w, now)
		case m.hopeless(w, ahead, now):
			d := Decision{ID: w.turn.ID, Refusal: RefusalLate, Expected: m.hold, Cold: w.cold, Waited: now.Sub(w.asked)}
			m.decisions = append(m.decisions, d)
		default:
			w.cold = w.cold || !m.usable(w.turn.Key, now)
			rest = append(rest, w)
			ahead += w.ms
		}
	}
	m.queue = rest
}

// hopeless reports whether a turn that waits behind so many milliseconds of
// reading will begin later than its patience.
func (m *Machine) hopeless(w *waiting, ahead float64, now time.Time) bool {
	if w.turn.Patience <= 0 {
		return false
	}
	return now.Sub(w.asked)+millis.Duration(m.reads.backlogMS()+ahead*m.reads.slowness) > w.turn.Patience
}

// sortQueue puts more urgent turns first; among equals, those that can still be
// on time, then those that came first.
func (m *Machine) sortQueue(now time.Time) {
	slices.SortStableFunc(m.queue, func(a, b *waiting) int {
		if c := cmp.Compare(a.turn.Priority, b.turn.Priority); c != 0 {
			return c
		}
		if late := a.late(now, m.reads.slowness); late != b.late(now, m.reads.slowness) {
			if late {
				return 1
			}
			return -1
		}
		return a.asked.Compare(b.asked)
	})
}

// late reports whether a turn that were granted now would miss its aim.
func (w *waiting) late(now time.Time, slowness float64) bool {
	return w.turn.Aim > 0 && now.Sub(w.asked)+millis.Duration(w.ms*slowness) > w.turn.Aim
}

func (m *Machine) canRun(w *waiting, now time.Time) bool {
	t := w.turn
	if !m.usable(t.Key, now) || m.limits.Slots == 0 {
		return false
	}
	if len(m.running) == 0 {
		return true
	}
	if millis.Duration(w.ms) > m.config.Short && millis.Duration(m.reads.backlogMS()) > m.config.ReadAhead {
		return false
	}
	room := int(memoryShare * float64(m.limits.KVTokens))
	return len(m.running) < m.limits.Slots && m.tokens+t.Prompt+t.Output <= room
}

// usable reports whether turns may run for an adapter now.
func (m *Machine) usable(key catalog.AdapterKey, now time.Time) bool {
	if !slices.Contains(m.models, key.Model) {
		return false
	}
	if key.Adapter == "" {
		return true
	}
	a := m.held[key]
	if a == nil || a.loading || a.leaving {
		return false
	}
	return a.stale.IsZero() || now.Sub(a.stale) < m.config.ReplaceAfter && a.users > 0
}

func (m *Machine) grant(w *waiting, now time.Time) {
	t := w.turn
	g := &granted{turn: t, since: now}
	m.running[t.ID] = g
	m.tokens += t.Prompt + t.Output
	m.reads.add(&g.read, m.prompts.read(t.Key, t.Parts, t.Prompt), now)
	d := Decision{ID: t.ID, Granted: true, Expected: w.wait, Cold: w.cold, Waited: now.Sub(w.asked)}
	if a := m.held[t.Key]; a != nil {
		a.users++
		a.used = now
		d.Version = a.version
	}
	m.decisions = append(m.decisions, d)
}

// expect returns when a turn with so many milliseconds of reading would begin to
// be read, or why it never would.
func (m *Machine) expect(t Turn, ms float64, now time.Time) (time.Duration, Refusal) {
	switch {
	case !m.alive:
		return 0, RefusalLost
	case !slices.Contains(m.models, t.Key.Model) && len(m.models) > 0 && !m.modelFits(t.Key.Model):
		return 0, RefusalModel
	}
	m.reads.drain(now)
	wait := m.waitOf(t.Priority)
	if a := m.held[t.Key]; a != nil && !a.stale.IsZero() && a.users > 0 && !m.usable(t.Key, now) {
		return m.hold, RefusalReplace
	}
	if !m.usable(t.Key, now) {
		wait = max(wait, m.loadTime(t)+m.placeWait(t.Key))
	}
	if t.Patience > 0 && wait > m.longestWait(t, ms) {
		return wait, RefusalLate
	}
	return wait, RefusalNone
}

// longestWait returns how long a new turn may be expected to wait: so that its
// first event is on time, but always as long as a load and a prompt take, since
// a large prompt is late by itself.
func (m *Machine) longestWait(t Turn, ms float64) time.Duration {
	onTime := time.Duration(m.config.Lateness*float64(t.Aim)) - millis.Duration(ms*m.reads.slowness)
	return min(t.Patience, max(onTime, m.config.LeastWait))
}

// waitOf returns how long a new turn of a priority waits for the prompts that are
// read before its own.
func (m *Machine) waitOf(priority int) time.Duration {
	ms := 0.0
	for _, w := range m.queue {
		if w.turn.Priority <= priority {
			ms += w.ms
		}
	}
	return millis.Duration(m.reads.backlogMS() + ms*m.reads.slowness)
}

func (m *Machine) loadTime(t Turn) time.Duration {
	if a := m.held[t.Key]; a != nil && a.loading || !slices.Contains(m.recent, t.Key) {
		return max(m.config.ColdLoad, t.Load)
	}
	return m.config.WarmLoad
}

// placeWait returns the expected wait for a place: none where one is idle, else
// the time in which runs give back as many places as are waited for.
func (m *Machine) placeWait(key catalog.AdapterKey) time.Duration {
	if key.Adapter == "" || m.held[key] != nil {
		return 0
	}
	ahead := m.awaited()
	idle := m.idlePlaces()
	if ahead < idle {
		return 0
	}
	places := max(m.limits.AdapterSlots, 1)
	return time.Duration(float64(m.hold) * float64(ahead-idle+1) / float64(places) * 2)
}

// awaited counts the adapters that waiting turns need and nobody ordered yet.
func (m *Machine) awaited() int {
	var keys []catalog.AdapterKey
	for _, w := range m.queue {
		if m.held[w.turn.Key] == nil && !slices.Contains(keys, w.turn.Key) {
			keys = append(keys, w.turn.Key)
		}
	}
	return len(keys)
}

// idlePlaces counts the places that are empty or hold an adapter without users.
func (m *Machine) idlePlaces() int {
	idle := m.limits.AdapterSlots - len(m.held)
	for key, a := range m.held {
		if m.evictable(key, a) {
			idle++
		}
	}
	return idle
}

func (m *Machine) evictable(key catalog.AdapterKey, a *adapter) bool {
	return a.users == 0 && !a.loading && !m.waitedFor(key)
}

func (m *Machine) waitedFor(key catalog.AdapterKey) bool {
	return slices.ContainsFunc(m.queue, func(w *waiting) bool { return w.turn.Key == key })
}

// Snapshot returns what routers need to know.
func (m *Machine) Snapshot(now time.Time) Snapshot {
	m.reads.drain(now)
	s := Snapshot{
		Alive: m.alive, Born: m.born, Models: slices.Clone(m.models),
		Idle: max(0, m.idlePlaces()-m.awaited()), Slowness: m.reads.slowness, Slow: m.pace.late(now),
		PlaceMS: millis.Of(m.placeWait(catalog.AdapterKey{Adapter: "\x00"})), Coming: m.coming(),
	}
	for rank := range s.WaitMS {
		s.WaitMS[rank] = int(m.waitOf(rank).Milliseconds())
	}
	for key, a := range m.held {
		usable := a.loading || m.usable(key, now) || !a.stale.IsZero() && a.users == 0
		s.Adapters = append(s.Adapters, AdapterState{Model: key.Model, Adapter: key.Adapter, Usable: usable})
	}
	return s
}

// Alive reports whether the engine answers.
func (m *Machine) Alive() bool { return m.alive }

// Born returns the engine's incarnation; 0 before its first report.
func (m *Machine) Born() int64 { return m.born }
