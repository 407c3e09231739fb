package turns

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func adapterKey(n int) catalog.AdapterKey {
	return catalog.AdapterKey{Model: "base", Adapter: fmt.Sprintf("a%d", n)}
}

func testLimits(places int) Limits {
	return Limits{
		Slots: 8, KVTokens: 100_000, AdapterSlots: places, WeightsMB: 1000,
		Models: []catalog.Model{{Name: "base", WeightsMB: 900, AdapterMB: 1}},
	}
}

func emptyReport() Report { return Report{Born: 7, Models: []string{"base"}} }

func newTestMachine(places int) *Machine {
	m := New(DefaultConfig())
	m.SetLimits(testLimits(places))
	m.Observe(emptyReport(), at(0))
	return m
}

// engineModel is an engine that carries out orders as the protocol says.
type engineModel struct {
	t        *rapid.T
	places   int
	seq      int64
	resident map[catalog.AdapterKey]int64
	coming   map[catalog.AdapterKey]int64
	late     []Order // Accepted by nobody yet.
}

func (e *engineModel) carryOut(o Order, inUse func(catalog.AdapterKey) bool) Outcome {
	if o.Sequence != e.seq {
		return OutcomeConflict
	}
	e.seq++
	if o.Unload {
		if inUse(o.Key) {
			e.t.Fatalf("adapter %v is unloaded while a turn uses it", o.Key)
		}
		delete(e.resident, o.Key)
		return OutcomeDone
	}
	if _, again := e.resident[o.Key]; !again && len(e.resident)+len(e.coming) >= e.places {
		e.t.Fatalf("load of %v with %d resident and %d coming of %d places", o.Key, len(e.resident), len(e.coming), e.places)
	}
	e.coming[o.Key] = max(o.Version, 1)
	return OutcomeAccepted
}

func (e *engineModel) finishLoads() {
	for key, version := range e.coming {
		e.resident[key] = version
		delete(e.coming, key)
	}
}

func (e *engineModel) report(born int64) Report {
	r := Report{Born: born, Sequence: e.seq, Models: []string{"base"}}
	for key, version := range e.resident {
		r.Resident = append(r.Resident, Build{key, version})
	}
	for key, version := range e.coming {
		r.Coming = append(r.Coming, Build{key, version})
	}
	return r
}

// Whatever is asked, answered late or lost: no load beyond the places, no
// unloading of an adapter in use, no turn for an adapter that is not resident.
func TestInvariantsOfAMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engineModel{t: t, places: 3, resident: map[catalog.AdapterKey]int64{}, coming: map[catalog.AdapterKey]int64{}}
		m := newTestMachine(3)
		now, next, born := at(0), TurnID(0), int64(7)
		held := map[TurnID]catalog.AdapterKey{}
		inUse := func(key catalog.AdapterKey) bool {
			for _, k := range held {
				if k == key {
					return true
				}
			}
			return false
		}
		asked := map[TurnID]catalog.AdapterKey{}
		collect := func() {
			for _, d := range m.Decisions() {
				if !d.Granted {
					continue
				}
				key := asked[d.ID]
				if _, ok := e.resident[key]; !ok {
					t.Fatalf("a turn is granted for %v, which is not resident", key)
				}
				held[d.ID] = key
			}
		}
		steps := map[string]func(*rapid.T){
			"ask": func(t *rapid.T) {
				next++
				key := adapterKey(rapid.IntRange(0, 6).Draw(t, "adapter"))
				asked[next] = key
				m.Ask(Turn{ID: next, Key: key, Prompt: 100, Output: 10}, now)
			},
			"release": func(t *rapid.T) {
				for id := range held {
					delete(held, id)
					m.Release(id, now)
					return
				}
			},
			"order": func(t *rapid.T) {
				o, ok := m.NextOrder(now)
				if !ok {
					return
				}
				switch rapid.IntRange(0, 3).Draw(t, "fate") {
				case 0: // Carried out, the answer is lost.
					e.carryOut(o, inUse)
					m.OrderDone(OutcomeUnknown, now)
				case 1: // Carried out later.
					e.late = append(e.late, o)
					m.OrderDone(OutcomeUnknown, now)
				default:
					m.OrderDone(e.carryOut(o, inUse), now)
				}
			},
			"late order": func(t *rapid.T) {
				if len(e.late) > 0 {
					e.carryOut(e.late[0], inUse)
					e.late = e.late[1:]
				}
			},
			"load ends": func(*rapid.T) { e.finishLoads() },
			"report":    func(*rapid.T) { m.Observe(e.report(born), now) },
			"announce": func(t *rapid.T) {
				m.Announce(adapterKey(rapid.IntRange(0, 6).Draw(t, "adapter")), rapid.Int64Range(1, 4).Draw(t, "version"), now)
			},
			"": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "ms")) * time.Millisecond)
				collect()
			},
		}
		t.Repeat(steps)
	})
}

func decisions(m *Machine) map[TurnID]Decision {
	out := map[TurnID]Decision{}
	for _, d := range m.Decisions() {
		out[d.ID] = d
	}
	return out
}

// load brings an adapter in by the orders that the machine names.
func load(t *testing.T, m *Machine, key catalog.AdapterKey, r *Report, now time.Time) {
	t.Helper()
	for {
		o, ok := m.NextOrder(now)
		if !ok {
			break
		}
		r.Sequence++
		if o.Unload {
			for i, b := range r.Resident {
				if b.Key == o.Key {
					r.Resident = append(r.Resident[:i], r.Resident[i+1:]...)
					break
				}
			}
			m.OrderDone(OutcomeDone, now)
			continue
		}
		r.Resident = append(r.Resident, Build{o.Key, max(o.Version, 1)})
		m.OrderDone(OutcomeAccepted, now)
	}
	m.Observe(*r, now)
}

// Pattern: rare adapters all at once. The idle adapter that was used longest ago
// makes way; those in use stay.
func TestOldestIdleAdapterMakesWay(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 1, Key: adapterKey(1)}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	m.Ask(Turn{ID: 2, Key: adapterKey(2)}, at(10))
	load(t, m, adapterKey(2), &r, at(11))
	m.Release(2, at(20))
	m.Ask(Turn{ID: 3, Key: adapterKey(3)}, at(30))
	o, ok := m.NextOrder(at(30))
	if !ok || !o.Unload || o.Key != adapterKey(2) {
		t.Errorf("order %+v, want the unload of the idle adapter a2", o)
	}
}

// Pattern: a new version of a busy adapter. Its runs go on, turns for the former
// version are granted for a bounded time, then none until it is replaced.
func TestFormerVersionGetsTurnsForABoundedTime(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 1, Key: adapterKey(1)}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	decisions(m)
	m.Announce(adapterKey(1), 2, at(100))
	m.Ask(Turn{ID: 2, Key: adapterKey(1)}, at(200))
	if d := decisions(m)[2]; !d.Granted || d.Version != 1 {
		t.Errorf("soon after the announcement: %+v", d)
	}
	m.Release(2, at(300))
	late := int(DefaultConfig().ReplaceAfter/time.Millisecond) + 101
	m.Ask(Turn{ID: 3, Key: adapterKey(1)}, at(late))
	if d := decisions(m)[3]; d.Granted || d.Refusal != RefusalReplace {
		t.Errorf("late after the announcement: %+v", d)
	}
	m.Release(1, at(late))
	o, ok := m.NextOrder(at(late))
	if !ok || !o.Unload || o.Key != adapterKey(1) {
		t.Errorf("order %+v, want the unload of the former version", o)
	}
}

// Pattern: flash crowd. A turn that would begin later than its patience is
// refused at once, with the wait that is expected.
func TestTurnBeyondItsPatienceIsRefusedAtOnce(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 1, Key: adapterKey(1)}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	for id := TurnID(2); id < 6; id++ {
		m.Ask(Turn{ID: id, Key: adapterKey(1), Prompt: 16_000}, at(2))
	}
	decisions(m)
	m.Ask(Turn{ID: 9, Key: adapterKey(1), Prompt: 100, Patience: time.Second}, at(3))
	d := decisions(m)[9]
	if d.Granted || d.Refusal != RefusalLate || d.Expected < time.Second {
		t.Errorf("%+v, want a refusal that expects more than a second", d)
	}
}

// Pattern: rare adapters all at once. A turn whose load takes too long beside the
// loads of the other engines is refused at once; an adapter that was held lately
// is not concerned.
func TestTurnWhoseLoadIsSlowIsRefusedAtOnce(t *testing.T) {
	m, r := newTestMachine(1), emptyReport()
	load(t, m, adapterKey(1), &r, at(0))
	slow := Turn{ID: 7, Key: adapterKey(2), Prompt: 100, Aim: time.Second, Patience: 2 * time.Second, Load: 1500 * time.Millisecond}
	m.Ask(slow, at(1))
	if d := decisions(m)[7]; d.Refusal != RefusalLate || d.Expected != slow.Load {
		t.Errorf("%+v, want a refusal that expects the load", d)
	}
	m.recent = append(m.recent, slow.Key)
	slow.ID = 8
	m.Ask(slow, at(2))
	if d, ok := decisions(m)[8]; ok {
		t.Errorf("%+v for a quick load", d)
	}
}

// An adapter whose unloading may be under way gets no turn, though its outcome
// is unknown. Found by TestInvariantsOfAMachine.
func TestNoTurnWhileUnloadingMayBeUnderWay(t *testing.T) {
	m, r := newTestMachine(1), emptyReport()
	m.Ask(Turn{ID: 1, Key: adapterKey(1)}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	m.Release(1, at(2))
	m.Ask(Turn{ID: 2, Key: adapterKey(2)}, at(3))
	if o, ok := m.NextOrder(at(3)); !ok || !o.Unload {
		t.Fatalf("order %+v, want an unload", o)
	}
	decisions(m)
	m.Ask(Turn{ID: 3, Key: adapterKey(1)}, at(4))
	m.OrderDone(OutcomeUnknown, at(5))
	m.Ask(Turn{ID: 4, Key: adapterKey(1)}, at(6))
	m.Observe(r, at(7))
	m.Ask(Turn{ID: 5, Key: adapterKey(1)}, at(8))
	for id, d := range decisions(m) {
		if d.Granted {
			t.Errorf("turn %d is granted", id)
		}
	}
}

// A turn that only waits for a load is taken, also with a prompt that is late by
// itself.
func TestTurnOnAnIdleEngineIsTaken(t *testing.T) {
	for _, prompt := range []int{100, 9000, 40_000} {
		m := newTestMachine(2)
		m.Ask(Turn{ID: 1, Key: adapterKey(1), Prompt: prompt, Aim: 600 * time.Millisecond, Patience: 900 * time.Millisecond}, at(1))
		if d, refused := decisions(m)[1]; refused {
			t.Errorf("prompt of %d tokens: %+v", prompt, d)
		}
	}
}

// An engine that starts again holds nothing, and orders begin anew.
func TestNewIncarnationHoldsNothing(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 1, Key: adapterKey(1)}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	decisions(m)
	m.Observe(Report{Born: 8, Models: []string{"base"}}, at(10))
	m.Ask(Turn{ID: 2, Key: adapterKey(1)}, at(11))
	if d := decisions(m)[2]; d.Granted {
		t.Error("a turn is granted for an adapter of the former incarnation")
	}
	o, ok := m.NextOrder(at(11))
	if !ok || o.Sequence != 0 || o.Unload {
		t.Errorf("order %+v, want a load with sequence 0", o)
	}
}

// An engine without a model gets one, once in a while.
func TestEmptyEngineGetsItsModel(t *testing.T) {
	m := New(DefaultConfig())
	m.SetLimits(testLimits(2))
	m.Observe(Report{Born: 7}, at(0))
	o, ok := m.NextOrder(at(0))
	if !ok || o.Key != (catalog.AdapterKey{Model: "base"}) || o.Unload {
		t.Fatalf("order %+v, want the load of the model", o)
	}
	m.OrderDone(OutcomeRejected, at(1))
	m.Observe(Report{Born: 7}, at(50))
	if o, ok := m.NextOrder(at(60)); ok {
		t.Errorf("%+v: a second load at once could exceed the weight store's rate", o)
	}
	if _, ok := m.NextOrder(at(int(DefaultConfig().ModelInterval/time.Millisecond) + 1)); !ok {
		t.Error("the model is never loaded")
	}
}

// More urgent turns go first where turns have to wait for room.
func TestUrgentTurnsGoFirst(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 1, Key: adapterKey(1), Prompt: 80_000}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	decisions(m)
	m.Ask(Turn{ID: 2, Key: adapterKey(1), Prompt: 50_000, Priority: 4}, at(2))
	m.Ask(Turn{ID: 3, Key: adapterKey(1), Prompt: 50_000, Priority: 1}, at(3))
	m.Release(1, at(10))
	if d := decisions(m); !d[3].Granted || d[2].Granted {
		t.Errorf("decisions %+v, want the urgent turn 3 first", d)
	}
}

// Pattern: runners slow behind good health. The slowness of an engine is learned
// from the time of its first events.
func TestSlownessIsLearned(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 100, Key: adapterKey(1)}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	m.Release(100, at(2))
	now := 10
	for id := TurnID(1); id <= 30; id++ {
		m.Ask(Turn{ID: id, Request: fmt.Sprint(id), Key: adapterKey(1), Prompt: 6400}, at(now))
		now += 1000 // Five times the usual 200 ms.
		r.Runs = []Run{{Request: fmt.Sprint(id), Events: 1}}
		m.Observe(r, at(now))
		m.Release(id, at(now))
	}
	if s := m.Snapshot(at(now)).Slowness; s < 4 || s > 6 {
		t.Errorf("slowness %.2f, want about 5", s)
	}
}

// Pattern: engines slow behind good health. The pauses between events are learned
// from the reports, and forgotten where no stream shows them.
func TestPaceIsLearned(t *testing.T) {
	m, r := newTestMachine(2), emptyReport()
	m.Ask(Turn{ID: 1, Request: "1", Key: adapterKey(1), GapAim: 300 * time.Millisecond}, at(0))
	load(t, m, adapterKey(1), &r, at(1))
	report := func(events, ms int) float64 {
		r.Runs = []Run{{Request: "1", Events: events}}
		m.Observe(r, at(ms))
		return m.Snapshot(at(ms)).Slow
	}
	report(1, 5000) // The first event is late by its own aim, not by the pause.
	if slow := report(101, 25_000); slow != 0 {
		t.Errorf("an event each 200 ms: %.2f late", slow)
	}
	slow := 0.0
	for i := range 100 {
		slow = report(102+i, 25_400+400*i)
	}
	if slow < 0.4 {
		t.Errorf("100 events each 400 ms: %.2f late", slow)
	}
	if later := m.Snapshot(at(95_000)).Slow; later > 0.01 {
		t.Errorf("half a minute without events: %.2f late", later)
	}
}

func TestPromptPartsAreReadOnce(t *testing.T) {
	p := newPrompts(1000)
	parts := []PromptPart{{"a", 300}, {"b", 300}, {"own", 100}}
	if n := p.read(adapterKey(1), parts, 700); n != 700 {
		t.Errorf("first: %d new tokens", n)
	}
	parts[2].ID = "other"
	if n := p.read(adapterKey(1), parts, 700); n != 100 {
		t.Errorf("second: %d new tokens", n)
	}
	if n := p.read(adapterKey(2), parts, 700); n != 700 {
		t.Errorf("of another adapter: %d new tokens", n)
	}
}
