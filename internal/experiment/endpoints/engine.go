package endpoints

import (
	"container/list"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// Times of one step of a fake engine.
const (
	stepTime        = 18 * time.Millisecond
	sequenceTime    = 400 * time.Microsecond
	adapterTime     = 800 * time.Microsecond
	promptTokenTime = 100 * time.Microsecond
	cachedPrefixes  = 64
)

// sequence is one request in an engine's batch.
type sequence struct {
	attempt *attempt
	left    int64
	began   bool
}

// fakeEngine runs batches in steps of one token for each sequence.
type fakeEngine struct {
	clock    *simclock.Clock
	batch    []*sequence
	stepping bool
	finished func(*attempt)
	prefixes *list.List // Of uint64, most recently used first.
	steps    int64      // Busy steps.
	tokens   int64      // Tokens that they made.
	busy     time.Duration
}

func (e *fakeEngine) add(a *attempt) {
	e.batch = append(e.batch, &sequence{attempt: a, left: a.request.output})
	if !e.stepping {
		e.stepping = true
		e.step()
	}
}

func (e *fakeEngine) step() {
	if len(e.batch) == 0 {
		e.stepping = false
		return
	}
	length := e.stepLength()
	e.steps++
	e.tokens += int64(len(e.batch))
	e.busy += length
	batch := e.batch
	e.clock.After(length, func() { e.stepped(batch) })
}

func (e *fakeEngine) stepLength() time.Duration {
	builds := make(map[slots.Build]struct{})
	length := stepTime + time.Duration(len(e.batch))*sequenceTime
	for _, s := range e.batch {
		builds[s.attempt.request.build] = struct{}{}
		if !s.began && !e.cached(s.attempt.request.prefix) {
			length += time.Duration(s.attempt.request.prompt) * promptTokenTime
		}
	}
	return length + time.Duration(len(builds))*adapterTime
}

// stepped gives each sequence of the batch a token; those that joined during
// the step begin with the next one.
func (e *fakeEngine) stepped(batch []*sequence) {
	var done []*attempt
	for _, s := range batch {
		if !s.began {
			s.began = true
			s.attempt.request.first = e.clock.Now()
		}
		s.left--
		if s.left <= 0 {
			done = append(done, s.attempt)
		}
	}
	kept := make([]*sequence, 0, len(e.batch))
	for _, s := range e.batch {
		if s.left > 0 {
			kept = append(kept, s)
		}
	}
	e.batch = kept
	for _, a := range done {
		e.finished(a)
	}
	e.step()
}

// cached reports whether a prefix is in the cache, and puts it there.
func (e *fakeEngine) cached(prefix uint64) bool {
	if prefix == 0 {
		return true
	}
	for element := e.prefixes.Front(); element != nil; element = element.Next() {
		if element.Value.(uint64) == prefix {
			e.prefixes.MoveToFront(element)
			return true
		}
	}
	e.prefixes.PushFront(prefix)
	if e.prefixes.Len() > cachedPrefixes {
		e.prefixes.Remove(e.prefixes.Back())
	}
	return false
}

// weightStore paces loads and slows them down beyond a number in flight.
type weightStore struct {
	clock    *simclock.Clock
	interval time.Duration // Between the beginnings of two loads.
	next     time.Duration // When the next load may begin.
	inFlight int
}

const (
	loadTime     = 250 * time.Millisecond
	freeLoads    = 8 // Loads in flight that do not slow each other down.
	loadBurst    = 4 // Loads that may begin at once after a pause.
	unloadTime   = 5 * time.Millisecond
	networkDelay = time.Millisecond
)

// permit calls granted when a load may begin.
func (w *weightStore) permit(granted func()) {
	earliest := w.clock.Now() - loadBurst*w.interval
	w.next = max(w.next, earliest) + w.interval
	w.clock.After(max(w.next-w.clock.Now(), 0), granted)
}

// load calls loaded when a load is done.
func (w *weightStore) load(loaded func()) {
	w.inFlight++
	length := loadTime
	if w.inFlight > freeLoads {
		length = loadTime * time.Duration(w.inFlight) / freeLoads
	}
	w.clock.After(length, func() {
		w.inFlight--
		loaded()
	})
}
