package fairqueue

import (
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// Fit says whether an attempt can run now.
type Fit int

// Values of Fit.
const (
	NotReady  Fit = iota // It cannot run now.
	Ready                // It can run now.
	Preferred            // It can run now, in a batch of its build that runs already.
)

// candidate is an organisation's next attempt that can run.
type candidate struct {
	flow  *flow
	index int
	fit   Fit
}

// Pop removes and returns the attempt that runs next, or false where none can
// run now.
func (q *Queue) Pop(now time.Time, fit func(Item) Fit) (Item, bool) {
	var head, batch *candidate
	for _, f := range q.inOrder() {
		if head == nil {
			head = q.next(now, f, fit, Ready)
		}
		if batch == nil {
			batch = q.next(now, f, fit, Preferred)
		}
		if head != nil && batch != nil {
			break
		}
	}
	if head == nil {
		return Item{}, false
	}
	return q.take(q.choose(head, batch)), true
}

// choose lets a batch go before the attempt whose turn it is, a bounded number
// of times and only from an organisation that is not far ahead.
func (q *Queue) choose(head, batch *candidate) *candidate {
	first := head.flow.items[head.index]
	if head.fit == Preferred || batch == nil || first.bypassed >= q.config.MaxBypass {
		return head
	}
	if batch.flow.virtual-head.flow.virtual > q.config.MaxLead {
		return head
	}
	first.bypassed++
	return batch
}

func (q *Queue) take(c *candidate) Item {
	f := c.flow
	w := f.items[c.index]
	q.virtual = max(q.virtual, f.virtual)
	f.virtual = max(f.virtual, q.virtual-q.config.MaxLag) + float64(w.Tokens)/float64(f.weight)
	f.running++
	q.running++
	q.remove(f, c.index)
	return w.Item
}

// next returns the organisation's first attempt in order of class and age whose
// fit is at least least.
func (q *Queue) next(now time.Time, f *flow, fit func(Item) Fit, least Fit) *candidate {
	var best *candidate
	for i, w := range f.items {
		if best != nil && !q.goesBefore(now, w, f.items[best.index]) {
			continue
		}
		if got := fit(w.Item); got >= least {
			best = &candidate{flow: f, index: i, fit: got}
		}
	}
	return best
}

func (q *Queue) goesBefore(now time.Time, a, b *waiting) bool {
	ca, cb := q.class(now, a), q.class(now, b)
	if ca != cb {
		return ca < cb
	}
	return earlier(a, b)
}

// class returns the priority class of an attempt after aging.
func (q *Queue) class(now time.Time, w *waiting) int {
	return w.Priority - int(now.Sub(w.since)/q.config.AgingStep)
}

// inOrder returns the organisations with waiting attempts, the one that is
// furthest behind first.
func (q *Queue) inOrder() []*flow {
	out := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if len(f.items) > 0 {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].virtual != out[j].virtual {
			return out[i].virtual < out[j].virtual
		}
		return out[i].name < out[j].name
	})
	return out
}

// workGain is how many tokens earlier a build is loaded for each token of work
// that waits for it.
const workGain = 3

// wish is a build that attempts wait for.
type wish struct {
	build slots.Build
	start float64 // Virtual start of the first of them.
	work  float64 // Tokens by weight of all of them.
}

// Wanted returns up to limit different builds of waiting attempts, the most
// urgent to load first. A build is as urgent as the virtual start of its first
// attempt, were all builds resident, less the work that waits for it, so that
// scarce loads go where they let most work run.
func (q *Queue) Wanted(now time.Time, limit int) []slots.Build {
	wishes := make(map[slots.Build]*wish)
	for _, f := range q.inOrder() {
		q.wishesOf(now, f, wishes)
	}
	list := make([]*wish, 0, len(wishes))
	for _, w := range wishes {
		list = append(list, w)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	out := make([]slots.Build, 0, min(limit, len(list)))
	for _, w := range list[:min(limit, len(list))] {
		out = append(out, w.build)
	}
	return out
}

func (q *Queue) wishesOf(now time.Time, f *flow, wishes map[slots.Build]*wish) {
	items := append([]*waiting(nil), f.items...)
	sort.Slice(items, func(i, j int) bool { return q.goesBefore(now, items[i], items[j]) })
	start := f.virtual
	for _, item := range items {
		length := float64(item.Tokens) / float64(f.weight)
		if item.Build != (slots.Build{}) {
			w, ok := wishes[item.Build]
			if !ok {
				w = &wish{build: item.Build, start: start}
				wishes[item.Build] = w
			}
			w.start = min(w.start, start)
			w.work += length
		}
		start += length
	}
}

func (w *wish) before(o *wish) bool {
	a, b := w.start-workGain*w.work, o.start-workGain*o.work
	if a != b {
		return a < b
	}
	if w.build.Adapter != o.build.Adapter {
		return w.build.Adapter < o.build.Adapter
	}
	return w.build.Version < o.build.Version
}

// ChargeLoad charges a load of the build to the organisation whose attempt made
// it urgent: loads are scarce as turns are, and count in its share.
func (q *Queue) ChargeLoad(b slots.Build) {
	for _, f := range q.inOrder() {
		for _, w := range f.items {
			if w.Build == b {
				f.virtual += q.config.LoadTokens / float64(f.weight)
				return
			}
		}
	}
}
