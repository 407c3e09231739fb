package grants

import (
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/millis"
)

const (
	// minRemainingPrefill is the fraction of a prompt's prefill time that stays
	// in the backlog until the engine reports the first event.
	minRemainingPrefill = 0.15
	// slowdownWeight is the weight of a new sample in the moving average of the
	// slowdown.
	slowdownWeight = 0.12
	// initialSlowdown is the slowdown before the first sample. Engine steps also
	// produce tokens for running requests, which makes prefill take 1.4 to 1.5
	// times as long.
	initialSlowdown = 1.4
	// minSlowdown and maxSlowdown clamp the samples. A faulty engine can take
	// five times as long.
	minSlowdown = 0.7
	maxSlowdown = 8.0
	// minSampledPrefillMS is the shortest expected prefill that yields a sample.
	minSampledPrefillMS = 60.0
	// meanReportDelayMS is the mean delay of a report; reports arrive every 30 ms.
	meanReportDelayMS = 15.0
)

// pendingPrefill is a prompt whose first event the engine has not reported.
type pendingPrefill struct {
	fullMS      float64 // Expected duration at normal speed.
	remainingMS float64
	addedAt     time.Time
	dueMS       float64 // Expected time from addedAt to completion, at normal speed.
}

// prefillBacklog tracks the pending prefills of one engine and the engine's
// slowdown.
type prefillBacklog struct {
	tokensPerMS float64 // Prefill speed at normal speed.
	slowdown    float64 // Prefill time as a multiple of the time at normal speed.
	pending     []*pendingPrefill
	updatedAt   time.Time
}

func newPrefillBacklog(tokensPerMS float64) prefillBacklog {
	return prefillBacklog{tokensPerMS: tokensPerMS, slowdown: initialSlowdown}
}

// add initializes p for a prompt with the given number of uncached tokens and
// appends it.
func (b *prefillBacklog) add(p *pendingPrefill, tokens int, now time.Time) {
	b.advance(now)
	ms := float64(tokens) / b.tokensPerMS
	*p = pendingPrefill{fullMS: ms, remainingMS: ms, addedAt: now}
	b.pending = append(b.pending, p)
	p.dueMS = b.backlogMS() / b.slowdown
}

// advance reduces the backlog by the elapsed time, in order of arrival.
func (b *prefillBacklog) advance(now time.Time) {
	ms := millis.FromDuration(now.Sub(b.updatedAt)) / b.slowdown
	b.updatedAt = now
	for _, p := range b.pending {
		processed := min(ms, max(0, p.remainingMS-minRemainingPrefill*p.fullMS))
		p.remainingMS -= processed
		ms -= processed
	}
}

// complete removes a prompt whose first event was reported, and samples the
// slowdown.
func (b *prefillBacklog) complete(p *pendingPrefill, now time.Time) {
	if !b.remove(p) || p.dueMS < minSampledPrefillMS {
		return
	}
	sample := (millis.FromDuration(now.Sub(p.addedAt)) - meanReportDelayMS) / p.dueMS
	b.slowdown += slowdownWeight * (min(max(sample, minSlowdown), maxSlowdown) - b.slowdown)
}

// cancel removes a prompt whose grant was released.
func (b *prefillBacklog) cancel(p *pendingPrefill, now time.Time) {
	b.advance(now)
	b.remove(p)
}

func (b *prefillBacklog) remove(p *pendingPrefill) bool {
	index := slices.Index(b.pending, p)
	if index < 0 {
		return false
	}
	b.pending = slices.Delete(b.pending, index, index+1)
	return true
}

func (b *prefillBacklog) clear() {
	b.pending = nil
	b.slowdown = initialSlowdown
}

// backlogMS returns the time that the engine needs for all pending prefills.
func (b *prefillBacklog) backlogMS() float64 {
	sum := 0.0
	for _, p := range b.pending {
		sum += p.remainingMS
	}
	return sum * b.slowdown
}
