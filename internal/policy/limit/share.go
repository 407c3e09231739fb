package limit

import (
	"container/list"
	"time"
)

// ReservationID identifies one reservation at one share. Reservers must choose
// unique values.
type ReservationID string

// reservation is what one reserver took from a share.
//
// Invariant: claim <= amount. The claim is the amount that may still be
// admitted from the reservation or returned by its settlement. It is fixed
// until fixedUntil; after that, a refill that exceeds the burst may reduce it.
type reservation struct {
	id         ReservationID
	amount     Parts
	claim      units
	pending    bool      // The response travels to another process, which has not confirmed admission.
	fixedUntil time.Time // Until then the response may be in flight and the claim is not reduced.
	expires    time.Time
	element    *list.Element // The reservation's element in Share.byAge.
}

// Share is the token bucket of one share of an account.
//
// Invariant: 0 <= balance, and balance + claims <= burst. Claims alone may
// exceed the burst after the burst was lowered.
type Share struct {
	terms        Terms
	balance      units
	claims       units     // Sum of the claims of all reservations.
	refilled     time.Time // Time up to which the refill is added.
	reservations map[ReservationID]*reservation
	byAge        *list.List // Reservations, oldest first.
}

// newShare returns a share with the given balance, limited to the burst.
func newShare(terms Terms, balance units, now time.Time) *Share {
	return &Share{
		terms:        terms,
		balance:      min(balance, terms.burst()),
		refilled:     now,
		reservations: make(map[ReservationID]*reservation),
		byAge:        list.New(),
	}
}

// advance refills the share up to now, in steps. No claim stops being fixed
// within a step, because refill that exceeds the burst while claims are fixed
// is lost. A clock that moved backwards changes nothing.
func (s *Share) advance(now time.Time) {
	for s.refilled.Before(now) {
		s.advanceStep(s.stepEnd(now))
	}
}

func (s *Share) advanceStep(now time.Time) {
	start := s.refilled
	s.refilled = now
	s.expire(now)
	s.balance += s.terms.refill(now.Sub(start), s.terms.burst()-s.balance)
	s.enforceBurst(start) // Claims that were fixed at the start were fixed during the whole step.
}

// stepEnd returns the end of the next refill step. If the refill up to now fits
// into the burst, the step ends at now. Otherwise it ends at the earliest time
// at which a claim stops being fixed, or at now if there is none before.
func (s *Share) stepEnd(now time.Time) time.Time {
	free := s.terms.burst() - s.balance - s.claims
	if s.terms.refill(now.Sub(s.refilled), free+1) <= free {
		return now
	}
	next := now
	for e := s.byAge.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*reservation)
		if !r.pending {
			continue
		}
		if !r.fixedUntil.After(s.refilled) {
			break // Older reservations stopped being fixed earlier.
		}
		if r.fixedUntil.Before(next) {
			next = r.fixedUntil
		}
	}
	return next
}

// enforceBurst restores balance + claims <= burst. It first reduces the oldest
// claims that are not fixed at the given time, then the balance. For permits,
// the balance is always the burst minus the claims.
func (s *Share) enforceBurst(at time.Time) {
	if s.terms.Permits {
		s.balance = max(s.terms.burst()-s.claims, 0)
		return
	}
	excess := s.balance + s.claims - s.terms.burst()
	var next *list.Element
	for e := s.byAge.Front(); e != nil && excess > 0; e = next {
		next = e.Next()
		excess -= s.reduceClaim(at, e.Value.(*reservation), excess)
	}
	if excess > 0 {
		s.balance = max(s.balance-excess, 0)
	}
}

// reduceClaim lowers a claim that is not fixed by at most excess and returns
// the reduction. It removes a reservation whose claim reaches zero.
func (s *Share) reduceClaim(at time.Time, r *reservation, excess units) units {
	if at.Before(r.fixedUntil) {
		return 0
	}
	reduced := min(excess, r.claim)
	r.claim -= reduced
	s.claims -= reduced
	if r.claim == 0 {
		s.remove(r)
	}
	return reduced
}

// expire removes unsettled reservations whose lifetime has ended. Their tokens
// count as used; permits become available again.
func (s *Share) expire(now time.Time) {
	for e := s.byAge.Front(); e != nil; e = s.byAge.Front() {
		r := e.Value.(*reservation)
		if now.Before(r.expires) {
			return
		}
		s.remove(r)
	}
}

// setTerms applies terms of a later revision and ignores all others.
func (s *Share) setTerms(terms Terms, now time.Time) {
	if terms.Revision <= s.terms.Revision {
		return
	}
	s.terms = terms
	s.balance = min(s.balance, terms.burst())
	s.enforceBurst(now)
}

// reserve takes up to maximum parts, or nothing if fewer than minimum are
// available. A repeated id returns the amount of its existing reservation.
// pending states that the response travels to another process.
func (s *Share) reserve(now time.Time, id ReservationID, maximum, minimum Parts, pending bool) Parts {
	if r, ok := s.reservations[id]; ok {
		return r.amount
	}
	amount := min(s.available(), maximum)
	if amount <= 0 || amount < minimum {
		return 0
	}
	r := &reservation{
		id: id, amount: amount, claim: units(amount) * unitsPerPart,
		pending: pending, fixedUntil: now, expires: now.Add(s.terms.lifetime()),
	}
	if pending {
		r.fixedUntil = now.Add(ResponseLifetime)
	}
	if s.terms.Permits {
		r.pending = false
		r.fixedUntil = r.expires
	}
	s.balance -= r.claim
	s.add(r)
	return amount
}

// settle ends a reservation of which used parts were used. An unknown id
// changes nothing, so a repeated settlement has no effect.
func (s *Share) settle(now time.Time, id ReservationID, used Parts) {
	r, ok := s.reservations[id]
	if !ok {
		return
	}
	unused := units(max(r.amount-max(used, 0), 0)) * unitsPerPart
	s.balance += min(unused, r.claim)
	s.remove(r)
	s.enforceBurst(now)
}

// markAdmitted records that the reserver has admitted the request. Its response
// is no longer in flight, so the claim is no longer fixed. An unknown id
// changes nothing.
func (s *Share) markAdmitted(now time.Time, id ReservationID) {
	if r, ok := s.reservations[id]; ok && r.pending {
		r.pending = false
		r.fixedUntil = now
	}
}

func (s *Share) available() Parts {
	return Parts(s.balance / unitsPerPart)
}

func (s *Share) add(r *reservation) {
	s.claims += r.claim
	s.reservations[r.id] = r
	r.element = s.byAge.PushBack(r)
}

func (s *Share) remove(r *reservation) {
	s.claims -= r.claim
	delete(s.reservations, r.id)
	s.byAge.Remove(r.element)
}
