package fairqueue

import (
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// Fit is the readiness of an attempt.
type Fit int

// Values of Fit.
const (
	NotReady  Fit = iota // It cannot run now.
	Ready                // It can run now.
	Preferred            // It can run now, and joins a running batch of its build.
)

// candidate is the next runnable attempt of an organisation.
type candidate struct {
	flow  *flow
	index int
	fit   Fit
}

// Pop removes and returns the attempt to run next. It returns false if none can run
// now.
func (q *Queue) Pop(now time.Time, fit func(Item) Fit) (Item, bool) {
	var head, joining *candidate
	for _, f := range q.byVirtualTime() {
		if head == nil {
			head = q.next(now, f, fit, Ready)
		}
		if joining == nil {
			joining = q.next(now, f, fit, Preferred)
		}
		if head != nil && joining != nil {
			break
		}
	}
	if head == nil {
		return Item{}, false
	}
	return q.take(q.choose(head, joining)), true
}

// choose returns joining, an attempt that joins a running batch, if it may overtake
// head, the next attempt in order, and head otherwise. An attempt at the head is
// overtaken at most MaxBypass times, and only by an organisation whose lead over its
// own is at most MaxLead.
func (q *Queue) choose(head, joining *candidate) *candidate {
	first := head.flow.items[head.index]
	if head.fit == Preferred || joining == nil || first.bypassed >= q.config.MaxBypass {
		return head
	}
	if joining.flow.virtualTime-head.flow.virtualTime > q.config.MaxLead {
		return head
	}
	first.bypassed++
	return joining
}

func (q *Queue) take(c *candidate) Item {
	f := c.flow
	w := f.items[c.index]
	q.virtualTime = max(q.virtualTime, f.virtualTime)
	f.virtualTime = max(f.virtualTime, q.virtualTime-q.config.MaxLag) + float64(w.ReservedTokens)/float64(f.weight)
	f.running++
	q.running++
	q.remove(f, c.index)
	return w.Item
}

// next returns the first attempt of an organisation, in order of class and age, with
// a fit of at least minFit. It returns nil if there is none.
func (q *Queue) next(now time.Time, f *flow, fit func(Item) Fit, minFit Fit) *candidate {
	var best *candidate
	for i, w := range f.items {
		if best != nil && !q.runsBefore(now, w, f.items[best.index]) {
			continue
		}
		if itemFit := fit(w.Item); itemFit >= minFit {
			best = &candidate{flow: f, index: i, fit: itemFit}
		}
	}
	return best
}

func (q *Queue) runsBefore(now time.Time, a, b *waiting) bool {
	classA, classB := q.agedClass(now, a), q.agedClass(now, b)
	if classA != classB {
		return classA < classB
	}
	return arrivedBefore(a, b)
}

// agedClass returns the priority class of an attempt after aging.
func (q *Queue) agedClass(now time.Time, w *waiting) int {
	return w.Priority - int(now.Sub(w.arrivedAt)/q.config.AgingStep)
}

// byVirtualTime returns the organisations with waiting attempts, the one with the
// lowest virtual time first.
func (q *Queue) byVirtualTime() []*flow {
	out := make([]*flow, 0, len(q.flows))
	for _, f := range q.flows {
		if len(f.items) > 0 {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].virtualTime != out[j].virtualTime {
			return out[i].virtualTime < out[j].virtualTime
		}
		return out[i].name < out[j].name
	})
	return out
}

// waitingWorkWeight is the reduction of a build's virtual start time for each token of
// waiting work.
const waitingWorkWeight = 3

// buildDemand is the waiting work for one build, in tokens divided by weight.
type buildDemand struct {
	build slots.Build
	start float64 // Virtual start time of the first attempt.
	work  float64 // Work of all waiting attempts.
}

// WantedBuilds returns up to limit distinct builds of waiting attempts, the most urgent
// one first. Builds are ordered by the virtual time at which their first attempt would
// start if all builds were resident, reduced by the weighted work that waits for them.
// Scarce loads thereby go to the builds that unblock the most work.
func (q *Queue) WantedBuilds(now time.Time, limit int) []slots.Build {
	demands := make(map[slots.Build]*buildDemand)
	for _, f := range q.byVirtualTime() {
		q.addDemands(now, f, demands)
	}
	list := make([]*buildDemand, 0, len(demands))
	for _, d := range demands {
		list = append(list, d)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].before(list[j]) })
	out := make([]slots.Build, 0, min(limit, len(list)))
	for _, d := range list[:min(limit, len(list))] {
		out = append(out, d.build)
	}
	return out
}

func (q *Queue) addDemands(now time.Time, f *flow, demands map[slots.Build]*buildDemand) {
	items := append([]*waiting(nil), f.items...)
	sort.Slice(items, func(i, j int) bool { return q.runsBefore(now, items[i], items[j]) })
	start := f.virtualTime
	for _, w := range items {
		work := float64(w.ReservedTokens) / float64(f.weight)
		if w.Build != (slots.Build{}) {
			d, ok := demands[w.Build]
			if !ok {
				d = &buildDemand{build: w.Build, start: start}
				demands[w.Build] = d
			}
			d.start = min(d.start, start)
			d.work += work
		}
		start += work
	}
}

func (d *buildDemand) before(other *buildDemand) bool {
	a, b := d.start-waitingWorkWeight*d.work, other.start-waitingWorkWeight*other.work
	if a != b {
		return a < b
	}
	if d.build.Adapter != other.build.Adapter {
		return d.build.Adapter < other.build.Adapter
	}
	return d.build.Version < other.build.Version
}

// ChargeLoad charges a load of the build to the organisation with the lowest virtual
// time among those with an attempt that waits for it. Loads are a scarce resource
// like run time, so they count against the organisation's share.
func (q *Queue) ChargeLoad(b slots.Build) {
	for _, f := range q.byVirtualTime() {
		for _, w := range f.items {
			if w.Build == b {
				f.virtualTime += q.config.TokensPerLoad / float64(f.weight)
				return
			}
		}
	}
}
