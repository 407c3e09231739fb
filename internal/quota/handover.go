package quota

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// transferRetryInterval is the interval between two attempts to take a bucket over.
	transferRetryInterval = 100 * time.Millisecond
	// takeoverDelay is how long a possible owner must be silent before a router counts
	// without a transfer. A router that is cut off notices it within that time, since it pings
	// others each 400 ms, and then admits its isolated share only.
	takeoverDelay = time.Second
	// maxHandoverWait is how long a request waits for a new owner to get the balance. The
	// callers of a slow handover must not take the new owner for silent too.
	maxHandoverWait = 50 * time.Millisecond
	// surrenderRetention is how long a router remembers that it handed a bucket over.
	surrenderRetention = time.Minute
)

// ownedBucket is the bucket of a quota that this router owns. ready is closed once the other
// candidates were first asked for their balances. Until the bucket is settled, one of them may
// still count, and the bucket admits nothing.
type ownedBucket struct {
	bucket  *Bucket
	ready   chan struct{}
	settled bool      // Guarded by Ledger.mu, as is the next field.
	since   time.Time // When the bucket was settled.
}

// waitReady waits for ready, for at most maxHandoverWait.
func (b *ownedBucket) waitReady() {
	select {
	case <-b.ready:
		return
	default:
	}
	timer := time.NewTimer(maxHandoverWait)
	defer timer.Stop()
	select {
	case <-b.ready:
	case <-timer.C:
	}
}

// ownedBucket returns the bucket of an organisation. The first call creates it and takes the
// balance over from the previous owner, as does the first one after this router was cut off or
// suspended, since another router may have become the owner meanwhile. Callers wait for ready
// before they use the bucket.
func (l *Ledger) ownedBucket(ctx context.Context, o *catalog.Organisation) *ownedBucket {
	l.mu.Lock()
	defer l.mu.Unlock()
	owned := l.buckets[o.Name]
	if owned != nil && !(owned.settled && l.peers.interruptedSince(owned.since)) {
		return owned
	}
	h := &handover{pending: l.peers.otherCandidates(o.Name)}
	if owned != nil {
		h.add(owned.bucket.TakeAll(time.Now()), true)
	}
	owned = &ownedBucket{ready: make(chan struct{}), bucket: NewBucket(o.Rate, o.Burst, 0, time.Now())}
	l.buckets[o.Name] = owned
	go l.takeOver(context.WithoutCancel(ctx), owned, o, h)
	return owned
}

// handover is the takeover of an organisation's bucket from the other candidates for its
// ownership, each of which may have counted before.
type handover struct {
	pending   []Peer // Candidates that have not responded and may still count.
	inherited bool   // A candidate has held the bucket, so that balance counts.
	held      bool   // balance is that of a bucket, not what is left after a lost response.
	balance   float64
}

// add merges the balance of a candidate that holds the bucket, or that has handed it over before.
func (h *handover) add(balance float64, held bool) {
	if !h.inherited || held && !h.held || held == h.held && balance < h.balance {
		h.balance = balance
	}
	h.inherited, h.held = true, h.held || held
}

// advanceHandover asks the pending candidates for their balances. It returns true if none is
// left.
func (l *Ledger) advanceHandover(ctx context.Context, h *handover, o *catalog.Organisation) bool {
	type result struct {
		from  Peer
		reply transferReply
		err   error
	}
	results := make(chan result, len(h.pending))
	for _, from := range h.pending {
		go func() {
			r := result{from: from}
			r.err = l.peers.Call(ctx, from, PathTransfer, l.request(o.Name, 0), &r.reply)
			results <- r
		}()
	}
	var silent []Peer
	for range h.pending {
		r := <-results
		switch {
		case r.err == nil && r.reply.Known:
			h.add(r.reply.Balance, r.reply.Held)
		case r.err != nil && !errors.Is(r.err, syscall.ECONNREFUSED): // A refused connection: the process has ended.
			l.log.WithError(r.err).WithField("peer", r.from.VM).Info("quota balance not received from a possible owner")
			silent = append(silent, r.from)
		}
	}
	h.pending = silent
	return len(silent) == 0
}

// takeOver settles a bucket. It asks the other candidates for their balances until all have
// responded. A candidate is given up once it has been silent for takeoverDelay and most routers
// do not reach it either. takeOver ends early if the bucket was handed over to another router
// meanwhile.
func (l *Ledger) takeOver(ctx context.Context, owned *ownedBucket, o *catalog.Organisation, h *handover) {
	began := time.Now()
	done := l.advanceHandover(ctx, h, o)
	if done {
		l.settle(owned, o, h)
	}
	close(owned.ready)
	for !done && sleep.For(ctx, transferRetryInterval) == nil && l.owns(o.Name, owned) {
		if done = l.advanceHandover(ctx, h, o); !done {
			done = l.giveUpUnreachable(ctx, h, began)
		}
		if done {
			l.settle(owned, o, h)
		}
	}
}

// giveUpUnreachable drops the pending candidates that most routers do not reach, once
// takeoverDelay has passed since began. It returns true if none is left. The balance of a dropped
// candidate is lost.
func (l *Ledger) giveUpUnreachable(ctx context.Context, h *handover, began time.Time) bool {
	h.pending = slices.DeleteFunc(h.pending, func(p Peer) bool {
		unreachable := l.peers.mostDoNotReach(ctx, p.VM)
		if !unreachable || time.Since(began) < takeoverDelay {
			return false
		}
		h.add(min(h.balance, 0), true)
		return true
	})
	return len(h.pending) == 0
}

// owns reports whether owned is still the organisation's bucket of this router.
func (l *Ledger) owns(organisation string, owned *ownedBucket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buckets[organisation] == owned
}

// settle sets the first balance of a bucket, which admits requests from now on.
func (l *Ledger) settle(owned *ownedBucket, o *catalog.Organisation, h *handover) {
	balance := initialBalanceSeconds * o.Rate
	if h.inherited {
		balance = h.balance
	}
	now := time.Now()
	l.mu.Lock()
	if debt := l.surrendered[o.Name].debt(now); debt < 0 {
		balance = min(balance, debt)
	}
	owned.bucket = NewBucket(o.Rate, o.Burst, balance, now)
	owned.settled, owned.since = true, now
	l.mu.Unlock()
	l.log.WithFields(logrus.Fields{
		"event": "quota_home", "organisation": o.Name, "inherited": h.inherited, "balance": balance,
	}).Info("this router became the quota owner")
}

// transfer drops the bucket of an organisation and returns its balance for the new quota
// owner. The response may be lost, so the bucket's debt is remembered, and a repeated call hands
// over nothing but the debt.
func (l *Ledger) transfer(organisation string) transferReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	owned := l.buckets[organisation]
	if owned == nil {
		last, ok := l.surrendered[organisation]
		return transferReply{Known: ok && now.Sub(last.at) < surrenderRetention, Balance: last.debt(now)}
	}
	delete(l.buckets, organisation)
	if !owned.settled {
		return transferReply{Known: true} // It has no balance yet, and admitted nothing.
	}
	balance := owned.bucket.TakeAll(now)
	l.surrendered[organisation] = surrender{at: now, balance: min(balance, 0), rate: owned.bucket.rate}
	return transferReply{Known: true, Held: true, Balance: balance}
}

// surrender is the handover of a bucket to another router.
type surrender struct {
	at      time.Time
	balance float64 // Units; the bucket's debt, 0 if it had none.
	rate    float64 // Units per second.
}

// debt returns what is left of the bucket's debt, as a balance of at most 0.
func (s surrender) debt(now time.Time) float64 {
	if s.balance == 0 {
		return 0
	}
	return min(s.balance+now.Sub(s.at).Seconds()*s.rate, 0)
}
