package members

import (
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
	s.read()
	entries := s.tracker.Entries()
	s.note(entries)
	return entries
}

// Listed returns the names of the entries that are not gone, in order.
func (s *Service) Listed() []ident.VM {
	var out []ident.VM
	for _, m := range s.Entries() {
		if m.State != StateGone {
			out = append(out, m.VM)
		}
	}
	return out
}

// Answered records that a member answered a question sent at the given time.
func (s *Service) Answered(at time.Time, vm ident.VM, incarnation Incarnation, leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.read()
	s.tracker.Answered(at, vm, incarnation, leaving)
}

// Failed records that a member did not answer a question sent at the given
// time.
func (s *Service) Failed(at time.Time, vm ident.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Failed(at, vm)
}

// SetLeaving tells the others that this process is leaving.
func (s *Service) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.SetLeaving()
}

func (s *Service) read() {
	view := s.opts.Directory.View()
	if !view.Read.IsZero() {
		s.tracker.Read(view.Read, view.Entries())
	}
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
