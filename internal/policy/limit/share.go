package limit

import (
	"container/list"
	"time"
)

// ReservationID names one reservation at one share. Askers make it unique.
type ReservationID string

// reservation is what one asker took from a share.
//
// Invariant: claim <= amount; claim is what may still come out of it.
type reservation struct {
	id        ReservationID
	amount    Parts
	claim     units
	pending   bool      // The answer travels to another process.
	hardUntil time.Time // Before this the answer may be under way.
	expires   time.Time
	element   *list.Element // Its place in the share's order.
}

// Share is a token bucket of one share of an account.
//
// Invariant: 0 <= balance, and balance + claims <= burst unless claims alone
// exceed a burst that was lowered.
type Share struct {
	terms        Terms
	balance      units
	claims       units // Sum of the reservations' claims.
	refilled     time.Time
	reservations map[ReservationID]*reservation
	order        *list.List // Reservations, oldest first.
}

// newShare returns a share with the given balance, cut to the burst.
func newShare(terms Terms, balance units, now time.Time) *Share {
	return &Share{
		terms:        terms,
		balance:      min(balance, terms.burst()),
		refilled:     now,
		reservations: make(map[ReservationID]*reservation),
		order:        list.New(),
	}
}

// advance brings the share to now, in steps between which no claim turns from
// hard to soft: refill that finds no room beside hard claims is lost. A clock
// that went back changes nothing.
func (s *Share) advance(now time.Time) {
	for s.refilled.Before(now) {
		s.step(s.nextStep(now))
	}
}

func (s *Share) step(now time.Time) {
	start := s.refilled
	s.refilled = now
	s.expire(now)
	s.balance += s.terms.refill(now.Sub(start), s.terms.burst()-s.balance)
	s.fit(start) // What was hard at the start has been hard all the time.
}

// nextStep returns the end of the next step: now, or the earliest time before
// that at which a claim turns soft, where there may be no room for the refill.
func (s *Share) nextStep(now time.Time) time.Time {
	room := s.terms.burst() - s.balance - s.claims
	if s.terms.refill(now.Sub(s.refilled), room+1) <= room {
		return now
	}
	next := now
	for e := s.order.Back(); e != nil; e = e.Prev() {
		r := e.Value.(*reservation)
		if !r.pending {
			continue
		}
		if !r.hardUntil.After(s.refilled) {
			break // Those before turned soft earlier.
		}
		if r.hardUntil.Before(next) {
			next = r.hardUntil
		}
	}
	return next
}

// fit restores balance + claims <= burst: first the oldest claims give way
// that are soft at the given time, then the balance. The balance of permits is
// whatever is not claimed.
func (s *Share) fit(at time.Time) {
	if s.terms.Permits {
		s.balance = max(s.terms.burst()-s.claims, 0)
		return
	}
	over := s.balance + s.claims - s.terms.burst()
	var next *list.Element
	for e := s.order.Front(); e != nil && over > 0; e = next {
		next = e.Next()
		over -= s.cut(at, e.Value.(*reservation), over)
	}
	if over > 0 {
		s.balance = max(s.balance-over, 0)
	}
}

// cut lowers a claim by at most over and returns by how much. A reservation
// without a claim is over.
func (s *Share) cut(at time.Time, r *reservation, over units) units {
	if at.Before(r.hardUntil) {
		return 0
	}
	lost := min(over, r.claim)
	r.claim -= lost
	s.claims -= lost
	if r.claim == 0 {
		s.remove(r)
	}
	return lost
}

// expire ends reservations that nobody has settled: tokens count as used,
// permits are free again.
func (s *Share) expire(now time.Time) {
	for e := s.order.Front(); e != nil; e = s.order.Front() {
		r := e.Value.(*reservation)
		if now.Before(r.expires) {
			return
		}
		s.remove(r)
	}
}

// setTerms takes over later terms.
func (s *Share) setTerms(terms Terms, now time.Time) {
	if terms.Revision <= s.terms.Revision {
		return
	}
	s.terms = terms
	s.balance = min(s.balance, terms.burst())
	s.fit(now)
}

// reserve takes up to want parts, or nothing where fewer than least are
// there. A repeated id gets what it got before. pending says that the answer
// travels to another process.
func (s *Share) reserve(now time.Time, id ReservationID, want, least Parts, pending bool) Parts {
	if r, ok := s.reservations[id]; ok {
		return r.amount
	}
	amount := min(s.available(), want)
	if amount <= 0 || amount < least {
		return 0
	}
	r := &reservation{
		id: id, amount: amount, claim: units(amount) * unitsPerPart,
		pending: pending, hardUntil: now, expires: now.Add(s.terms.lifetime()),
	}
	if pending {
		r.hardUntil = now.Add(GrantLifetime)
	}
	if s.terms.Permits {
		r.pending = false
		r.hardUntil = r.expires
	}
	s.balance -= r.claim
	s.add(r)
	return amount
}

// settle ends a reservation of which used parts were used. An unknown id, and
// so a repeated one, changes nothing.
func (s *Share) settle(now time.Time, id ReservationID, used Parts) {
	r, ok := s.reservations[id]
	if !ok {
		return
	}
	unused := units(max(r.amount-max(used, 0), 0)) * unitsPerPart
	s.balance += min(unused, r.claim)
	s.remove(r)
	s.fit(now)
}

// admitted ends the time in which the answer may be under way: the asker says
// that it has let the request through. An unknown id changes nothing.
func (s *Share) admitted(now time.Time, id ReservationID) {
	if r, ok := s.reservations[id]; ok && r.pending {
		r.pending = false
		r.hardUntil = now
	}
}

func (s *Share) available() Parts {
	return Parts(s.balance / unitsPerPart)
}

func (s *Share) add(r *reservation) {
	s.claims += r.claim
	s.reservations[r.id] = r
	r.element = s.order.PushBack(r)
}

func (s *Share) remove(r *reservation) {
	s.claims -= r.claim
	delete(s.reservations, r.id)
	s.order.Remove(r.element)
}
