package gossip

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/freshness"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// node is one entry of a fleet whose calls stay in memory.
type node struct {
	fleet          *fleet
	partition      atomic.Int32 // Entries reach only entries of the same partition.
	storeReachable atomic.Bool  // Whether the node reaches the store.
	current        atomic.Pointer[config.Snapshot]
	members        *members.Service
	tracker        *freshness.Tracker
	notices        *Notices
	service        *Service
	staleCalls     atomic.Int32 // Calls of OnStale, which cancels the running requests.
}

// fleet is a set of nodes with a common store.
type fleet struct {
	nodes         map[ident.VM]*node
	order         []*node
	storeRevision atomic.Uint64 // Revision in the store.
}

// Exchange implements Peers.
func (n *node) Exchange(ctx context.Context, with members.Member, req *rpc.ExchangeRequest) (*rpc.ExchangeResponse, error) {
	time.Sleep(2 * time.Millisecond)
	other := n.fleet.nodes[with.VM]
	if other.partition.Load() != n.partition.Load() {
		return nil, errors.New("partner is in another network partition")
	}
	return other.service.Exchange(ctx, req)
}

// Current implements Config.
func (n *node) Current() *config.Snapshot { return n.current.Load() }

// PullFrom implements Config.
func (n *node) PullFrom(_ context.Context, from members.Member) error {
	if other := n.fleet.nodes[from.VM]; other.partition.Load() == n.partition.Load() {
		n.install(other.Current().Revision())
	}
	return nil
}

// install puts revision r in force unless it is not higher than the current
// one.
func (n *node) install(r config.Revision) {
	if r <= n.Current().Revision() {
		return
	}
	n.current.Store(config.NewSnapshot(r, config.Plans{}, config.Allowances{}, nil))
	n.tracker.Update(func(s *freshness.State) { s.Install(r) })
}

// followStore simulates the replica of an entry that watches the store.
func (n *node) followStore(ctx context.Context) {
	for ctx.Err() == nil {
		if n.storeReachable.Load() {
			n.tracker.RecordConfirmation(time.Now(), n.fleet.revision())
			n.install(n.fleet.revision())
		}
		time.Sleep(500 * time.Millisecond)
	}
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{nodes: make(map[ident.VM]*node)}
	f.storeRevision.Store(1)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		time.Sleep(time.Second) // Lets the goroutines end.
	})
	log := logrus.New()
	log.SetOutput(io.Discard)
	var rows []vmlist.VM
	for i := range n {
		domain := ident.FailureDomain(fmt.Sprintf("domain-%d", i%4))
		rows = append(rows, vmlist.VM{ID: ident.VM(fmt.Sprintf("entry-%03d", i)), Role: vmlist.RoleEntry, FailureDomain: domain})
	}
	list := directory.New(directory.Options{List: vmlist.NewStatic(rows...), Interval: time.Second, Log: log.WithField("t", 1)})
	go func() { _ = list.Serve(ctx) }()
	for _, row := range rows {
		f.add(row, list, log.WithField("vm", row.ID))
	}
	for _, node := range f.order {
		go func() { _ = node.service.Serve(ctx) }()
		go func() { _ = node.tracker.Serve(ctx) }()
		go node.followStore(ctx)
	}
	return f
}

func (f *fleet) add(row vmlist.VM, list *directory.Directory, log *logrus.Entry) {
	self := members.Member{VM: row.ID, FailureDomain: row.FailureDomain, Incarnation: 1}
	n := &node{fleet: f, notices: NewNotices()}
	n.storeReachable.Store(true)
	n.current.Store(config.NewSnapshot(0, config.Plans{}, config.Allowances{}, nil))
	n.members = members.NewService(members.ServiceOptions{Self: self, Directory: list, ListLag: time.Minute})
	n.tracker = freshness.NewTracker(freshness.Options{
		Self: row.ID, ListedVMs: n.members.ListedVMs, OnStale: func() { n.staleCalls.Add(1) }, Log: log, Metrics: tally.NoopScope,
	})
	n.service = New(Options{
		Members: n.members, Config: n, Freshness: n.tracker, Notices: n.notices, Peers: n, Metrics: tally.NoopScope,
	})
	f.nodes[row.ID] = n
	f.order = append(f.order, n)
}

func (f *fleet) revision() config.Revision {
	return config.Revision(f.storeRevision.Load())
}

// countFresh returns the number of fresh entries in nodes.
func (f *fleet) countFresh(nodes []*node) int {
	count := 0
	for _, n := range nodes {
		if n.tracker.IsFresh() {
			count++
		}
	}
	return count
}

// withdraw simulates a withdrawal of a key that the store accepts. Over the
// next 10 s it watches nodes and returns how long the last of them trusted keys
// of the former revision, and whether a majority of the fleet holds the new
// revision.
func (f *fleet) withdraw(nodes []*node) (time.Duration, bool) {
	f.storeRevision.Add(1)
	start := time.Now()
	lastFresh := start
	for time.Since(start) < 10*time.Second {
		time.Sleep(50 * time.Millisecond)
		for _, n := range nodes {
			if n.Current().Revision() < f.revision() && n.tracker.IsFresh() {
				lastFresh = time.Now()
			}
		}
	}
	holding := 0
	for _, n := range f.order {
		if n.Current().Revision() == f.revision() {
			holding++
		}
	}
	return lastFresh.Sub(start), 2*holding > len(f.order)
}

// maxWithdrawalDelay is the time after which no entry may trust a withdrawn
// key.
const maxWithdrawalDelay = 5 * time.Second

// TestIsolatedEntryBecomesStale covers an entry that reaches neither the store
// nor other entries. It must stop trusting its keys and cancel running requests in
// time.
func TestIsolatedEntryBecomesStale(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(5 * time.Second)
		if n := f.countFresh(f.order); n != 4 {
			t.Fatalf("%d of 4 entries are fresh in normal operation, want all", n)
		}
		isolated := f.order[3]
		isolated.partition.Store(1)
		isolated.storeReachable.Store(false)
		lasted, inForce := f.withdraw(f.order)
		if lasted > maxWithdrawalDelay-freshness.CancelGrace || !inForce {
			t.Errorf("withdrawn key was trusted for %s, withdrawal in force = %t; want at most maxWithdrawalDelay - CancelGrace and true",
				lasted, inForce)
		}
		if isolated.tracker.IsFresh() || isolated.staleCalls.Load() != 1 || f.countFresh(f.order[:3]) != 3 {
			t.Errorf("isolated entry: fresh = %t, OnStale calls = %d, want false and 1; other entries: %d of 3 fresh, want 3",
				isolated.tracker.IsFresh(), isolated.staleCalls.Load(), f.countFresh(f.order[:3]))
		}
		isolated.partition.Store(0)
		isolated.storeReachable.Store(true)
		time.Sleep(maxWithdrawalDelay)
		if n := f.countFresh(f.order); n != 4 {
			t.Errorf("%d of 4 entries are fresh after the partition ended, want all", n)
		}
	})
}

func TestEntriesStayFreshByMajorityWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(maxWithdrawalDelay)
		for _, n := range f.order {
			n.storeReachable.Store(false)
		}
		for range 150 {
			time.Sleep(time.Second)
			if n := f.countFresh(f.order); n != 4 {
				t.Fatalf("%d of 4 entries are fresh while the store is down for all, want all", n)
			}
		}
		f.order[0].partition.Store(1)
		f.order[1].partition.Store(1)
		time.Sleep(maxWithdrawalDelay)
		if n := f.countFresh(f.order); n != 0 {
			t.Errorf("%d of 4 entries are fresh although no partition has a majority, want none", n)
		}
	})
}

func TestHalfWithStoreStaysFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 4)
		time.Sleep(maxWithdrawalDelay)
		for _, n := range f.order[2:] {
			n.storeReachable.Store(false)
		}
		if lasted, inForce := f.withdraw(f.order); lasted > maxWithdrawalDelay || !inForce || f.countFresh(f.order) != 4 {
			t.Errorf("two of four entries without the store: withdrawn key was trusted for %s, withdrawal in force = %t, "+
				"%d entries fresh; want at most maxWithdrawalDelay, true and 4", lasted, inForce, f.countFresh(f.order))
		}
		for _, n := range f.order[2:] {
			n.partition.Store(1)
		}
		lasted, inForce := f.withdraw(f.order)
		if lasted > maxWithdrawalDelay-freshness.CancelGrace || inForce {
			t.Errorf("partitioned in halves: withdrawn key was trusted for %s, withdrawal in force = %t; "+
				"want at most maxWithdrawalDelay - CancelGrace and false", lasted, inForce)
		}
		if f.countFresh(f.order[:2]) != 2 || f.countFresh(f.order[2:]) != 0 {
			t.Errorf("partitioned in halves: %d entries with the store and %d without it are fresh, want 2 and 0",
				f.countFresh(f.order[:2]), f.countFresh(f.order[2:]))
		}
	})
}

// TestWithdrawalWithoutMajorityIsNotInForce covers a withdrawal that is stored
// but reaches only a minority of the entries, so that it must not be reported
// in force.
func TestWithdrawalWithoutMajorityIsNotInForce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 5)
		time.Sleep(maxWithdrawalDelay)
		for _, n := range f.order[1:] {
			n.storeReachable.Store(false)
			n.partition.Store(1)
		}
		_, inForce := f.withdraw(f.order)
		if inForce || f.countFresh(f.order) != 5 {
			t.Errorf("withdrawal in force = %t, %d of 5 entries fresh, want false and 5", inForce, f.countFresh(f.order))
		}
	})
}

func TestEntriesStayFreshWithoutStoreAt330Entries(t *testing.T) {
	if testing.Short() {
		t.Skip("330 entries take half a minute under the race detector")
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 330)
		for i, n := range f.order {
			n.storeReachable.Store(i < 8)
		}
		time.Sleep(maxWithdrawalDelay)
		for range 3 {
			time.Sleep(time.Second)
			if n := f.countFresh(f.order); n != 330 {
				t.Errorf("%d of 330 entries are fresh while eight reach the store, want all", n)
			}
		}
		for _, n := range f.order {
			n.storeReachable.Store(false)
		}
		for range 7 {
			time.Sleep(time.Second)
			if n := f.countFresh(f.order); n != 330 {
				t.Errorf("%d of 330 entries are fresh while the store is down for all, want all", n)
			}
		}
	})
}

func TestNoticeReachesAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 60)
		time.Sleep(time.Second)
		f.order[7].notices.Publish(Notice{Kind: NoticeQuarantine, Subject: "x", Expires: time.Now().Add(time.Minute)})
		time.Sleep(10 * time.Second)
		missing := 0
		for _, n := range f.order {
			if _, ok := n.notices.Active(NoticeQuarantine, "x", time.Now()); !ok {
				missing++
			}
		}
		if missing > 0 {
			t.Errorf("%d of 60 entries did not receive the notice within 10 s", missing)
		}
		time.Sleep(time.Minute)
		if _, ok := f.order[0].notices.Active(NoticeQuarantine, "x", time.Now()); ok {
			t.Error("Active() = true after the expiry of the notice, want false")
		}
	})
}

func TestNoticesEnforceLimits(t *testing.T) {
	n := NewNotices()
	now := time.Now()
	for i := range 2 * maxNotices {
		n.Publish(Notice{Kind: NoticeQuarantine, Subject: fmt.Sprint(i), Expires: now.Add(time.Minute)})
	}
	n.Publish(Notice{Kind: NoticeQuarantine, Subject: "long", Expires: now.Add(100 * time.Hour)})
	if len(n.active) > maxNotices {
		t.Errorf("%d notices are stored, want at most maxNotices", len(n.active))
	}
	if until, ok := n.Active(NoticeQuarantine, "long", now); !ok || until.After(now.Add(maxNoticeLifetime+time.Minute)) {
		t.Errorf("Active() returns expiry %s, want it capped at maxNoticeLifetime", until)
	}
	if sent := n.nextNotices(now); len(sent) > maxNoticesPerMessage {
		t.Errorf("nextNotices() returns %d notices, want at most maxNoticesPerMessage", len(sent))
	}
}

// TestLateResponseAgeCountsFromRequest guards against ages that count from the
// receipt of a response. It applies a response 3 s after its request, as a
// process does that was paused in between.
func TestLateResponseAgeCountsFromRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		n := f.order[0]
		for _, node := range f.order {
			node.storeReachable.Store(false)
		}
		n.install(1)
		time.Sleep(time.Second) // Confirmations from before the outage are older than the request.
		sent := time.Now()
		time.Sleep(3 * time.Second)
		n.service.applyResponse(sent, members.Member{VM: "entry-001"}, &rpc.ExchangeResponse{
			Sender: &rpc.Sender{Vm: "entry-001", Revision: 1}, ConfirmedRevision: 1, ConfirmedAgeMs: 500, KnownAgeMs: -1,
		})
		if at := n.tracker.ConfirmedAt(); !at.Equal(sent.Add(-500 * time.Millisecond)) {
			t.Errorf("ConfirmedAt() is %s after the request was sent, want 500ms before it", at.Sub(sent))
		}
	})
}
