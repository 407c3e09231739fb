package grants

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// reportWith returns a report of resident adapters and of the events of streams.
func reportWith(adapters int, events map[string]int) Report {
	r := emptyReport()
	for n := range adapters {
		r.Resident = append(r.Resident, Build{Key: adapterKey(n), Version: 1})
	}
	for id, n := range events {
		if n <= 0 {
			continue
		}
		r.Runs = append(r.Runs, Run{RequestID: id, Events: n})
	}
	return r
}

// Guards against streams whose events come late because the engine prefills one large prompt after the other: where gaps come
// close to their target, the next large prompt waits until the last one has been prefilled, while small ones do not.
func TestLargePrefillsAreSpacedWhereGapsComeCloseToTheirTarget(t *testing.T) {
	for name, tc := range map[string]struct {
		gapMS   int
		granted bool // The second large prompt, 60 ms before the end of the first one.
	}{
		"short gaps": {100, true},
		"long gaps":  {450, false},
	} {
		m := newTestMachine(4)
		m.ApplyReport(reportWith(2, nil), at(1))
		m.RequestGrant(Request{ID: 1, EngineRequestID: "s", Key: adapterKey(0), PromptTokens: 100, GapTarget: 500 * time.Millisecond}, at(2))
		m.RequestGrant(Request{ID: 5, EngineRequestID: "d0", Key: adapterKey(1), PromptTokens: 6400, MaxWait: time.Second}, at(50))
		now := 100
		for n := 1; n <= 3; n++ {
			m.ApplyReport(reportWith(2, map[string]int{"s": n, "d0": n - 2}), at(now))
			now += tc.gapMS
		}
		large := Request{ID: 2, EngineRequestID: "d1", Key: adapterKey(1), PromptTokens: 6400, MaxWait: time.Second}
		m.RequestGrant(large, at(now)) // 200 ms at normal speed, 280 ms with the initial slowdown.
		if d := decisions(m); len(d) < 1 {
			t.Fatalf("%s: the first large prompt is not granted", name)
		}
		large.ID, large.EngineRequestID = 3, "d2"
		m.RequestGrant(large, at(now+220))
		if got := granted(decisions(m)); got != tc.granted {
			t.Errorf("%s: second large prompt granted = %v, want %v", name, got, tc.granted)
		}
		m.RequestGrant(Request{ID: 4, EngineRequestID: "c", Key: adapterKey(0), PromptTokens: 500, MaxWait: time.Second, LatencyTarget: time.Second}, at(now+221))
		if !granted(decisions(m)) {
			t.Errorf("%s: the small prompt waits for the large one", name)
		}
		m.ApplyReport(reportWith(2, map[string]int{"d1": 1}), at(now+300))
		if got := granted(decisions(m)); got == tc.granted {
			t.Errorf("%s: second large prompt granted after the first event of the first = %v, want %v", name, got, !tc.granted)
		}
	}
}

// Guards against an engine under pressure that gets more prefill than a calm one, and one whose large prompts wait for a
// prompt that its router never sent.
func TestSpacingEndsAndKeepsTheBacklogLimit(t *testing.T) {
	m := newTestMachine(4)
	m.ApplyReport(reportWith(2, nil), at(1))
	m.RequestGrant(Request{ID: 1, EngineRequestID: "s", Key: adapterKey(0), PromptTokens: 100, GapTarget: 500 * time.Millisecond}, at(2))
	large := Request{ID: 2, EngineRequestID: "d", Key: adapterKey(1), PromptTokens: 6400, MaxWait: time.Minute, LatencyTarget: time.Minute}
	m.ApplyReport(reportWith(2, map[string]int{"s": 1}), at(100))
	m.RequestGrant(large, at(101))
	m.ApplyReport(reportWith(2, map[string]int{"s": 2, "d": 1}), at(570))
	for n := range 6 {
		m.RequestGrant(Request{ID: RequestID(10 + n), Key: adapterKey(0), PromptTokens: 1800, MaxWait: time.Second}, at(571))
	}
	decisions(m)
	large.ID, large.EngineRequestID = 3, "e"
	m.RequestGrant(large, at(572))
	if granted(decisions(m)) {
		t.Error("a large prompt is granted beyond the backlog limit")
	}
	for n := range 6 {
		m.Release(RequestID(10+n), at(573))
	}
	if !granted(decisions(m)) {
		t.Fatal("the large prompt is not granted after the small ones")
	}
	large.ID, large.EngineRequestID = 4, "f"
	m.RequestGrant(large, at(600)) // The one before is never seen in a report.
	if granted(decisions(m)) {
		t.Error("a large prompt is granted while another one is pending")
	}
	for ms, n := 900, 3; ms < 2400; ms, n = ms+300, n+1 {
		m.ApplyReport(reportWith(2, map[string]int{"s": n}), at(ms))
	}
	if !granted(decisions(m)) {
		t.Error("a large prompt still waits for one that the engine does not know")
	}
}

// granted reports whether one of the decisions is a grant.
func granted(all map[RequestID]Decision) bool {
	for _, d := range all {
		if d.Granted {
			return true
		}
	}
	return false
}

// Guards against urgent requests that find all adapter slots of an engine in use by less urgent ones, whose runs last
// for seconds.
func TestLastAdapterSlotsAreKeptForUrgentRequests(t *testing.T) {
	run := func(urgentComes bool) (m *Machine, loaded map[catalog.AdapterKey]bool) {
		m = newTestMachine(4)
		m.config.KeepUrgentSlots = true
		loaded = make(map[catalog.AdapterKey]bool)
		r := emptyReport()
		if urgentComes {
			m.RequestGrant(Request{ID: 9, Key: adapterKey(9), Priority: 0, PromptTokens: 100, MaxWait: time.Second}, at(1))
		}
		for n := range 4 {
			m.RequestGrant(Request{ID: RequestID(n + 10), Key: adapterKey(n), Priority: 2, PromptTokens: 100, MaxWait: time.Second}, at(2+n))
		}
		for ms := 10; ms < 200; ms += 10 {
			o, ok := m.NextOrder(at(ms))
			if !ok {
				continue
			}
			loaded[o.Key] = true
			r.Sequence++
			m.CompleteOrder(OutcomeAccepted, at(ms))
			r.Resident = append(r.Resident, Build{Key: o.Key, Version: 1})
			m.ApplyReport(r, at(ms+5))
		}
		return m, loaded
	}
	if _, loaded := run(false); len(loaded) != 4 {
		t.Errorf("without urgent requests %d adapters were loaded, want 4", len(loaded))
	}
	m, loaded := run(true)
	if !loaded[adapterKey(9)] || len(loaded) != 3 {
		t.Errorf("adapters loaded beside urgent requests: %v, want that of the urgent one and two others", loaded)
	}
	s := m.Snapshot(at(200))
	if s.IdleSlotsFor(0) != 1 || s.IdleSlotsFor(2) != 0 {
		t.Errorf("idle slots for urgent and other requests: %d and %d, want 1 and 0", s.IdleSlotsFor(0), s.IdleSlotsFor(2))
	}
	m.Release(9, at(201))
	for n := range 3 { // They wait for the slot that is kept.
		m.RequestGrant(Request{ID: RequestID(30 + n), Key: adapterKey(30 + n), Priority: 2, PromptTokens: 100, MaxWait: 3 * time.Second, LatencyTarget: 3 * time.Second}, at(202))
	}
	decisions(m)
	m.RequestGrant(Request{ID: 40, Key: adapterKey(40), PromptTokens: 100, MaxWait: time.Second, LatencyTarget: time.Second}, at(203))
	if d, refused := decisions(m)[40]; refused {
		t.Errorf("urgent request refused behind less urgent ones with a slot idle: %+v", d)
	}
	later := at(203).Add(slotReservePeriod)
	if s := m.Snapshot(later); s.IdleSlotsFor(2) != s.IdleAdapterSlots {
		t.Errorf("%d of %d slots are kept after the last urgent request", s.ReservedSlots, s.IdleAdapterSlots)
	}
}
