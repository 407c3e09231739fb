package fairqueue

import (
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// ID identifies an attempt within a queue. The caller assigns it.
type ID uint64

// Item is one waiting attempt.
type Item struct {
	ID             ID
	Organisation   ident.Organisation
	Weight         int         // Weight of the organisation, at least 1.
	Priority       int         // Class within the organisation; lower classes are served first.
	ReservedTokens int64       // Tokens reserved for the attempt, at least 1.
	Build          slots.Build // Zero if the attempt needs none.
	Deadline       time.Time   // Latest start; zero for none.
}

// Config configures a Queue. Virtual times are in tokens divided by weight.
type Config struct {
	MaxItems      int           // Maximum number of waiting attempts.
	Concurrency   int           // Attempts that the endpoint runs concurrently.
	AgingStep     time.Duration // Wait after which an attempt moves up one class.
	MaxBypass     int           // Maximum number of times that attempts of running builds overtake the next attempt in order.
	MaxLead       float64       // Maximum lead in virtual time of an organisation over the one that it overtakes.
	MaxLag        float64       // Maximum lag in virtual time that an organisation may catch up on after its attempts could not run.
	TokensPerLoad float64       // Tokens charged to an organisation for a load.
	RateHalfLife  time.Duration // Half-life of the samples of the service rate.
}

// waiting is an Item in the queue.
type waiting struct {
	Item
	arrivedAt time.Time
	bypassed  int // Times that another attempt overtook it.
}

// flow holds the attempts and the virtual time of one organisation.
type flow struct {
	name        ident.Organisation
	weight      int
	virtualTime float64 // Virtual start time of its next attempt, in tokens divided by weight.
	tokens      int64   // Tokens reserved by its waiting attempts.
	items       []*waiting
	running     int
}

// Queue holds the waiting attempts of one endpoint. It is not safe for
// concurrent use.
type Queue struct {
	config      Config
	flows       map[ident.Organisation]*flow
	virtualTime float64 // Virtual start time of the attempt that started last.
	items       int
	tokens      int64
	running     int // Attempts that Pop returned and that are not released.
	rate        rate
}

// New returns an empty Queue.
func New(config Config) *Queue {
	return &Queue{
		config: config,
		flows:  make(map[ident.Organisation]*flow),
		rate:   rate{halfLife: config.RateHalfLife},
	}
}

// Len returns the number of waiting attempts.
func (q *Queue) Len() int { return q.items }

// ReservedTokens returns the sum of the tokens reserved by the waiting attempts.
func (q *Queue) ReservedTokens() int64 { return q.tokens }

// Refusal is the reason why Push refused an attempt.
type Refusal int

// Values of Refusal.
const (
	Accepted       Refusal = iota
	RefusedFull            // The queue is full.
	RefusedTooLate         // The attempt is not expected to start before its deadline.
)

// Result is the result of Push.
type Result struct {
	Refusal             Refusal
	RetryAfter          time.Duration // If refused: delay after which a retry is expected to be accepted.
	Displaced           *Item         // Attempt that Push removed from the queue to make room; nil if none.
	DisplacedRetryAfter time.Duration // RetryAfter for the displaced attempt.
}

// Push adds an attempt or refuses it.
func (q *Queue) Push(now time.Time, item Item) Result {
	wait := q.expectedWait(now, item)
	if !item.Deadline.IsZero() && now.Add(wait).After(item.Deadline) {
		return Result{Refusal: RefusedTooLate, RetryAfter: wait - item.Deadline.Sub(now)}
	}
	var result Result
	if q.items >= q.config.MaxItems {
		largest := q.displaceable(item)
		if largest == nil {
			return Result{Refusal: RefusedFull, RetryAfter: q.drainTime(now)}
		}
		result.Displaced = q.dropNewest(largest)
		result.DisplacedRetryAfter = q.drainTime(now)
	}
	q.add(now, item)
	return result
}

func (q *Queue) add(now time.Time, item Item) {
	f := q.flow(item)
	if len(f.items) == 0 {
		f.virtualTime = max(f.virtualTime, q.virtualTime)
	}
	f.weight = max(item.Weight, 1)
	f.items = append(f.items, &waiting{Item: item, arrivedAt: now})
	f.tokens += item.ReservedTokens
	q.items++
	q.tokens += item.ReservedTokens
}

func (q *Queue) flow(item Item) *flow {
	f, ok := q.flows[item.Organisation]
	if !ok {
		q.sweep()
		f = &flow{name: item.Organisation, weight: max(item.Weight, 1)}
		q.flows[item.Organisation] = f
	}
	return f
}

// Cancel removes and returns a waiting attempt. It returns false if the attempt is
// not in the queue.
func (q *Queue) Cancel(id ID) (Item, bool) {
	for _, f := range q.flows {
		for i, w := range f.items {
			if w.ID == id {
				q.remove(f, i)
				return w.Item, true
			}
		}
	}
	return Item{}, false
}

// RemoveMatching removes and returns the waiting attempts that match, in order of
// arrival.
func (q *Queue) RemoveMatching(match func(Item) bool) []Item {
	var matched []*waiting
	for _, f := range q.flows {
		for i := len(f.items) - 1; i >= 0; i-- {
			if w := f.items[i]; match(w.Item) {
				matched = append(matched, w)
				q.remove(f, i)
			}
		}
	}
	sort.Slice(matched, func(i, j int) bool { return arrivedBefore(matched[i], matched[j]) })
	items := make([]Item, 0, len(matched))
	for _, w := range matched {
		items = append(items, w.Item)
	}
	return items
}

// Release ends an attempt that Pop returned. used is the number of tokens that the
// attempt consumed.
func (q *Queue) Release(now time.Time, item Item, used int64) {
	q.rate.add(now, float64(used))
	q.running--
	f, ok := q.flows[item.Organisation]
	if !ok {
		return
	}
	f.running--
	f.virtualTime += float64(used-item.ReservedTokens) / float64(f.weight)
	q.removeIdle(f)
}

// removeIdle removes an organisation without attempts if its virtual time is not
// ahead of the queue's. If the organisation submits attempts again, it starts at the
// queue's virtual time, whether or not it was removed.
func (q *Queue) removeIdle(f *flow) {
	if len(f.items) == 0 && f.running == 0 && f.virtualTime <= q.virtualTime {
		delete(q.flows, f.name)
	}
}

// sweep removes all organisations without attempts once there are more than
// 2*MaxItems organisations. It discards the lead in virtual time that they have.
func (q *Queue) sweep() {
	if len(q.flows) <= 2*q.config.MaxItems {
		return
	}
	for name, f := range q.flows {
		if len(f.items) == 0 && f.running == 0 {
			delete(q.flows, name)
		}
	}
}

func (q *Queue) remove(f *flow, i int) {
	w := f.items[i]
	f.items = append(f.items[:i], f.items[i+1:]...)
	f.tokens -= w.ReservedTokens
	q.items--
	q.tokens -= w.ReservedTokens
	q.removeIdle(f)
}

func arrivedBefore(a, b *waiting) bool {
	if !a.arrivedAt.Equal(b.arrivedAt) {
		return a.arrivedAt.Before(b.arrivedAt)
	}
	return a.ID < b.ID
}
