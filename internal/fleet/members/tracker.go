package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// expiredRetention is how long a member in StateExpired stays in the view.
const expiredRetention = 10 * time.Minute

// Tracker estimates the states of the members. It does no I/O and takes all
// times as arguments. It is not safe for concurrent use.
//
// A member enters StateExpired only when successive readings of the VM list have
// been without it for longer than the list lags, and it has not responded in
// that time. If all entries of another region are off the list at once, they
// are in StateUnresponsive instead, because a platform that has lost contact with a
// region cannot determine whether the VMs of that region have ended.
type Tracker struct {
	self       Member
	listLag    time.Duration
	listReadAt time.Time // Time of the last reading of the VM list.
	records    map[ident.VM]*record
}

// record is the state of one other entry.
type record struct {
	vm           vmlist.VM
	listed       bool
	offListSince time.Time // First reading without the VM; zero while listed.
	lastResponse time.Time // Latest send time of a request with a response.
	lastFailure  time.Time // Latest send time of a request without a response.
	incarnation  Incarnation
	leaving      bool // Announced by the member itself.
}

// NewTracker returns a Tracker that contains only self. The VM list shows a
// change within listLag.
func NewTracker(self Member, listLag time.Duration) *Tracker {
	return &Tracker{self: self, listLag: listLag, records: make(map[ident.VM]*record)}
}

// ApplyListing applies a reading of the VM list that was made at the given
// time. It ignores readings that are not newer than the last one.
func (t *Tracker) ApplyListing(at time.Time, entries []vmlist.VM) {
	if !at.After(t.listReadAt) {
		return
	}
	t.listReadAt = at
	present := make(map[ident.VM]bool, len(entries))
	for _, vm := range entries {
		present[vm.ID] = true
		if vm.ID == t.self.VM {
			continue
		}
		r := t.record(vm)
		r.vm, r.listed, r.offListSince = vm, true, time.Time{}
	}
	for id, r := range t.records {
		if !present[id] && r.listed {
			r.listed, r.offListSince = false, at
		}
	}
	t.dropExpired()
}

// dropExpired removes the members that have been in StateExpired for longer than
// expiredRetention.
func (t *Tracker) dropExpired() {
	regions := t.listedRegions()
	for id, r := range t.records {
		if t.state(r, regions) == StateExpired && t.expiredFor(r) > expiredRetention {
			delete(t.records, id)
		}
	}
}

// record returns the record of vm and creates it if needed.
func (t *Tracker) record(vm vmlist.VM) *record {
	r, ok := t.records[vm.ID]
	if !ok {
		r = &record{vm: vm}
		t.records[vm.ID] = r
	}
	return r
}

// expiredFor returns how long a member has been in StateExpired: the time that the
// VM list has been without the member and the member has not responded, less
// the lag of the list. The member must be off the list. The result is at most 0
// while the process may still run.
func (t *Tracker) expiredFor(r *record) time.Duration {
	since := r.offListSince
	if r.lastResponse.After(since) {
		since = r.lastResponse
	}
	return t.listReadAt.Sub(since) - t.listLag
}

// RecordResponse records that a member responded to a request sent at the given
// time. It reports whether that may change the result of Entries. A response of
// a former incarnation is ignored.
func (t *Tracker) RecordResponse(at time.Time, vm ident.VM, incarnation Incarnation, leaving bool) bool {
	r, ok := t.records[vm]
	if !ok || incarnation < r.incarnation {
		return false
	}
	unchanged := incarnation == r.incarnation && leaving == r.leaving && r.listed && !r.lastFailure.After(r.lastResponse)
	if incarnation > r.incarnation {
		r.leaving = false
	}
	r.incarnation = incarnation
	r.leaving = r.leaving || leaving
	if at.After(r.lastResponse) {
		r.lastResponse = at
	}
	return !unchanged
}

// RecordFailure records that a member did not respond to a request sent at the
// given time.
func (t *Tracker) RecordFailure(at time.Time, vm ident.VM) {
	if r, ok := t.records[vm]; ok && at.After(r.lastFailure) {
		r.lastFailure = at
	}
}

// SetLeaving records that this process is leaving.
func (t *Tracker) SetLeaving() {
	t.self.State = StateLeaving
}

// Self returns the member that is this process.
func (t *Tracker) Self() Member {
	return t.self
}

// Entries returns all members, including this process, ordered by VM.
func (t *Tracker) Entries() []Member {
	regions := t.listedRegions()
	out := make([]Member, 0, len(t.records)+1)
	out = append(out, t.self)
	for _, r := range t.records {
		out = append(out, t.member(r, regions))
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.VM, b.VM) })
	return out
}

// listedRegions returns the regions with at least one listed VM, and the region
// of this process.
func (t *Tracker) listedRegions() map[ident.Region]bool {
	out := map[ident.Region]bool{t.self.Region: true}
	for _, r := range t.records {
		if r.listed {
			out[r.vm.Region] = true
		}
	}
	return out
}

func (t *Tracker) member(r *record, regions map[ident.Region]bool) Member {
	return Member{
		VM: r.vm.ID, Address: r.vm.Address, FailureDomain: r.vm.FailureDomain, Region: r.vm.Region,
		Incarnation: r.incarnation, State: t.state(r, regions),
	}
}

func (t *Tracker) state(r *record, regions map[ident.Region]bool) State {
	unresponsive := r.lastFailure.After(r.lastResponse)
	switch {
	case !r.listed && !unresponsive && r.lastResponse.After(r.offListSince):
		return StateLeaving
	case !r.listed && !regions[r.vm.Region]:
		return StateUnresponsive
	case !r.listed && t.expiredFor(r) > 0:
		return StateExpired
	case !r.listed, unresponsive:
		return StateUnresponsive
	case r.leaving, r.vm.State == vmlist.StateLeaving:
		return StateLeaving
	default:
		return StateLive
	}
}
