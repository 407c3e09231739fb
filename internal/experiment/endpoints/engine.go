package endpoints

import (
	"container/list"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// The duration of a step of a fake engine is the sum of these times.
const (
	stepTime        = 18 * time.Millisecond
	sequenceTime    = 400 * time.Microsecond // Per sequence of the batch.
	adapterTime     = 800 * time.Microsecond // Per different build of the batch.
	promptTokenTime = 100 * time.Microsecond // Per token of a new prompt without a cached prefix.

	cachedPrefixes = 64 // Capacity of the prefix cache.
)

// sequence is one request in an engine's batch.
type sequence struct {
	attempt    *attempt
	tokensLeft int64
	prefilled  bool
}

// fakeEngine models an engine with continuous batching. Each step generates one
// token for each sequence of the batch.
type fakeEngine struct {
	clock      *simclock.Clock
	batch      []*sequence
	stepping   bool
	onFinished func(*attempt)
	prefixes   *list.List // Of uint64, most recently used first.
	busySteps  int64
	tokens     int64 // Generated tokens.
	busyTime   time.Duration
}

// addAttempt adds an attempt to the batch from the next step on.
func (e *fakeEngine) addAttempt(a *attempt) {
	e.batch = append(e.batch, &sequence{attempt: a, tokensLeft: a.request.outputTokens})
	if !e.stepping {
		e.stepping = true
		e.startStep()
	}
}

// startStep starts a step unless the batch is empty.
func (e *fakeEngine) startStep() {
	if len(e.batch) == 0 {
		e.stepping = false
		return
	}
	duration := e.stepDuration()
	e.busySteps++
	e.tokens += int64(len(e.batch))
	e.busyTime += duration
	batch := e.batch
	e.clock.After(duration, func() { e.finishStep(batch) })
}

// stepDuration returns the duration of the next step and updates the prefix cache.
func (e *fakeEngine) stepDuration() time.Duration {
	builds := make(map[slots.Build]struct{})
	duration := stepTime + time.Duration(len(e.batch))*sequenceTime
	for _, s := range e.batch {
		builds[s.attempt.request.build] = struct{}{}
		if !s.prefilled && !e.usePrefix(s.attempt.request.prefix) {
			duration += time.Duration(s.attempt.request.promptTokens) * promptTokenTime
		}
	}
	return duration + time.Duration(len(builds))*adapterTime
}

// finishStep generates a token for each sequence of the batch and starts the next
// step. Sequences that joined during the step take part from the next step on.
func (e *fakeEngine) finishStep(batch []*sequence) {
	var completed []*attempt
	for _, s := range batch {
		if !s.prefilled {
			s.prefilled = true
			s.attempt.request.firstToken = e.clock.Now()
		}
		s.tokensLeft--
		if s.tokensLeft <= 0 {
			completed = append(completed, s.attempt)
		}
	}
	remaining := make([]*sequence, 0, len(e.batch))
	for _, s := range e.batch {
		if s.tokensLeft > 0 {
			remaining = append(remaining, s)
		}
	}
	e.batch = remaining
	for _, a := range completed {
		e.onFinished(a)
	}
	e.startStep()
}

// usePrefix adds a prefix to the cache and reports whether it was cached already.
// Prefix 0 counts as cached: requests of plain services have no prompt.
func (e *fakeEngine) usePrefix(prefix uint64) bool {
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

// weightStore models the store that engines load adapters from. It limits the rate
// of loads. Loads take longer if more than fullSpeedLoads run at once.
type weightStore struct {
	clock     *simclock.Clock
	interval  time.Duration // Between the starts of two loads.
	nextStart time.Duration // Earliest start of the next load.
	inFlight  int
}

const (
	loadTime       = 250 * time.Millisecond
	fullSpeedLoads = 8 // Concurrent loads that do not slow each other.
	loadBurst      = 4 // Loads that may start at once after an idle time.
	unloadTime     = 5 * time.Millisecond
	networkDelay   = time.Millisecond
)

// requestPermit calls granted when a load may start.
func (w *weightStore) requestPermit(granted func()) {
	earliest := w.clock.Now() - loadBurst*w.interval
	w.nextStart = max(w.nextStart, earliest) + w.interval
	w.clock.After(max(w.nextStart-w.clock.Now(), 0), granted)
}

// startLoad starts a load and calls loaded when it is complete.
func (w *weightStore) startLoad(loaded func()) {
	w.inFlight++
	duration := loadTime
	if w.inFlight > fullSpeedLoads {
		duration = loadTime * time.Duration(w.inFlight) / fullSpeedLoads
	}
	w.clock.After(duration, func() {
		w.inFlight--
		loaded()
	})
}
