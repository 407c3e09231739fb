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
		RepeatDelay: 200 * time.Millisecond, DemandHalfLife: time.Minute, Remembered: 4,
	}
}

func build(i int) Build {
	return Build{
		Adapter: ident.Adapter(fmt.Sprintf("a%d", i/2)),
		Version: ident.Version(fmt.Sprintf("v%d", i%2)),
	}
}

// delivery is an order on its way to the model engine or an answer on its way
// back.
type delivery struct {
	order  Order
	boot   int
	began  bool // The engine has carried it out; its answer is due.
	missed bool // The boot that it was sent to has ended.
	lost   bool // The agent has stopped waiting for its answer.
	ok     bool
	held   []Build
}

// world is a Machine before an engine that loses answers, fails loads, works
// late and restarts. It knows what the engine really holds.
type world struct {
	m       *Machine
	now     time.Time
	boot    int // Of the engine.
	held    map[Build]bool
	uses    map[Build][]Use // Runs that the engine has, by build.
	stale   []Use           // Runs that ended with a former boot.
	waiting map[Build]int
	pending []*delivery
	permits int
}

func newWorld() *world {
	w := &world{
		m: New(testConfig()), now: time.Unix(1000, 0), held: make(map[Build]bool),
		uses: make(map[Build][]Use), waiting: make(map[Build]int),
	}
	w.m.Booted(bootID(0))
	return w
}

func bootID(n int) ident.BootID {
	return ident.BootID(fmt.Sprintf("boot-%d", n))
}

func (w *world) wanted() []Build {
	var out []Build
	for i := range testBuilds {
		if w.waiting[build(i)] > 0 {
			out = append(out, build(i))
		}
	}
	return out
}

// pump takes the machine's orders, and checks each unload against what runs
// and waits.
func (w *world) pump() error {
	s := Situation{Wanted: w.wanted(), Permits: w.permits, MayOrder: true}
	for _, o := range w.m.Orders(w.now, s) {
		if o.Kind == KindLoad {
			w.permits--
		}
		if o.Kind == KindUnload && (len(w.uses[o.Build]) > 0 || w.waiting[o.Build] > 0) {
			return errors.Errorf("unload of %v ordered with %d running, %d waiting",
				o.Build, len(w.uses[o.Build]), w.waiting[o.Build])
		}
		w.pending = append(w.pending, &delivery{order: o, boot: w.boot})
	}
	for i := range testBuilds {
		if err := w.begin(build(i)); err != nil {
			return err
		}
	}
	return w.check()
}

// begin runs what waits for a build where the machine calls it resident.
func (w *world) begin(b Build) error {
	for w.waiting[b] > 0 {
		use, ok := w.m.Begin(w.now, b)
		if !ok {
			return nil
		}
		w.waiting[b]--
		switch {
		case w.held[b]:
			w.uses[b] = append(w.uses[b], use)
		case w.m.boot == bootID(w.boot):
			return errors.Errorf("%v run although the engine does not hold it", b)
		default:
			w.m.End(w.now, use) // The engine has restarted unseen and refuses the run.
		}
	}
	return nil
}

func (w *world) check() error {
	if len(w.held) > testSlots {
		return errors.Errorf("engine holds %d builds in %d slots", len(w.held), testSlots)
	}
	if taken := w.m.Taken(); taken > testSlots {
		return errors.Errorf("%d slots taken of %d", taken, testSlots)
	}
	return nil
}

// arrive lets the engine carry out a delivery. Orders for one build are
// carried out one after another.
func (w *world) arrive(d *delivery, fails bool) error {
	if d.began {
		return nil
	}
	for _, earlier := range w.pending {
		if earlier == d {
			break
		}
		if earlier.order.Build == d.order.Build && !earlier.began && earlier.boot == d.boot && earlier.order.Kind != KindList {
			return nil
		}
	}
	d.began = true
	if d.boot != w.boot {
		d.missed = true
		return nil
	}
	switch d.order.Kind {
	case KindList:
		d.ok = true
		for i := range testBuilds {
			if w.held[build(i)] {
				d.held = append(d.held, build(i))
			}
		}
	case KindLoad:
		d.ok = !fails
		if d.ok {
			w.held[d.order.Build] = true
		}
	case KindUnload:
		if len(w.uses[d.order.Build]) > 0 {
			return errors.Errorf("%v evicted in use", d.order.Build)
		}
		d.ok = w.held[d.order.Build]
		delete(w.held, d.order.Build)
	}
	return nil
}

// end tells the machine of a delivery's end; the engine may still carry a lost
// one out.
func (w *world) end(d *delivery, lose bool) {
	if d.lost || (!d.began && !lose) {
		return
	}
	d.lost = true
	if d.order.Kind == KindList {
		w.m.Listed(w.now, d.order.ID, d.held, d.ok && !lose)
		return
	}
	if d.order.Kind == KindLoad {
		w.permits++
	}
	outcome := OutcomeDone
	switch {
	case lose || d.missed:
		outcome = OutcomeUnknown
	case !d.ok:
		outcome = OutcomeFailed
	}
	w.m.Answered(w.now, d.order.ID, outcome)
}

func (w *world) forget() {
	kept := w.pending[:0]
	for _, d := range w.pending {
		if !d.lost || (!d.began && d.boot == w.boot) {
			kept = append(kept, d)
		}
	}
	w.pending = kept
}

func (w *world) restart() {
	w.boot++
	w.held = make(map[Build]bool)
	for i := range testBuilds {
		w.stale = append(w.stale, w.uses[build(i)]...)
	}
	w.uses = make(map[Build][]Use)
}

// settle ends all faults and checks that every waiting attempt then runs.
func (w *world) settle() error {
	for range 100 {
		w.m.Booted(bootID(w.boot))
		for _, d := range w.pending {
			if err := w.arrive(d, false); err != nil {
				return err
			}
			w.end(d, false)
		}
		w.forget()
		for i := range testBuilds {
			w.finish(build(i))
		}
		w.now = w.now.Add(time.Minute)
		if err := w.pump(); err != nil {
			return err
		}
	}
	if wanted := w.wanted(); len(wanted) > 0 {
		return errors.Errorf("still waiting for %v", wanted)
	}
	return nil
}

func (w *world) finish(b Build) {
	for _, use := range w.uses[b] {
		w.m.End(w.now, use)
	}
	delete(w.uses, b)
}

func TestSlotsUnderLostAnswersFailuresAndRestarts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		w.permits = 2
		pick := func() *delivery {
			if len(w.pending) == 0 {
				t.Skip("nothing in flight")
			}
			return rapid.SampledFrom(w.pending).Draw(t, "delivery")
		}
		anyBuild := func() Build { return build(rapid.IntRange(0, testBuilds-1).Draw(t, "build")) }
		try := func(err error) {
			if err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"wait": func(*rapid.T) {
				b := anyBuild()
				w.waiting[b]++
				w.m.Wait(w.now, b)
			},
			"leave": func(t *rapid.T) {
				b := anyBuild()
				if w.waiting[b] == 0 {
					t.Skip("nothing waits")
				}
				w.waiting[b]--
				w.m.Leave(b)
			},
			"finish": func(*rapid.T) { w.finish(anyBuild()) },
			"stale run ends": func(t *rapid.T) {
				if len(w.stale) == 0 {
					t.Skip("no stale run")
				}
				w.m.End(w.now, w.stale[0])
				w.stale = w.stale[1:]
			},
			"engine answers": func(*rapid.T) {
				d := pick()
				try(w.arrive(d, false))
				w.end(d, false)
			},
			"engine restarts and is seen": func(*rapid.T) {
				w.restart()
				w.m.Booted(bootID(w.boot))
			},
			"engine works": func(*rapid.T) { try(w.arrive(pick(), false)) },
			"engine fails": func(*rapid.T) { try(w.arrive(pick(), true)) },
			"answer comes": func(*rapid.T) { w.end(pick(), false) },
			"answer lost":  func(*rapid.T) { w.end(pick(), true) },
			"restart":      func(*rapid.T) { w.restart() },
			"boot seen":    func(*rapid.T) { w.m.Booted(bootID(w.boot)) },
			"time passes": func(t *rapid.T) {
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(*rapid.T) {
				w.forget()
				try(w.pump())
			},
		})
		try(w.settle())
	})
}

// An order that reaches the engine after a restart that was not seen yet takes
// effect after the engine has listed its builds.
func TestOrderInFlightAtBootKeepsItsSlot(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(testConfig())
	m.Booted(bootID(0))
	s := Situation{Permits: 2, MayOrder: true}
	list := m.Orders(now, s)[0]
	m.Listed(now, list.ID, nil, true)
	m.Wait(now, build(0))
	s.Wanted = []Build{build(0)}
	load := m.Orders(now, s)[0]
	m.Booted(bootID(1))
	list = m.Orders(now, s)[0]
	m.Listed(now, list.ID, nil, true)
	if state := m.State(build(0)); state != StateLoading || m.Taken() != 1 {
		t.Fatalf("state %d, %d slots taken", state, m.Taken())
	}
	m.Answered(now, load.ID, OutcomeDone)
	if state := m.State(build(0)); state != StateUnknown {
		t.Fatalf("state %d after the answer to an order of the former boot", state)
	}
}

func TestOrderThatNeverLeftIsGivenAgainAfterAPause(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New(testConfig())
	m.Booted(bootID(0))
	s := Situation{Permits: 2, MayOrder: true}
	m.Listed(now, m.Orders(now, s)[0].ID, nil, true)
	m.Wait(now, build(0))
	s.Wanted = []Build{build(0)}
	load := m.Orders(now, s)[0]
	m.Answered(now, load.ID, OutcomeNotSent)
	if orders := m.Orders(now, s); len(orders) != 0 || m.PermitsNeeded(now, s) != 0 {
		t.Fatalf("given again at once: %v", orders)
	}
	next := m.NextTime(now)
	if next != now.Add(testConfig().RepeatDelay) {
		t.Fatalf("next time %v", next)
	}
	if orders := m.Orders(next, s); len(orders) != 1 || orders[0].Kind != KindLoad {
		t.Errorf("after the pause: %v", orders)
	}
}
