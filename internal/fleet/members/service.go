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
	ListLag   time.Duration // Longest time until the VM list shows a change.
	Timeline  *timeline.Ring
}

// Service is the View that follows the VM list and direct contact. It is safe
// for concurrent use.
type Service struct {
	opts ServiceOptions

	mu      sync.Mutex
	tracker *Tracker
	states  map[ident.VM]State
	entries []Member   // What the tracker says; nil where it may say something else by now.
	listed  []ident.VM // Names of entries that are not gone; never changed in place.
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

// Listed returns the names of the entries that are not gone, in order. The
// caller must not change the slice.
func (s *Service) Listed() []ident.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refresh()
	return s.listed
}

func (s *Service) refresh() {
	s.read()
	if s.entries != nil {
		return
	}
	s.entries = s.tracker.Entries()
	s.listed = make([]ident.VM, 0, len(s.entries))
	for _, m := range s.entries {
		if m.State != StateGone {
			s.listed = append(s.listed, m.VM)
		}
	}
	s.note(s.entries)
}

// Answered records that a member answered a question sent at the given time.
func (s *Service) Answered(at time.Time, vm ident.VM, incarnation Incarnation, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read()
	if s.tracker.Answered(at, vm, incarnation, leaving) {
		s.entries = nil
	}
}

// Failed records that a member did not answer a question sent at the given
// time.
func (s *Service) Failed(at time.Time, vm ident.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Failed(at, vm)
	s.entries = nil
}

// SetLeaving tells the others that this process is leaving.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetLeaving()
	s.entries = nil
}

// read takes the last reading of the VM list, if it is new.
func (s *Service) read() {
	view := s.opts.Directory.View()
	if view.Read.IsZero() || !view.Read.After(s.tracker.reading) {
		return
	}
	s.tracker.Read(view.Read, view.Entries())
	s.entries = nil
}

// note records the members that have come and those that are gone.
func (s *Service) note(entries []Member) {
	for _, m := range entries {
		former, seen := s.states[m.VM]
		if seen && former == m.State {
			continue
		}
		s.states[m.VM] = m.State
		if m.State == StateGone {
			s.opts.Timeline.Record(timeline.Event{Kind: timeline.KindMemberGone, Detail: string(m.VM)})
		} else if !seen || former == StateGone {
			s.opts.Timeline.Record(timeline.Event{Kind: timeline.KindMemberJoined, Detail: string(m.VM)})
		}
	}
}
