package slots

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Build names one version of an adapter, the unit that takes a slot.
type Build struct {
	Adapter ident.Adapter
	Version ident.Version
}

// State says what is known of a build on the engine.
type State int

// Values of State.
const (
	StateAbsent    State = iota // Not on the engine.
	StateLoading                // A load order is with the engine.
	StateResident               // On the engine and usable.
	StateUnloading              // An unload order is with the engine.
	StateUnknown                // An order ended without telling what became of the build.
)

// Kind says what an order asks of the engine.
type Kind int

// Values of Kind.
const (
	KindList   Kind = iota // List the builds that the engine holds.
	KindLoad               // Load a build; needs a load permit.
	KindUnload             // Drop a build.
)

// OrderID numbers the orders of one Machine, from 1.
type OrderID uint64

// Order is one order to the engine. Each order that the machine has given out
// is ended by exactly one call of Answered or Listed.
type Order struct {
	ID    OrderID
	Kind  Kind
	Build Build // Unset for KindList.
}

// Outcome says how an order ended.
type Outcome int

// Values of Outcome.
const (
	OutcomeDone    Outcome = iota // The engine carried the order out.
	OutcomeFailed                 // The engine answered that it did not.
	OutcomeUnknown                // No answer came.
	OutcomeNotSent                // The order never left.
)

// Use is the right to run one attempt on a resident build.
type Use struct {
	Build Build
	boot  ident.BootID
}

// Config configures New.
type Config struct {
	Slots          int           // Builds that the engine holds at once.
	MaxLoads       int           // Load orders that may be with the engine at once.
	FailureBackoff time.Duration // Pause after the first failed load of a build; doubles from failure to failure.
	MaxBackoff     time.Duration // Longest pause.
	RepeatDelay    time.Duration // Pause before an order without an answer is repeated.
	DemandHalfLife time.Duration // Time in which the weight of a past use halves.
	Remembered     int           // Absent builds whose demand and failures are kept.
	Evict          EvictionRule  // Chooses what to unload; ByValue where nil.
}

// entry is what is known of one build.
type entry struct {
	state    State
	running  int       // Attempts that run on it in the present boot.
	waiting  int       // Attempts that wait for it.
	order    OrderID   // In flight; zero where none is.
	before   State     // While an order is in flight: the state before it.
	last     Kind      // Of the last order, while unknown.
	answered bool      // While unknown: the engine answered, so that a list settles.
	changed  OrderID   // Number of the newest order when the state last changed.
	repeatAt time.Time // While unknown: when the order is repeated; zero while a list may settle it.

	demand     decaying
	lastUsed   time.Time
	failures   int
	retryAt    time.Time     // End of the backoff after failed loads.
	loadTime   time.Duration // Of the last load; zero where none was seen.
	loadBegan  time.Time
	superseded bool // A newer version of the adapter was asked for later.
}

func (e *entry) takesSlot() bool {
	return e.state != StateAbsent
}

func (e *entry) idle() bool {
	return e.running == 0 && e.waiting == 0
}

func (e *entry) repeatDue(now time.Time) bool {
	return e.state == StateUnknown && !e.repeatAt.IsZero() && !e.repeatAt.After(now)
}

// Machine decides for one engine. It is not safe for concurrent use.
type Machine struct {
	config    Config
	boot      ident.BootID
	listed    bool // Whether the engine has listed its builds in the present boot.
	listAgain bool // Whether a list is needed to settle something.
	listOrder OrderID
	listBoot  ident.BootID
	listRetry time.Time
	holdUntil time.Time // No load or unload before, since the last one never left.
	lastOrder OrderID
	entries   map[Build]*entry
	versions  map[ident.Adapter]ident.Version // Asked for last, of the kept entries.
	orders    map[OrderID]issued
}

type issued struct {
	order Order
	boot  ident.BootID
}

// New returns a Machine that knows nothing of the engine.
func New(config Config) *Machine {
	if config.Evict == nil {
		config.Evict = ByValue
	}
	return &Machine{
		config:   config,
		entries:  make(map[Build]*entry),
		versions: make(map[ident.Adapter]ident.Version),
		orders:   make(map[OrderID]issued),
	}
}

// Wait counts an attempt that waits for the build.
func (m *Machine) Wait(now time.Time, b Build) {
	e := m.entry(b)
	e.waiting++
	e.demand.add(now, m.config.DemandHalfLife, 1)
	m.supersede(b)
}

// Leave ends a Wait whose attempt will not run.
func (m *Machine) Leave(b Build) {
	m.entry(b).waiting--
	m.forget(b)
}

// Begin turns a Wait into a run. It returns false, and changes nothing, where
// the build is not resident.
func (m *Machine) Begin(now time.Time, b Build) (Use, bool) {
	e := m.entry(b)
	if e.state != StateResident {
		return Use{}, false
	}
	e.waiting--
	e.running++
	e.lastUsed = now
	return Use{Build: b, boot: m.boot}, true
}

// End ends a run. Runs of a former boot have ended with it.
func (m *Machine) End(now time.Time, u Use) {
	if u.boot != m.boot {
		return
	}
	e := m.entry(u.Build)
	e.running--
	e.lastUsed = now
	m.forget(u.Build)
}

// State returns what is known of the build.
func (m *Machine) State(b Build) State {
	e, ok := m.entries[b]
	if !ok {
		return StateAbsent
	}
	return e.state
}

// Running returns the attempts that run on the build.
func (m *Machine) Running(b Build) int {
	e, ok := m.entries[b]
	if !ok {
		return 0
	}
	return e.running
}

// Waiting returns the attempts that wait for the build.
func (m *Machine) Waiting(b Build) int {
	e, ok := m.entries[b]
	if !ok {
		return 0
	}
	return e.waiting
}

// Backoff returns how long no load of the build will be tried; zero where one
// may be tried now.
func (m *Machine) Backoff(now time.Time, b Build) time.Duration {
	e, ok := m.entries[b]
	if !ok || e.state != StateAbsent {
		return 0
	}
	return max(e.retryAt.Sub(now), 0)
}

// Taken returns the slots that are not free.
func (m *Machine) Taken() int {
	taken := 0
	for _, e := range m.entries {
		if e.takesSlot() {
			taken++
		}
	}
	return taken
}

// Room returns the slots that are free or can be freed.
func (m *Machine) Room() int {
	return m.config.Slots - m.Taken() + m.evictable()
}

// Known reports whether the engine has listed its builds in the present boot.
func (m *Machine) Known() bool {
	return m.listed
}

// Booted tells that the engine runs under the given boot id. It reports
// whether that is news. Builds with an order in flight stay unknown, since the
// order may reach the new boot.
func (m *Machine) Booted(boot ident.BootID) bool {
	if boot == m.boot {
		return false
	}
	m.boot = boot
	m.listed = false
	m.listRetry = time.Time{}
	for b, e := range m.entries {
		e.running = 0
		if e.order == 0 {
			e.state = StateAbsent
		}
		m.forget(b)
	}
	return true
}

func (m *Machine) entry(b Build) *entry {
	e, ok := m.entries[b]
	if !ok {
		e = &entry{}
		m.entries[b] = e
	}
	return e
}

// supersede marks other versions of the adapter as replaced by b.
func (m *Machine) supersede(b Build) {
	if m.versions[b.Adapter] == b.Version {
		return
	}
	m.versions[b.Adapter] = b.Version
	for other, e := range m.entries {
		if other.Adapter == b.Adapter {
			e.superseded = other != b
		}
	}
}

// forget drops an entry that nothing depends on, once more absent builds than
// configured are remembered.
func (m *Machine) forget(b Build) {
	e, ok := m.entries[b]
	if !ok || !e.forgettable() || len(m.entries) <= m.config.Slots+m.config.Remembered {
		return
	}
	least := b
	for other, o := range m.entries {
		if o.forgettable() && m.olderThan(other, least) {
			least = other
		}
	}
	delete(m.entries, least)
	if m.versions[least.Adapter] == least.Version {
		delete(m.versions, least.Adapter)
	}
}

func (m *Machine) olderThan(a, b Build) bool {
	ta, tb := m.entries[a].lastUsed, m.entries[b].lastUsed
	if !ta.Equal(tb) {
		return ta.Before(tb)
	}
	return before(a, b)
}

func (e *entry) forgettable() bool {
	return e.state == StateAbsent && e.idle()
}
