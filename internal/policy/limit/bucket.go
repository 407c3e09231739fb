package limit

import "time"

// Bucket is a single token bucket that follows the rules of a Share. It admits
// what one holder of the whole account would admit.
type Bucket struct {
	share *Share
}

// NewBucket returns a bucket that starts full if full is true, and empty
// otherwise.
func NewBucket(terms Terms, full bool, now time.Time) *Bucket {
	balance := units(0)
	if full {
		balance = terms.burst()
	}
	return &Bucket{share: newShare(terms, balance, now)}
}

// Reserve takes all of the tokens under a unique id, or none. It reports
// whether it took them.
func (b *Bucket) Reserve(now time.Time, id ReservationID, tokens int64) bool {
	b.share.advance(now)
	parts := Parts(tokens) // A bucket is not split, so one part is one token.
	return b.share.reserve(now, id, parts, parts, false) == parts
}

// HasTokens reports whether the bucket holds the given number of tokens at now.
func (b *Bucket) HasTokens(now time.Time, tokens int64) bool {
	b.share.advance(now)
	return b.share.available() >= Parts(tokens)
}

// Settle ends a reservation and returns the tokens above used to the bucket.
func (b *Bucket) Settle(now time.Time, id ReservationID, used int64) {
	b.share.advance(now)
	b.share.settle(now, id, Parts(used))
}
