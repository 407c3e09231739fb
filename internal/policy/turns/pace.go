package turns

import (
	"math"
	"time"
)

const (
	// paceWeight weighs a new event: an engine makes 30 to 100 a second, so that
	// a few seconds are remembered.
	paceWeight = 0.01
	// paceMost bounds the events of one stream in one report.
	paceMost = 20
	// paceKeep is how long an engine without events is judged by the last ones.
	// From then on paceHalf halves what is known, so that one that is avoided gets
	// another chance.
	paceKeep = 2 * time.Second
	paceHalf = 3 * time.Second
)

// pace measures how many of an engine's events come later than their streams
// allow. All streams of an engine share its steps, so the events of one speak
// for the others.
type pace struct {
	slow float64 // Part of the events that came too late lately, 0 to 1.
	at   time.Time
}

// progress is how far a stream has come.
type progress struct {
	events int
	at     time.Time // Of the report that showed the last event.
}

// observe takes the number of events that a report shows of a stream whose pauses
// may last gapAim; 0 where it does not matter.
func (p *pace) observe(s *progress, events int, gapAim time.Duration, now time.Time) {
	if events <= s.events {
		return
	}
	made, before := events-s.events, s.events
	took := now.Sub(s.at) / time.Duration(made)
	s.events, s.at = events, now
	if before == 0 || gapAim <= 0 {
		return // The time until the first event has its own aim.
	}
	part := 0.0
	if took > gapAim {
		part = 1
	}
	p.slow, p.at = p.late(now), now
	for range min(made, paceMost) {
		p.slow += paceWeight * (part - p.slow)
	}
}

// late returns the part of the events that come too late.
func (p *pace) late(now time.Time) float64 {
	silent := max(now.Sub(p.at)-paceKeep, 0)
	return p.slow * math.Exp2(-float64(silent)/float64(paceHalf))
}
