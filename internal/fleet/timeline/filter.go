package timeline

import (
	"slices"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Filter selects events that match all of its fields. A zero field matches
// every event.
type Filter struct {
	After        hlc.Timestamp      // Only later events.
	Request      ident.RequestID    // Only events of this request.
	Organisation ident.Organisation // Only events of this organisation.
	Endpoint     ident.Endpoint     // Only events of this endpoint or of the agent on its VM.
	Kind         Kind               // Only events of this kind.
	Limit        int                // Maximum number of events; the newest are selected.
}

// Match reports whether an event matches all fields but Limit.
func (f Filter) Match(e Event) bool {
	return f.matchesTime(e) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Organisation == "" || f.Organisation == e.Organisation) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint || string(f.Endpoint) == string(e.VM)) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

func (f Filter) matchesTime(e Event) bool {
	return f.After == (hlc.Timestamp{}) || f.After.Before(e.Time)
}

// Page is the result of reading a ring with a filter.
type Page struct {
	Events []Event       // Oldest first.
	More   bool          // Whether Limit excluded older events that match.
	Oldest hlc.Timestamp // Time of the oldest stored event if the ring has overwritten older ones, else zero.
}

// Read returns the newest events that match the filter.
func (r *Ring) Read(f Filter) Page {
	if r == nil {
		return Page{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var page Page
	for i := range r.size() {
		e := r.nthNewest(i)
		if r.full {
			page.Oldest = e.Time
		}
		if !f.Match(e) {
			continue
		}
		if f.Limit > 0 && len(page.Events) == f.Limit {
			page.More = true
			continue
		}
		page.Events = append(page.Events, e)
	}
	slices.Reverse(page.Events)
	return page
}

// size returns the number of stored events. The caller holds r.mu.
func (r *Ring) size() int {
	if r.full {
		return len(r.events)
	}
	return r.next
}

// nthNewest returns the event with index i, counted from the newest one at 0.
// The caller holds r.mu.
func (r *Ring) nthNewest(i int) Event {
	index := r.next - 1 - i
	if index < 0 {
		index += len(r.events)
	}
	return r.events[index]
}
