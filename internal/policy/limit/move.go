package limit

import "time"

// TransferID names one hand-over. A hand-over is bound to its target.
type TransferID struct {
	Generation uint64 // Generation that made the shares move.
	From       Member
	To         Member
}

// Handover is everything that one member hands to another in one generation.
// Durations are counted from when it is sent, so that clocks need not agree.
type Handover struct {
	ID     TransferID
	Shares []ShareState
	Full   bool          // Shares that nobody has asked for are full.
	Age    time.Duration // Else they have been refilled from zero for so long; below zero they will be.
}

// ShareState is a share on its way.
type ShareState struct {
	ID           ShareID
	Terms        Terms
	Balance      int64 // Billionths of a part.
	Reservations []ReservationState
}

// ReservationState is a reservation on its way.
type ReservationState struct {
	ID      ReservationID
	Amount  Parts
	Claim   int64         // Billionths of a part.
	HardFor time.Duration // How long its answer may still be under way.
	Expires time.Duration // How long until it expires.
}

// Receipt says what became of a hand-over.
type Receipt int

// Values of Receipt.
const (
	ReceiptTaken   Receipt = iota // Taken, now or before.
	ReceiptLater                  // The target has not installed the generation yet.
	ReceiptRefused                // The share has restarted, or the generation is over.
)

// Found starts the first generation of a fleet, in which all shares are full.
func (h *Holder) Found(now time.Time, gen Generation) {
	if gen.Number != 1 || h.gen.Number != 0 {
		return
	}
	h.gen = gen.Hashed()
	h.alive = now
	h.origins = map[Member]origin{h.self: {begun: true, full: true}}
}

// Install puts a later generation in force and reports whether it did. From
// then on the holder gives nothing of shares that have moved away.
func (h *Holder) Install(now time.Time, gen Generation) bool {
	if gen.Number <= h.gen.Number {
		return false
	}
	if h.founded(gen) {
		h.Found(now, gen)
		return true
	}
	next := h.gen.Number != 0 && gen.Number == h.gen.Number+1
	rest := h.rest(now)
	if !next {
		rest = origin{begun: true, since: now.Add(GrantLifetime)}
		h.shares = make(map[ShareID]*Share)
	}
	h.gen = gen.Hashed()
	h.out = make(map[Member]*Handover)
	h.origins = h.awaited(now, rest)
	if next {
		h.sendAway(now, rest)
	}
	return true
}

// founded reports whether gen is a first generation that this life has
// written itself: another life on the same VM has another incarnation. It may
// come back from the store before the write is known to have succeeded.
func (h *Holder) founded(gen Generation) bool {
	if h.gen.Number != 0 || gen.Number != 1 {
		return false
	}
	return len(gen.Members) == 1 && gen.Members[0] == h.self
}

// rest returns the poorest origin of the shares that nobody has asked for.
func (h *Holder) rest(now time.Time) origin {
	worst := origin{begun: true, full: true}
	for _, o := range h.origins {
		if !o.begun {
			return origin{begun: true, since: now.Add(GrantLifetime)}
		}
		if o.full {
			continue
		}
		if worst.full || o.since.After(worst.since) {
			worst = o
		}
	}
	return worst
}

// awaited returns the origins of the new generation: what the process keeps
// has begun, what others hand over has not.
func (h *Holder) awaited(now time.Time, rest origin) map[Member]origin {
	out := make(map[Member]origin)
	if !h.gen.Has(h.self) {
		return out
	}
	joined := !contains(h.gen.Previous, h.self)
	for _, former := range h.gen.Previous {
		switch {
		case former == h.self:
			out[former] = rest
		case h.gen.Replaced(former):
			out[former] = origin{begun: true, since: now.Add(GrantLifetime)}
		case joined || !h.gen.Has(former):
			out[former] = origin{}
		}
	}
	return out
}

// sendAway prepares a hand-over to each member that may take shares from this
// one: all where this one has left, else those that have joined.
func (h *Holder) sendAway(now time.Time, rest origin) {
	left := !h.gen.Has(h.self)
	for _, m := range h.gen.Members {
		if m == h.self || !(left || !contains(h.gen.Previous, m)) {
			continue
		}
		h.out[m] = &Handover{
			ID:   TransferID{Generation: h.gen.Number, From: h.self, To: m},
			Full: rest.full, Age: now.Sub(rest.since),
		}
	}
	for id, share := range h.shares {
		to := h.gen.Holder(id)
		if to == h.self {
			continue
		}
		share.advance(now)
		if handover, ok := h.out[to]; ok {
			handover.Shares = append(handover.Shares, share.state(id, now))
		}
		delete(h.shares, id)
	}
}

// Outgoing returns the hand-overs that have not been acknowledged.
func (h *Holder) Outgoing() []*Handover {
	out := make([]*Handover, 0, len(h.out))
	for _, m := range h.gen.Members {
		if handover, ok := h.out[m]; ok {
			out = append(out, handover)
		}
	}
	return out
}

// Acknowledged ends a hand-over: its target has answered, or is gone. It is
// never sent to another target, which might spend the same tokens again.
func (h *Holder) Acknowledged(id TransferID) {
	handover, ok := h.out[id.To]
	if ok && handover.ID == id {
		delete(h.out, id.To)
	}
}

// Receive takes a hand-over, once.
func (h *Holder) Receive(now time.Time, handover Handover) Receipt {
	id := handover.ID
	if id.Generation > h.gen.Number {
		return ReceiptLater
	}
	from, known := h.origins[id.From]
	if id.Generation < h.gen.Number || id.To != h.self || !known {
		return ReceiptRefused
	}
	if from.begun {
		return ReceiptTaken
	}
	h.origins[id.From] = origin{begun: true, full: handover.Full, since: now.Add(-handover.Age)}
	for _, state := range handover.Shares {
		h.shares[state.ID] = state.share(now)
	}
	return ReceiptTaken
}

// Gone tells that a member is certainly gone. Shares that were awaited from
// it restart from zero, once its last answer is no longer valid.
func (h *Holder) Gone(now time.Time, m Member) {
	if o, ok := h.origins[m]; ok && !o.begun {
		h.origins[m] = origin{begun: true, since: now.Add(GrantLifetime)}
	}
	delete(h.out, m)
}

// Awaited returns the members whose hand-over has not arrived.
func (h *Holder) Awaited() []Member {
	var out []Member
	for _, m := range h.gen.Previous {
		if o, ok := h.origins[m]; ok && !o.begun {
			out = append(out, m)
		}
	}
	return out
}

// Settled reports whether no hand-over of the generation is under way here.
func (h *Holder) Settled() bool {
	return len(h.out) == 0 && len(h.Awaited()) == 0
}

func (s *Share) state(id ShareID, now time.Time) ShareState {
	out := ShareState{ID: id, Terms: s.terms, Balance: int64(s.balance)}
	for e := s.order.Front(); e != nil; e = e.Next() {
		r := e.Value.(*reservation)
		out.Reservations = append(out.Reservations, ReservationState{
			ID: r.id, Amount: r.amount, Claim: int64(r.claim),
			HardFor: r.hardUntil.Sub(now), Expires: r.expires.Sub(now),
		})
	}
	return out
}

func (s ShareState) share(now time.Time) *Share {
	share := newShare(s.Terms, units(s.Balance), now)
	for _, r := range s.Reservations {
		share.add(&reservation{
			id: r.ID, amount: r.Amount, claim: units(r.Claim), pending: r.HardFor > 0,
			hardUntil: now.Add(r.HardFor), expires: now.Add(r.Expires),
		})
	}
	return share
}
