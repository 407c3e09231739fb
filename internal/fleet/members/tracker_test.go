package members

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const listLag = 30 * time.Second

var start = time.Unix(1_000_000, 0)

func row(id string, region ident.Region) vmlist.VM {
	return vmlist.VM{ID: ident.VM(id), Role: vmlist.RoleEntry, Region: region, State: vmlist.StateLive}
}

func stateOf(t *testing.T, tracker *Tracker, vm ident.VM) State {
	t.Helper()
	for _, m := range tracker.Entries() {
		if m.VM == vm {
			return m.State
		}
	}
	t.Fatalf("Entries() do not contain %s", vm)
	return 0
}

func checkState(t *testing.T, tracker *Tracker, vm ident.VM, want State, situation string) {
	t.Helper()
	if got := stateOf(t, tracker, vm); got != want {
		t.Errorf("%s: state of %s is %s, want %s", situation, vm, got, want)
	}
}

func newTracker() *Tracker {
	return NewTracker(Member{VM: "a", Region: "r1", Incarnation: 1}, listLag)
}

func TestMemberExpiresOnlyAfterListLag(t *testing.T) {
	tracker := newTracker()
	tracker.ApplyListing(start, []vmlist.VM{row("a", "r1"), row("b", "r1"), row("c", "r1")})
	checkState(t, tracker, "b", StateLive, "listed")
	tracker.RecordFailure(start.Add(time.Second), "b")
	checkState(t, tracker, "b", StateUnresponsive, "listed, not responding")
	withoutB := []vmlist.VM{row("a", "r1"), row("c", "r1")}
	tracker.ApplyListing(start.Add(2*time.Second), withoutB)
	tracker.ApplyListing(start.Add(2*time.Second+listLag), withoutB)
	checkState(t, tracker, "b", StateUnresponsive, "off the list for exactly the lag")
	tracker.ApplyListing(start.Add(3*time.Second+listLag), withoutB)
	checkState(t, tracker, "b", StateExpired, "off the list for longer than the lag")
	tracker.ApplyListing(start.Add(3*time.Second+2*listLag+expiredRetention), withoutB)
	if len(tracker.Entries()) != 2 {
		t.Errorf("Entries() = %v after expiredRetention, want b removed", tracker.Entries())
	}
}

func TestRespondingMemberDoesNotExpire(t *testing.T) {
	tracker := newTracker()
	tracker.ApplyListing(start, []vmlist.VM{row("b", "r1"), row("c", "r1")})
	tracker.ApplyListing(start.Add(time.Second), []vmlist.VM{row("c", "r1")})
	tracker.RecordResponse(start.Add(listLag), "b", 5, false)
	tracker.ApplyListing(start.Add(2*listLag), []vmlist.VM{row("c", "r1")})
	checkState(t, tracker, "b", StateLeaving, "off the list, responding")
	tracker.RecordFailure(start.Add(listLag+2*time.Second), "b")
	tracker.ApplyListing(start.Add(2*listLag+time.Second), []vmlist.VM{row("c", "r1")})
	checkState(t, tracker, "b", StateExpired, "off the list and not responding for longer than the lag")
}

func TestMemberDoesNotExpireWithoutNewReading(t *testing.T) {
	tracker := newTracker()
	tracker.ApplyListing(start, []vmlist.VM{row("b", "r1"), row("c", "r1")})
	tracker.ApplyListing(start.Add(time.Second), []vmlist.VM{row("c", "r1")})
	tracker.RecordFailure(start.Add(time.Hour), "b")
	checkState(t, tracker, "b", StateUnresponsive, "off the list, which was not read for an hour")
}

func TestUnlistedRegionDoesNotExpire(t *testing.T) {
	tracker := newTracker()
	bothRegions := []vmlist.VM{row("b", "r1"), row("x", "r2"), row("y", "r2")}
	tracker.ApplyListing(start, bothRegions)
	for minute := range 60 {
		now := start.Add(time.Duration(minute+1) * time.Minute)
		tracker.RecordFailure(now, "x")
		tracker.RecordFailure(now, "y")
		tracker.ApplyListing(now, []vmlist.VM{row("b", "r1")})
	}
	checkState(t, tracker, "x", StateUnresponsive, "whole region off the list for an hour")
	tracker.ApplyListing(start.Add(2*time.Hour), bothRegions)
	tracker.RecordResponse(start.Add(2*time.Hour), "x", 3, false)
	checkState(t, tracker, "x", StateLive, "region back on the list")
}

func TestResponseOfFormerIncarnationIsIgnored(t *testing.T) {
	tracker := newTracker()
	tracker.ApplyListing(start, []vmlist.VM{row("b", "r1")})
	tracker.RecordResponse(start, "b", 5, true)
	checkState(t, tracker, "b", StateLeaving, "announced that it is leaving")
	tracker.RecordResponse(start.Add(time.Second), "b", 6, false)
	tracker.RecordResponse(start.Add(2*time.Second), "b", 5, true)
	checkState(t, tracker, "b", StateLive, "restarted, with a late response of its former incarnation")
	if got := tracker.Entries()[1].Incarnation; got != 6 {
		t.Errorf("incarnation of b is %d, want 6", got)
	}
}

func BenchmarkEntries330(b *testing.B) {
	tracker := newTracker()
	var rows []vmlist.VM
	for i := range 330 {
		rows = append(rows, row(fmt.Sprintf("entry-%03d", i), "r1"))
	}
	tracker.ApplyListing(start, rows)
	for b.Loop() {
		tracker.Entries()
	}
}
