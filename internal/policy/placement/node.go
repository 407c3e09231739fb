package placement

import (
	"math"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// node is an entry's state of one endpoint.
type node struct {
	Endpoint
	hash          uint64       // Hash of the VM's name.
	boot          ident.BootID // Newest boot id that a response reported; empty if none did.
	capacity      int          // Reported capacity; 0 if none was reported.
	otherAttempts float64      // Attempts of other entries at the time of the load report.
	reportedAt    time.Time
	outstanding   int // This entry's outstanding attempts.

	failures      int // Since the last success.
	cooldownUntil time.Time
}

// recordLoad stores an agent's load report. The report includes this entry's
// outstanding attempts, which are subtracted. A report without a capacity is
// ignored.
func (n *node) recordLoad(now time.Time, load Load) {
	if load.Capacity <= 0 {
		return
	}
	n.capacity = load.Capacity
	n.otherAttempts = math.Max(float64(load.Running+load.Queued-n.outstanding), 0)
	n.reportedAt = now
}

// attempts estimates the running and queued attempts of the endpoint at now. The
// weight of the other entries' attempts decays with the age of the report.
func (n *node) attempts(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(n.reportedAt)
	return float64(n.outstanding) + n.otherAttempts*math.Exp2(-float64(age)/float64(halfLife))
}

// recordFailure starts a cooldown that doubles with each consecutive failure, up
// to longest.
func (n *node) recordFailure(now time.Time, first, longest time.Duration) {
	cooldown := longest
	if shift := min(n.failures, maxCooldownShift); first<<shift < longest {
		cooldown = first << shift
	}
	n.failures++
	n.cooldownUntil = now.Add(cooldown)
}

func (n *node) recordSuccess() {
	n.failures = 0
	n.cooldownUntil = time.Time{}
}

// coolingDown reports whether the endpoint is in a cooldown after failures.
func (n *node) coolingDown(now time.Time) bool {
	return n.cooldownUntil.After(now)
}

// maxCooldownShift limits the doubling of the cooldown to avoid an overflow.
const maxCooldownShift = 16

// decayingRate is an event rate in which the weight of an event halves after
// each half-life.
type decayingRate struct {
	weightedCount float64
	updatedAt     time.Time
}

func (d *decayingRate) add(now time.Time, halfLife time.Duration) {
	d.weightedCount = d.decayed(now, halfLife) + 1
	d.updatedAt = now
}

func (d *decayingRate) decayed(now time.Time, halfLife time.Duration) float64 {
	if d.weightedCount == 0 {
		return 0
	}
	return d.weightedCount * math.Exp2(-float64(now.Sub(d.updatedAt))/float64(halfLife))
}

// perSecond returns the rate in events per second.
func (d *decayingRate) perSecond(now time.Time, halfLife time.Duration) float64 {
	return d.decayed(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// movingAverage is an exponentially weighted moving average.
type movingAverage struct {
	mean     float64
	hasValue bool
}

// sampleWeight is the weight of a new value in a moving average.
const sampleWeight = 0.05

func (s *movingAverage) add(value float64) {
	if !s.hasValue {
		s.mean, s.hasValue = value, true
		return
	}
	s.mean += sampleWeight * (value - s.mean)
}

// meanOr returns the mean, or fallback if no value was added.
func (s *movingAverage) meanOr(fallback float64) float64 {
	if !s.hasValue {
		return fallback
	}
	return s.mean
}
