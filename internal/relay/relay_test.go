package relay

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/relaychoice"
)

const (
	testBound   = 2 * time.Second
	testDomains = 6
	watchMargin = 700 * time.Millisecond // Time after the wait of a watch at which the store's client gives up.
	callTime    = 4 * time.Millisecond   // Time of a call to the store.
)

// testStore is a store with one changing item.
type testStore struct {
	mu       sync.Mutex
	revision int64
	changed  chan struct{}
	watches  int
}

func newTestStore() *testStore { return &testStore{revision: 1, changed: make(chan struct{})} }

func (s *testStore) put() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *testStore) watchCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.watches
}

func (s *testStore) state() (int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision, s.changed
}

// faults are the faults of one process.
type faults struct {
	mu     sync.Mutex
	dead   bool          // The process does not run.
	died   chan struct{} // Closed when it is killed.
	paused bool          // The process is suspended.
	cutOff bool          // The store does not respond to the process.
	denied bool          // The store refuses the calls of the process at once.
	delay  time.Duration // Delay of its responses to other processes.
}

func (f *faults) set(change func(*faults)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *faults) kill() {
	f.set(func(f *faults) { f.dead = true })
	close(f.died)
}

func (f *faults) get() (dead, paused, cutOff bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.dead, f.paused, f.cutOff, f.delay
}

// storeConn is a process's connection to the store.
type storeConn struct {
	store  *testStore
	faults *faults
}

func (c storeConn) unavailable() bool {
	dead, paused, cutOff, _ := c.faults.get()
	return dead || paused || cutOff
}

func (c storeConn) denied() bool {
	c.faults.mu.Lock()
	defer c.faults.mu.Unlock()
	return c.faults.denied
}

func (c storeConn) List(context.Context, string) ([]catalog.Item, catalog.Position, error) {
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	return []catalog.Item{{Key: "item", Revision: c.store.revision}}, catalog.Position{Epoch: 1, Revision: c.store.revision}, nil
}

func (c storeConn) Watch(ctx context.Context, _ string, after catalog.Position, wait time.Duration) (catalog.Changes, error) {
	began := time.Now()
	c.store.mu.Lock()
	c.store.watches++
	c.store.mu.Unlock()
	timer := time.NewTimer(wait + callTime)
	defer timer.Stop()
	for {
		revision, changed := c.store.state()
		if c.denied() {
			return catalog.Changes{}, catalog.ErrUnavailable
		}
		if c.unavailable() {
			time.Sleep(wait + watchMargin - time.Since(began))
			return catalog.Changes{}, catalog.ErrUnavailable
		}
		position := catalog.Position{Epoch: 1, Revision: revision}
		if revision > after.Revision {
			return catalog.Changes{Items: []catalog.Item{{Key: "item", Revision: revision}}, Position: position, ConfirmedAt: began}, nil
		}
		select {
		case <-ctx.Done():
			return catalog.Changes{}, ctx.Err()
		case <-timer.C:
			if c.unavailable() {
				continue
			}
			return catalog.Changes{Position: position, ConfirmedAt: began.Add(wait)}, nil
		case <-changed:
		}
	}
}

// testProcess is a follower with its relays and change log.
type testProcess struct {
	relay  relaychoice.Relay
	faults *faults
	server http.Handler
	reader *Reader

	mu       sync.Mutex
	revision int64
}

// testFleet is a fleet of routers and schedulers without a network. It implements http.RoundTripper.
type testFleet struct {
	store     *testStore
	processes map[string]*testProcess // By address.
	wait      sync.WaitGroup
	stop      context.CancelFunc
}

// RoundTrip calls the process at the address of the request.
func (f *testFleet) RoundTrip(req *http.Request) (*http.Response, error) {
	p := f.processes[req.URL.Host]
	dead, paused, _, delay := p.faults.get()
	if dead {
		return nil, io.ErrUnexpectedEOF
	}
	if paused {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	w := httptest.NewRecorder()
	served := make(chan struct{})
	go func() {
		defer close(served)
		p.server.ServeHTTP(w, req)
	}()
	select {
	case <-served:
	case <-p.faults.died:
		return nil, io.ErrUnexpectedEOF
	}
	if _, paused, _, _ = p.faults.get(); paused {
		<-req.Context().Done()
	}
	time.Sleep(delay)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return w.Result(), nil
}

// startFleet starts routers and other processes, evenly over the failure domains.
func startFleet(t *testing.T, routers, others int) *testFleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	f := &testFleet{store: newTestStore(), processes: make(map[string]*testProcess)}
	ctx, stop := context.WithCancel(t.Context())
	f.stop = stop
	var relays []relaychoice.Relay
	for i := range routers {
		relays = append(relays, relaychoice.Relay{
			VM: fmt.Sprint("entry-", i), Address: fmt.Sprint("entry-", i, ":1"), FailureDomain: fmt.Sprint(i % testDomains),
		})
	}
	all := slices.Clone(relays)
	for i := range others {
		all = append(all, relaychoice.Relay{Address: fmt.Sprint("engine-", i, ":1"), FailureDomain: fmt.Sprint(i % testDomains)})
	}
	var followers []*catalog.Follower
	for _, self := range all {
		p := &testProcess{relay: self, faults: &faults{died: make(chan struct{})}}
		f.processes[self.Address] = p
		known := NewRelays(self.VM, self.FailureDomain, f, tally.NoopScope, logrus.NewEntry(log))
		for _, r := range relays {
			known.Update(r, true)
		}
		p.reader = &Reader{Store: storeConn{f.store, p.faults}, Topic: "topic", Relays: known, Freshness: WithinDeferring(testBound)}
		changes := catalog.NewChangeLog(nil)
		handler := chi.NewRouter()
		NewServer(map[string]*catalog.ChangeLog{"topic": changes}).Mount(handler)
		p.server = handler
		followers = append(followers, &catalog.Follower{
			Store: p.reader, WatchTimeout: p.reader.Freshness.WatchTimeout, ChangeLog: changes, Log: logrus.NewEntry(log),
			OnChange: func(i catalog.Item) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.revision = i.Revision
			},
		})
	}
	for _, follower := range followers {
		f.wait.Go(func() { _ = follower.Serve(ctx) })
	}
	return f
}

func (f *testFleet) close() {
	f.stop()
	f.wait.Wait()
}

// source returns the process that reads the store in a failure domain.
func (f *testFleet) source(domain string) *testProcess {
	for _, p := range f.processes {
		if _, relayed := p.reader.Relays.choose(); !relayed && p.relay.FailureDomain == domain {
			return p
		}
	}
	return nil
}

// The number of watches of the store per second must grow by less than the square root of the number
// of processes. Before, each process watched the store itself.
func TestStoreWatchesDoNotGrowWithProcesses(t *testing.T) {
	rates := map[int]float64{}
	for _, n := range []int{30, 100, 300} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, n/3, n-n/3)
			time.Sleep(10 * time.Second) // After the start.
			before := f.store.watchCount()
			for range 10 {
				f.store.put()
				time.Sleep(2 * time.Second)
			}
			after := f.store.watchCount()
			rates[n] = float64(after-before) / 20
			f.close()
		})
	}
	t.Logf("watches of the store per second by processes: %v", rates)
	for _, n := range []int{100, 300} {
		slope := math.Log(rates[n]/rates[30]) / math.Log(float64(n)/30)
		if slope >= 0.5 {
			t.Errorf("watches per second by processes = %v, growth from 30 to %d processes has the exponent %.2f, want below 0.5", rates, n, slope)
		}
	}
}

// Patterns: the process that reads the store for the others is killed, suspended, cut off from the
// store, slow to respond, or several of these at once with the next ones in order. A change made at any
// moment after that must reach each process without a fault within the bound.
func TestChangeReachesAllProcessesWithinBound(t *testing.T) {
	patterns := map[string]func(*faults){
		"none":    func(*faults) {},
		"killed":  (*faults).kill,
		"paused":  func(f *faults) { f.set(func(f *faults) { f.paused = true }) },
		"cut off": func(f *faults) { f.set(func(f *faults) { f.cutOff = true }) },
		"slow":    func(f *faults) { f.set(func(f *faults) { f.delay = 900 * time.Millisecond }) },
	}
	for name, pattern := range patterns {
		for failing := 1; failing <= 3; failing++ {
			for moment := time.Duration(0); moment < 2*testBound; moment += 310 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) {
					f := startFleet(t, 24, 24)
					defer f.close()
					time.Sleep(5*time.Second + moment)
					source := f.source("0")
					faulty := map[*testProcess]bool{}
					for range failing {
						p := source
						if len(faulty) > 0 {
							p = f.nextSource("0", faulty)
						}
						faulty[p] = true
						pattern(p.faults)
					}
					time.Sleep(moment / 2)
					revision := f.store.put()
					put := time.Now()
					time.Sleep(testBound)
					for _, p := range f.processes {
						p.mu.Lock()
						if !faulty[p] && p.revision != revision {
							t.Errorf("%s, %d failing, %s: %s has revision %d %s after the change, want %d",
								name, failing, moment, p.relay.Address, p.revision, time.Since(put), revision)
						}
						p.mu.Unlock()
					}
				})
			}
		}
	}
}

// nextSource returns the relay that a process without a fault would choose if the given ones failed.
func (f *testFleet) nextSource(domain string, failed map[*testProcess]bool) *testProcess {
	c := relaychoice.NewChooser("", domain)
	for _, p := range f.processes {
		if p.relay.VM != "" && !failed[p] {
			c.Set(p.relay)
		}
	}
	r, _ := c.Choose(time.Now())
	return f.processes[r.Address]
}

// A relay is lost. Its readers must not all read the store: one of them does, and the others read from
// that one.
func TestLossOfRelayCausesNoLastingDirectReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := startFleet(t, 60, 120)
		defer f.close()
		time.Sleep(5 * time.Second)
		f.source("0").faults.kill()
		before := f.store.watchCount()
		time.Sleep(testBound)
		after := f.store.watchCount()
		// Seven processes that read the store every 0.75 s, and one read by each of the 30 of the domain.
		if watches := after - before; watches > 7*3+30 {
			t.Errorf("watches in the %s after the loss of a relay = %d, want at most %d", testBound, watches, 7*3+30)
		}
		time.Sleep(settleTime)
		before = f.store.watchCount()
		time.Sleep(3 * time.Second)
		if after = f.store.watchCount(); after-before > 6*5+30 {
			t.Errorf("watches in 3 s, some time after the loss = %d, want at most %d", after-before, 6*5+30)
		}
	})
}

// Pattern: the store refuses all calls for some seconds. Only the reader of each failure domain may go on
// calling it often; before, each process did, 1.4 times a second. Once the store is back, a change made
// during the outage reaches all processes within the contact time.
func TestOutageIsProbedByFewProcesses(t *testing.T) {
	const (
		outage      = 10 * time.Second
		contactTime = 3 * time.Second
	)
	for _, silent := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := startFleet(t, 60, 120)
			defer f.close()
			setOutage := func(on bool) {
				for _, p := range f.processes {
					p.faults.set(func(f *faults) { f.cutOff, f.denied = on && silent, on && !silent })
				}
			}
			time.Sleep(5 * time.Second)
			setOutage(true)
			time.Sleep(testBound)
			before := f.store.watchCount()
			time.Sleep(outage)
			calls := float64(f.store.watchCount()-before) / outage.Seconds()
			// Six readers at the follower's longest retry delay of 0.7 s, the other processes once in the probe interval.
			if most := 6/0.7 + 174/(probeShare*testBound.Seconds()) + 1; calls > most {
				t.Errorf("silent %t: calls a second during the outage = %.0f, want at most %.0f", silent, calls, most)
			}
			revision := f.store.put()
			setOutage(false)
			time.Sleep(contactTime)
			for _, p := range f.processes {
				p.mu.Lock()
				if p.revision != revision {
					t.Errorf("silent %t: %s has revision %d %s after the outage, want %d", silent, p.relay.Address, p.revision, contactTime, revision)
				}
				p.mu.Unlock()
			}
		})
	}
}

// settleTime is a time after the loss of a relay at which its readers have settled.
const settleTime = 4 * time.Second

// The age of relayed changes counts from the read of the store: time that the relay or the network
// spent on the response adds to it.
func TestAgeOfRelayedChangesCountsFromTheRead(t *testing.T) {
	after := catalog.Position{Epoch: 1, Revision: 5}
	sent := time.Unix(1000, 0)
	for name, tc := range map[string]struct {
		in       wireChanges
		received time.Duration // After the call was sent.
		want     time.Duration // Confirmation, relative to the call; ignored with an error.
		stale    bool
	}{
		"no delay":               {wireChanges{Epoch: 1, AgeMS: 100, HeldMS: 400}, 400 * time.Millisecond, 300 * time.Millisecond, false},
		"delay of the network":   {wireChanges{Epoch: 1, AgeMS: 100, HeldMS: 400}, 600 * time.Millisecond, 300 * time.Millisecond, false},
		"delay makes it stale":   {wireChanges{Epoch: 1, AgeMS: 900, HeldMS: 0}, 400 * time.Millisecond, 0, true},
		"old when written":       {wireChanges{Epoch: 1, AgeMS: 1200, HeldMS: 0}, 0, 0, true},
		"clock of the relay ran": {wireChanges{Epoch: 1, AgeMS: 100, HeldMS: 900}, 400 * time.Millisecond, 300 * time.Millisecond, false},
	} {
		got, err := tc.in.decode(after, sent, sent.Add(tc.received), Within(testBound).MaxAge)
		if (err != nil) != tc.stale || err == nil && !got.ConfirmedAt.Equal(sent.Add(tc.want)) {
			t.Errorf("%s: confirmed %s after the call, error %v; want %s, stale %t", name, got.ConfirmedAt.Sub(sent), err, tc.want, tc.stale)
		}
	}
}

// Invalid calls and responses are rejected.
func TestInvalidWatchesAreRejected(t *testing.T) {
	handler := chi.NewRouter()
	NewServer(map[string]*catalog.ChangeLog{"topic": catalog.NewChangeLog(nil)}).Mount(handler)
	for query, want := range map[string]int{
		"topic=other&epoch=1&after=1&waitMs=1&maxAgeMs=1": http.StatusBadRequest,
		"topic=topic&epoch=x&after=1&waitMs=1&maxAgeMs=1": http.StatusBadRequest,
		"topic=topic&epoch=1&after=1&waitMs=1":            http.StatusBadRequest,
		"topic=topic&epoch=1&after=1&waitMs=1&maxAgeMs=1": http.StatusServiceUnavailable,
	} {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, pathChanges+"?"+query, nil))
		if w.Code != want {
			t.Errorf("%s: status %d, want %d", query, w.Code, want)
		}
	}
	for _, in := range []wireChanges{{Epoch: 2}, {Epoch: 1, AgeMS: -1}, {Epoch: 1, HeldMS: -1}} {
		if got, err := in.decode(catalog.Position{Epoch: 1}, time.Now(), time.Now(), time.Second); err == nil {
			t.Errorf("response %+v accepted as %+v, want an error", in, got)
		}
	}
}
