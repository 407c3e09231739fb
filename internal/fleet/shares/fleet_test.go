package shares

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	testRate  = 100
	testBurst = 1000
	account   = limit.Account("organisation/smithy")
)

var testTerms = limit.Terms{Rate: testRate, Burst: testBurst, Revision: 1}

// fleet is a set of share holders and reservers that call each other in memory.
type fleet struct {
	t               *testing.T
	memory          *store.Memory
	lastIncarnation limit.Incarnation

	mu         sync.Mutex
	nodes      map[ident.VM]*node
	listed     []ident.VM
	admissions []admission
}

// node is one entry.
type node struct {
	self         limit.Member
	shareHolder  *ShareHolder
	reserver     *Reserver
	stop         context.CancelFunc
	done         sync.WaitGroup
	ended        atomic.Bool // Calls to the node fail with a refused connection.
	unresponsive atomic.Bool // Calls to the node block until their context ends.
	staleListing bool        // The node no longer reads the VM list.
	lastListing  VMListing
}

// listing returns the function by which the node reads the VM list.
func (n *node) listing(f *fleet) func() VMListing {
	return func() VMListing {
		f.mu.Lock()
		defer f.mu.Unlock()
		if !n.staleListing {
			n.lastListing = VMListing{EntryVMs: f.listed, ReadAt: time.Now()}
		}
		return n.lastListing
	}
}

// admission is one admitted reservation.
type admission struct {
	at     time.Time
	tokens int64
}

// newFleet starts entries entry-1 to entry-N and waits until they share the
// limits.
func newFleet(t *testing.T, entries int) *fleet {
	f := &fleet{t: t, memory: store.NewMemory(), nodes: make(map[ident.VM]*node)}
	for i := range entries {
		f.start(ident.VM(fmt.Sprintf("entry-%d", i+1)))
	}
	time.Sleep(5 * time.Second)
	return f
}

// start starts an entry under a new incarnation.
func (f *fleet) start(vm ident.VM) *node {
	f.lastIncarnation++
	n := &node{self: limit.Member{VM: vm, Incarnation: f.lastIncarnation}}
	view := &testView{fleet: f, self: vm}
	client := f.client()
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.shareHolder = NewShareHolder(ShareHolderOptions{
		Self: n.self, Members: view, Store: f.memory, Client: client,
		Log: log.WithField("vm", vm), Metrics: tally.NoopScope, ReadVMList: n.listing(f),
	})
	n.reserver = NewReserver(ReserverOptions{
		Self: n.self, ShareHolder: n.shareHolder, Client: client, Peers: PeersFromView(view), Metrics: tally.NoopScope,
	})
	f.mu.Lock()
	f.nodes[vm] = n
	f.setListed(vm, true)
	f.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	n.done.Go(func() { _ = n.shareHolder.Serve(ctx) })
	n.done.Go(func() { _ = n.reserver.Serve(ctx) })
	return n
}

// setListed adds vm to the VM list or removes it. f.mu must be held.
func (f *fleet) setListed(vm ident.VM, listed bool) {
	var out []ident.VM
	for _, other := range f.listed {
		if other != vm {
			out = append(out, other)
		}
	}
	if listed {
		out = append(out, vm)
	}
	f.listed = out
}

// unlist removes vm from the VM list while its process keeps running.
func (f *fleet) unlist(vm ident.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setListed(vm, false)
}

// remove removes vm from the VM list and from the fleet.
func (f *fleet) remove(vm ident.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.setListed(vm, false)
	delete(f.nodes, vm)
}

// kill ends the process on vm without a handover.
func (f *fleet) kill(vm ident.VM) {
	f.mu.Lock()
	n := f.nodes[vm]
	n.ended.Store(true)
	f.mu.Unlock()
	n.stop()
	n.done.Wait()
}

func (f *fleet) close() {
	for _, n := range f.nodes {
		n.stop()
	}
	for _, n := range f.nodes {
		n.done.Wait()
	}
}

// client returns a client whose calls reach the handlers of the other nodes.
func (f *fleet) client() *transport.Client {
	return &transport.Client{Scheme: "http", HTTP: &http.Client{Transport: roundTripFunc(func(r *http.Request) (*http.Response, error) {
		f.mu.Lock()
		target, ok := f.nodes[ident.VM(r.URL.Host)]
		f.mu.Unlock()
		if !ok || target.ended.Load() {
			return nil, errors.New("connection refused")
		}
		if target.unresponsive.Load() {
			<-r.Context().Done()
			return nil, r.Context().Err()
		}
		time.Sleep(time.Millisecond)
		recorder := httptest.NewRecorder()
		target.shareHolder.Handler().ServeHTTP(recorder, r)
		return recorder.Result(), nil
	})}}
}

type roundTripFunc func(*http.Request) (*http.Response, error)

// RoundTrip implements http.RoundTripper.
func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// testView is a members.View of the VM list of a fleet.
type testView struct {
	fleet *fleet
	self  ident.VM
}

// Self implements members.View.
func (v *testView) Self() members.Member {
	return members.Member{VM: v.self, Address: string(v.self)}
}

// Entries implements members.View.
func (v *testView) Entries() []members.Member {
	v.fleet.mu.Lock()
	defer v.fleet.mu.Unlock()
	var out []members.Member
	for _, vm := range v.fleet.listed {
		out = append(out, members.Member{VM: vm, Address: string(vm)})
	}
	if !slices.Contains(v.fleet.listed, v.self) {
		out = append(out, v.Self()) // A view always includes the process itself.
	}
	return out
}

// reserve reserves tokens at a node and records the admission.
func (f *fleet) reserve(n *node, tokens int64) (*Reservation, error) {
	r, err := n.reserver.Reserve(f.t.Context(), account, testTerms, tokens)
	if err == nil {
		f.mu.Lock()
		f.admissions = append(f.admissions, admission{time.Now(), tokens})
		f.mu.Unlock()
	}
	return r, err
}

// reserveFor reserves and settles tokens at all nodes concurrently for the
// duration d, and returns the number of admitted tokens.
func (f *fleet) reserveFor(d time.Duration, tokens int64) int64 {
	var group sync.WaitGroup
	before := f.admittedTokens()
	until := time.Now().Add(d)
	for _, n := range f.nodes {
		group.Go(func() {
			for time.Now().Before(until) {
				if r, err := f.reserve(n, tokens); err == nil {
					r.Settle(tokens)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	group.Wait()
	f.checkWindows()
	return f.admittedTokens() - before
}

func (f *fleet) admittedTokens() int64 {
	sum := int64(0)
	for _, a := range f.admissions {
		sum += a.tokens
	}
	return sum
}

// checkWindows fails the test if any window of time admitted more than burst +
// rate x window.
func (f *fleet) checkWindows() {
	f.t.Helper()
	level, last := 0.0, time.Time{}
	for _, a := range f.admissions {
		level = max(level-a.at.Sub(last).Seconds()*testRate, 0)
		last = a.at
		level += float64(a.tokens)
		if level > testBurst+1e-6 {
			f.t.Fatalf("a window admitted %.3f tokens more than burst + rate x window", level-testBurst)
		}
	}
}

// requireAdmitted fails the test if got is below want by more than one request
// per share.
func (f *fleet) requireAdmitted(got, want, request int64) {
	f.t.Helper()
	if got < want-limit.Shares*request {
		f.t.Fatalf("admitted %d tokens, want at least %d less one request of %d tokens per share", got, want, request)
	}
}

func TestEntriesTogetherReachAndNeverExceedLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), testBurst+10*testRate, 7)
	})
}

func TestReserveGathersWholeBurstFromAllShares(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		r, err := f.reserve(f.nodes["entry-3"], testBurst)
		if err != nil {
			t.Fatal(err)
		}
		var denied *DeniedError
		if _, err := f.reserve(f.nodes["entry-1"], 1); !errors.As(err, &denied) || denied.RetryAfter > time.Second {
			t.Fatalf("Reserve() after the whole burst = %v, want *DeniedError with RetryAfter of at most 1s", err)
		}
		r.Settle(0)
		time.Sleep(time.Second)
		if _, err := f.reserve(f.nodes["entry-2"], testBurst); err != nil {
			t.Fatalf("Reserve() of the whole burst after it was returned: %v", err)
		}
	})
}

func TestReserveDeniesImmediatelyWithRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		if _, err := f.reserve(f.nodes["entry-1"], testBurst); err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err := f.reserve(f.nodes["entry-2"], testRate)
		var denied *DeniedError
		if !errors.As(err, &denied) || denied.ExceedsBurst {
			t.Fatalf("Reserve() after the whole burst = %v, want *DeniedError without ExceedsBurst", err)
		}
		if time.Since(start) > limit.ResponseLifetime {
			t.Fatalf("Reserve() took %s to deny, want at most %s", time.Since(start), limit.ResponseLifetime)
		}
		time.Sleep(denied.RetryAfter + limit.ResponseLifetime)
		if _, err := f.reserve(f.nodes["entry-2"], testRate); err != nil {
			t.Fatalf("Reserve() after the announced RetryAfter of %s: %v", denied.RetryAfter, err)
		}
	})
}

func TestSharesOfRemovedEntryRestartWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		f.reserveFor(5*time.Second, 7)
		f.kill("entry-1")
		f.remove("entry-1")
		f.reserveFor(10*time.Second, 7)
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), 10*testRate, 7)
		f.start("entry-5")
		f.reserveFor(5*time.Second, 7)
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), 10*testRate, 7)
	})
}

func TestRestartedEntryStaysWithinLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		for _, vm := range []ident.VM{"entry-1", "entry-2", "entry-3", "entry-4"} {
			f.reserveFor(2*time.Second, 7)
			f.kill(vm)
			f.start(vm)
		}
		f.reserveFor(5*time.Second, 7)
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), 10*testRate, 7)
	})
}

func TestStaleListingExpiresNoMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		f.mu.Lock()
		f.nodes["entry-1"].lastListing = VMListing{EntryVMs: f.listed, ReadAt: time.Now()}
		f.nodes["entry-1"].staleListing = true
		f.mu.Unlock()
		n := f.start("entry-4")
		f.reserveFor(15*time.Second, 7)
		if !n.shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-4 is not a member: a listing from before its start made it expire")
		}
	})
}

func TestRunningEntryOffListGrantsNoTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		n := f.nodes["entry-1"]
		f.unlist("entry-1")
		time.Sleep(2 * roundInterval)
		if status := n.shareHolder.Status(); !status.Unconfirmed {
			t.Fatal("Status().Unconfirmed = false for entry-1 off the VM list, want true")
		}
		f.reserveFor(15*time.Second, 7)
		if f.nodes["entry-2"].shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-1 is still a member more than 15 s after it left the VM list")
		}
	})
}

func TestEntryJoinsOnlyWhenListed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		n := f.start("entry-4")
		f.unlist("entry-4")
		time.Sleep(10 * time.Second)
		if n.shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-4 became a member without being on the VM list")
		}
		f.mu.Lock()
		f.setListed("entry-4", true)
		f.mu.Unlock()
		time.Sleep(2 * time.Second)
		if !n.shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-4 did not become a member within 2 s of being listed")
		}
	})
}

func TestEntryThatCannotJoinLimitsStoreCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		defer f.close()
		f.kill("entry-1")
		f.memory.SetFault(store.FaultDown)
		n := f.start("entry-3")
		time.Sleep(time.Second)
		f.kill("entry-2") // No member remains that could let the new entry join.
		before := f.memory.Calls()
		time.Sleep(10 * time.Second)
		after := f.memory.Calls()
		if calls := after.Reads + after.Writes - before.Reads - before.Writes; calls > 2*int(10*time.Second/roundInterval) {
			t.Fatalf("%d store calls in 10 s, want at most two per round", calls)
		}
		if n.shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-3 became a member while the store was down")
		}
	})
}

func TestUnresponsiveHolderDelaysRequestsBoundedly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		f.nodes["entry-1"].unresponsive.Store(true)
		for range 200 {
			start := time.Now()
			if r, err := f.reserve(f.nodes["entry-2"], 50); err == nil {
				r.Settle(50)
			}
			if took := time.Since(start); took > maxReserveAttempts*limit.Shares*callTimeout {
				t.Fatalf("Reserve() took %s, want at most %s", took, maxReserveAttempts*limit.Shares*callTimeout)
			}
			time.Sleep(20 * time.Millisecond)
		}
		f.checkWindows()
		f.nodes["entry-1"].unresponsive.Store(false)
		time.Sleep(5 * time.Second)
		f.reserveFor(10*time.Second, 7)
	})
}

func TestLeaveHandsOverBalance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		start := time.Now()
		f.nodes["entry-2"].shareHolder.Leave(t.Context())
		if time.Since(start) > time.Second {
			t.Fatalf("Leave() took %s, want at most 1s", time.Since(start))
		}
		f.kill("entry-2")
		f.remove("entry-2")
		if _, err := f.reserve(f.nodes["entry-1"], testBurst); err != nil {
			t.Fatalf("Reserve() of the whole burst after entry-2 left: %v", err)
		}
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), 10*testRate, 7)
	})
}

func TestStoreOutageKeepsLimitAndNewEntriesBecomeReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		f.reserveFor(2*time.Second, 7)
		f.memory.SetFault(store.FaultDown)
		n := f.start("entry-5")
		time.Sleep(3 * time.Second)
		if !n.shareHolder.Ready() {
			t.Fatal("Ready() = false for an entry that started while the store was down, want true")
		}
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), 10*testRate, 7)
		if status := f.nodes["entry-1"].shareHolder.Status(); !status.StoreLost || status.DegradedSince.IsZero() {
			t.Fatalf("Status() = %+v while the store is down, want StoreLost and DegradedSince set", status)
		}
		f.memory.SetFault(store.FaultNone)
		time.Sleep(5 * time.Second)
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), 10*testRate, 7)
		if !n.shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-5 is not a member 15 s after the store recovered")
		}
	})
}

func TestLostWriteResponsesCreateNoConflictingGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		f.memory.SetFault(store.FaultResponseLost)
		n := f.start("entry-4")
		time.Sleep(5 * time.Second)
		f.memory.SetFault(store.FaultNone)
		if !n.shareHolder.Generation().HasMember(n.self) {
			t.Fatal("entry-4 did not become a member although only write responses were lost")
		}
		number := n.shareHolder.Generation().Number
		for vm, other := range f.nodes {
			if got := other.shareHolder.Generation().Number; got != number {
				t.Errorf("%s has generation %d, want %d as on entry-4", vm, got, number)
			}
		}
		f.requireAdmitted(f.reserveFor(10*time.Second, 7), testBurst+10*testRate, 7)
	})
}

func TestReserverWithoutShareHolderDiscoversGeneration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		defer f.close()
		view := &testView{fleet: f, self: "engine-1"}
		reserver := NewReserver(ReserverOptions{
			Self: limit.Member{VM: "engine-1", Incarnation: 99}, Client: f.client(),
			Peers: PeersFromView(view), Metrics: tally.NoopScope,
		})
		if _, err := reserver.Reserve(t.Context(), account, testTerms, testBurst); err != nil {
			t.Fatal(err)
		}
		if _, err := f.reserve(f.nodes["entry-1"], testBurst/2); err == nil {
			t.Fatal("Reserve() on entry-1 succeeded, want denied: the agent has reserved the whole burst")
		}
	})
}
