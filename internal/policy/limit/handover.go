package limit

import "time"

// TransferID identifies one handover and binds it to its target.
type TransferID struct {
	Generation uint64 // The generation that moves the shares.
	From       Member
	To         Member
}

// Handover holds all shares that one member passes to another in one
// generation. Durations are relative to the time of sending, so the clocks of
// the two members need not agree.
type Handover struct {
	ID           TransferID
	Shares       []ShareState
	UnlistedFull bool          // Shares that are not listed are full.
	UnlistedAge  time.Duration // If not UnlistedFull: time since unlisted shares started to refill from zero; negative before that.
}

// ShareState is the transferred form of a share.
type ShareState struct {
	ID           ShareID
	Terms        Terms
	Balance      int64 // In billionths of a part.
	Reservations []ReservationState
}

// ReservationState is the transferred form of a reservation.
type ReservationState struct {
	ID        ReservationID
	Amount    Parts
	Claim     int64         // In billionths of a part.
	FixedFor  time.Duration // Time for which the response may still be in flight.
	ExpiresIn time.Duration // Time until the reservation expires.
}

// Receipt is the target's response to a handover.
type Receipt int

// Values of Receipt.
const (
	ReceiptAccepted Receipt = iota // The target has accepted the handover, now or earlier, or its shares have restarted.
	ReceiptNotReady                // The target has not installed the generation yet.
	ReceiptRefused                 // The handover is for another target or an old generation, or is not expected.
)

// StartFirstGeneration starts the first generation, in which all shares are full.
// It does nothing if the holder has a generation or gen is not number 1.
func (h *Holder) StartFirstGeneration(now time.Time, gen Generation) {
	if gen.Number != 1 || h.gen.Number != 0 {
		return
	}
	h.gen = gen.WithHashes()
	h.lastHeartbeat = now
	h.inherited = map[Member]inheritedShares{h.self: {arrived: true, full: true}}
}

// Install puts a later generation into effect and reports whether it did. The
// holder then no longer serves shares that moved to other members.
func (h *Holder) Install(now time.Time, gen Generation) bool {
	if gen.Number <= h.gen.Number {
		return false
	}
	if h.foundedBySelf(gen) {
		h.StartFirstGeneration(now, gen)
		return true
	}
	successive := h.gen.Number != 0 && gen.Number == h.gen.Number+1
	untouched := h.untouchedShares(now)
	if !successive {
		untouched = inheritedShares{arrived: true, refillFrom: now.Add(ResponseLifetime)}
		h.shares = make(map[ShareID]*Share)
	}
	h.gen = gen.WithHashes()
	h.outgoing = make(map[Member]*Handover)
	h.inherited = h.inheritedByMember(now, untouched)
	if successive {
		h.prepareHandovers(now, untouched)
	}
	return true
}

// foundedBySelf reports whether gen is a first generation that this incarnation
// wrote to the store. Another incarnation on the same VM has another number.
// The store may deliver gen before the write is known to have succeeded.
func (h *Holder) foundedBySelf(gen Generation) bool {
	if h.gen.Number != 0 || gen.Number != 1 {
		return false
	}
	return len(gen.Members) == 1 && gen.Members[0] == h.self
}

// untouchedShares returns one state that is safe for all shares not requested
// yet: the lowest of the inherited states. If a handover has not arrived, that
// is a restart from zero after ResponseLifetime.
func (h *Holder) untouchedShares(now time.Time) inheritedShares {
	lowest := inheritedShares{arrived: true, full: true}
	for _, s := range h.inherited {
		if !s.arrived {
			return inheritedShares{arrived: true, refillFrom: now.Add(ResponseLifetime)}
		}
		if s.full {
			continue
		}
		if lowest.full || s.refillFrom.After(lowest.refillFrom) {
			lowest = s
		}
	}
	return lowest
}

// inheritedByMember returns the state of the inherited shares for the new
// generation, by former holder. Shares that this process keeps are available.
// Shares of a replaced incarnation restart from zero. Shares of other members
// must first arrive by handover.
func (h *Holder) inheritedByMember(now time.Time, untouched inheritedShares) map[Member]inheritedShares {
	out := make(map[Member]inheritedShares)
	if !h.gen.HasMember(h.self) {
		return out
	}
	joined := !contains(h.gen.Previous, h.self)
	for _, former := range h.gen.Previous {
		switch {
		case former == h.self:
			out[former] = untouched
		case h.gen.HasReplaced(former):
			out[former] = inheritedShares{arrived: true, refillFrom: now.Add(ResponseLifetime)}
		case joined || !h.gen.HasMember(former):
			out[former] = inheritedShares{}
		}
	}
	return out
}

// prepareHandovers creates a handover for each member that may take shares
// from this one: for all members if this one has left, otherwise for the
// members that joined.
func (h *Holder) prepareHandovers(now time.Time, untouched inheritedShares) {
	hasLeft := !h.gen.HasMember(h.self)
	for _, m := range h.gen.Members {
		if m == h.self || !(hasLeft || !contains(h.gen.Previous, m)) {
			continue
		}
		h.outgoing[m] = &Handover{
			ID:           TransferID{Generation: h.gen.Number, From: h.self, To: m},
			UnlistedFull: untouched.full, UnlistedAge: now.Sub(untouched.refillFrom),
		}
	}
	for id, share := range h.shares {
		to := h.gen.Holder(id)
		if to == h.self {
			continue
		}
		share.advance(now)
		if handover, ok := h.outgoing[to]; ok {
			handover.Shares = append(handover.Shares, share.toState(id, now))
		}
		delete(h.shares, id)
	}
}

// OutgoingHandovers returns the handovers that are not acknowledged, in member
// order.
func (h *Holder) OutgoingHandovers() []*Handover {
	out := make([]*Handover, 0, len(h.outgoing))
	for _, m := range h.gen.Members {
		if handover, ok := h.outgoing[m]; ok {
			out = append(out, handover)
		}
	}
	return out
}

// Acknowledge ends a handover whose target has responded or has certainly
// ended. A handover is never sent to another target, because both targets could
// spend the same tokens.
func (h *Holder) Acknowledge(id TransferID) {
	handover, ok := h.outgoing[id.To]
	if ok && handover.ID == id {
		delete(h.outgoing, id.To)
	}
}

// Receive accepts a handover. A repeated handover changes nothing.
func (h *Holder) Receive(now time.Time, handover Handover) Receipt {
	id := handover.ID
	if id.Generation > h.gen.Number {
		return ReceiptNotReady
	}
	inherited, expected := h.inherited[id.From]
	if id.Generation < h.gen.Number || id.To != h.self || !expected {
		return ReceiptRefused
	}
	if inherited.arrived {
		return ReceiptAccepted
	}
	h.inherited[id.From] = inheritedShares{arrived: true, full: handover.UnlistedFull, refillFrom: now.Add(-handover.UnlistedAge)}
	for _, state := range handover.Shares {
		h.shares[state.ID] = state.toShare(now)
	}
	return ReceiptAccepted
}

// MemberRemoved records that a member has certainly ended. Shares that it has not
// handed over restart from zero once its last response is no longer valid. It
// drops the handovers to that member.
func (h *Holder) MemberRemoved(now time.Time, m Member) {
	if s, ok := h.inherited[m]; ok && !s.arrived {
		h.inherited[m] = inheritedShares{arrived: true, refillFrom: now.Add(ResponseLifetime)}
	}
	delete(h.outgoing, m)
}

// AwaitedMembers returns the members whose handover to this one has not arrived.
func (h *Holder) AwaitedMembers() []Member {
	var out []Member
	for _, m := range h.gen.Previous {
		if s, ok := h.inherited[m]; ok && !s.arrived {
			out = append(out, m)
		}
	}
	return out
}

// HandoversDone reports whether no handover from or to this member is incomplete.
func (h *Holder) HandoversDone() bool {
	return len(h.outgoing) == 0 && len(h.AwaitedMembers()) == 0
}

// toState returns the transferred form of the share at now.
func (s *Share) toState(id ShareID, now time.Time) ShareState {
	out := ShareState{ID: id, Terms: s.terms, Balance: int64(s.balance)}
	for e := s.byAge.Front(); e != nil; e = e.Next() {
		r := e.Value.(*reservation)
		out.Reservations = append(out.Reservations, ReservationState{
			ID: r.id, Amount: r.amount, Claim: int64(r.claim),
			FixedFor: r.fixedUntil.Sub(now), ExpiresIn: r.expires.Sub(now),
		})
	}
	return out
}

// toShare restores a share received at now.
func (s ShareState) toShare(now time.Time) *Share {
	share := newShare(s.Terms, units(s.Balance), now)
	for _, r := range s.Reservations {
		share.add(&reservation{
			id: r.ID, amount: r.Amount, claim: units(r.Claim), pending: r.FixedFor > 0,
			fixedUntil: now.Add(r.FixedFor), expires: now.Add(r.ExpiresIn),
		})
	}
	return share
}
