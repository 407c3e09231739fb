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
	hardUntil time.Time // Before this the answer may be under way to the asker.
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

// advance brings the share to now. A clock that went back changes nothing.
func (s *Share) advance(now time.Time) {
	elapsed := now.Sub(s.refilled)
	if elapsed <= 0 {
		return
	}
	s.refilled = now
	s.expire(now)
	s.balance += s.terms.refill(elapsed, s.terms.burst()-s.balance)
	s.fit(now)
}

// fit restores balance + claims <= burst: first the oldest claims give way
// whose answer can no longer be under way, then the balance. The balance of
// permits is whatever is not claimed.
func (s *Share) fit(now time.Time) {
	if s.terms.Permits {
		s.balance = max(s.terms.burst()-s.claims, 0)
		return
	}
	over := s.balance + s.claims - s.terms.burst()
	var next *list.Element
	for e := s.order.Front(); e != nil && over > 0; e = next {
		next = e.Next()
		over -= s.cut(now, e.Value.(*reservation), over)
	}
	if over > 0 {
		s.balance = max(s.balance-over, 0)
	}
}

// cut lowers a claim by at most over and returns by how much. A reservation
// without a claim is over.
func (s *Share) cut(now time.Time, r *reservation, over units) units {
	if now.Before(r.hardUntil) {
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
		hardUntil: now, expires: now.Add(s.terms.lifetime()),
	}
	if pending {
		r.hardUntil = now.Add(GrantLifetime)
	}
	if s.terms.Permits {
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
