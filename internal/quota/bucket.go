package quota

import "time"

// Bucket is a token bucket whose balance may become negative. It is not safe for concurrent
// use.
type Bucket struct {
	rate       float64   // Units per second.
	burst      float64   // Largest balance, in units.
	balance    float64   // Units; negative after a large request.
	refilledAt time.Time // Time of the last refill.
}

// NewBucket returns a Bucket that holds balance units at now. A balance above burst is
// reduced to burst.
func NewBucket(rate, burst, balance float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, burst: burst, balance: min(balance, burst), refilledAt: now}
}

// SetLimit changes the rate and the burst from now on. A balance above a lowered burst is
// reduced to it.
func (b *Bucket) SetLimit(rate, burst float64, now time.Time) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.balance = min(b.balance, burst)
}

const (
	// requiredShare is the part of a request's units that the bucket must hold. If it had to
	// hold all of them, small requests would leave nothing for large ones. If it had to hold
	// none, one large request would delay many small ones.
	requiredShare = 0.25
	// maxRequiredSeconds limits the required balance, in seconds of the rate, so that the
	// largest requests wait no longer than other large ones.
	maxRequiredSeconds = 0.02
)

// Take takes units if the bucket holds the required part of them. Otherwise it takes none and
// returns how long it takes until the bucket holds that part. The balance may become negative
// by the remainder of one request: over any period the taken units are at most the sum of the
// rate times the period, the burst and the units of one request.
func (b *Bucket) Take(units float64, now time.Time) (bool, time.Duration) {
	b.refill(now)
	required := min(requiredShare*units, maxRequiredSeconds*b.rate, b.burst)
	if b.balance >= required {
		b.balance -= units
		return true, 0
	}
	if b.rate <= 0 {
		return false, time.Second
	}
	return false, time.Duration((required - b.balance) / b.rate * float64(time.Second))
}

// Return puts back the units of a request that did not run.
func (b *Bucket) Return(units float64, now time.Time) {
	b.refill(now)
	b.balance = min(b.balance+units, b.burst)
}

// TakeAll takes the whole balance and returns it. A negative balance is returned, too, but
// stays in the bucket.
func (b *Bucket) TakeAll(now time.Time) float64 {
	b.refill(now)
	balance := b.balance
	b.balance = min(balance, 0)
	return balance
}

// refill adds the units that accrued since the last refill.
func (b *Bucket) refill(now time.Time) {
	if !now.After(b.refilledAt) {
		return
	}
	b.balance = min(b.balance+now.Sub(b.refilledAt).Seconds()*b.rate, b.burst)
	b.refilledAt = now
}
