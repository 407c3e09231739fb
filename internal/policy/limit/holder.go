package limit

import "time"

// Status says how a holder answered.
type Status int

// Values of Status.
const (
	StatusOK         Status = iota // Asked under the holder's generation; the amount may be zero.
	StatusGeneration               // The asker's generation is not the holder's.
	StatusNotHolder                // Another member holds the share.
	StatusAwaiting                 // The share is still being handed over.
	StatusUnsure                   // The holder was paused and must confirm its generation first.
)

// Request asks a holder for parts of one share.
type Request struct {
	Generation uint64
	Share      ShareID
	Terms      Terms
	ID         ReservationID
	Want       Parts // Most that is taken.
	Least      Parts // Below this nothing is taken.
	Pending    bool  // The answer travels to another process.
}

// Answer is what a holder gives.
type Answer struct {
	Status     Status
	Generation uint64 // The holder's.
	Holder     Member
	Amount     Parts // Taken from the share.
	Left       Parts // What the share still has.
}

// origin says what a member knows of the shares that it took over from one
// member and that nobody has asked for since.
type origin struct {
	begun bool      // False while the hand-over is awaited.
	full  bool      // The shares are full.
	since time.Time // Refilled from zero since then, where not full; may be to come.
}

// Holder is the state of one life of a process that may hold shares.
//
// Invariant: it gives parts of a share only under the installed generation,
// only while that names it as holder, and only after the share has reached it.
type Holder struct {
	self    Member
	gen     Generation
	shares  map[ShareID]*Share
	origins map[Member]origin // By former holder, for this generation.
	out     map[Member]*Handover
	alive   time.Time
	unsure  bool
}

// NewHolder returns a holder of nothing.
func NewHolder(self Member, now time.Time) *Holder {
	return &Holder{
		self:    self,
		shares:  make(map[ShareID]*Share),
		origins: make(map[Member]origin),
		out:     make(map[Member]*Handover),
		alive:   now,
	}
}

// Generation returns the installed generation.
func (h *Holder) Generation() Generation {
	return h.gen
}

// Self returns the member that the holder is.
func (h *Holder) Self() Member {
	return h.self
}

// Reserve takes parts of a share.
func (h *Holder) Reserve(now time.Time, req Request) Answer {
	answer := Answer{Generation: h.gen.Number, Holder: h.self}
	answer.Status = h.check(now, req)
	if answer.Status != StatusOK {
		return answer
	}
	share, ok := h.share(now, req.Share, req.Terms)
	if !ok {
		answer.Status = StatusAwaiting
		return answer
	}
	answer.Amount = share.reserve(now, req.ID, req.Want, req.Least, req.Pending)
	answer.Left = share.available()
	return answer
}

func (h *Holder) check(now time.Time, req Request) Status {
	switch {
	case req.Generation != h.gen.Number || h.gen.Number == 0:
		return StatusGeneration
	case h.gen.Holder(req.Share) != h.self:
		return StatusNotHolder
	case !h.sure(now):
		return StatusUnsure
	}
	return StatusOK
}

// Settle ends a reservation. It reports whether this process holds the share.
func (h *Holder) Settle(now time.Time, id ShareID, reservation ReservationID, used Parts) bool {
	share, ok := h.shares[id]
	if !ok {
		return false
	}
	share.advance(now)
	share.settle(now, reservation, used)
	return true
}

// Admitted tells that the asker has let a reservation through. It reports
// whether this process holds the share.
func (h *Holder) Admitted(now time.Time, id ShareID, reservation ReservationID) bool {
	share, ok := h.shares[id]
	if !ok {
		return false
	}
	share.advance(now)
	share.admitted(now, reservation)
	return true
}

// share returns a share at now, or false while it is awaited.
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
	from := h.origins[former]
	if !from.ready(terms, now) {
		return nil, false
	}
	share := newShare(terms, from.balance(terms, now), now)
	h.shares[id] = share
	return share, true
}

// ready reports whether a share may be used: not before the last answer of a
// lost holder has lost its validity, and permits not before all that it may
// have given have expired.
func (o origin) ready(terms Terms, now time.Time) bool {
	if !o.begun || o.full {
		return o.begun
	}
	if terms.Permits {
		return now.Sub(o.since) >= PermitLifetime
	}
	return !now.Before(o.since)
}

// balance returns what a share that nobody has asked for holds.
func (o origin) balance(terms Terms, now time.Time) units {
	if o.full || terms.Permits {
		return terms.burst()
	}
	return terms.refill(now.Sub(o.since), terms.burst())
}

// Beat notes that the process runs.
func (h *Holder) Beat(now time.Time) {
	if h.sure(now) {
		h.alive = now
	}
}

// Confirm ends the doubt after a pause: the store has been read at now, after
// the pause, and names the given generation as the current one.
func (h *Holder) Confirm(now time.Time, number uint64) {
	if number != h.gen.Number {
		return
	}
	h.alive = now
	h.unsure = false
}

// Doubt makes the holder confirm its generation before it gives anything.
func (h *Holder) Doubt() {
	h.unsure = true
}

// Unsure reports whether the holder must confirm its generation.
func (h *Holder) Unsure(now time.Time) bool {
	return !h.sure(now)
}

func (h *Holder) sure(now time.Time) bool {
	if now.Sub(h.alive) > PauseLimit {
		h.unsure = true
	}
	return !h.unsure
}
