package fairqueue

import (
	"math"
	"time"
)

// rate measures tokens a second with an exponentially decaying window.
type rate struct {
	halfLife time.Duration
	sum      float64
	began    time.Time
	at       time.Time
}

func (r *rate) add(now time.Time, tokens float64) {
	if r.began.IsZero() {
		r.began = now
		r.at = now
	}
	r.sum = r.sum*r.decay(now) + tokens
	r.at = now
}

func (r *rate) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(r.at)) / float64(r.halfLife))
}

// read returns tokens a second, and false before a whole half-life was seen.
func (r *rate) read(now time.Time) (float64, bool) {
	if r.began.IsZero() || now.Sub(r.began) < r.halfLife {
		return 0, false
	}
	window := r.halfLife.Seconds() / math.Ln2
	covered := 1 - math.Exp(-now.Sub(r.began).Seconds()/window)
	perSecond := r.sum * r.decay(now) / (window * covered)
	return perSecond, perSecond > 0
}

// unmeasuredWait is the time to come back after while no rate was measured.
const unmeasuredWait = time.Second

// expectedWait estimates when an attempt would begin: its organisation's own
// backlog at the organisation's share of the measured rate. While turns are
// free, what waits is held up by its builds and says nothing about others.
func (q *Queue) expectedWait(now time.Time, item Item) time.Duration {
	perSecond, measured := q.rate.read(now)
	if !measured || q.running < q.config.Concurrency {
		return 0
	}
	ahead := int64(0)
	others := 0
	for name, f := range q.flows {
		if name == item.Organisation {
			ahead = f.tokens
		} else if len(f.items) > 0 {
			others += f.weight
		}
	}
	weight := max(item.Weight, 1)
	share := float64(weight) / float64(weight+others)
	return seconds(float64(ahead) / (perSecond * share))
}

// drainTime estimates when the full queue will have lost one attempt in
// Concurrency, so that one that comes back then finds a place.
func (q *Queue) drainTime(now time.Time) time.Duration {
	perSecond, measured := q.rate.read(now)
	if !measured || q.items == 0 {
		return unmeasuredWait
	}
	perItem := float64(q.tokens) / float64(q.items)
	return seconds(perItem * float64(q.config.Concurrency) / perSecond)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

// overShare returns the organisation that holds most of the queue by its
// weight, where that is more than the new attempt's would hold with it.
func (q *Queue) overShare(item Item) *flow {
	own := 0
	if f, ok := q.flows[item.Organisation]; ok {
		own = len(f.items)
	}
	limit := float64(own+1) / float64(max(item.Weight, 1))
	var worst *flow
	for _, f := range q.inOrder() {
		held := float64(len(f.items)) / float64(f.weight)
		if f.name != item.Organisation && held > limit {
			worst, limit = f, held
		}
	}
	return worst
}

// dropNewest removes the newest attempt of the lowest class of an organisation.
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
