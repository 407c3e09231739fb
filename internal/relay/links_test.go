package relay

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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
	mbit          = 1e6 / 8         // Bytes per second of 1 Mbit/s.
	slowLink      = 10 * mbit       // The usual link of a router.
	fastLink      = 200 * mbit      // The link of a large router.
	schedulerLink = 2000 * mbit     // The link of an engine's VM.
	routerDecode  = 0.144 * 50e6    // Bytes per second that a small router decodes: its share of a core that decodes 50 MB/s.
	largeDecode   = 0.8 * 50e6      // The same of a large router.
	sideDecode    = 0.32 * 50e6     // The same of a scheduler.
	base64Growth  = 4.0 / 3         // Size of a value in a response of the store.
	chunkBytes    = 8 << 10         // Bytes that a connection sends before another one has its turn.
	linkBound     = 3 * time.Second // Time in which a change must be in force.
)

// link is a link of a VM in one direction. Concurrent transfers share its rate.
type link struct {
	rate float64 // Bytes per second.

	mu   sync.Mutex
	free time.Time // When the bytes queued so far are sent.
	sent float64
}

// send returns once n bytes have been sent.
func (l *link) send(n float64) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(n / l.rate * float64(time.Second)))
	until := l.free
	l.sent += n
	l.mu.Unlock()
	if d := time.Until(until); d > 0 {
		time.Sleep(d)
	}
}

// linkStore is a store with one value that may be large. It passes each change on, as its watches do.
type linkStore struct {
	mu      sync.Mutex
	history []catalog.Item
	acked   []time.Time // By index in history.
	changed chan struct{}
}

func (s *linkStore) put(value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = append(s.history, catalog.Item{Key: "config", Value: value, Revision: int64(len(s.history)) + 1})
	s.acked = append(s.acked, time.Now())
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *linkStore) after(revision int64) ([]catalog.Item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.history[min(int(revision), len(s.history)):]), int64(len(s.history)), s.changed
}

// dueRevision returns the newest revision that was acknowledged before a time.
func (s *linkStore) dueRevision(t time.Time) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := len(s.acked)
	for n > 0 && s.acked[n-1].After(t) {
		n--
	}
	return int64(n)
}

// linkProcess is a follower on a VM with links and a processor. It is its own connection to the store.
type linkProcess struct {
	name     string
	relays   bool // Other processes read from it.
	store    *linkStore
	up, down *link
	decode   float64 // Bytes per second.
	server   http.Handler

	mu       sync.Mutex
	revision int64
	paused   bool
}

func (p *linkProcess) isPaused() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.paused
}

// receive models a response of the store. Like the client of the store, it gives up after a time.
func (p *linkProcess) receive(items []catalog.Item, timeout time.Duration) error {
	began := time.Now()
	for _, i := range items {
		for left := float64(len(i.Value)) * base64Growth; left > 0; left -= chunkBytes {
			p.down.send(min(left, chunkBytes))
			if time.Since(began) > timeout {
				return catalog.ErrUnavailable
			}
		}
	}
	return nil
}

// List implements catalog.Store.
func (p *linkProcess) List(context.Context, string) ([]catalog.Item, catalog.Position, error) {
	time.Sleep(callTime)
	items, revision, _ := p.store.after(0)
	items = items[len(items)-1:]
	if err := p.receive(items, 1500*time.Millisecond); err != nil {
		return nil, catalog.Position{}, err
	}
	return items, catalog.Position{Epoch: 1, Revision: revision}, nil
}

// Watch implements catalog.Store.
func (p *linkProcess) Watch(ctx context.Context, _ string, after catalog.Position, wait time.Duration) (catalog.Changes, error) {
	began := time.Now()
	time.Sleep(callTime)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		items, revision, changed := p.store.after(after.Revision)
		position := catalog.Position{Epoch: 1, Revision: revision}
		if len(items) > 0 {
			if err := p.receive(items, wait+watchMargin-time.Since(began)); err != nil {
				return catalog.Changes{}, err
			}
			return catalog.Changes{Items: items, Position: position, ConfirmedAt: began}, nil
		}
		select {
		case <-ctx.Done():
			return catalog.Changes{}, ctx.Err()
		case <-timer.C:
			return catalog.Changes{Position: position, ConfirmedAt: began.Add(wait)}, nil
		case <-changed:
		}
	}
}

// apply models the decoding of a value.
func (p *linkProcess) apply(i catalog.Item) {
	time.Sleep(time.Duration(float64(len(i.Value)) / p.decode * float64(time.Second)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.revision = i.Revision
}

// linkFleet is the processes of one failure domain. It implements http.RoundTripper for each of them.
type linkFleet struct {
	store     *linkStore
	processes []*linkProcess
	wait      sync.WaitGroup
	stop      context.CancelFunc
}

// linkTransport is the network as one process sees it.
type linkTransport struct {
	fleet *linkFleet
	to    *link // Towards the process.
}

// RoundTrip implements http.RoundTripper.
func (t linkTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var relay *linkProcess
	for _, p := range t.fleet.processes {
		if p.name == req.URL.Host {
			relay = p
		}
	}
	if relay.isPaused() {
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	w := httptest.NewRecorder()
	relay.server.ServeHTTP(w, req)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	resp := w.Result()
	resp.Body = &linkBody{ctx: req.Context(), data: w.Body.Bytes(), relay: relay, to: t.to}
	return resp, nil
}

// linkBody is a response body that comes over the links of both VMs.
type linkBody struct {
	ctx   context.Context
	data  []byte
	relay *linkProcess
	to    *link
}

// Read implements io.Reader.
func (b *linkBody) Read(p []byte) (int, error) {
	if b.relay.isPaused() {
		<-b.ctx.Done()
	}
	if err := b.ctx.Err(); err != nil {
		return 0, err
	}
	if len(b.data) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), chunkBytes)], b.data)
	b.relay.up.send(float64(n))
	b.to.send(float64(n))
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *linkBody) Close() error { return nil }

// startLinkFleet starts routers and schedulers of one failure domain.
func startLinkFleet(t *testing.T, value []byte, fast, slow, schedulers int) *linkFleet {
	log := logrus.New()
	log.SetOutput(io.Discard)
	ctx, stop := context.WithCancel(t.Context())
	f := &linkFleet{store: &linkStore{changed: make(chan struct{})}, stop: stop}
	f.store.put(value)
	add := func(name string, rate, decode float64, relays bool) {
		f.processes = append(f.processes, &linkProcess{
			name: name, relays: relays, store: f.store, up: &link{rate: rate}, down: &link{rate: rate}, decode: decode,
		})
	}
	for i := range fast {
		add(fmt.Sprint("fast-", i), fastLink, largeDecode, true)
	}
	for i := range slow {
		add(fmt.Sprint("slow-", i), slowLink, routerDecode, true)
	}
	for i := range schedulers {
		add(fmt.Sprint("scheduler-", i), schedulerLink, sideDecode, false)
	}
	for _, p := range f.processes {
		vm := ""
		if p.relays {
			vm = p.name
		}
		relays := NewRelays(vm, "a", linkTransport{f, p.down}, tally.NoopScope, logrus.NewEntry(log))
		for _, r := range f.processes {
			if r.relays {
				relays.Update(relaychoice.Relay{
					VM: r.name, Address: r.name, FailureDomain: "a", Capacity: relaychoice.Capacity(r.up.rate/mbit, r.decode/50e6),
				}, true)
			}
		}
		changes := catalog.NewChangeLog(nil)
		router := chi.NewRouter()
		NewServer(map[string]*catalog.ChangeLog{"topic": changes}).Mount(router)
		p.server = router
		reader := &Reader{Store: p, Topic: "topic", Relays: relays, Freshness: WithinDeferring(linkBound)}
		follower := &catalog.Follower{
			Store: reader, WatchTimeout: reader.Freshness.WatchTimeout, MinInterval: reader.Freshness.BatchInterval, ChangeLog: changes, Log: logrus.NewEntry(log), OnChange: p.apply,
		}
		f.wait.Go(func() { _ = follower.Serve(ctx) })
	}
	return f
}

func (f *linkFleet) close() {
	f.stop()
	f.wait.Wait()
}

// latest returns the longest time for which a process that is not paused lacked a change that was acknowledged
// the bound ago, from now on until all have the newest change.
func (f *linkFleet) latest(t *testing.T, atLeast time.Duration) map[string]time.Duration {
	const step = 20 * time.Millisecond
	late := map[string]time.Duration{}
	for began := time.Now(); time.Since(began) < time.Minute; time.Sleep(step) {
		newest, _, _ := f.store.after(0)
		done := time.Since(began) > atLeast
		due := f.store.dueRevision(time.Now().Add(-linkBound))
		for _, p := range f.processes {
			p.mu.Lock()
			if !p.paused {
				done = done && p.revision == int64(len(newest))
				if p.revision < due {
					late[p.name] += step
				}
			}
			p.mu.Unlock()
		}
		if done {
			return late
		}
	}
	t.Errorf("not all processes have the newest change a minute after the first")
	return late
}

// testConfig returns a text like a configuration: many entries that differ, and one that is of a version.
func testConfig(size, version int) []byte {
	rng := rand.New(rand.NewPCG(1, 2))
	var out bytes.Buffer
	out.WriteString(`{"version":` + strconv.Itoa(version) + `,"routes":[`)
	for i := 0; out.Len() < size; i++ {
		weight := 100
		if i == version%50 {
			weight = version
		}
		fmt.Fprintf(&out, `{"name":"r-%07x","host":"%06x.example","path-prefix":"/%08x/","kind":"stream","timeout-ms":5000,"weight":%d},`,
			rng.Uint32(), rng.Uint32(), rng.Uint32(), weight)
	}
	out.WriteString(`{}]}`)
	return out.Bytes()
}

// Pattern: many changes of a configuration follow one another, each of which is the whole configuration. Routers on
// slow links read them for the others of their failure domain. Each change must be in force in time on each process.
// Before, the whole configuration went to each process with each change, processes that lagged behind were sent all
// versions since, and calls that did not end in time began anew.
func TestSeriesOfLargeChangesIsInForceWithinBound(t *testing.T) {
	for name, tc := range map[string]struct {
		size    int
		gap     time.Duration
		changes int
		fast    int // Routers on fast links, in addition to six on slow ones.
		pause   bool
	}{
		"10 KB each 50 ms":                {10 << 10, 50 * time.Millisecond, 120, 0, false},
		"30 KB each 50 ms":                {30 << 10, 50 * time.Millisecond, 120, 0, false},
		"100 KB each 60 ms":               {100 << 10, 60 * time.Millisecond, 50, 0, false},
		"300 KB once":                     {300 << 10, 0, 1, 0, false},
		"300 KB each 60 ms":               {300 << 10, 60 * time.Millisecond, 25, 0, false},
		"1 MB each 60 ms, fast router":    {1 << 20, 60 * time.Millisecond, 40, 1, false},
		"30 KB each 50 ms, relay paused":  {30 << 10, 50 * time.Millisecond, 120, 0, true},
		"300 KB each 60 ms, relay paused": {300 << 10, 60 * time.Millisecond, 25, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := startLinkFleet(t, testConfig(tc.size, 1), tc.fast, 6, 10)
				defer f.close()
				time.Sleep(10 * time.Second) // After the start.
				before := f.sentByRelays()
				go func() {
					for version := range tc.changes {
						if version == tc.changes/2 && tc.pause {
							f.pauseSource()
						}
						f.store.put(testConfig(tc.size, version+2))
						time.Sleep(tc.gap)
					}
				}()
				late := f.latest(t, time.Duration(tc.changes)*tc.gap+time.Second)
				t.Logf("bytes from relays for each change: %.0f", (f.sentByRelays()-before)/float64(tc.changes))
				if len(late) > 0 {
					t.Errorf("processes lacked a change longer than %s after its ack, for: %v", linkBound, late)
				}
			})
		})
	}
}

// sentByRelays returns the bytes that relays have sent.
func (f *linkFleet) sentByRelays() float64 {
	total := 0.0
	for _, p := range f.processes {
		p.up.mu.Lock()
		total += p.up.sent
		p.up.mu.Unlock()
	}
	return total
}

// pauseSource pauses the process that has sent the most to others.
func (f *linkFleet) pauseSource() {
	source, most := f.processes[0], 0.0
	for _, p := range f.processes {
		p.up.mu.Lock()
		if p.up.sent > most {
			source, most = p, p.up.sent
		}
		p.up.mu.Unlock()
	}
	source.mu.Lock()
	defer source.mu.Unlock()
	source.paused = true
}
