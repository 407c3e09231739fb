package routing

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/millis"
)

const (
	// healthWeight is the weight of a new sample in the moving averages. Three
	// consecutive failures raise the failure rate from 0 to about one half.
	healthWeight = 0.2
	// failureHalfLife is the time in which recorded failures lose half of their
	// weight, so that an endpoint that routers avoid receives requests again.
	failureHalfLife = 3 * time.Second
	// failureLifetime is the time after which the failure rate is reset: after
	// seven half-lives less than 1% of it remains.
	failureLifetime = 7 * failureHalfLife
	// latencyLifetime is how long the latency of an endpoint counts without a new sample.
	latencyLifetime = 5 * time.Second
	// minBlockTime and maxBlockTime bound the time for which an unreachable
	// endpoint receives no requests. A crashed endpoint restarts within a few
	// seconds.
	minBlockTime = 250 * time.Millisecond
	maxBlockTime = 2 * time.Second
)

// Health is a router's view of the recent requests to an endpoint. The zero value
// is the view of an endpoint without requests.
type Health struct {
	failureRate    float64
	decayedAt      time.Time // Time up to which failureRate has decayed.
	latencyMS      float64   // 0 if there were no successful requests.
	latencyAt      time.Time // Last successful request.
	unreachedCount int       // Calls of RecordUnreachable since the last success.
	blockedUntil   time.Time
}

// RecordSuccess records a successful request and its duration.
func (h *Health) RecordSuccess(took time.Duration, now time.Time) {
	h.decay(now)
	h.failureRate -= healthWeight * h.failureRate
	h.unreachedCount = 0
	ms := millis.FromDuration(took)
	if known := h.LatencyMS(now); known > 0 {
		ms = known + healthWeight*(ms-known)
	}
	h.latencyMS, h.latencyAt = ms, now
}

// RecordFailure records a request that failed after it reached the endpoint.
func (h *Health) RecordFailure(now time.Time) {
	h.decay(now)
	h.failureRate += healthWeight * (1 - h.failureRate)
}

// RecordUnreachable records that the endpoint was unreachable or stopped
// responding, and blocks it. The block time doubles with each call, up to
// maxBlockTime, until RecordSuccess resets it.
func (h *Health) RecordUnreachable(now time.Time) {
	h.unreachedCount++
	blockTime := min(minBlockTime<<min(h.unreachedCount-1, 4), maxBlockTime)
	h.blockedUntil = now.Add(blockTime)
}

// IsBlocked reports whether the endpoint must not receive requests now.
func (h *Health) IsBlocked(now time.Time) bool { return now.Before(h.blockedUntil) }

// FailureRate returns the recent fraction of failed requests, 0 to 1.
func (h *Health) FailureRate(now time.Time) float64 {
	h.decay(now)
	return h.failureRate
}

// LatencyMS returns the moving average of the duration of successful requests, or 0 if there were none within
// latencyLifetime. A slow endpoint gets few requests, so that an older average would stay.
func (h *Health) LatencyMS(now time.Time) float64 {
	if now.Sub(h.latencyAt) > latencyLifetime {
		return 0
	}
	return h.latencyMS
}

// decay halves the failure rate once per elapsed failureHalfLife.
func (h *Health) decay(now time.Time) {
	if h.decayedAt.IsZero() || now.Sub(h.decayedAt) > failureLifetime {
		h.failureRate, h.decayedAt = 0, now
	}
	for now.Sub(h.decayedAt) >= failureHalfLife {
		h.failureRate /= 2
		h.decayedAt = h.decayedAt.Add(failureHalfLife)
	}
}
