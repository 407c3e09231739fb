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

// State is the state of a build on the engine, as the machine has recorded it.
type State int

// Values of State.
const (
	StateAbsent    State = iota // Not on the engine.
	StateLoading                // A load order is in flight.
	StateResident               // On the engine and usable.
	StateUnloading              // An unload order is in flight.
	StateUnknown                // An order ended and its effect on the build is not known.
)

// Kind is the kind of an order.
type Kind int

// Values of Kind.
const (
	KindList   Kind = iota // List the builds that the engine holds.
	KindLoad               // Load a build; needs a load permit.
	KindUnload             // Unload a build.
)

// OrderID is the sequence number of an order of one Machine, starting at 1.
type OrderID uint64

// Order is an order to the engine. The caller must complete each order that NextOrders
// returned with exactly one call of CompleteOrder or CompleteList.
type Order struct {
	ID    OrderID
	Kind  Kind
	Build Build // Unset for KindList.
}

// Outcome is the result of an order.
type Outcome int

// Values of Outcome.
const (
	OutcomeDone    Outcome = iota // The engine carried the order out.
	OutcomeFailed                 // The engine responded that it did not carry out the order.
	OutcomeUnknown                // No response arrived.
	OutcomeNotSent                // The order was not sent.
)

// Run is a run of one attempt on a resident build. EndRun ends it.
type Run struct {
	Build Build
	boot  ident.BootID
}

// Config configures a Machine.
type Config struct {
	Slots            int           // Builds that the engine holds concurrently.
	MaxLoads         int           // Maximum number of load orders in flight.
	FailureBackoff   time.Duration // Backoff after the first failed load of a build; doubles with each failure.
	MaxBackoff       time.Duration // Maximum backoff.
	RepeatDelay      time.Duration // Delay before an order without a response is repeated.
	DemandHalfLife   time.Duration // Half-life of past requests in a build's demand.
	MaxAbsentEntries int           // Maximum number of absent builds whose demand and failures are kept.
	Evict            EvictionRule  // Selects the build to unload; nil selects ByValue.
}

// entry is the state of one build.
type entry struct {
	state          State
	running        int       // Attempts that run on the build in the current boot.
	waiting        int       // Attempts that wait for the build.
	orderID        OrderID   // Order in flight; 0 if there is none.
	stateBefore    State     // State before the order in flight.
	lastKind       Kind      // In StateUnknown: kind of the last order.
	hasResponse    bool      // In StateUnknown: the engine responded to the last order, so a list resolves the state.
	changedAtOrder OrderID   // Id of the newest order at the last change of the state.
	repeatAt       time.Time // In StateUnknown: when the order is repeated; zero while a list may resolve the state.

	demand     decayingCount
	lastUsed   time.Time
	failures   int
	retryAt    time.Time     // End of the backoff after failed loads.
	loadTime   time.Duration // Duration of the last load; 0 if none was measured.
	orderedAt  time.Time     // When the last load or unload order was issued.
	superseded bool          // Another version of the adapter was requested later.
}

func (e *entry) occupiesSlot() bool {
	return e.state != StateAbsent
}

func (e *entry) idle() bool {
	return e.running == 0 && e.waiting == 0
}

func (e *entry) repeatDue(now time.Time) bool {
	return e.state == StateUnknown && !e.repeatAt.IsZero() && !e.repeatAt.After(now)
}

// Machine manages the builds of one engine. It is not safe for concurrent use.
type Machine struct {
	config         Config
	boot           ident.BootID
	listed         bool         // Whether the engine has listed its builds in the current boot.
	needsNewList   bool         // Whether a list is needed to resolve a build's state.
	listOrder      OrderID      // List order in flight; 0 if there is none.
	listBoot       ident.BootID // Boot to which the list order was sent.
	listRetryAt    time.Time
	noOrdersBefore time.Time // End of the delay after an order could not be sent.
	lastOrder      OrderID
	entries        map[Build]*entry
	versions       map[ident.Adapter]ident.Version // Version requested last, for adapters with an entry.
	orders         map[OrderID]issuedOrder         // Orders in flight.
}

// issuedOrder is an order in flight and the boot to which it was sent.
type issuedOrder struct {
	order Order
	boot  ident.BootID
}

// New returns a Machine for an engine that has not listed its builds.
func New(config Config) *Machine {
	if config.Evict == nil {
		config.Evict = ByValue
	}
	return &Machine{
		config:   config,
		entries:  make(map[Build]*entry),
		versions: make(map[ident.Adapter]ident.Version),
		orders:   make(map[OrderID]issuedOrder),
	}
}

// AddWaiting adds an attempt that waits for the build.
func (m *Machine) AddWaiting(now time.Time, b Build) {
	e := m.entry(b)
	e.waiting++
	e.demand.add(now, m.config.DemandHalfLife, 1)
	m.markSuperseded(b)
}

// RemoveWaiting removes a waiting attempt that will not run.
func (m *Machine) RemoveWaiting(b Build) {
	m.entry(b).waiting--
	m.trim(b)
}

// StartRun starts a run for a waiting attempt. If the build is not resident, it changes
// nothing and returns false.
func (m *Machine) StartRun(now time.Time, b Build) (Run, bool) {
	e := m.entry(b)
	if e.state != StateResident {
		return Run{}, false
	}
	e.waiting--
	e.running++
	e.lastUsed = now
	return Run{Build: b, boot: m.boot}, true
}

// EndRun ends a run. It ignores runs of a former boot, which ended with that boot.
func (m *Machine) EndRun(now time.Time, run Run) {
	if run.boot != m.boot {
		return
	}
	e := m.entry(run.Build)
	e.running--
	e.lastUsed = now
	m.trim(run.Build)
}

// State returns the state of the build.
func (m *Machine) State(b Build) State {
	e, ok := m.entries[b]
	if !ok {
		return StateAbsent
	}
	return e.state
}

// Running returns the number of attempts that run on the build.
func (m *Machine) Running(b Build) int {
	e, ok := m.entries[b]
	if !ok {
		return 0
	}
	return e.running
}

// Waiting returns the number of attempts that wait for the build.
func (m *Machine) Waiting(b Build) int {
	e, ok := m.entries[b]
	if !ok {
		return 0
	}
	return e.waiting
}

// Backoff returns the remaining time in which the build is not loaded after a failed
// load, or 0 if it may be loaded now.
func (m *Machine) Backoff(now time.Time, b Build) time.Duration {
	e, ok := m.entries[b]
	if !ok || e.state != StateAbsent {
		return 0
	}
	return max(e.retryAt.Sub(now), 0)
}

// OccupiedSlots returns the number of occupied slots.
func (m *Machine) OccupiedSlots() int {
	n := 0
	for _, e := range m.entries {
		if e.occupiesSlot() {
			n++
		}
	}
	return n
}

// AvailableSlots returns the number of slots that are free or hold an evictable build.
func (m *Machine) AvailableSlots() int {
	return m.config.Slots - m.OccupiedSlots() + m.evictable()
}

// Listed reports whether the engine has listed its builds in the current boot.
func (m *Machine) Listed() bool {
	return m.listed
}

// SetBoot sets the engine's boot id and reports whether it changed. After a change,
// builds with an order in flight keep their state and slot, because the order may
// reach the new boot. All other builds become absent.
func (m *Machine) SetBoot(boot ident.BootID) bool {
	if boot == m.boot {
		return false
	}
	m.boot = boot
	m.listed = false
	m.listRetryAt = time.Time{}
	for b, e := range m.entries {
		e.running = 0
		if e.orderID == 0 {
			e.state = StateAbsent
		}
		m.trim(b)
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

// markSuperseded marks all other versions of b's adapter as superseded.
func (m *Machine) markSuperseded(b Build) {
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

// trim removes the least recently used removable entry if b's entry is removable and
// there are more than Slots+MaxAbsentEntries entries.
func (m *Machine) trim(b Build) {
	e, ok := m.entries[b]
	if !ok || !e.removable() || len(m.entries) <= m.config.Slots+m.config.MaxAbsentEntries {
		return
	}
	oldest := b
	for other, otherEntry := range m.entries {
		if otherEntry.removable() && m.lessRecentlyUsed(other, oldest) {
			oldest = other
		}
	}
	delete(m.entries, oldest)
	if m.versions[oldest.Adapter] == oldest.Version {
		delete(m.versions, oldest.Adapter)
	}
}

func (m *Machine) lessRecentlyUsed(a, b Build) bool {
	usedA, usedB := m.entries[a].lastUsed, m.entries[b].lastUsed
	if !usedA.Equal(usedB) {
		return usedA.Before(usedB)
	}
	return buildLess(a, b)
}

func (e *entry) removable() bool {
	return e.state == StateAbsent && e.idle()
}
