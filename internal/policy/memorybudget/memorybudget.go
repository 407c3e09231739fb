// Package memorybudget decides who may hold how many of the bytes that a process holds for others.
//
// Holders reserve bytes before they fill them. When there is no room, a holder that yields to the one that asks loses
// what it holds; the caller of Reserve makes it return the bytes. Otherwise the one that asks waits for a short time and is
// refused then.
//
// Invariants:
//
//   - The bytes held never exceed the limit, and those of large holders never exceed the limit without the reserve for
//     small ones.
//   - A holder yields only while the request that it belongs to has not been sent, or while its reader is stalled.
//   - Of two holders that make progress, at most one yields to the other.
package memorybudget

import (
	"cmp"
	"slices"
	"time"
)

// Kind is what bytes are held for.
type Kind int

// Values of Kind.
const (
	KindBody     Kind = iota // Body of a request that is being received.
	KindRequest              // Complete body that is kept until the request has ended.
	KindResponse             // Response or event on its way to a caller.
	kinds
)

// Names are the names of the kinds in metrics.
var Names = [kinds]string{"body", "request", "response"}

// Limits bounds what a Budget grants.
type Limits struct {
	Total      int64         // Bytes of all holders.
	Reserve    int64         // Part of Total that only small holders use.
	SmallBytes int64         // The most that a small holder holds.
	Stall      time.Duration // Time without progress after which a holder is stalled.
	Progress   int64         // Bytes that count as progress together.
	Wait       time.Duration // How long a holder waits for room.
	MaxWaiting int           // Holders that wait at the same time.
}

// DefaultLimits returns the limits for a budget of total bytes.
func DefaultLimits(total int64) Limits {
	return Limits{
		Total: total, Reserve: total / 8, SmallBytes: 64 << 10, Progress: 4 << 10,
		// A client that sends steadily pauses for a retransmission of some hundred milliseconds at most.
		Stall: 2 * time.Second,
		Wait:  time.Second, MaxWaiting: 64,
	}
}

// Claim is what is known of a holder when it begins.
type Claim struct {
	Kind         Kind
	Organisation string // Empty without a valid key.
	Address      string // Client address without its port.
	Expected     int64  // Bytes that the holder will hold at most.
}

// Holder holds bytes of a Budget.
type Holder struct {
	Claim
	held       int64
	progressed int64 // Bytes since progressAt.
	progressAt time.Time
	waitsSince time.Time // Zero if the holder does not wait.
	writing    bool      // The bytes are being written to their reader.
	yielded    bool
}

// Held returns the bytes that h holds.
func (h *Holder) Held() int64 { return h.held }

// Yielded reports whether h has lost its bytes to another holder.
func (h *Holder) Yielded() bool { return h.yielded }

// remaining returns the bytes that h lacks.
func (h *Holder) remaining() int64 { return max(h.Expected-h.held, 0) }

// Verdict is the answer to a reservation.
type Verdict int

// Values of Verdict.
const (
	Granted Verdict = iota
	Wait            // There may be room soon. The holder asks again when bytes are returned, or after Limits.Wait.
	Refused
)

// Decision is the answer to a reservation and its effect on others.
type Decision struct {
	Verdict Verdict
	Yield   []*Holder // Holders that have to return their bytes now.
}

// Budget counts the bytes that are held. It is not safe for concurrent use.
type Budget struct {
	limits    Limits
	held      int64
	large     int64 // Bytes of holders that are not small.
	byKind    [kinds]int64
	byOrg     map[string]int64
	byAddress map[string]int64
	holders   map[*Holder]struct{}
	waiting   int
}

// New returns a Budget in which nothing is held.
func New(l Limits) *Budget {
	return &Budget{limits: l, byOrg: make(map[string]int64), byAddress: make(map[string]int64), holders: make(map[*Holder]struct{})}
}

// Limits returns the limits of the budget.
func (b *Budget) Limits() Limits { return b.limits }

// Held returns the bytes held of a kind.
func (b *Budget) Held(k Kind) int64 { return b.byKind[k] }

// Total returns the bytes held.
func (b *Budget) Total() int64 { return b.held }

// Add returns a new holder. Remove ends it.
func (b *Budget) Add(c Claim, now time.Time) *Holder {
	h := &Holder{Claim: c, progressAt: now}
	b.holders[h] = struct{}{}
	return h
}

// Remove returns all bytes of a holder and ends it.
func (b *Budget) Remove(h *Holder) {
	b.endWait(h)
	b.Release(h, h.held)
	delete(b.holders, h)
}

// Release returns bytes of a holder.
func (b *Budget) Release(h *Holder, n int64) { b.count(h, -min(n, h.held)) }

// Progress records that a holder has received or written bytes. Few bytes now and then are no progress.
func (b *Budget) Progress(h *Holder, n int64, now time.Time) {
	if h.progressed += n; h.progressed >= b.limits.Progress {
		h.progressed, h.progressAt = 0, now
	}
}

// Complete makes the body of a request one that is kept. It yields no longer.
func (b *Budget) Complete(h *Holder) {
	b.byKind[h.Kind] -= h.held
	h.Kind = KindRequest
	b.byKind[h.Kind] += h.held
}

// SetWriting records whether the bytes of a response are being written to their reader.
func (b *Budget) SetWriting(h *Holder, writing bool, now time.Time) {
	h.writing, h.progressed, h.progressAt = writing, 0, now
}

// Reserve asks for n more bytes.
func (b *Budget) Reserve(h *Holder, n int64, now time.Time) Decision {
	if h.yielded {
		b.endWait(h)
		return Decision{Verdict: Refused}
	}
	lack := b.lack(h, n)
	if lack <= 0 {
		if !h.waitsSince.IsZero() {
			h.progressAt = now // The time of the wait is not the client's.
		}
		b.endWait(h)
		b.count(h, n)
		return Decision{Verdict: Granted}
	}
	var yield []*Holder
	if lack -= b.returning(); lack > 0 {
		yield = b.takeFrom(h, n, lack, now)
	}
	switch {
	case h.waitsSince.IsZero() && (h.Kind != KindResponse && b.waiting >= b.limits.MaxWaiting):
		return Decision{Verdict: Refused, Yield: yield}
	case h.waitsSince.IsZero():
		h.waitsSince = now
		b.waiting++
	case now.Sub(h.waitsSince) >= b.limits.Wait:
		b.endWait(h)
		return Decision{Verdict: Refused, Yield: yield}
	}
	return Decision{Verdict: Wait, Yield: yield}
}

// endWait records that a holder no longer waits.
func (b *Budget) endWait(h *Holder) {
	if !h.waitsSince.IsZero() {
		h.waitsSince = time.Time{}
		b.waiting--
	}
}

// small reports whether a holder that holds n more bytes may use the reserve.
func (b *Budget) small(h *Holder, n int64) bool {
	return h.held+n <= b.limits.SmallBytes && (h.Expected <= b.limits.SmallBytes || h.Kind == KindResponse)
}

// lack returns how many bytes are missing for n more bytes of a holder.
func (b *Budget) lack(h *Holder, n int64) int64 {
	lack := b.held + n - b.limits.Total
	if !b.small(h, n) {
		before := int64(0) // A holder that outgrows the small ones counts as large with all that it holds.
		if b.small(h, 0) {
			before = h.held
		}
		lack = max(lack, b.large+before+n-(b.limits.Total-b.limits.Reserve))
	}
	return lack
}

// count changes what a holder holds.
func (b *Budget) count(h *Holder, n int64) {
	if !b.small(h, 0) {
		b.large -= h.held
	}
	h.held += n
	if !b.small(h, 0) {
		b.large += h.held
	}
	b.held += n
	b.byKind[h.Kind] += n
	add(b.byOrg, h.Organisation, n)
	add(b.byAddress, h.Address, n)
}

func add(m map[string]int64, key string, n int64) {
	if m[key] += n; m[key] == 0 {
		delete(m, key)
	}
}

// returning returns the bytes of holders that have yielded and have not returned them yet.
func (b *Budget) returning() int64 {
	n := int64(0)
	for h := range b.holders {
		if h.yielded {
			n += h.held
		}
	}
	return n
}

// takeFrom makes holders yield to h until they hold the bytes that are lacking. If all that yield to h hold less, none does.
func (b *Budget) takeFrom(h *Holder, n, lack int64, now time.Time) []*Holder {
	var candidates []*Holder
	sum := int64(0)
	for v := range b.holders {
		if v != h && v.held > 0 && !v.yielded && b.yields(v, h, n, now) {
			candidates = append(candidates, v)
			sum += v.held
		}
	}
	if sum < lack {
		return nil
	}
	slices.SortFunc(candidates, func(v, w *Holder) int { return b.compare(v, w, now) })
	for i, v := range candidates {
		v.yielded = true
		if lack -= v.held; lack <= 0 {
			return candidates[:i+1]
		}
	}
	return candidates
}

// stalled reports whether a holder has made no progress for long.
func (b *Budget) stalled(h *Holder, now time.Time) bool {
	return h.waitsSince.IsZero() && now.Sub(h.progressAt) >= b.limits.Stall
}

// yields reports whether v gives its bytes up for n more bytes of h.
func (b *Budget) yields(v, h *Holder, n int64, now time.Time) bool {
	switch {
	case v.Kind == KindRequest, v.Kind == KindResponse && !v.writing:
		return false
	case b.stalled(v, now):
		return true
	case v.Kind == KindResponse:
		return false
	case h.Kind == KindResponse:
		return true // Work that has run is finished before more is taken.
	case h.Kind != KindBody:
		return false
	}
	if hSmall, vSmall := b.small(h, n), b.small(v, 0); hSmall != vSmall {
		return hSmall
	}
	if hKeyed, vKeyed := h.Organisation != "", v.Organisation != ""; hKeyed != vKeyed {
		return hKeyed
	}
	if h.Organisation != v.Organisation {
		return b.byOrg[v.Organisation]-v.held > b.byOrg[h.Organisation]
	}
	// Behind a load balancer all callers may have one address, which then decides nothing.
	if h.Address != v.Address {
		switch {
		case b.byAddress[v.Address]-v.held > b.byAddress[h.Address]:
			return true
		case b.byAddress[h.Address]-h.held > b.byAddress[v.Address]:
			return false
		}
	}
	return v.remaining() > h.remaining()
}

// compare orders holders that yield: the one that yields first is the least.
func (b *Budget) compare(v, w *Holder, now time.Time) int {
	if vs, ws := b.stalled(v, now), b.stalled(w, now); vs != ws {
		return compareTrueFirst(vs)
	} else if vs {
		return v.progressAt.Compare(w.progressAt)
	}
	if vk, wk := v.Organisation == "", w.Organisation == ""; vk != wk {
		return compareTrueFirst(vk)
	}
	return cmp.Or(
		cmp.Compare(b.byOrg[w.Organisation], b.byOrg[v.Organisation]),
		cmp.Compare(b.byAddress[w.Address], b.byAddress[v.Address]),
		cmp.Compare(w.remaining(), v.remaining()),
		cmp.Compare(w.held, v.held),
	)
}

func compareTrueFirst(first bool) int {
	if first {
		return -1
	}
	return 1
}
