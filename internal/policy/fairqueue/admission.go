package fairqueue

import (
	"math"
	"time"
)

// rate measures tokens per second with exponentially decaying weights.
type rate struct {
	halfLife  time.Duration
	sum       float64
	startedAt time.Time
	updatedAt time.Time
}

func (r *rate) add(now time.Time, tokens float64) {
	if r.startedAt.IsZero() {
		r.startedAt = now
		r.updatedAt = now
	}
	r.sum = r.sum*r.decay(now) + tokens
	r.updatedAt = now
}

func (r *rate) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(r.updatedAt)) / float64(r.halfLife))
}

// tokensPerSecond returns the measured rate. It returns false if the rate is zero or
// the measurement covers less than one half-life.
func (r *rate) tokensPerSecond(now time.Time) (float64, bool) {
	if r.startedAt.IsZero() || now.Sub(r.startedAt) < r.halfLife {
		return 0, false
	}
	window := r.halfLife.Seconds() / math.Ln2
	covered := 1 - math.Exp(-now.Sub(r.startedAt).Seconds()/window)
	perSecond := r.sum * r.decay(now) / (window * covered)
	return perSecond, perSecond > 0
}

// unmeasuredRetryAfter is the retry delay while the service rate is unknown.
const unmeasuredRetryAfter = time.Second

// expectedWait estimates the wait until an attempt starts: the backlog of its
// organisation divided by the organisation's share of the measured rate. It returns
// 0 while fewer than Concurrency attempts run, since the waiting attempts are then
// blocked by their builds and do not delay attempts of other builds.
func (q *Queue) expectedWait(now time.Time, item Item) time.Duration {
	perSecond, measured := q.rate.tokensPerSecond(now)
	if !measured || q.running < q.config.Concurrency {
		return 0
	}
	backlog := int64(0)
	otherWeight := 0
	for name, f := range q.flows {
		if name == item.Organisation {
			backlog = f.tokens
		} else if len(f.items) > 0 {
			otherWeight += f.weight
		}
	}
	weight := max(item.Weight, 1)
	share := float64(weight) / float64(weight+otherWeight)
	return seconds(float64(backlog) / (perSecond * share))
}

// drainTime estimates how long the endpoint takes to serve Concurrency attempts of
// average size. After it, a full queue has room for a retried attempt.
func (q *Queue) drainTime(now time.Time) time.Duration {
	perSecond, measured := q.rate.tokensPerSecond(now)
	if !measured || q.items == 0 {
		return unmeasuredRetryAfter
	}
	tokensPerItem := float64(q.tokens) / float64(q.items)
	return seconds(tokensPerItem * float64(q.config.Concurrency) / perSecond)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// displaceable returns the other organisation with the most waiting attempts relative
// to its weight. It returns nil if none has more, relative to its weight, than the
// organisation of the new attempt would have after accepting it.
func (q *Queue) displaceable(item Item) *flow {
	own := 0
	if f, ok := q.flows[item.Organisation]; ok {
		own = len(f.items)
	}
	limit := float64(own+1) / float64(max(item.Weight, 1))
	var largest *flow
	for _, f := range q.byVirtualTime() {
		queued := float64(len(f.items)) / float64(f.weight)
		if f.name != item.Organisation && queued > limit {
			largest, limit = f, queued
		}
	}
	return largest
}

// dropNewest removes the newest attempt in the least urgent class of an
// organisation.
func (q *Queue) dropNewest(f *flow) *Item {
	last := 0
	for i, w := range f.items {
		if w.Priority >= f.items[last].Priority {
			last = i
		}
	}
	item := f.items[last].Item
	q.remove(f, last)
	return &item
}
