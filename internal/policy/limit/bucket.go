package limit

import "time"

// Bucket is one whole token bucket by the rules of a share: what a single
// holder of the whole account would admit.
type Bucket struct {
	share *Share
}

// NewBucket returns a full bucket, or an empty one.
func NewBucket(terms Terms, full bool, now time.Time) *Bucket {
	balance := units(0)
	if full {
		balance = terms.burst()
	}
	return &Bucket{share: newShare(terms, balance, now)}
}

// Reserve takes all of the tokens under a unique id, or none.
func (b *Bucket) Reserve(now time.Time, id ReservationID, tokens int64) bool {
	b.share.advance(now)
	want := Parts(tokens) // A bucket's parts are whole tokens.
	return b.share.reserve(now, id, want, want, false) == want
}

// Fits reports whether the tokens are there.
func (b *Bucket) Fits(now time.Time, tokens int64) bool {
	b.share.advance(now)
	return b.share.available() >= Parts(tokens)
}

// Settle ends a reservation: the tokens above used go back.
func (b *Bucket) Settle(now time.Time, id ReservationID, used int64) {
	b.share.advance(now)
	b.share.settle(now, id, Parts(used))
}
