package endpoints

import (
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// fixedViews is a Views whose reading a test replaces.
type fixedViews struct{ view *directory.View }

func (v *fixedViews) View() *directory.View { return v.view }

func engineVM(id ident.VM, state vmlist.State) vmlist.VM {
	return vmlist.VM{ID: id, Role: vmlist.RoleEngine, State: state, Base: "base", FailureDomain: ident.FailureDomain("d-" + id)}
}

func newTestChooser(vms ...vmlist.VM) (*Chooser, *fixedViews) {
	views := &fixedViews{view: &directory.View{VMs: vms}}
	return New(Options{Directory: views, Placement: DefaultPlacement(), Metrics: tally.NoopScope}), views
}

func testJob() wire.Job {
	return wire.Job{Attempt: "attempt", Request: "request", Base: "base", Adapter: "a", Version: "v1"}
}

func TestNewListIsTakenOver(t *testing.T) {
	c, views := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	if got := c.Candidates(testJob()); len(got) != 2 {
		t.Fatalf("got %v", got)
	}
	views.view = &directory.View{VMs: []vmlist.VM{engineVM("vm-1", vmlist.StateLeaving), engineVM("vm-2", vmlist.StateLive)}}
	if got := c.Candidates(testJob()); len(got) != 1 || got[0].ID != "vm-2" {
		t.Fatalf("got %v", got)
	}
	views.view = &directory.View{}
	if got := c.Candidates(testJob()); len(got) != 0 {
		t.Fatalf("got %v", got)
	}
}

func TestObservationsMoveTheChoice(t *testing.T) {
	c, _ := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	first := c.Candidates(testJob())[0].ID
	c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeSent})
	c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeFailed})
	if got := c.Candidates(testJob()); got[0].ID == first {
		t.Fatalf("a failed endpoint comes first")
	}
}

// A caller that leaves says nothing about the endpoint.
func TestAbandonedAttemptHoldsNothingBack(t *testing.T) {
	c, _ := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	first := c.Candidates(testJob())[0].ID
	for range 50 {
		c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeSent})
		c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeCallerLeft})
	}
	if got := c.Candidates(testJob()); got[0].ID != first {
		t.Fatalf("abandoned attempts moved the choice to %v", got)
	}
}

func TestUnsentAttemptIsNotCounted(t *testing.T) {
	c, _ := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	first := c.Candidates(testJob())[0].ID
	c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeFailed})
	if got := c.Candidates(testJob()); got[0].ID != first {
		t.Fatalf("an attempt that was never sent held its endpoint back")
	}
	if len(c.open) != 0 {
		t.Errorf("%d attempts open", len(c.open))
	}
}

func TestPrefixTellsOrganisationsApart(t *testing.T) {
	body := make([]byte, 2*prefixBytes)
	same := append([]byte(nil), body...)
	same[2*prefixBytes-1] = 1
	other := append([]byte(nil), body...)
	other[0] = 1
	switch {
	case Prefix("a", body) != Prefix("a", same):
		t.Error("what follows the prefix counts")
	case Prefix("a", body) == Prefix("a", other):
		t.Error("another prefix has the same hash")
	case Prefix("a", body) == Prefix("b", body):
		t.Error("organisations share a prefix")
	case Prefix("a", body[:minPrefixBytes-1]) != 0:
		t.Error("a short body has a prefix")
	}
}
