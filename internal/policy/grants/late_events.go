package grants

import (
	"math"
	"time"
)

const (
	// lateEventWeight is the weight of one event in the moving average. An
	// engine produces 30 to 100 events a second, so the average covers a few
	// seconds.
	lateEventWeight = 0.01
	// maxEventsPerReport bounds the events that one report adds for one stream.
	maxEventsPerReport = 20
	// lateEventDecayDelay is the time without events during which the rate stays
	// constant. After it, the rate halves every lateEventHalfLife, so that an
	// engine that routers avoid receives requests again.
	lateEventDecayDelay = 2 * time.Second
	lateEventHalfLife   = 3 * time.Second
)

// lateEvents tracks the fraction of an engine's events that exceed the gap
// target of their streams. All streams of an engine share its steps, so the
// events of one stream are representative of the others.
type lateEvents struct {
	rate       float64 // Moving average of the fraction of late events, 0 to 1.
	measuredAt time.Time
}

// streamProgress is the last reported event count of a stream.
type streamProgress struct {
	events     int
	reportedAt time.Time // Time of the report that first showed this count.
}

// observe records the number of events that a report shows for a stream. A
// gapTarget of 0 means that the stream has none.
func (l *lateEvents) observe(s *streamProgress, events int, gapTarget time.Duration, now time.Time) {
	if events <= s.events {
		return
	}
	produced, before := events-s.events, s.events
	gap := now.Sub(s.reportedAt) / time.Duration(produced)
	s.events, s.reportedAt = events, now
	if before == 0 || gapTarget <= 0 {
		return // The latency target covers the time until the first event.
	}
	late := 0.0
	if gap > gapTarget {
		late = 1
	}
	l.rate, l.measuredAt = l.currentRate(now), now
	for range min(produced, maxEventsPerReport) {
		l.rate += lateEventWeight * (late - l.rate)
	}
}

// currentRate returns the late-event rate, decayed over the time without events.
func (l *lateEvents) currentRate(now time.Time) float64 {
	decaying := max(now.Sub(l.measuredAt)-lateEventDecayDelay, 0)
	return l.rate * math.Exp2(-float64(decaying)/float64(lateEventHalfLife))
}
