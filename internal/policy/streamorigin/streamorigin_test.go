package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// Guards against a record that changes to another version, and against one that outlives its time or displaces
// the records of an organisation that has fewer.
func TestTableKeepsFirstVersionWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxRecords = 6
		table := NewTable(maxRecords)
		now := start
		type known struct {
			origin    Origin
			expiresAt time.Time
		}
		first := make(map[Key]known)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3).Draw(t, "seconds")) * time.Second)
			key := Key{rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "organisation"), fmt.Sprint(rapid.IntRange(1, 4).Draw(t, "id"))}
			origin := Origin{
				rapid.SampledFrom([]string{"llm", "draft"}).Draw(t, "service"), rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "software"),
			}
			expiresAt := now.Add(time.Duration(rapid.IntRange(1, 8).Draw(t, "ttl")) * time.Second)
			before, result := table.Get(key, now)
			if result == ResultFound && (first[key].origin != before || !first[key].expiresAt.After(now)) {
				t.Fatalf("Get(%v) = %v, want %v until %s", key, before, first[key].origin, first[key].expiresAt)
			}
			ok := table.Put(key, origin, expiresAt, now)
			if after, result := table.Get(key, now); ok && after != origin || !ok && result != ResultConflict {
				t.Fatalf("Put(%v, %v) = %t, then Get = %v, %d", key, origin, ok, after, result)
			}
			switch {
			case result == ResultUnknown:
				first[key] = known{origin, expiresAt}
			case expiresAt.After(first[key].expiresAt):
				first[key] = known{first[key].origin, expiresAt}
			}
			if table.Len() > maxRecords {
				t.Fatalf("records = %d, want at most %d", table.Len(), maxRecords)
			}
		}
	})
}

// Pattern: one organisation sends a flood of streams. The record of another one must not be displaced.
func TestFloodOfOneOrganisationDisplacesItsOwnRecords(t *testing.T) {
	table := NewTable(100)
	kept := Key{"small", "1"}
	table.Put(kept, Origin{"llm", "v1"}, at(10), start)
	for i := range 1000 {
		table.Put(Key{"large", fmt.Sprint(i)}, Origin{"llm", "v2"}, at(10), start)
	}
	if origin, result := table.Get(kept, at(9)); result != ResultFound || origin != (Origin{"llm", "v1"}) {
		t.Errorf("Get() = %v, %d; want the record of the organisation with one stream", origin, result)
	}
	if _, result := table.Get(Key{"large", "999"}, at(9)); result != ResultFound {
		t.Error("the newest record of the large organisation is gone")
	}
}

func holders(n int) []Holder {
	out := make([]Holder, n)
	for i := range out {
		out[i] = Holder{Address: fmt.Sprintf("10.0.0.%d:7480", i), FailureDomain: string(rune('a' + i%4))}
	}
	return out
}

// A record is kept in three failure domains, and a lookup finds a holder of it after half of the holders have
// left or as many have joined, but for a few in a hundred streams.
func TestLookupFindsHoldersAfterOthersCameAndWent(t *testing.T) {
	all := holders(18)
	missedAfterLeave, missedAfterJoin := 0, 0
	const streams = 2000
	for i := range streams {
		id := fmt.Sprintf("%016x", i)
		record := HoldersForRecord(id, all)
		domains := map[string]bool{}
		for _, h := range record {
			domains[h.FailureDomain] = true
		}
		if len(record) != RecordCopies || len(domains) != RecordCopies {
			t.Fatalf("holders of %s = %v, want %d in different failure domains", id, record, RecordCopies)
		}
		finds := func(now []Holder) bool {
			asked := HoldersForLookup(id, now)
			if len(asked) > LookupHolders {
				t.Fatalf("holders asked = %d, want at most %d", len(asked), LookupHolders)
			}
			return slices.ContainsFunc(asked, func(h Holder) bool { return slices.Contains(record, h) })
		}
		if !finds(all[9:]) {
			missedAfterLeave++
		}
		if !finds(append(slices.Clone(all), holders(36)[18:]...)) {
			missedAfterJoin++
		}
	}
	if missedAfterLeave > streams/6 { // All three holders are among the half that left: one in eight.
		t.Errorf("streams without a holder after half of them left = %d of %d, want at most a sixth", missedAfterLeave, streams)
	}
	if missedAfterJoin > streams/20 {
		t.Errorf("streams without a holder after as many joined = %d of %d, want at most one in twenty", missedAfterJoin, streams)
	}
}

// A holder that is leaving gets no new record, but is asked for former ones.
func TestLeavingHolderIsAskedOnly(t *testing.T) {
	all := holders(4)
	for i := range all {
		all[i].Leaving = i != 0
	}
	if got := HoldersForRecord("x", all); len(got) != 1 || got[0] != all[0] {
		t.Errorf("holders of a new record = %v, want the one that stays", got)
	}
	if got := HoldersForLookup("x", all); len(got) != 4 {
		t.Errorf("holders asked = %v, want all four", got)
	}
}

// Guards against a version that counts as the sole one although another one served in the time, or although the
// observation began later.
func TestSoleVersion(t *testing.T) {
	h := NewHistory()
	h.Add("v1")
	if got := h.Sole(at(0)); got != "" {
		t.Errorf("before the first listing: sole version = %q, want none", got)
	}
	h.Begin(at(0))
	for _, tc := range []struct {
		name  string
		since float64
		want  string
	}{{"in all the time", 0, "v1"}, {"before the observation began", -1, ""}} {
		if got := h.Sole(at(tc.since)); got != tc.want {
			t.Errorf("%s: sole version = %q, want %q", tc.name, got, tc.want)
		}
	}
	h.Add("v2")
	if got := h.Sole(at(0)); got != "" {
		t.Errorf("with two versions: sole version = %q, want none", got)
	}
	h.Remove("v1", at(10))
	if got := h.Sole(at(9)); got != "" {
		t.Errorf("after v1 left at 10 s, since 9 s: sole version = %q, want none", got)
	}
	if got := h.Sole(at(11)); got != "v2" {
		t.Errorf("after v1 left at 10 s, since 11 s: sole version = %q, want v2", got)
	}
	h.Remove("v2", at(20))
	if got := h.Sole(at(11)); got != "v2" {
		t.Errorf("after the last endpoint crashed: sole version = %q, want v2", got)
	}
	h.Add("")
	if got := h.Sole(at(25)); got != "" {
		t.Errorf("with an unknown version: sole version = %q, want none", got)
	}
}

// Guards against a guess: a stream goes on at a recorded origin, or at the sole one if holders know of no
// record.
func TestResolve(t *testing.T) {
	v1, v2, none := Origin{"llm", "v1"}, Origin{"llm", "v2"}, Origin{}
	found := func(origins ...Origin) Lookup {
		l := Lookup{Asked: 6}
		for _, o := range origins {
			result := ResultFound
			if o == none {
				result = ResultUnknown
			}
			l.Add(o, result)
		}
		return l
	}
	conflict := found(v1)
	conflict.Add(none, ResultConflict)
	for _, tc := range []struct {
		name    string
		lookup  Lookup
		sole    Origin
		origin  Origin
		verdict Verdict
	}{
		{"one holder is enough", found(none, v1), none, v1, VerdictGoOn},
		{"a record goes before the sole version", found(v1), v2, v1, VerdictGoOn},
		{"holders differ", found(v1, v2), none, none, VerdictRefuse},
		{"holders differ in the service", found(v1, Origin{"draft", "v1"}), none, none, VerdictRefuse},
		{"a holder has two origins", conflict, v1, none, VerdictRefuse},
		{"no record, several versions", found(none, none, none), Origin{Service: "llm"}, none, VerdictRefuse},
		{"no record, one version", found(none, none), v1, v1, VerdictGoOn},
		{"one response only", found(none), v1, none, VerdictUnclear},
		{"no response", found(), none, none, VerdictUnclear},
		{"no holders, one version", Lookup{}, v1, v1, VerdictGoOn},
		{"no holders, several versions", Lookup{}, none, none, VerdictRefuse},
		{"the only holder knows none", Lookup{Asked: 1, Answered: 1}, v1, v1, VerdictGoOn},
	} {
		if origin, verdict := Resolve(tc.lookup, tc.sole); origin != tc.origin || verdict != tc.verdict {
			t.Errorf("%s: Resolve() = %v, %d; want %v, %d", tc.name, origin, verdict, tc.origin, tc.verdict)
		}
	}
}

// An unknown version permits no endpoint, not even one whose version is unknown too.
func TestBindingPermits(t *testing.T) {
	for _, tc := range []struct {
		binding  Binding
		software string
		want     bool
	}{
		{Binding{}, "v1", true},
		{Binding{}, "", true},
		{BindTo("v1"), "v1", true},
		{BindTo("v1"), "v2", false},
		{BindTo("v1"), "", false},
		{BindTo(""), "v1", false},
		{BindTo(""), "", false},
	} {
		if got := tc.binding.Permits(tc.software); got != tc.want {
			t.Errorf("%+v permits %q = %t, want %t", tc.binding, tc.software, got, tc.want)
		}
	}
}

// A record survives the loss of all schedulers, of all routers, and of one more process of the other group: the holders
// that are asked include one that has it.
func TestRecordSurvivesLossOfOneGroup(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := func(name string, least int) []Holder {
			var out []Holder
			for i := range rapid.IntRange(least, 40).Draw(t, name) {
				out = append(out, Holder{Address: fmt.Sprint(name, "-", i), FailureDomain: fmt.Sprint(i % 4)})
			}
			return out
		}
		all := Holders{Schedulers: group("schedulers", 0), Routers: group("routers", 2)}
		id := rapid.StringN(1, 16, 16).Draw(t, "id")
		stored, asked := all.ForRecord(id), all.ForLookup(id)
		if len(stored) > RecordCopies+routerCopies || len(asked) > LookupHolders+routerLookups {
			t.Fatalf("%d holders of a record, %d asked; want a bounded number", len(stored), len(asked))
		}
		survives := func(lost func(Holder) bool) bool {
			return slices.ContainsFunc(stored, func(h Holder) bool { return !lost(h) && slices.Contains(asked, h) })
		}
		isRouter := func(h Holder) bool { return slices.Contains(all.Routers, h) }
		for _, one := range stored {
			if len(all.Schedulers) > 1 && !survives(func(h Holder) bool { return isRouter(h) || h == one }) {
				t.Fatalf("no record is left after a loss of all routers and %v", one)
			}
			if !survives(func(h Holder) bool { return !isRouter(h) || h == one }) {
				t.Fatalf("no record is left after a loss of all schedulers and %v", one)
			}
		}
	})
}
