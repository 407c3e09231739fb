package config

import (
	"context"
	"fmt"
	"io"
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
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// fleet is a set of replicas that call each other in memory. It implements Peers.
type fleet struct {
	entries  []members.Member
	replicas map[ident.VM]*Replica
	isolated sync.Map // Keys: ident.VM of each entry that cannot reach the others.
}

// view implements members.View for one entry of a fleet.
type view struct {
	fleet *fleet
	self  members.Member
}

func (v view) Self() members.Member      { return v.self }
func (v view) Entries() []members.Member { return v.fleet.entries }

// confirmationsStub is a Confirmations that always has a majority and is always fresh.
type confirmationsStub struct{ at atomic.Pointer[time.Time] }

func newConfirmationsStub(at time.Time) *confirmationsStub {
	c := &confirmationsStub{}
	c.at.Store(&at)
	return c
}

func (c *confirmationsStub) RecordConfirmation(at time.Time, _ Revision) { c.at.Store(&at) }
func (c *confirmationsStub) ConfirmedAt() time.Time                      { return *c.at.Load() }
func (c *confirmationsStub) HasMajority() bool                           { return true }
func (c *confirmationsStub) IsFresh() bool                               { return true }

func (f *fleet) isIsolated(vm ident.VM) bool {
	_, isolated := f.isolated.Load(vm)
	return isolated
}

// Push implements Peers.
func (f *fleet) Push(ctx context.Context, target members.Member, req *rpc.PushRequest) (*rpc.PushResponse, error) {
	if f.isIsolated(target.VM) || f.isIsolated(ident.VM(req.Vm)) {
		return nil, errors.New("entry is isolated")
	}
	return f.replicas[target.VM].Push(ctx, req)
}

// Fetch implements Peers.
func (f *fleet) Fetch(ctx context.Context, target members.Member, req *rpc.FetchRequest) (*rpc.FetchResponse, error) {
	if f.isIsolated(target.VM) {
		return nil, errors.New("entry is isolated")
	}
	return f.replicas[target.VM].Fetch(ctx, req)
}

// State implements Peers.
func (f *fleet) State(ctx context.Context, target members.Member, req *rpc.StateRequest) (*rpc.StateResponse, error) {
	if f.isIsolated(target.VM) {
		return nil, errors.New("entry is isolated")
	}
	return f.replicas[target.VM].State(ctx, req)
}

func newFleet(n, domains int, s store.Store) *fleet {
	f := &fleet{replicas: make(map[ident.VM]*Replica)}
	for i := range n {
		f.entries = append(f.entries, members.Member{
			VM: ident.VM(fmt.Sprintf("entry-%03d", i)), FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%d", i%domains)),
		})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, m := range f.entries {
		f.replicas[m.VM] = NewReplica(ReplicaOptions{
			Store: s, Members: view{f, m}, Peers: f, Confirmations: newConfirmationsStub(time.Now().Add(time.Hour)),
			Log: log.WithField("vm", m.VM), Metrics: tally.NoopScope,
		})
	}
	return f
}

// run runs all replicas until the test ends.
func (f *fleet) run(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(func() {
		stop()
		synctest.Wait()
	})
	for _, r := range f.replicas {
		go func() { _ = r.Serve(ctx) }()
	}
}

// countAt returns the number of replicas that have a revision in force.
func (f *fleet) countAt(revision Revision) int {
	n := 0
	for _, r := range f.replicas {
		if r.Current().Revision() == revision {
			n++
		}
	}
	return n
}

// TestChangeIsInForceEverywhere checks that pushes alone, without gossip, bring a
// change into force on 330 entries within 5 s. It also checks the rate of reads
// from the store, which serves 2000 a second; the test allows a tenth of that.
func TestChangeIsInForceEverywhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newSeededStore(t)
		f := newFleet(330, 4, memory)
		f.run(t)
		time.Sleep(time.Second)
		if n := f.countAt(3); n != 330 {
			t.Fatalf("%d of 330 entries have revision 3 in force after 1 s, want all", n)
		}
		before := memory.Calls()
		mustApply(t, NewEditor(memory), ListPlans, testPlans+"# changed\n", 3)
		time.Sleep(5 * time.Second)
		if n := f.countAt(4); n != 330 {
			t.Errorf("%d of 330 entries have the change in force after 5 s, want all", n)
		}
		calls := memory.Calls()
		t.Logf("store calls in 5 s: %d reads, %d writes, %d watches",
			calls.Reads-before.Reads, calls.Writes-before.Writes, calls.Watches-before.Watches)
		if perSecond := (calls.Reads + calls.Watches - before.Reads - before.Watches) / 5; perSecond > 200 {
			t.Errorf("%d reads and watches of the store a second, want at most 200", perSecond)
		}
	})
}

// TestSecondTreeDeliversAfterFirstTreeFails isolates all entries that push to
// others in the first tree and do not watch the store. The entries that are still
// connected must receive a change through the second tree.
func TestSecondTreeDeliversAfterFirstTreeFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newSeededStore(t)
		f := newFleet(80, 1, memory)
		f.run(t)
		time.Sleep(5 * time.Second)
		var parents []ident.VM
		for _, m := range f.entries {
			if role := DistributionRoleOf(m, f.entries); !role.WatchesStore && len(role.PushTargets) > 0 {
				parents = append(parents, m.VM)
				f.isolated.Store(m.VM, true)
			}
		}
		mustApply(t, NewEditor(memory), ListPlans, testPlans+"# changed\n", 3)
		time.Sleep(5 * time.Second)
		if n := f.countAt(4); len(parents) == 0 || n < 80-len(parents) {
			t.Errorf("%d of 80 entries have the change in force, want all but the %d isolated ones, and at least 1 isolated",
				n, len(parents))
		}
	})
}

// TestReplicaKeepsRevisionAfterStoreRegression checks that replicas keep their
// revision, and report the condition, after the store loses its newest data.
func TestReplicaKeepsRevisionAfterStoreRegression(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newSeededStore(t)
		older := memory.Export()
		f := newFleet(2, 1, memory)
		f.run(t)
		mustApply(t, NewEditor(memory), ListPlans, testPlans+"# changed\n", 3)
		time.Sleep(time.Second)
		memory.SetFault(store.FaultDown)
		time.Sleep(10 * time.Second)
		memory.Import(older)
		memory.SetFault(store.FaultNone)
		time.Sleep(10 * time.Second)
		if n := f.countAt(4); n != 2 {
			t.Errorf("%d of 2 entries have revision 4 in force after the regression, want both", n)
		}
		degraded := f.replicas["entry-000"].Degradations()
		if len(degraded) != 1 || degraded[0].Condition != degradedRegressed {
			t.Errorf("Degradations() = %v, want only %q", degraded, degradedRegressed)
		}
	})
}

func TestNewEntryPullsFromPeerWhileStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newSeededStore(t)
		f := newFleet(3, 1, memory)
		f.isolated.Store(ident.VM("entry-002"), true)
		f.run(t)
		time.Sleep(time.Second)
		memory.SetFault(store.FaultDown)
		f.isolated.Delete(ident.VM("entry-002"))
		newEntry := f.replicas["entry-002"]
		newEntry.current.Store(NewSnapshot(0, Plans{}, Allowances{}, nil))
		newEntry.index = chunkIndex{}
		if err := newEntry.PullFrom(t.Context(), f.entries[0]); err != nil {
			t.Fatalf("PullFrom() error = %v", err)
		}
		if _, ok := newEntry.Current().Key(ident.HashKey("k1")); !ok || newEntry.Current().Revision() != 3 {
			t.Errorf("after PullFrom(): revision %d, key k1 granted: %t, want revision 3 and true", newEntry.Current().Revision(), ok)
		}
	})
}

func TestWithdrawalListsUnconfirmedEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := newSeededStore(t)
		f := newFleet(5, 1, memory)
		f.run(t)
		time.Sleep(time.Second)
		key := ident.HashKey("k1")
		survey := NewSurvey(view{f, f.entries[0]}, f, f.replicas["entry-000"])
		f.isolated.Store(ident.VM("entry-003"), true)
		f.isolated.Store(ident.VM("entry-004"), true)
		revision, err := NewEditor(memory).WithdrawKey(t.Context(), key)
		if err != nil {
			t.Fatalf("WithdrawKey() error = %v", err)
		}
		w := survey.WaitWithdrawn(t.Context(), key, revision, 5*time.Second)
		if !w.InForce || w.Confirmed != 3 || !slices.Equal(w.Unconfirmed, []ident.VM{"entry-003", "entry-004"}) {
			t.Errorf("WaitWithdrawn() with 2 of 5 entries isolated = %+v, want it in force, confirmed by 3", w)
		}
		f.isolated.Store(ident.VM("entry-002"), true)
		if w = survey.WaitWithdrawn(t.Context(), key, revision, 5*time.Second); w.InForce {
			t.Errorf("WaitWithdrawn() with 3 of 5 entries isolated = %+v, want it not in force", w)
		}
	})
}

func TestInstallRefusesSameOrLowerRevision(t *testing.T) {
	f := newFleet(1, 1, store.NewMemory())
	r := f.replicas["entry-000"]
	high, low := tables{plans: plansTree(Plans{})}, tables{keys: keysTree([]Key{{"x", "lima"}})}
	if ok, err := r.install(5, high.top()); !ok || err != nil {
		t.Fatalf("install(5) = %t, %v, want true", ok, err)
	}
	for _, revision := range []Revision{4, 5} {
		if ok, err := r.install(revision, low.top()); ok || err != nil {
			t.Errorf("install(%d) over revision 5 = %t, %v, want false and no error", revision, ok, err)
		}
	}
	if degraded := r.Degradations(); len(degraded) != 1 || degraded[0].Condition != degradedDiverged {
		t.Errorf("Degradations() = %v, want only %q", degraded, degradedDiverged)
	}
}

// TestPutOfExistingChunkChangesIndex guards against the deletion of a chunk that
// an edit uses again after a collection listed it as unused. The put must change
// the chunk's index, so that the deletion at the listed index fails.
func TestPutOfExistingChunkChangesIndex(t *testing.T) {
	memory := store.NewMemory()
	h := hashtree.HashOf([]byte("chunk"))
	put := func() store.Index {
		if err := (chunkStore{memory}).put(t.Context(), map[hashtree.Hash][]byte{h: []byte("chunk")}); err != nil {
			t.Fatalf("put() error = %v", err)
		}
		e, err := memory.Get(t.Context(), chunkKey(h))
		if err != nil {
			t.Fatalf("Get() error = %v", err)
		}
		return e.Index
	}
	listed := put()
	if put() == listed {
		t.Errorf("put() of an existing chunk kept index %d, want a new one", listed)
	}
}

// TestCollectionDoesNotBreakEdits guards against edits that commit a head with
// deleted chunks. An edit that read the head before a collection must fail, and
// an edit after the collection must write the deleted chunks again.
func TestCollectionDoesNotBreakEdits(t *testing.T) {
	memory := newSeededStore(t)
	e := NewEditor(memory)
	f := newFleet(1, 1, memory)
	collector := NewCollector(CollectorOptions{Store: memory, Members: view{f, f.entries[0]}, Metrics: tally.NoopScope})
	before, index, err := readHead(t.Context(), memory)
	if err != nil {
		t.Fatalf("readHead() error = %v", err)
	}
	if collected, err := collector.Collect(t.Context()); err != nil || collected == 0 {
		t.Fatalf("Collect() = %d, %v, want at least 1 deleted chunk", collected, err)
	}
	if ok, err := memory.CompareAndSwap(t.Context(), headKey, encodeJSON(before), index); ok || err != nil {
		t.Errorf("swap of the head read before the collection = %t, %v, want false", ok, err)
	}
	if again, err := collector.Collect(t.Context()); again != 0 || err != nil {
		t.Errorf("second Collect() = %d, %v, want 0", again, err)
	}
	// The last edit restores a text with chunks that were deleted.
	mustApply(t, e, ListPlans, testPlans+"# other\n", 3)
	mustApply(t, e, ListPlans, testPlans, 4)
	if text, revision, err := e.Read(t.Context(), ListPlans); text != testPlans || revision != 5 || err != nil {
		t.Errorf("Read(plans) = revision %d, error %v, want revision 5 and the restored text:\n%s", revision, err, text)
	}
}

func TestDistributionRoleOfGivesEachEntryTwoParents(t *testing.T) {
	f := newFleet(330, 4, store.NewMemory())
	parents := make(map[ident.VM]int)
	for _, m := range f.entries {
		role := DistributionRoleOf(m, f.entries)
		if len(role.PushTargets) > maxChildren || len(role.AnnounceTargets) > maxChildren+maxOtherDomains {
			t.Errorf("%s has %d push targets and %d announce targets, want at most %d and %d",
				m.VM, len(role.PushTargets), len(role.AnnounceTargets), maxChildren, maxChildren+maxOtherDomains)
		}
		for _, target := range append(role.PushTargets, role.AnnounceTargets...) {
			parents[target.VM]++
		}
	}
	for _, m := range f.entries {
		role := DistributionRoleOf(m, f.entries)
		if !role.WatchesStore && (parents[m.VM] < 1 || len(role.Parents) != 2) {
			t.Errorf("%s is the target of %d entries and has the parents %v, want at least 1 and 2 parents",
				m.VM, parents[m.VM], role.Parents)
		}
	}
}
