package permits

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

var limits = Limits{PerSecond: 4, InFlight: 8}

// singleEntry is the members.View of a fleet with one entry.
type singleEntry struct{}

// Self implements members.View.
func (singleEntry) Self() members.Member { return members.Member{VM: "entry-1", Address: "entry-1"} }

// Entries implements members.View.
func (e singleEntry) Entries() []members.Member { return []members.Member{e.Self()} }

type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// newAgents returns the Permits of count agents in a fleet with one entry. The
// entry's and the agents' background work ends with ctx and is tracked in group.
func newAgents(ctx context.Context, group *sync.WaitGroup, count int) []*Permits {
	var handler http.Handler
	client := &transport.Client{
		Scheme: "http",
		HTTP: &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
			recorder := httptest.NewRecorder()
			handler.ServeHTTP(recorder, r)
			return recorder.Result(), nil
		})},
	}
	log := logrus.New()
	holder := shares.NewShareHolder(shares.ShareHolderOptions{
		Self: limit.Member{VM: "entry-1", Incarnation: 1}, Members: singleEntry{}, Store: store.NewMemory(),
		Client: client, Log: log.WithField("vm", "entry-1"), Metrics: tally.NoopScope,
		ReadVMList: func() shares.VMListing {
			return shares.VMListing{EntryVMs: []ident.VM{"entry-1"}, ReadAt: time.Now()}
		},
	})
	handler = holder.Handler()
	group.Go(func() { _ = holder.Serve(ctx) })
	time.Sleep(2 * time.Second)
	var agents []*Permits
	for i := range count {
		reserver := shares.NewReserver(shares.ReserverOptions{
			Self: limit.Member{VM: "engine", Incarnation: limit.Incarnation(i + 1)}, Client: client,
			Peers: shares.PeersFromView(singleEntry{}), Metrics: tally.NoopScope,
		})
		group.Go(func() { _ = reserver.Serve(ctx) })
		agents = append(agents, New(Options{Reserver: reserver, Limits: limits, Metrics: tally.NoopScope}))
	}
	return agents
}

// loadTracker records the running loads and their start times.
type loadTracker struct {
	mu         sync.Mutex
	running    int
	maxRunning int
	started    []time.Time
}

func (lt *loadTracker) loadStarted() {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.running++
	lt.maxRunning = max(lt.maxRunning, lt.running)
	lt.started = append(lt.started, time.Now())
}

func (lt *loadTracker) loadEnded() {
	lt.mu.Lock()
	defer lt.mu.Unlock()
	lt.running--
}

// runLoads runs the given number of loads concurrently, spread over the agents
// and each for loadTime. It returns after all loads have ended.
func runLoads(t *testing.T, agents []*Permits, loads int, loadTime time.Duration) *loadTracker {
	t.Helper()
	lt := &loadTracker{}
	var group sync.WaitGroup
	for i := range loads {
		group.Go(func() {
			release, err := agents[i%len(agents)].Acquire(t.Context())
			if err != nil {
				t.Error(err)
				return
			}
			lt.loadStarted()
			time.Sleep(loadTime)
			lt.loadEnded()
			release()
		})
	}
	group.Wait()
	return lt
}

// withAgents runs a test with count agents of one fleet inside a synctest bubble.
func withAgents(t *testing.T, count int, test func(t *testing.T, agents []*Permits)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		var group sync.WaitGroup
		test(t, newAgents(ctx, &group, count))
		stop()
		group.Wait()
	})
}

func TestLoadsInFlightStayWithinLimit(t *testing.T) {
	withAgents(t, 5, func(t *testing.T, agents []*Permits) {
		if lt := runLoads(t, agents, 40, 5*time.Second); lt.maxRunning != int(limits.InFlight) {
			t.Fatalf("peak number of loads in flight = %d, want %d", lt.maxRunning, limits.InFlight)
		}
	})
}

func TestLoadStartsStayWithinRate(t *testing.T) {
	withAgents(t, 5, func(t *testing.T, agents []*Permits) {
		lt := runLoads(t, agents, 40, 250*time.Millisecond)
		for i := range lt.started {
			for j := i; j < len(lt.started); j++ {
				maxLoads := float64(limits.PerSecond) * (1 + lt.started[j].Sub(lt.started[i]).Seconds())
				if float64(j-i+1) > maxLoads+1e-6 {
					t.Fatalf("%d loads started within %s, want at most %.1f", j-i+1, lt.started[j].Sub(lt.started[i]), maxLoads)
				}
			}
		}
		maxDuration := time.Duration(float64(len(lt.started))/float64(limits.PerSecond)*float64(time.Second)) * 2
		if took := lt.started[len(lt.started)-1].Sub(lt.started[0]); took > maxDuration {
			t.Fatalf("%d loads took %s to start, want at most twice the time that the rate allows", len(lt.started), took)
		}
	})
}

// An agent that ends without releasing its permits must not block the fleet for
// longer than limit.PermitLifetime.
func TestUnreleasedPermitsExpire(t *testing.T) {
	withAgents(t, 2, func(t *testing.T, agents []*Permits) {
		for range limits.InFlight {
			if _, err := agents[0].Acquire(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		lastAcquiredAt := time.Now()
		shortCtx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		if _, err := agents[1].Acquire(shortCtx); err == nil {
			t.Fatal("Acquire() granted a permit while all permits may be in use")
		}
		if _, err := agents[1].Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		if waited := time.Since(lastAcquiredAt); waited > limit.PermitLifetime+maxRetryWait {
			t.Fatalf("Acquire() waited %s for an expired permit, want at most PermitLifetime plus maxRetryWait", waited)
		}
	})
}
