package catalog

import (
	"context"
	"io"
	"maps"
	"reflect"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"
)

func config(version int64) *Config { return NewConfig(version, nil, nil, nil) }

func TestRouteWithLongestPrefixIsSelected(t *testing.T) {
	c := NewConfig(1, []*Route{
		{Name: "short", Host: "forge.example", PathPrefix: "/a/"},
		{Name: "long", Host: "forge.example", PathPrefix: "/a/b/"},
		{Name: "other", Host: "pay.example", PathPrefix: "/a/b/c/"},
	}, nil, nil)
	for path, want := range map[string]string{"/a/b/c/d": "long", "/a/x": "short", "/a/": "short", "/a": "", "/b/": ""} {
		got := ""
		if r := c.Route("FORGE.example", path); r != nil {
			got = r.Name
		}
		if got != want {
			t.Errorf("Route(FORGE.example, %s) = %q, want %q", path, got, want)
		}
	}
}

func TestServicesAreSelectedByWeight(t *testing.T) {
	r := &Route{Splits: []Split{{"a", 90}, {"b", 10}, {"c", 0}}}
	selected := map[string]int{}
	for i := range 1000 {
		selected[r.SelectService(float64(i)/1000)]++
	}
	if selected["a"] != 900 || selected["b"] != 100 {
		t.Errorf("services selected of 1000: %v, want a: 900 and b: 100", selected)
	}
}

// The versions of the configuration and of the adapters never decrease.
func TestVersionsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewState()
		var version, adapter int64
		key := AdapterKey{"m", "a"}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			v := rapid.Int64Range(1, 9).Draw(t, "version")
			if rapid.Bool().Draw(t, "config") {
				s.SetConfig(config(v))
			} else {
				s.SetVersion(AdapterVersion{key, v}, time.Time{})
			}
			view := s.View()
			if view.Config != nil {
				if view.Config.Version < version {
					t.Fatalf("configuration version decreased to %d from %d", view.Config.Version, version)
				}
				version = view.Config.Version
			}
			if view.Versions[key].Version < adapter {
				t.Fatalf("adapter version decreased to %d from %d", view.Versions[key].Version, adapter)
			}
			adapter = view.Versions[key].Version
		}
	})
}

// A registration that expired during a store outage stays in use until the grace period ends.
// A draining endpoint that removed its own registration does not.
func TestExpiredRegistrationsStayForGraceAfterOutage(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewState()
	s.SetEndpoint(&Endpoint{ID: "lapsed", Service: "s"})
	s.SetEndpoint(&Endpoint{ID: "left", Service: "s", Draining: true})
	s.SetEndpoint(&Endpoint{ID: "back", Service: "s"})
	s.StoreRecovered(now)
	s.RemoveEndpoint("lapsed", now)
	s.RemoveEndpoint("left", now)
	s.RemoveEndpoint("back", now)
	if s.View().FindEndpoint("s", "lapsed") == nil || s.View().FindEndpoint("s", "left") != nil {
		t.Errorf("endpoints right after the outage: %v, want lapsed in use and left removed", s.View().Endpoints)
	}
	s.SetEndpoint(&Endpoint{ID: "back", Service: "s"})
	s.Expire(now.Add(reregistrationGrace))
	if s.View().FindEndpoint("s", "lapsed") != nil || s.View().FindEndpoint("s", "back") == nil {
		t.Errorf("endpoints after the grace period: %v, want lapsed removed and back in use", s.View().Endpoints)
	}
	s.RemoveEndpoint("back", now.Add(reregistrationGrace))
	if s.View().FindEndpoint("s", "back") != nil {
		t.Error("endpoint removed after the grace period is still in the view")
	}
}

// The store carries out a heartbeat after a later one of the same incarnation, because its call got no response. An endpoint that
// has started to drain, or that has left, must not be used again because of it.
func TestLateHeartbeatIsIgnored(t *testing.T) {
	registration := func(incarnation, heartbeat int64, draining bool) *Endpoint {
		return &Endpoint{ID: "e", Service: "s", Incarnation: incarnation, Heartbeat: heartbeat, Draining: draining}
	}
	for name, tc := range map[string]struct {
		late    *Endpoint
		removed bool
		want    *Endpoint
	}{
		"older heartbeat":              {registration(5, 6, false), false, registration(5, 7, true)},
		"same heartbeat":               {registration(5, 7, true), false, registration(5, 7, true)},
		"newer heartbeat":              {registration(5, 8, false), false, registration(5, 8, false)},
		"newer incarnation":            {registration(6, 1, false), false, registration(6, 1, false)},
		"removed, older heartbeat":     {registration(5, 6, false), true, nil},
		"removed, back with its entry": {registration(5, 7, true), true, registration(5, 7, true)},
	} {
		s := NewState()
		s.SetEndpoint(registration(5, 7, true))
		if tc.removed {
			s.RemoveEndpoint("e", time.Unix(1000, 0))
		}
		s.SetEndpoint(tc.late)
		got := s.View().FindEndpoint("s", "e")
		if got == nil != (tc.want == nil) || got != nil && *got != *tc.want {
			t.Errorf("%s: endpoint = %+v, want %+v", name, got, tc.want)
		}
	}
}

// The remaining cold time counts from its receipt, the latest end applies within an incarnation, and a new one
// discards it. A heartbeat that only counts down builds no new View.
func TestColdTimeOfIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	began := now
	s := NewState()
	s.now = func() time.Time { return now }
	for i, step := range []struct {
		at          time.Duration
		incarnation int64
		cold        time.Duration
		changes     bool
		until       time.Duration // Since began; 0 if the endpoint is not cold.
	}{
		{0, 1, 3 * time.Second, true, 3 * time.Second},
		{time.Second, 1, 2 * time.Second, false, 3 * time.Second},
		{2 * time.Second, 1, 0, false, 3 * time.Second},
		{3 * time.Second, 1, 400 * time.Millisecond, true, 3400 * time.Millisecond},
		{3200 * time.Millisecond, 1, 700 * time.Millisecond, false, 3400 * time.Millisecond},
		{3300 * time.Millisecond, 1, 700 * time.Millisecond, true, 4 * time.Second},
		{3400 * time.Millisecond, 2, 0, true, 0},
		{3500 * time.Millisecond, 2, time.Second, true, 4500 * time.Millisecond},
	} {
		now = began.Add(step.at)
		changed := s.SetEndpoint(&Endpoint{ID: "e", Service: "s", Incarnation: step.incarnation, Heartbeat: int64(i), Cold: step.cold})
		got, want := s.View().FindEndpoint("s", "e").ColdUntil, time.Time{}
		if step.until > 0 {
			want = began.Add(step.until)
		}
		if changed != step.changes || !got.Equal(want) {
			t.Errorf("step %d: changed = %t, cold until %v; want %t and %v", i, changed, got, step.changes, want)
		}
	}
}

// A registration in a restored store counts only if it is newer than the last known one, also
// if the endpoint has been removed since.
func TestRestoredRegistrationMustBeNewer(t *testing.T) {
	now := time.Unix(1000, 0)
	registration := func(incarnation, heartbeat int64, draining bool) *Endpoint {
		return &Endpoint{ID: "e", Service: "s", Incarnation: incarnation, Heartbeat: heartbeat, Draining: draining}
	}
	for name, tc := range map[string]struct {
		restored *Endpoint
		removed  bool
		want     *Endpoint
	}{
		"older heartbeat":             {registration(5, 6, false), false, registration(5, 7, true)},
		"same heartbeat":              {registration(5, 7, false), false, registration(5, 7, true)},
		"newer heartbeat":             {registration(5, 8, false), false, registration(5, 8, false)},
		"older incarnation":           {registration(4, 9, false), false, registration(5, 7, true)},
		"newer incarnation":           {registration(6, 1, false), false, registration(6, 1, false)},
		"removed, same heartbeat":     {registration(5, 7, true), true, nil},
		"removed, newer heartbeat":    {registration(5, 8, false), true, registration(5, 8, false)},
		"removed, former incarnation": {registration(4, 9, false), true, nil},
	} {
		s := NewState()
		s.SetEndpoint(registration(5, 6, false))
		s.SetEndpoint(registration(5, 7, true))
		if tc.removed {
			s.RemoveEndpoint("e", now)
		}
		s.SetRestoredEndpoint(tc.restored)
		got := s.View().FindEndpoint("s", "e")
		if (got == nil) != (tc.want == nil) || got != nil && *got != *tc.want {
			t.Errorf("%s: endpoint = %+v, want %+v", name, got, tc.want)
		}
	}
	s := NewState()
	s.SetEndpoint(registration(5, 7, false))
	s.RemoveEndpoint("e", now)
	s.Expire(now.Add(removedRetention))
	if len(s.latest)+len(s.removed) > 0 {
		t.Errorf("registrations kept after the retention: %v, want none", s.latest)
	}
}

// fakeStore is a Store in memory.
type fakeStore struct {
	mu        sync.Mutex
	items     map[string]Item
	events    []Item
	revision  int64
	compacted bool // Watch returns ErrCompacted until the next List.
	down      bool // All calls return ErrUnavailable.
	epoch     int64
}

func (f *fakeStore) put(key string, deleted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	i := Item{Key: key, Revision: f.revision, Deleted: deleted}
	f.events = append(f.events, i)
	if deleted {
		delete(f.items, key)
		return
	}
	f.items[key] = i
}

func (f *fakeStore) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func (f *fakeStore) List(context.Context, string) ([]Item, Position, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return nil, Position{}, ErrUnavailable
	}
	f.compacted = false
	var out []Item
	for _, i := range f.items {
		out = append(out, i)
	}
	return out, Position{f.epoch, f.revision}, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after Position, wait time.Duration) (Changes, error) {
	for end := time.Now().Add(wait); ; time.Sleep(10 * time.Millisecond) {
		f.mu.Lock()
		down, epoch, revision := f.down, f.epoch, f.revision
		compacted := f.compacted || after.Revision > revision
		var out []Item
		for _, i := range f.events {
			if i.Revision > after.Revision {
				out = append(out, i)
			}
		}
		f.mu.Unlock()
		switch {
		case down:
			return Changes{}, ErrUnavailable
		case compacted:
			return Changes{}, ErrCompacted
		case epoch != after.Epoch:
			return Changes{}, ErrRestored
		case len(out) > 0 || !time.Now().Before(end) || ctx.Err() != nil:
			return Changes{Items: out, Position: Position{epoch, revision}, ConfirmedAt: time.Now()}, ctx.Err()
		}
	}
}

// backup returns a function that restores the present contents.
func (f *fakeStore) backup() (restore func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	items, events, revision := maps.Clone(f.items), slices.Clone(f.events), f.revision
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.items, f.events, f.revision = maps.Clone(items), slices.Clone(events), revision
		f.epoch++
	}
}

// After any series of changes, restores and outages the follower has the same revisions as the
// store, also if a revision was given out again for another change.
func TestFollowerMirrorsRestoredStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := &fakeStore{items: map[string]Item{}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		mirror := map[string]int64{}
		f := &Follower{Store: store, Log: logrus.NewEntry(log), revisions: map[string]int64{}, OnChange: func(i Item) {
			if i.Deleted {
				delete(mirror, i.Key)
			} else {
				mirror[i.Key] = i.Revision
			}
		}}
		restores := []func(){store.backup()}
		step := func() error {
			err := f.step(t.Context())
			if errors.Is(err, ErrRestored) || errors.Is(err, ErrCompacted) {
				f.listed = false
			}
			return err
		}
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				store.put(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key"), rapid.Bool().Draw(t, "deleted"))
			case 2:
				restores = append(restores, store.backup())
			case 3:
				rapid.SampledFrom(restores).Draw(t, "backup")()
			case 4:
				store.update(func() { store.down = !store.down })
			default:
				_ = step() // Fails during an outage.
			}
		}
		store.update(func() { store.down = false })
		for range 3 {
			_ = step() // A watch that cannot continue, a listing and a watch.
		}
		want := map[string]int64{}
		for key, item := range store.items {
			want[key] = item.Revision
		}
		if !maps.Equal(mirror, want) {
			t.Fatalf("revisions at the follower = %v, want %v", mirror, want)
		}
	})
}

// After a loss of the store's history or an outage, the follower has the same items as the
// store. Deletions that it missed are reported as deletions.
func TestFollowerMirrorsStoreAfterHistoryLossAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakeStore{items: map[string]Item{}}
		log := logrus.New()
		log.SetOutput(io.Discard)
		mirror := map[string]bool{}
		var mu sync.Mutex
		recoveries := 0
		f := &Follower{
			Store: store, WatchTimeout: time.Second, Log: logrus.NewEntry(log),
			OnListed: func(Position) {}, OnRecovered: func(time.Time) { recoveries++ },
			OnChange: func(i Item) {
				mu.Lock()
				defer mu.Unlock()
				if i.Deleted {
					delete(mirror, i.Key)
				} else {
					mirror[i.Key] = true
				}
			},
		}
		ctx, stop := context.WithCancel(t.Context())
		done := make(chan error)
		go func() { done <- f.Serve(ctx) }()
		expectSameCount := func(step string) {
			t.Helper()
			time.Sleep(5 * time.Second)
			mu.Lock()
			defer mu.Unlock()
			if len(mirror) != len(store.items) {
				t.Errorf("after %s: follower has %v, want as many items as the store: %v", step, mirror, store.items)
			}
		}
		store.put("a", false)
		store.put("b", false)
		expectSameCount("first listing")
		store.put("a", true)
		store.put("c", false)
		expectSameCount("watch")
		store.update(func() { store.compacted = true; store.events = nil })
		store.put("b", true)
		store.update(func() { store.events = nil })
		expectSameCount("loss of history")
		store.update(func() { store.down = true })
		store.put("d", false)
		time.Sleep(3 * time.Second)
		store.update(func() { store.down = false })
		expectSameCount("outage")
		if recoveries != 1 {
			t.Errorf("OnRecovered was called %d times, want 1", recoveries)
		}
		stop()
		<-done
	})
}

// Guards against a version that counts as the sole one of a service although an endpoint started again with
// another one under its ID, or a route that counts as one of a single service although it was changed.
func TestSoleSoftwareAndServiceFollowChanges(t *testing.T) {
	s := NewState()
	now := time.Unix(1000, 0)
	s.now = func() time.Time { return now }
	config := func(version int64, services ...string) *Config {
		r := &Route{Name: "r", Host: "h", PathPrefix: "/"}
		for _, name := range services {
			r.Splits = append(r.Splits, Split{Service: name, Weight: 1})
		}
		return NewConfig(version, []*Route{r}, nil, nil)
	}
	check := func(step string, since time.Time, software, service string) {
		t.Helper()
		if got := s.SoleSoftware("llm", since); got != software {
			t.Errorf("%s: sole software version = %q, want %q", step, got, software)
		}
		if got := s.SoleService("r", since); got != service {
			t.Errorf("%s: sole service = %q, want %q", step, got, service)
		}
	}
	s.MarkListed()
	s.SetConfig(config(1, "llm"))
	s.SetEndpoint(&Endpoint{ID: "e", Service: "llm", SoftwareVersion: "v1", Incarnation: 1})
	check("one version and one service", now, "v1", "llm")
	now = now.Add(10 * time.Second)
	s.SetEndpoint(&Endpoint{ID: "e", Service: "llm", SoftwareVersion: "v2", Incarnation: 2})
	s.SetConfig(config(2, "llm", "draft"))
	check("restart with other software, split route", now.Add(-time.Second), "", "")
	now = now.Add(10 * time.Second)
	s.SetConfig(config(3, "draft"))
	check("moved route, since before the move", now.Add(-time.Second), "v2", "")
	now = now.Add(10 * time.Second)
	s.SetConfig(config(4, "draft"))
	check("same service in a newer configuration", now.Add(-10*time.Second), "v2", "draft")
}

// fixedStore returns one listing, then prepared changes.
type fixedStore struct {
	listing []Item
	changes []Changes
}

func (s *fixedStore) List(context.Context, string) ([]Item, Position, error) {
	return s.listing, Position{1, 5}, nil
}

func (s *fixedStore) Watch(ctx context.Context, _ string, _ Position, _ time.Duration) (Changes, error) {
	if len(s.changes) == 0 {
		<-ctx.Done()
		return Changes{}, ctx.Err()
	}
	c := s.changes[0]
	s.changes = s.changes[1:]
	return c, nil
}

// A complete list of items stands for all changes since: items that it lacks were deleted, also for those who read
// the change log.
func TestCompleteChangesDeleteMissingItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fixedStore{
			listing: []Item{{Key: "a", Revision: 3}, {Key: "b", Revision: 4}, {Key: "c", Revision: 5}},
			changes: []Changes{{
				Items:    []Item{{Key: "a", Revision: 3}, {Key: "c", Revision: 8}},
				Position: Position{1, 9}, ConfirmedAt: time.Now(), Complete: true,
			}},
		}
		changed := NewChangeLog(nil)
		var got []Item
		log := logrus.New()
		log.SetOutput(io.Discard)
		f := &Follower{Store: store, ChangeLog: changed, Log: logrus.NewEntry(log), OnChange: func(i Item) { got = append(got, i) }}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Serve(ctx) }()
		synctest.Wait()
		cancel()
		synctest.Wait()
		want := []Item{{Key: "c", Revision: 8}, {Key: "b", Revision: 9, Deleted: true}}
		if !reflect.DeepEqual(got[3:], want) {
			t.Errorf("changes = %+v, want %+v", got[3:], want)
		}
		if read, _, err := changed.Read(Position{1, 5}); err != nil || !reflect.DeepEqual(read.Items, want) {
			t.Errorf("log after the listing = %+v, error %v, want %+v", read.Items, err, want)
		}
	})
}

// seriesStore has a change for each watch, as if another process had read it.
type seriesStore struct{ revision int64 }

func (s *seriesStore) List(context.Context, string) ([]Item, Position, error) {
	return nil, Position{1, 1}, nil
}

func (s *seriesStore) Watch(context.Context, string, Position, time.Duration) (Changes, error) {
	s.revision++
	return Changes{
		Items: []Item{{Key: "config", Revision: 1 + s.revision}}, Position: Position{1, 1 + s.revision}, ConfirmedAt: time.Now(), Relayed: true,
	}, nil
}

// Pattern: changes of a large configuration follow one another faster than a small VM decodes them. Before, it decoded all the
// time, and requests got no processor.
func TestSeriesOfChangesLeavesHalfOfTheProcessor(t *testing.T) {
	const decoding, window = 150 * time.Millisecond, 30 * time.Second
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		busy := time.Duration(0)
		f := &Follower{Store: &seriesStore{}, Log: logrus.NewEntry(log), OnChange: func(Item) {
			time.Sleep(decoding)
			busy += decoding
		}}
		ctx, cancel := context.WithTimeout(t.Context(), window)
		defer cancel()
		_ = f.Serve(ctx)
		if busy > window/2+decoding || busy < window/3 {
			t.Errorf("decoded for %s of %s, want about half of it", busy, window)
		}
	})
}

// A restored store may lack the key of an evacuation until the operator's items are written again. The evacuation
// must go on meanwhile, also over a second restore, and end if the key stays missing. A removal ends it at once.
func TestEvacuationOutlastsMissingKeyAfterRestore(t *testing.T) {
	now := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return now.Add(d) }
	s := NewState()
	s.now = func() time.Time { return now }
	begin := func(domains ...string) {
		for _, d := range domains {
			s.BeginEvacuation(d, now, now)
		}
	}
	expect := func(when string, want ...string) {
		t.Helper()
		var got []string
		for _, d := range []string{"missing", "rewritten", "removed"} {
			if s.View().Evacuations.Evacuated(d) {
				got = append(got, d)
			}
		}
		if !slices.Equal(got, want) {
			t.Errorf("evacuated domains %s = %v, want %v", when, got, want)
		}
	}
	begin("missing", "rewritten", "removed")
	s.EndEvacuation("removed", false, now)
	expect("after a removal", "missing", "rewritten")
	s.EndEvacuation("missing", true, now)
	s.EndEvacuation("rewritten", true, now)
	begin("rewritten")
	now = at(2 * time.Second)
	s.OperatorRecovered(now)
	s.ExpireEvacuations(at(rewriteGrace - time.Millisecond))
	expect("within the grace period", "missing", "rewritten")
	if ended := s.ExpireEvacuations(at(rewriteGrace)); !slices.Equal(ended, []string{"missing"}) {
		t.Errorf("evacuations that ended with the grace period = %v, want missing", ended)
	}
	expect("after the grace period", "rewritten")
}

// A deletion is marked if it comes from the first listing after a restore, and only then. The time up to
// which an item had not changed is known, unless the process has just started.
func TestFollowerMarksDeletionsByRestore(t *testing.T) {
	store := &fakeStore{items: map[string]Item{}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	type change struct {
		Item
		since time.Time
	}
	var got []change
	f := &Follower{Store: store, Log: logrus.NewEntry(log), revisions: map[string]int64{}}
	f.OnChange = func(i Item) { got = append(got, change{i, f.ConfirmedAt()}) }
	step := func() change {
		got = nil
		for range 2 { // A watch that cannot continue, and a listing.
			if err := f.step(t.Context()); err != nil {
				f.listed = false
			}
		}
		if len(got) != 1 {
			t.Fatalf("changes = %v, want one", got)
		}
		return got[0]
	}
	restore := store.backup()
	store.put("a", false)
	if i := step(); !i.since.IsZero() {
		t.Errorf("time before the first listing = %s, want none", i.since)
	}
	store.put("a", true)
	if i := step(); !i.Deleted || i.Restored || i.since.IsZero() {
		t.Errorf("deletion = %+v, want one that is not marked as restored, with a time", i)
	}
	store.put("a", false)
	step()
	restore()
	if i := step(); !i.Deleted || !i.Restored {
		t.Errorf("change by the restore = %+v, want a deletion marked as restored", i)
	}
}
