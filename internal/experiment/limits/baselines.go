package limits

import (
	"strconv"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// limiter limits the rate of an organisation over all entries.
type limiter interface {
	// tick advances the limiter's time. It is called before each event.
	tick(now time.Duration)
	// reserve reserves the tokens of a request that arrives at an entry, and reports
	// whether the request is admitted.
	reserve(now time.Duration, entry int, a arrival) bool
	// settle ends an admitted request and charges its used tokens.
	settle(now time.Duration, entry int, a arrival)
}

// epoch is the time at the start of a simulation.
var epoch = time.Unix(1_000_000, 0)

// wallTime returns the time that the limit package takes.
func wallTime(now time.Duration) time.Time {
	return epoch.Add(now)
}

func reservationID(a arrival) limit.ReservationID {
	return limit.ReservationID(strconv.Itoa(a.index))
}

// centralBucket is one bucket for all entries. It never fails and responds at once.
type centralBucket struct {
	bucket *limit.Bucket
}

func newCentralBucket() *centralBucket {
	return &centralBucket{limit.NewBucket(terms, true, epoch)}
}

func (b *centralBucket) tick(time.Duration) {}

func (b *centralBucket) reserve(now time.Duration, _ int, a arrival) bool {
	return b.bucket.Reserve(wallTime(now), reservationID(a), a.reservedTokens)
}

func (b *centralBucket) settle(now time.Duration, _ int, a arrival) {
	b.bucket.Settle(wallTime(now), reservationID(a), a.usedTokens)
}

// staticSplit gives each entry its own bucket with an equal part of the rate and
// burst. The bucket of an entry that was down starts empty.
type staticSplit struct {
	scenario scenario
	buckets  [entries]*limit.Bucket // By entry.
	wasDown  bool                   // The first entry was down at the last tick.
}

func newStaticSplit(s scenario) *staticSplit {
	out := &staticSplit{scenario: s}
	for i := range out.buckets {
		out.buckets[i] = limit.NewBucket(splitTerms(), true, epoch)
	}
	return out
}

// splitTerms returns the terms of one entry's bucket.
func splitTerms() limit.Terms {
	return limit.Terms{Rate: rate / entries, Burst: burst / entries, Revision: 1}
}

func (s *staticSplit) tick(now time.Duration) {
	down := s.scenario.entryDown(0, now)
	if s.wasDown && !down {
		s.buckets[0] = limit.NewBucket(splitTerms(), false, wallTime(now))
	}
	s.wasDown = down
}

func (s *staticSplit) reserve(now time.Duration, entry int, a arrival) bool {
	return s.buckets[entry].Reserve(wallTime(now), reservationID(a), a.reservedTokens)
}

func (s *staticSplit) settle(now time.Duration, entry int, a arrival) {
	s.buckets[entry].Settle(wallTime(now), reservationID(a), a.usedTokens)
}

// leaseTTL is the duration of the owner's lease.
const leaseTTL = 10 * time.Second

// leasedOwner is one bucket at one entry, its owner, which holds a lease of the
// store. No request is admitted while the lease is expired or the owner is down. The
// bucket of a new owner starts empty.
type leasedOwner struct {
	scenario scenario
	owner    int // Index of the entry.
	leaseEnd time.Duration
	bucket   *limit.Bucket
}

func newLeasedOwner(s scenario) *leasedOwner {
	return &leasedOwner{scenario: s, leaseEnd: leaseTTL, bucket: limit.NewBucket(terms, true, epoch)}
}

func (l *leasedOwner) tick(now time.Duration) {
	if l.scenario.storeDown(now) {
		return
	}
	up := !l.scenario.entryDown(l.owner, now)
	if up && now < l.leaseEnd {
		l.leaseEnd = now + leaseTTL
		return
	}
	if now < l.leaseEnd {
		return
	}
	for l.owner = 0; l.scenario.entryDown(l.owner, now); l.owner++ {
	}
	l.leaseEnd = now + leaseTTL
	l.bucket = limit.NewBucket(terms, false, wallTime(now))
}

func (l *leasedOwner) reserve(now time.Duration, _ int, a arrival) bool {
	if now >= l.leaseEnd || l.scenario.entryDown(l.owner, now) {
		return false
	}
	return l.bucket.Reserve(wallTime(now), reservationID(a), a.reservedTokens)
}

func (l *leasedOwner) settle(now time.Duration, _ int, a arrival) {
	l.bucket.Settle(wallTime(now), reservationID(a), a.usedTokens)
}
