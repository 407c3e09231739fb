package routing

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/millis"
)

const (
	// healthWeight weighs a new outcome: three failures in a row show an
	// endpoint as half failing.
	healthWeight = 0.2
	// healthFade halves what is known of failures in so much time, so that an
	// endpoint that is avoided gets another chance.
	healthFade = 3 * time.Second
	// healthForget is when nothing is left: seven halvings.
	healthForget = 7 * healthFade
	// blockFirst and blockMost bound the time for which an endpoint that cannot
	// be reached gets nothing; a crashed one is back after a few seconds.
	blockFirst = 250 * time.Millisecond
	blockMost  = 2 * time.Second
)

// Health is what a router has seen of an endpoint lately. The zero value is one
// of which nothing is known.
type Health struct {
	failing   float64
	asOf      time.Time
	latencyMS float64
	misses    int
	blocked   time.Time
}

// Finished notes a request that the endpoint answered well.
func (h *Health) Finished(took time.Duration, now time.Time) {
	h.fade(now)
	h.failing -= healthWeight * h.failing
	h.misses = 0
	ms := millis.Of(took)
	if h.latencyMS == 0 {
		h.latencyMS = ms
		return
	}
	h.latencyMS += healthWeight * (ms - h.latencyMS)
}

// Failed notes a request that the endpoint failed after it was reached.
func (h *Health) Failed(now time.Time) {
	h.fade(now)
	h.failing += healthWeight * (1 - h.failing)
}

// Unreached notes that the endpoint could not be reached, or went silent.
func (h *Health) Unreached(now time.Time) {
	h.misses++
	wait := min(blockFirst<<min(h.misses-1, 4), blockMost)
	h.blocked = now.Add(wait)
}

// Blocked reports whether the endpoint gets nothing now.
func (h *Health) Blocked(now time.Time) bool { return now.Before(h.blocked) }

// Failing returns the part of the requests that failed lately.
func (h *Health) Failing(now time.Time) float64 {
	h.fade(now)
	return h.failing
}

// LatencyMS returns the moving average of the time of good answers.
func (h *Health) LatencyMS() float64 { return h.latencyMS }

// fade forgets failures with time, in steps of healthFade.
func (h *Health) fade(now time.Time) {
	if h.asOf.IsZero() || now.Sub(h.asOf) > healthForget {
		h.failing, h.asOf = 0, now
	}
	for now.Sub(h.asOf) >= healthFade {
		h.failing /= 2
		h.asOf = h.asOf.Add(healthFade)
	}
}
