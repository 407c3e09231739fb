package limit

import "time"

// Status is the result of a Reserve call.
type Status int

// Values of Status.
const (
	StatusOK                 Status = iota // The holder handled the request; Amount may be zero.
	StatusGenerationMismatch               // The request's generation differs from the holder's.
	StatusNotHolder                        // Another member holds the share.
	StatusAwaitingHandover                 // The share's handover has not arrived yet.
	StatusUnconfirmed                      // The process was paused and must first confirm its generation.
)

// Request reserves parts of one share at its holder.
type Request struct {
	Generation      uint64
	Share           ShareID
	Terms           Terms
	ID              ReservationID
	Max             Parts // Upper bound of the amount.
	Min             Parts // Lower bound: the holder takes nothing if fewer parts are available.
	AwaitsAdmission bool  // The response travels to another process, which admits the request later.
}

// Response is a holder's response to a Request.
type Response struct {
	Status     Status
	Generation uint64 // Generation of the holder.
	Holder     Member
	Amount     Parts // Parts taken from the share.
	Remaining  Parts // Parts that the share still has.
}

// inheritedShares is the common state of all shares that a member took over
// from one former holder and that have not been requested since. Such shares
// have no Share of their own yet.
type inheritedShares struct {
	arrived    bool      // False until the handover arrives or the former holder is removed.
	full       bool      // The shares are full.
	refillFrom time.Time // Start of the refill from zero if not full; may be in the future.
}

// Holder holds the shares of one incarnation of a process.
//
// Invariant: it takes parts of a share only under the installed generation,
// only if that generation names it as the holder, and only after it has
// received the share.
type Holder struct {
	self          Member
	gen           Generation
	shares        map[ShareID]*Share
	inherited     map[Member]inheritedShares // By former holder; valid for the installed generation.
	outgoing      map[Member]*Handover       // By target; handovers without an acknowledgement.
	lastHeartbeat time.Time
	unconfirmed   bool
}

// NewHolder returns a holder without a generation and without shares.
func NewHolder(self Member, now time.Time) *Holder {
	return &Holder{
		self:          self,
		shares:        make(map[ShareID]*Share),
		inherited:     make(map[Member]inheritedShares),
		outgoing:      make(map[Member]*Handover),
		lastHeartbeat: now,
	}
}

// Generation returns the installed generation.
func (h *Holder) Generation() Generation {
	return h.gen
}

// Self returns the member that this holder belongs to.
func (h *Holder) Self() Member {
	return h.self
}

// Reserve takes parts of a share if the share is held here and ready.
func (h *Holder) Reserve(now time.Time, req Request) Response {
	response := Response{Generation: h.gen.Number, Holder: h.self}
	response.Status = h.requestStatus(now, req)
	if response.Status != StatusOK {
		return response
	}
	share, ok := h.share(now, req.Share, req.Terms)
	if !ok {
		response.Status = StatusAwaitingHandover
		return response
	}
	response.Amount = share.reserve(now, req.ID, req.Max, req.Min, req.AwaitsAdmission)
	response.Remaining = share.available()
	return response
}

// requestStatus returns StatusOK if the holder may handle the request.
func (h *Holder) requestStatus(now time.Time, req Request) Status {
	switch {
	case req.Generation != h.gen.Number || h.gen.Number == 0:
		return StatusGenerationMismatch
	case h.gen.Holder(req.Share) != h.self:
		return StatusNotHolder
	case !h.isConfirmed(now):
		return StatusUnconfirmed
	}
	return StatusOK
}

// Settle ends a reservation of which used parts were used. It reports whether
// this process holds the share.
func (h *Holder) Settle(now time.Time, id ShareID, reservation ReservationID, used Parts) bool {
	share, ok := h.shares[id]
	if !ok {
		return false
	}
	share.advance(now)
	share.settle(now, reservation, used)
	return true
}

// MarkAdmitted records that the reserver has admitted the request of a
// reservation. It reports whether this process holds the share.
func (h *Holder) MarkAdmitted(now time.Time, id ShareID, reservation ReservationID) bool {
	share, ok := h.shares[id]
	if !ok {
		return false
	}
	share.advance(now)
	share.markAdmitted(now, reservation)
	return true
}

// share returns a share advanced to now. It returns false while the share's
// handover has not arrived or the share may not be used yet.
func (h *Holder) share(now time.Time, id ShareID, terms Terms) (*Share, bool) {
	if share, ok := h.shares[id]; ok {
		share.advance(now)
		share.setTerms(terms, now)
		return share, true
	}
	former, ok := h.gen.Predecessor(id)
	if !ok {
		former = h.self
	}
	inherited := h.inherited[former]
	if !inherited.ready(terms, now) {
		return nil, false
	}
	share := newShare(terms, inherited.balance(terms, now), now)
	h.shares[id] = share
	return share, true
}

// ready reports whether the shares may be used. After the removal of their former
// holder, token shares wait until its last response is no longer valid, and
// permit shares wait until all permits that it may have given have expired.
func (s inheritedShares) ready(terms Terms, now time.Time) bool {
	if !s.arrived || s.full {
		return s.arrived
	}
	if terms.Permits {
		return now.Sub(s.refillFrom) >= PermitLifetime
	}
	return !now.Before(s.refillFrom)
}

// balance returns the balance of a share that has not been requested yet.
func (s inheritedShares) balance(terms Terms, now time.Time) units {
	if s.full || terms.Permits {
		return terms.burst()
	}
	return terms.refill(now.Sub(s.refillFrom), terms.burst())
}

// Heartbeat records that the process is running. After a gap of more than
// MaxHeartbeatGap without a call, the holder must confirm its generation.
func (h *Holder) Heartbeat(now time.Time) {
	if h.isConfirmed(now) {
		h.lastHeartbeat = now
	}
}

// ConfirmGeneration ends the unconfirmed state after a pause. The caller has read
// the store at now, after the pause, and number is the current generation there.
// If number differs from the installed generation, the state does not change.
func (h *Holder) ConfirmGeneration(now time.Time, number uint64) {
	if number != h.gen.Number {
		return
	}
	h.lastHeartbeat = now
	h.unconfirmed = false
}

// RequireConfirmation requires the holder to confirm its generation before it
// takes anything from its shares.
func (h *Holder) RequireConfirmation() {
	h.unconfirmed = true
}

// NeedsConfirmation reports whether the holder must confirm its generation.
func (h *Holder) NeedsConfirmation(now time.Time) bool {
	return !h.isConfirmed(now)
}

// isConfirmed reports whether the holder may use its generation at now. A gap
// of more than MaxHeartbeatGap between heartbeats makes the holder unconfirmed.
func (h *Holder) isConfirmed(now time.Time) bool {
	if now.Sub(h.lastHeartbeat) > MaxHeartbeatGap {
		h.unconfirmed = true
	}
	return !h.unconfirmed
}
