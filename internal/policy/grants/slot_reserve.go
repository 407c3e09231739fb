package grants

import "time"

const (
	// slotReservePeriod is how long adapter slots are kept after the last more urgent request for an adapter without one. The
	// runs that free a slot take seconds.
	slotReservePeriod = 2 * time.Second
	// slotsPerReserved is the number of adapter slots of which one is kept, one of 4 to 7 and none of fewer.
	slotsPerReserved = 4
)

// slotReserve keeps a part of an engine's adapter slots for the more urgent of the requests that compete for them: a
// slot is in use as long as the longest of its runs, so that less urgent requests would otherwise fill all of them before the
// urgent ones come.
type slotReserve struct {
	needed [NumPriorities]time.Time // Last request of each priority for an adapter without a slot.
}

// record records a request for an adapter without a slot.
func (s *slotReserve) record(priority int, now time.Time) { s.needed[priority] = now }

// mostUrgent returns the most urgent priority that needed a slot lately, or NumPriorities if none did.
func (s *slotReserve) mostUrgent(now time.Time) int {
	for priority, at := range s.needed {
		if !at.IsZero() && now.Sub(at) < slotReservePeriod {
			return priority
		}
	}
	return NumPriorities
}

// reservedSlotsFor returns how many idle adapter slots a request must leave. A continuation leaves none: it goes on with work
// that has begun, on one of few engines.
func (m *Machine) reservedSlotsFor(r Request, now time.Time) int {
	if !m.config.KeepUrgentSlots || r.Continuation || r.Priority <= m.slotReserve.mostUrgent(now) {
		return 0
	}
	return m.limits.AdapterSlots / slotsPerReserved
}
