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

const (
	// gapShareHalfLife is the time in which a long gap loses half of its weight.
	gapShareHalfLife = 3 * time.Second
	// spacingStartShare and spacingStopShare are the gaps, as a share of the gap target, from which large prefills
	// are spaced and below which they are not any more. Spacing shortens the gaps by about a quarter, so that one threshold
	// would turn it on and off.
	spacingStartShare = 0.85
	spacingStopShare  = 0.5
	// maxGapShare bounds the weight of one gap, which may be that of an engine that was paused.
	maxGapShare = 1.0
)

// gapPressure tracks how close the gaps between the events of an engine's streams come to their targets. An
// engine that prefills one large prompt after the other produces an event only every few hundred milliseconds.
type gapPressure struct {
	share   float64 // Longest recent gap as a share of the gap target; decays with gapShareHalfLife.
	at      time.Time
	spacing bool
}

// observe records a gap of a stream with a gap target.
func (g *gapPressure) observe(gap, target time.Duration, now time.Time) {
	g.spacing = g.spaced(now)
	g.share, g.at = max(g.current(now), min(float64(gap)/float64(target), maxGapShare)), now
	g.spacing = g.spacing || g.share > spacingStartShare
}

// current returns the decayed share.
func (g *gapPressure) current(now time.Time) float64 {
	return g.share * math.Exp2(-float64(max(now.Sub(g.at), 0))/float64(gapShareHalfLife))
}

// spaced reports whether large prefills are to be spaced.
func (g *gapPressure) spaced(now time.Time) bool {
	return g.spacing && g.current(now) > spacingStopShare
}

// lateEvents tracks the fraction of an engine's events that exceed the gap
// target of their streams. All streams of an engine share its steps, so the
// events of one stream are representative of the others.
type lateEvents struct {
	rate       float64 // Moving average of the fraction of late events, 0 to 1.
	measuredAt time.Time
	pressure   gapPressure
}

// streamProgress is the last reported event count of a stream.
type streamProgress struct {
	events     int
	reportedAt time.Time // Time of the report that first showed this count.
}

// observe records the number of events that a report shows for a stream. A
// gapTarget of 0 means that the stream has none. prefilling means that a large prompt was prefilled since the last report.
func (l *lateEvents) observe(s *streamProgress, events int, gapTarget time.Duration, prefilling bool, now time.Time) {
	if events <= s.events {
		return
	}
	produced, before := events-s.events, s.events
	gap := now.Sub(s.reportedAt) / time.Duration(produced)
	s.events, s.reportedAt = events, now
	if before == 0 || gapTarget <= 0 {
		return // The latency target covers the time until the first event.
	}
	if prefilling { // Other gaps would not become shorter by spacing.
		l.pressure.observe(gap, gapTarget, now)
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
