package slots

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "1000", "rapid.steps": "100", "rapid.nofailfile": "true",
	} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

const (
	testSlots  = 3
	testBuilds = 6
)

func testConfig() Config {
	return Config{
		Slots: testSlots, MaxLoads: 2, FailureBackoff: time.Second, MaxBackoff: 30 * time.Second,
		RepeatDelay: 200 * time.Millisecond, DemandHalfLife: time.Minute, MaxAbsentEntries: 4,
	}
}

func build(i int) Build {
	return Build{
		Adapter: ident.Adapter(fmt.Sprintf("a%d", i/2)),
		Version: ident.Version(fmt.Sprintf("v%d", i%2)),
	}
}

// delivery is an order in transit to the engine, or its response in transit back.
type delivery struct {
	order      Order
	boot       int  // Boot of the engine to which the order was sent.
	carriedOut bool // The order has reached the engine, and its response is due.
	missedBoot bool // The boot to which the order was sent has ended.
	ended      bool // The machine has received the outcome.
	ok         bool
	resident   []Build // Result of a list order.
}

// simulation connects a Machine to a simulated engine that loses responses, fails loads,
// carries out orders late and restarts.
type simulation struct {
	m         *Machine
	now       time.Time
	boot      int            // Current boot of the engine.
	resident  map[Build]bool // Builds that the engine holds.
	runs      map[Build][]Run
	staleRuns []Run // Runs that ended with a former boot.
	waiting   map[Build]int
	inTransit []*delivery
	permits   int
}

func newSimulation() *simulation {
	s := &simulation{
		m: New(testConfig()), now: time.Unix(1000, 0), resident: make(map[Build]bool),
		runs: make(map[Build][]Run), waiting: make(map[Build]int),
	}
	s.m.SetBoot(bootID(0))
	return s
}

func bootID(n int) ident.BootID {
	return ident.BootID(fmt.Sprintf("boot-%d", n))
}

func (s *simulation) wanted() []Build {
	var out []Build
	for i := range testBuilds {
		if s.waiting[build(i)] > 0 {
			out = append(out, build(i))
		}
	}
	return out
}

// sendOrders sends the machine's orders and starts the attempts that can run. It returns
// an error if an unload is ordered for a build with running or waiting attempts.
func (s *simulation) sendOrders() error {
	input := OrderInput{WantedBuilds: s.wanted(), Permits: s.permits, OrdersAllowed: true}
	for _, o := range s.m.NextOrders(s.now, input) {
		if o.Kind == KindLoad {
			s.permits--
		}
		if o.Kind == KindUnload && (len(s.runs[o.Build]) > 0 || s.waiting[o.Build] > 0) {
			return errors.Errorf("unload of %v ordered with %d running, %d waiting",
				o.Build, len(s.runs[o.Build]), s.waiting[o.Build])
		}
		s.inTransit = append(s.inTransit, &delivery{order: o, boot: s.boot})
	}
	for i := range testBuilds {
		if err := s.startWaiting(build(i)); err != nil {
			return err
		}
	}
	return s.checkSlots()
}

// startWaiting starts the attempts that wait for a build if the machine reports it
// resident.
func (s *simulation) startWaiting(b Build) error {
	for s.waiting[b] > 0 {
		run, ok := s.m.StartRun(s.now, b)
		if !ok {
			return nil
		}
		s.waiting[b]--
		switch {
		case s.resident[b]:
			s.runs[b] = append(s.runs[b], run)
		case s.m.boot == bootID(s.boot):
			return errors.Errorf("StartRun(%v) returned true, but the engine does not hold the build", b)
		default:
			s.m.EndRun(s.now, run) // The restart is not reported to the machine yet, and the engine refuses the run.
		}
	}
	return nil
}

func (s *simulation) checkSlots() error {
	if len(s.resident) > testSlots {
		return errors.Errorf("engine holds %d builds, want at most %d", len(s.resident), testSlots)
	}
	if occupied := s.m.OccupiedSlots(); occupied > testSlots {
		return errors.Errorf("OccupiedSlots() = %d, want at most %d", occupied, testSlots)
	}
	return nil
}

// carryOut makes the engine carry out an order, unless an earlier order for the same
// build is still in transit. The engine carries out the orders for one build in sequence.
func (s *simulation) carryOut(d *delivery, fails bool) error {
	if d.carriedOut {
		return nil
	}
	for _, earlier := range s.inTransit {
		if earlier == d {
			break
		}
		if earlier.order.Build == d.order.Build && !earlier.carriedOut && earlier.boot == d.boot && earlier.order.Kind != KindList {
			return nil
		}
	}
	d.carriedOut = true
	if d.boot != s.boot {
		d.missedBoot = true
		return nil
	}
	switch d.order.Kind {
	case KindList:
		d.ok = true
		for i := range testBuilds {
			if s.resident[build(i)] {
				d.resident = append(d.resident, build(i))
			}
		}
	case KindLoad:
		d.ok = !fails
		if d.ok {
			s.resident[d.order.Build] = true
		}
	case KindUnload:
		if len(s.runs[d.order.Build]) > 0 {
			return errors.Errorf("engine received an unload of %v, which has running attempts", d.order.Build)
		}
		d.ok = s.resident[d.order.Build]
		delete(s.resident, d.order.Build)
	}
	return nil
}

// endOrder reports the outcome of an order to the machine. If lose is true, the
// response is lost, and the engine may still carry out the order.
func (s *simulation) endOrder(d *delivery, lose bool) {
	if d.ended || (!d.carriedOut && !lose) {
		return
	}
	d.ended = true
	if d.order.Kind == KindList {
		s.m.CompleteList(s.now, d.order.ID, d.resident, d.ok && !lose)
		return
	}
	if d.order.Kind == KindLoad {
		s.permits++
	}
	outcome := OutcomeDone
	switch {
	case lose || d.missedBoot:
		outcome = OutcomeUnknown
	case !d.ok:
		outcome = OutcomeFailed
	}
	s.m.CompleteOrder(s.now, d.order.ID, outcome)
}

func (s *simulation) dropEnded() {
	kept := s.inTransit[:0]
	for _, d := range s.inTransit {
		if !d.ended || (!d.carriedOut && d.boot == s.boot) {
			kept = append(kept, d)
		}
	}
	s.inTransit = kept
}

func (s *simulation) restartEngine() {
	s.boot++
	s.resident = make(map[Build]bool)
	for i := range testBuilds {
		s.staleRuns = append(s.staleRuns, s.runs[build(i)]...)
	}
	s.runs = make(map[Build][]Run)
}

// settleWithoutFaults runs the simulation without faults and returns an error if an
// attempt is still waiting at the end.
func (s *simulation) settleWithoutFaults() error {
	for range 100 {
		s.m.SetBoot(bootID(s.boot))
		for _, d := range s.inTransit {
			if err := s.carryOut(d, false); err != nil {
				return err
			}
			s.endOrder(d, false)
		}
		s.dropEnded()
		for i := range testBuilds {
			s.endRuns(build(i))
		}
		s.now = s.now.Add(time.Minute)
		if err := s.sendOrders(); err != nil {
			return err
		}
	}
	if wanted := s.wanted(); len(wanted) > 0 {
		return errors.Errorf("attempts still wait for %v after 100 rounds without faults", wanted)
	}
	return nil
}

func (s *simulation) endRuns(b Build) {
	for _, run := range s.runs[b] {
		s.m.EndRun(s.now, run)
	}
	delete(s.runs, b)
}

// Runs random operations with lost responses, failed loads, delayed orders and restarts.
// The machine must not exceed the slots or unload a build in use, and every waiting
// attempt must run after the faults end.
func TestInvariantsWithLostResponsesFailuresAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation()
		s.permits = 2
		pick := func() *delivery {
			if len(s.inTransit) == 0 {
				t.Skip("no order is in transit")
			}
			return rapid.SampledFrom(s.inTransit).Draw(t, "delivery")
		}
		anyBuild := func() Build { return build(rapid.IntRange(0, testBuilds-1).Draw(t, "build")) }
		failOn := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(*rapid.T) {
				b := anyBuild()
				s.waiting[b]++
				s.m.AddWaiting(s.now, b)
			},
			"leave": func(t *rapid.T) {
				b := anyBuild()
				if s.waiting[b] == 0 {
					t.Skip("no attempt waits")
				}
				s.waiting[b]--
				s.m.RemoveWaiting(b)
			},
			"finish": func(*rapid.T) { s.endRuns(anyBuild()) },
			"stale run ends": func(t *rapid.T) {
				if len(s.staleRuns) == 0 {
					t.Skip("no stale run")
				}
				s.m.EndRun(s.now, s.staleRuns[0])
				s.staleRuns = s.staleRuns[1:]
			},
			"engine answers": func(*rapid.T) {
				d := pick()
				failOn(s.carryOut(d, false))
				s.endOrder(d, false)
			},
			"engine restarts and is seen": func(*rapid.T) {
				s.restartEngine()
				s.m.SetBoot(bootID(s.boot))
			},
			"engine works": func(*rapid.T) { failOn(s.carryOut(pick(), false)) },
			"engine fails": func(*rapid.T) { failOn(s.carryOut(pick(), true)) },
			"answer comes": func(*rapid.T) { s.endOrder(pick(), false) },
			"answer lost":  func(*rapid.T) { s.endOrder(pick(), true) },
			"restart":      func(*rapid.T) { s.restartEngine() },
			"boot seen":    func(*rapid.T) { s.m.SetBoot(bootID(s.boot)) },
			"time passes": func(t *rapid.T) {
				s.now = s.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				s.dropEnded()
				failOn(s.sendOrders())
			},
		})
		failOn(s.settleWithoutFaults())
	})
}

// An order that was sent before a restart can reach the new boot and take effect after
// the engine has listed its builds. Its build therefore keeps its slot.
func TestOrderInFlightDuringRestartKeepsItsSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(testConfig())
	m.SetBoot(bootID(0))
	s := OrderInput{Permits: 2, OrdersAllowed: true}
	list := m.NextOrders(now, s)[0]
	m.CompleteList(now, list.ID, nil, true)
	m.AddWaiting(now, build(0))
	s.WantedBuilds = []Build{build(0)}
	load := m.NextOrders(now, s)[0]
	m.SetBoot(bootID(1))
	list = m.NextOrders(now, s)[0]
	m.CompleteList(now, list.ID, nil, true)
	if state := m.State(build(0)); state != StateLoading || m.OccupiedSlots() != 1 {
		t.Fatalf("after the restart: state %d with %d occupied slots, want StateLoading with 1", state, m.OccupiedSlots())
	}
	m.CompleteOrder(now, load.ID, OutcomeDone)
	if state := m.State(build(0)); state != StateUnknown {
		t.Fatalf("state %d after the response to an order to the former boot, want StateUnknown", state)
	}
}

// An order that could not be sent is repeated after RepeatDelay.
func TestUnsentOrderIsRepeatedAfterDelay(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(testConfig())
	m.SetBoot(bootID(0))
	s := OrderInput{Permits: 2, OrdersAllowed: true}
	m.CompleteList(now, m.NextOrders(now, s)[0].ID, nil, true)
	m.AddWaiting(now, build(0))
	s.WantedBuilds = []Build{build(0)}
	load := m.NextOrders(now, s)[0]
	m.CompleteOrder(now, load.ID, OutcomeNotSent)
	if orders := m.NextOrders(now, s); len(orders) != 0 || m.PermitsNeeded(now, s) != 0 {
		t.Fatalf("before RepeatDelay: orders %v, want no orders and no permits needed", orders)
	}
	next := m.NextWakeup(now)
	if next != now.Add(testConfig().RepeatDelay) {
		t.Fatalf("NextWakeup() = %v, want the end of RepeatDelay", next)
	}
	if orders := m.NextOrders(next, s); len(orders) != 1 || orders[0].Kind != KindLoad {
		t.Errorf("after RepeatDelay: orders %v, want one load", orders)
	}
}
