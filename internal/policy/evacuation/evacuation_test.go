package evacuation

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

var (
	start  = time.Unix(1000, 0)
	config = NewConfig(5*time.Second, 3*time.Second)
)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestPhasesOfAnEvacuation(t *testing.T) {
	calm := (*State)(nil).Begin("a", at(-500), at(0))
	for name, tc := range map[string]struct {
		state *State
		at    int
		want  Phase
	}{
		"no evacuation":                      {nil, 0, Open},
		"other domain":                       {calm.Begin("b", at(0), at(0)).End("a", at(0)), 4000, Open},
		"just read":                          {calm, 0, HandingOver},
		"read a second ago":                  {calm, 1000, Closed},
		"read again":                         {calm.Begin("a", at(900), at(900)), 1000, Closed},
		"known since the start":              {(*State)(nil).Begin("a", time.Time{}, at(0)), 0, Closed},
		"read after a long outage":           {(*State)(nil).Begin("a", at(-2500), at(0)), 0, Closed},
		"read late, with part of a handover": {(*State)(nil).Begin("a", at(-2000), at(0)), 500, Closed},
		"removal just read":                  {calm.End("a", at(5000)), 5000, Returning},
		"removal read 3 s ago":               {calm.End("a", at(5000)), 8000, Open},
		"evacuated again while it returns":   {calm.End("a", at(5000)).Begin("a", at(5500), at(6000)), 7000, Closed},
		"removed without an evacuation":      {(*State)(nil).End("a", at(0)), 0, Open},
	} {
		if got := config.Phase(tc.state, "a", at(tc.at)); got != tc.want {
			t.Errorf("%s: phase = %s, want %s", name, got, tc.want)
		}
	}
	if c := NewConfig(time.Second, 3*time.Second); c.Handover != 0 {
		t.Errorf("handover with a bound below that of the configuration = %s, want none", c.Handover)
	}
}

// A closed domain is used by no request, whatever the others do, and some domain is used unless all are closed.
func TestUsesKeepTheBound(t *testing.T) {
	domains := []string{"a", "b", "c"}
	rapid.Check(t, func(t *rapid.T) {
		var s *State
		now := 0
		written := map[string]int{} // When the key was written, at the earliest.
		for range rapid.IntRange(0, 8).Draw(t, "events") {
			now += rapid.IntRange(0, 4000).Draw(t, "ms")
			d := rapid.SampledFrom(domains).Draw(t, "domain")
			if rapid.Bool().Draw(t, "end") {
				s = s.End(d, at(now))
				delete(written, d)
				continue
			}
			since := now - rapid.IntRange(0, 5000).Draw(t, "age")
			if _, ok := written[d]; !ok {
				written[d] = since
			}
			s = s.Begin(d, at(since), at(now))
		}
		now += rapid.IntRange(0, 4000).Draw(t, "until")
		uses := config.Uses(s, domains, rapid.Uint64().Draw(t, "seed"), at(now))
		closed := 0
		for _, d := range domains {
			if w, ok := written[d]; ok && at(now).Sub(at(w)) >= config.Bound && uses[d] != UseNot {
				t.Fatalf("use of %s, whose key was written %d ms ago = %d, want none", d, now-w, uses[d])
			}
			if config.Phase(s, d, at(now)) == Closed {
				closed++
			}
			if config.AllOpen(s, at(now)) && uses[d] != UseFreely {
				t.Fatalf("use of %s while all domains are open = %d, want free use", d, uses[d])
			}
		}
		if closed < len(domains) && !slices.ContainsFunc(domains, func(d string) bool { return uses[d] != UseNot }) {
			t.Fatal("no domain is used, although not all of them are closed")
		}
	})
}

// A domain returns gradually: a request that may use it at one moment may use it at all later ones, and half of the
// requests may after half of the time. If no other domain is open, it is used at once.
func TestDomainReturnsGradually(t *testing.T) {
	s := (*State)(nil).Begin("a", at(0), at(0)).End("a", at(10_000))
	const requests = 2000
	admitted := func(ms int, id string) bool {
		return config.Uses(s, []string{"a", "b"}, rendezvous.Hash(id), at(10_000+ms))["a"] == UseFreely
	}
	half := 0
	for n := range requests {
		id := string(rune('a'+n%26)) + time.Duration(n).String()
		before := false
		for ms := 0; ms <= 3000; ms += 500 {
			now := admitted(ms, id)
			if before && !now {
				t.Fatalf("request %s may not use the domain after %d ms, but could before", id, ms)
			}
			before = now
		}
		if admitted(1500, id) {
			half++
		}
	}
	if half < requests*45/100 || half > requests*55/100 {
		t.Errorf("requests that use the domain after half of the time = %d of %d, want a half", half, requests)
	}
	if use := config.Uses(s.Begin("b", at(9000), at(9000)), []string{"a", "b"}, 1, at(11_000))["a"]; use != UseFreely {
		t.Errorf("use of the returning domain beside a closed one = %d, want free use", use)
	}
}

// The end of an evacuation is known for the time for which an endpoint may be cold because of it.
func TestReturnedAt(t *testing.T) {
	s := (*State)(nil).Begin("a", at(0), at(0))
	if _, ok := s.ReturnedAt("a"); ok {
		t.Error("a domain that is evacuated has returned")
	}
	s = s.End("a", at(500))
	if got, ok := s.ReturnedAt("a"); !ok || !got.Equal(at(500)) {
		t.Errorf("ReturnedAt() = %s, %t, want %s", got, ok, at(500))
	}
	s = s.Begin("b", at(0), at(700_000))
	if _, ok := s.ReturnedAt("a"); ok {
		t.Error("the end of an evacuation is known after more than 10 minutes")
	}
}
