package members

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// NewIncarnation returns the incarnation of a process that starts at now.
func NewIncarnation(now time.Time) Incarnation {
	return Incarnation(now.UnixNano())
}

// ServiceOptions configures NewService.
type ServiceOptions struct {
	Self      Member
	Directory *directory.Directory
	ListLag   time.Duration // Maximum time until the VM list shows a change.
	Timeline  *timeline.Ring
}

// Service is a View that is based on the VM list and on direct calls. It is
// safe for concurrent use.
type Service struct {
	opts ServiceOptions

	mu      sync.Mutex
	tracker *Tracker
	states  map[ident.VM]State // States last recorded in the timeline.
	entries []Member           // Cached result of tracker.Entries; nil if outdated.
	listed  []ident.VM         // Names of the cached entries not in StateExpired; never modified in place.
}

// NewService returns a Service.
func NewService(opts ServiceOptions) *Service {
	return &Service{
		opts: opts, tracker: NewTracker(opts.Self, opts.ListLag), states: make(map[ident.VM]State),
	}
}

// Self implements View.
func (s *Service) Self() Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.Self()
}

// Entries implements View.
func (s *Service) Entries() []Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return slices.Clone(s.entries)
}

// ListedVMs returns the names of the entries that are not in StateExpired, in order.
// The caller must not modify the slice.
func (s *Service) ListedVMs() []ident.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.listed
}

// refresh updates the cached entries if they are outdated. s.mu must be held.
func (s *Service) refresh() {
	s.applyListing()
	if s.entries != nil {
		return
	}
	s.entries = s.tracker.Entries()
	s.listed = make([]ident.VM, 0, len(s.entries))
	for _, m := range s.entries {
		if m.State != StateExpired {
			s.listed = append(s.listed, m.VM)
		}
	}
	s.recordChanges(s.entries)
}

// RecordResponse records that a member responded to a request sent at the given
// time.
func (s *Service) RecordResponse(at time.Time, vm ident.VM, incarnation Incarnation, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyListing()
	if s.tracker.RecordResponse(at, vm, incarnation, leaving) {
		s.entries = nil
	}
}

// RecordFailure records that a member did not respond to a request sent at the
// given time.
func (s *Service) RecordFailure(at time.Time, vm ident.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordFailure(at, vm)
	s.entries = nil
}

// SetLeaving marks this process as leaving in the view, which other entries
// receive by gossip.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetLeaving()
	s.entries = nil
}

// applyListing passes the last reading of the VM list to the tracker if it is
// new. s.mu must be held.
func (s *Service) applyListing() {
	view := s.opts.Directory.View()
	if view.ReadAt.IsZero() || !view.ReadAt.After(s.tracker.listReadAt) {
		return
	}
	s.tracker.ApplyListing(view.ReadAt, view.Entries())
	s.entries = nil
}

// recordChanges records a timeline event for each member that has joined or has
// entered StateExpired. s.mu must be held.
func (s *Service) recordChanges(entries []Member) {
	for _, m := range entries {
		previous, seen := s.states[m.VM]
		if seen && previous == m.State {
			continue
		}
		s.states[m.VM] = m.State
		if m.State == StateExpired {
			s.opts.Timeline.Record(timeline.Event{Kind: timeline.KindMemberRemoved, Detail: string(m.VM)})
		} else if !seen || previous == StateExpired {
			s.opts.Timeline.Record(timeline.Event{Kind: timeline.KindMemberJoined, Detail: string(m.VM)})
		}
	}
}
