package placement

import (
	"math"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// node is what an entry knows of one endpoint.
type node struct {
	Endpoint
	hash     uint64 // Of the VM's name.
	boot     ident.BootID
	capacity int     // Reported; 0 while none was.
	others   float64 // Attempts of other entries when the load was reported.
	reported time.Time
	own      int // This entry's outstanding attempts.

	failures  int
	heldUntil time.Time
}

// report takes an agent's load. The entry's own outstanding attempts are in it.
func (n *node) report(now time.Time, load Load) {
	if load.Capacity <= 0 {
		return
	}
	n.capacity = load.Capacity
	n.others = math.Max(float64(load.Running+load.Queued-n.own), 0)
	n.reported = now
}

// attempts estimates the attempts that the endpoint has now, running and queued.
func (n *node) attempts(now time.Time, halfLife time.Duration) float64 {
	age := now.Sub(n.reported)
	return float64(n.own) + n.others*math.Exp2(-float64(age)/float64(halfLife))
}

func (n *node) fail(now time.Time, first, longest time.Duration) {
	pause := longest
	if shift := min(n.failures, maxHoldbackShift); first<<shift < longest {
		pause = first << shift
	}
	n.failures++
	n.heldUntil = now.Add(pause)
}

func (n *node) succeed() {
	n.failures = 0
	n.heldUntil = time.Time{}
}

func (n *node) held(now time.Time) bool {
	return n.heldUntil.After(now)
}

// maxHoldbackShift keeps the doubling of a pause from overflowing.
const maxHoldbackShift = 16

// decaying is an event rate whose past weighs half after each half-life.
type decaying struct {
	sum float64
	at  time.Time
}

func (d *decaying) add(now time.Time, halfLife time.Duration) {
	d.sum = d.decayed(now, halfLife) + 1
	d.at = now
}

func (d *decaying) decayed(now time.Time, halfLife time.Duration) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp2(-float64(now.Sub(d.at))/float64(halfLife))
}

// perSecond returns the rate in events a second.
func (d *decaying) perSecond(now time.Time, halfLife time.Duration) float64 {
	return d.decayed(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// smoothed is an exponentially weighted mean.
type smoothed struct {
	mean  float64
	known bool
}

// newestWeight is the weight of the newest value in a smoothed mean.
const newestWeight = 0.05

func (s *smoothed) add(value float64) {
	if !s.known {
		s.mean, s.known = value, true
		return
	}
	s.mean += newestWeight * (value - s.mean)
}

// read returns the mean, or unknown while no value was added.
func (s *smoothed) read(unknown float64) float64 {
	if !s.known {
		return unknown
	}
	return s.mean
}
