package limits

import (
	"strconv"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// limiter is one way to limit an organisation over all entries.
type limiter interface {
	// tick is called before each event.
	tick(now time.Duration)
	// reserve reports whether a request is admitted at an entry.
	reserve(now time.Duration, entry int, a arrival) bool
	// settle ends an admitted request.
	settle(now time.Duration, entry int, a arrival)
}

var epoch = time.Unix(1_000_000, 0)

func at(now time.Duration) time.Time {
	return epoch.Add(now)
}

func idOf(a arrival) limit.ReservationID {
	return limit.ReservationID(strconv.Itoa(a.index))
}

// perfect is one bucket that never fails and costs no time.
type perfect struct {
	bucket *limit.Bucket
}

func newPerfect() *perfect {
	return &perfect{limit.NewBucket(terms, true, epoch)}
}

func (p *perfect) tick(time.Duration) {}

func (p *perfect) reserve(now time.Duration, _ int, a arrival) bool {
	return p.bucket.Reserve(at(now), idOf(a), a.tokens)
}

func (p *perfect) settle(now time.Duration, _ int, a arrival) {
	p.bucket.Settle(at(now), idOf(a), a.used)
}

// split gives each entry an equal part for itself. A lost entry's part
// restarts empty.
type split struct {
	s       scenario
	buckets [entries]*limit.Bucket
	wasLost bool
}

func newSplit(s scenario) *split {
	out := &split{s: s}
	for i := range out.buckets {
		out.buckets[i] = limit.NewBucket(partTerms(), true, epoch)
	}
	return out
}

func partTerms() limit.Terms {
	return limit.Terms{Rate: rate / entries, Burst: burst / entries, Revision: 1}
}

func (p *split) tick(now time.Duration) {
	lost := p.s.lost(0, now)
	if p.wasLost && !lost {
		p.buckets[0] = limit.NewBucket(partTerms(), false, at(now))
	}
	p.wasLost = lost
}

func (p *split) reserve(now time.Duration, entry int, a arrival) bool {
	return p.buckets[entry].Reserve(at(now), idOf(a), a.tokens)
}

func (p *split) settle(now time.Duration, entry int, a arrival) {
	p.buckets[entry].Settle(at(now), idOf(a), a.used)
}

// leaseTTL is the lease of the one owner.
const leaseTTL = 10 * time.Second

// leased is one bucket whose owner holds a lease of the store. Without the
// lease nothing is admitted, and a new owner's bucket begins empty.
type leased struct {
	s      scenario
	owner  int
	until  time.Duration
	bucket *limit.Bucket
}

func newLeased(s scenario) *leased {
	return &leased{s: s, until: leaseTTL, bucket: limit.NewBucket(terms, true, epoch)}
}

func (l *leased) tick(now time.Duration) {
	if l.s.storeLost(now) {
		return
	}
	alive := !l.s.lost(l.owner, now)
	if alive && now < l.until {
		l.until = now + leaseTTL
		return
	}
	if now < l.until {
		return
	}
	for l.owner = 0; l.s.lost(l.owner, now); l.owner++ {
	}
	l.until = now + leaseTTL
	l.bucket = limit.NewBucket(terms, false, at(now))
}

func (l *leased) reserve(now time.Duration, _ int, a arrival) bool {
	if now >= l.until || l.s.lost(l.owner, now) {
		return false
	}
	return l.bucket.Reserve(at(now), idOf(a), a.tokens)
}

func (l *leased) settle(now time.Duration, _ int, a arrival) {
	l.bucket.Settle(at(now), idOf(a), a.used)
}
