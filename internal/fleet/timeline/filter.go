package timeline

import (
	"slices"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Filter selects events. A zero field selects all.
type Filter struct {
	After        hlc.Timestamp      // Only later events.
	Request      ident.RequestID    // Only events of this request.
	Organisation ident.Organisation // Only events of this organisation.
	Endpoint     ident.Endpoint     // Only events of this endpoint or of the process beside it.
	Kind         Kind               // Only events of this kind.
	Limit        int                // At most so many events, the newest ones.
}

// Match reports whether an event is selected.
func (f Filter) Match(e Event) bool {
	return f.matchTime(e) &&
		(f.Request == "" || f.Request == e.Request) &&
		(f.Organisation == "" || f.Organisation == e.Organisation) &&
		(f.Endpoint == "" || f.Endpoint == e.Endpoint || string(f.Endpoint) == string(e.VM)) &&
		(f.Kind == "" || f.Kind == e.Kind)
}

func (f Filter) matchTime(e Event) bool {
	return f.After == (hlc.Timestamp{}) || f.After.Before(e.Time)
}

// Page is a part of a ring.
type Page struct {
	Events []Event       // Oldest first.
	More   bool          // Whether older events that match were left out.
	Oldest hlc.Timestamp // Oldest kept event where older ones were dropped, else zero.
}

// Read returns the newest events that match, oldest first.
func (r *Ring) Read(f Filter) Page {
	if r == nil {
		return Page{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	var page Page
	for i := range r.kept() {
		e := r.newest(i)
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

// kept returns the number of kept events; the caller holds the lock.
func (r *Ring) kept() int {
	if r.full {
		return len(r.events)
	}
	return r.next
}

// newest returns the event that is i places from the newest one.
func (r *Ring) newest(i int) Event {
	at := r.next - 1 - i
	if at < 0 {
		at += len(r.events)
	}
	return r.events[at]
}
