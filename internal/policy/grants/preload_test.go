package grants

import (
	"fmt"
	"testing"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// A preload must not delay requests, evict an adapter in use or one of a demand as high, or be carried out long after
// it was requested.
func TestPreloadTakesOnlyWhatNoRequestNeeds(t *testing.T) {
	ask := func(m *Machine, id RequestID, adapter, times int) {
		for range times {
			m.RequestGrant(Request{ID: id, Key: adapterKey(adapter)}, at(0))
			id++
		}
	}
	load := func(adapter int) string { return fmt.Sprintf("load %v", adapterKey(adapter)) }
	for name, tc := range map[string]struct {
		prepare func(m *Machine, r *Report)
		demand  int
		at      int
		want    string
	}{
		"empty slot":                  {prepare: func(*Machine, *Report) {}, want: load(9)},
		"queued request needs a load": {prepare: func(m *Machine, _ *Report) { ask(m, 1, 1, 1) }, demand: 9, want: load(1)},
		"after its time":              {prepare: func(*Machine, *Report) {}, at: 2001, want: "none"},
		"held already": {prepare: func(m *Machine, r *Report) {
			r.Resident = append(r.Resident, Build{adapterKey(9), 1})
			m.ApplyReport(*r, at(0))
		}, want: "none"},
		"adapters in use": {prepare: func(m *Machine, r *Report) {
			for n := range 2 {
				ask(m, RequestID(n+1), n+1, 1)
				carryOutOrders(t, m, adapterKey(n+1), r, at(0))
			}
		}, demand: 9, want: "none"},
		"idle adapters of higher and of lower demand": {prepare: func(m *Machine, r *Report) {
			for n, requests := range []int{20, 3} {
				first := RequestID(n*100 + 1)
				ask(m, first, n+1, requests)
				carryOutOrders(t, m, adapterKey(n+1), r, at(0))
				for id := range requests {
					m.Release(first+RequestID(id), at(0))
				}
			}
		}, demand: 4, want: fmt.Sprintf("unload %v", adapterKey(2))},
		"idle adapters of the same demand": {prepare: func(m *Machine, r *Report) {
			r.Resident = append(r.Resident, Build{adapterKey(1), 1}, Build{adapterKey(2), 1})
			m.ApplyReport(*r, at(0))
		}, want: "none"},
	} {
		m, r := newTestMachine(2), emptyReport()
		tc.prepare(m, &r)
		m.Preload(adapterKey(9), tc.demand, at(0))
		got := "none"
		if o, ok := m.NextOrder(at(tc.at)); ok {
			got = fmt.Sprintf("load %v", o.Key)
			if o.Unload {
				got = fmt.Sprintf("unload %v", o.Key)
			}
		}
		if got != tc.want {
			t.Errorf("%s: order = %s, want %s", name, got, tc.want)
		}
	}
}

// Preloads must not add up without bound, and the same one counts once.
func TestPreloadsAreBounded(t *testing.T) {
	m := newTestMachine(2)
	for range 2 {
		for n := range maxPreloads {
			if got := m.Preload(adapterKey(n), 1, at(0)); got != PreloadQueued {
				t.Fatalf("preload %d: %s, want queued", n, got)
			}
		}
	}
	if got := m.Preload(adapterKey(maxPreloads), 1, at(0)); got != PreloadRejected {
		t.Errorf("preload beyond the bound: %s, want rejected", got)
	}
	if got := m.Preload(catalog.AdapterKey{Model: "base"}, 1, at(3000)); got != PreloadRejected {
		t.Errorf("preload without an adapter: %s, want rejected", got)
	}
	if got := m.Preload(adapterKey(maxPreloads), 1, at(3000)); got != PreloadQueued {
		t.Errorf("preload after the others were forgotten: %s, want queued", got)
	}
}
