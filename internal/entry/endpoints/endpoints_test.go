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

// fixedViews is a ViewSource that returns a view set by the test.
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
	return wire.Job{AttemptID: "attempt", RequestID: "request", Base: "base", Adapter: "a", Version: "v1"}
}

func TestCandidatesFollowTheVMList(t *testing.T) {
	c, views := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	if got := c.Candidates(testJob()); len(got) != 2 {
		t.Fatalf("Candidates() = %v, want both live VMs", got)
	}
	views.view = &directory.View{VMs: []vmlist.VM{engineVM("vm-1", vmlist.StateLeaving), engineVM("vm-2", vmlist.StateLive)}}
	if got := c.Candidates(testJob()); len(got) != 1 || got[0].ID != "vm-2" {
		t.Fatalf("Candidates() = %v, want only vm-2 while vm-1 is leaving", got)
	}
	views.view = &directory.View{}
	if got := c.Candidates(testJob()); len(got) != 0 {
		t.Fatalf("Candidates() = %v, want none with an empty VM list", got)
	}
}

func TestFailedEndpointIsNotPreferred(t *testing.T) {
	c, _ := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	first := c.Candidates(testJob())[0].ID
	c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeSent})
	c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeFailed})
	if got := c.Candidates(testJob()); got[0].ID == first {
		t.Fatalf("Candidates() = %v, want the failed %s not to be first", got, first)
	}
}

// TestCancelledAttemptsDoNotChangeTheOrder guards against holding an endpoint
// back because callers cancelled their requests.
func TestCancelledAttemptsDoNotChangeTheOrder(t *testing.T) {
	c, _ := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	first := c.Candidates(testJob())[0].ID
	for range 50 {
		c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeSent})
		c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeCallerLeft})
	}
	if got := c.Candidates(testJob()); got[0].ID != first {
		t.Fatalf("Candidates() = %v after cancelled attempts on %s, want it first", got, first)
	}
}

func TestFailureOfUnsentAttemptIsIgnored(t *testing.T) {
	c, _ := newTestChooser(engineVM("vm-1", vmlist.StateLive), engineVM("vm-2", vmlist.StateLive))
	first := c.Candidates(testJob())[0].ID
	c.Observe(dispatch.Observation{Job: testJob(), VM: first, Outcome: dispatch.OutcomeFailed})
	if got := c.Candidates(testJob()); got[0].ID != first {
		t.Fatalf("Candidates() = %v after an attempt on %s that was never sent, want it first", got, first)
	}
	if len(c.inFlight) != 0 {
		t.Errorf("%d attempts in flight, want 0", len(c.inFlight))
	}
}

func TestPrefixHashesOrganisationAndBeginningOfBody(t *testing.T) {
	body := make([]byte, 2*prefixBytes)
	same := append([]byte(nil), body...)
	same[2*prefixBytes-1] = 1
	other := append([]byte(nil), body...)
	other[0] = 1
	switch {
	case PrefixHash("a", body) != PrefixHash("a", same):
		t.Error("bytes after the prefix change the hash")
	case PrefixHash("a", body) == PrefixHash("a", other):
		t.Error("different prefixes have the same hash")
	case PrefixHash("a", body) == PrefixHash("b", body):
		t.Error("two organisations have the same hash for one prefix")
	case PrefixHash("a", body[:minPrefixBytes-1]) != 0:
		t.Error("a body shorter than minPrefixBytes has a hash")
	}
}
