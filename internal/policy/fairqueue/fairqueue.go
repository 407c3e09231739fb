package fairqueue

import (
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// ID numbers the attempts of one queue; the caller chooses it.
type ID uint64

// Item is one waiting attempt.
type Item struct {
	ID           ID
	Organisation ident.Organisation
	Weight       int         // Of the organisation, at least 1.
	Priority     int         // Class within the organisation; lower goes first.
	Tokens       int64       // Reserved, at least 1.
	Build        slots.Build // Zero where none is needed.
	Deadline     time.Time   // When it must have begun; zero where never.
}

// Config configures New.
type Config struct {
	MaxItems     int           // Attempts that may wait.
	Concurrency  int           // Attempts that the endpoint runs at once.
	AgingStep    time.Duration // Wait after which an attempt moves up one class.
	MaxBypass    int           // Attempts of a running build that may pass one attempt.
	MaxLead      float64       // Tokens by weight that an organisation may be ahead of the one it passes.
	MaxLag       float64       // Tokens by weight that an organisation whose attempts could not run may catch up on.
	LoadTokens   float64       // Tokens that a load counts for in its organisation's share.
	RateHalfLife time.Duration // Of the measured service rate.
}

// waiting is an Item with what the queue keeps about it.
type waiting struct {
	Item
	since    time.Time
	bypassed int
}

// flow is one organisation's attempts and virtual time.
type flow struct {
	name    ident.Organisation
	weight  int
	virtual float64 // Virtual time at which its next attempt starts.
	tokens  int64   // Reserved by its waiting attempts.
	items   []*waiting
	running int
}

// Queue holds the waiting attempts of one endpoint. It is not safe for
// concurrent use.
type Queue struct {
	config  Config
	flows   map[ident.Organisation]*flow
	virtual float64 // Start of the attempt that began last.
	items   int
	tokens  int64
	running int // Attempts that Pop gave out and that have not ended.
	rate    rate
}

// New returns an empty Queue.
func New(config Config) *Queue {
	return &Queue{
		config: config,
		flows:  make(map[ident.Organisation]*flow),
		rate:   rate{halfLife: config.RateHalfLife},
	}
}

// Len returns the attempts that wait.
func (q *Queue) Len() int { return q.items }

// Tokens returns the tokens that the waiting attempts have reserved.
func (q *Queue) Tokens() int64 { return q.tokens }

// Refusal says why Push did not take an attempt.
type Refusal int

// Values of Refusal.
const (
	Accepted       Refusal = iota
	RefusedFull            // The queue is full.
	RefusedTooLate         // It could not begin before its deadline.
)

// Result is the answer of Push.
type Result struct {
	Refusal             Refusal
	RetryAfter          time.Duration // Where refused: when an attempt like it would fit.
	Displaced           *Item         // Attempt that gave way; it is no longer in the queue.
	DisplacedRetryAfter time.Duration
}

// Push adds an attempt, or refuses it at once.
func (q *Queue) Push(now time.Time, item Item) Result {
	wait := q.expectedWait(now, item)
	if !item.Deadline.IsZero() && now.Add(wait).After(item.Deadline) {
		return Result{Refusal: RefusedTooLate, RetryAfter: wait - item.Deadline.Sub(now)}
	}
	var result Result
	if q.items >= q.config.MaxItems {
		victim := q.overShare(item)
		if victim == nil {
			return Result{Refusal: RefusedFull, RetryAfter: q.drainTime(now)}
		}
		result.Displaced = q.dropNewest(victim)
		result.DisplacedRetryAfter = q.drainTime(now)
	}
	q.add(now, item)
	return result
}

func (q *Queue) add(now time.Time, item Item) {
	f := q.flow(item)
	if len(f.items) == 0 {
		f.virtual = max(f.virtual, q.virtual)
	}
	f.weight = max(item.Weight, 1)
	f.items = append(f.items, &waiting{Item: item, since: now})
	f.tokens += item.Tokens
	q.items++
	q.tokens += item.Tokens
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

// Cancel removes a waiting attempt and reports whether it was there.
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

// Take removes and returns the attempts for which match is true, in the order
// of their arrival.
func (q *Queue) Take(match func(Item) bool) []Item {
	var out []*waiting
	for _, f := range q.flows {
		for i := len(f.items) - 1; i >= 0; i-- {
			if w := f.items[i]; match(w.Item) {
				out = append(out, w)
				q.remove(f, i)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return earlier(out[i], out[j]) })
	items := make([]Item, 0, len(out))
	for _, w := range out {
		items = append(items, w.Item)
	}
	return items
}

// Release ends an attempt that Pop has given out, with the tokens that it
// really used.
func (q *Queue) Release(now time.Time, item Item, used int64) {
	q.rate.add(now, float64(used))
	q.running--
	f, ok := q.flows[item.Organisation]
	if !ok {
		return
	}
	f.running--
	f.virtual += float64(used-item.Tokens) / float64(f.weight)
	q.forgetIdle(f)
}

// forgetIdle drops an organisation without attempts whose virtual time has
// been reached by the others: it would be given the same one again.
func (q *Queue) forgetIdle(f *flow) {
	if len(f.items) == 0 && f.running == 0 && f.virtual <= q.virtual {
		delete(q.flows, f.name)
	}
}

// sweep drops what organisations without attempts are ahead by, once there are
// more of them than attempts can wait.
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
	f.tokens -= w.Tokens
	q.items--
	q.tokens -= w.Tokens
	q.forgetIdle(f)
}

func earlier(a, b *waiting) bool {
	if !a.since.Equal(b.since) {
		return a.since.Before(b.since)
	}
	return a.ID < b.ID
}
