package serving

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

const (
	modelName = "base"
	// largestOwn bounds a prompt's own part, in means.
	largestOwn = 13
)

// request is a caller's request and what became of it.
type request struct {
	id     string
	class  *class
	at     time.Duration // Of the first try.
	key    catalog.AdapterKey
	part   string // Its shared part.
	shared int
	prompt int // Tokens, the shared part included.
	output int
	router int

	tries int
	first time.Duration // When the first event came; 0 if none did.
	pause time.Duration
	done  bool
}

// event notes an event of the request's stream.
func (q *request) event(now time.Duration, one *run) {
	if one.events == 1 {
		q.first = now
	} else {
		q.pause = max(q.pause, now-one.eventAt)
	}
	one.eventAt = now
}

// onTime reports whether the answer is whole and came as the class wants it.
func (q *request) onTime() bool {
	return q.done && q.first-q.at <= q.class.aim && q.pause <= q.class.gapAim
}

// arrivals draws the requests of a day.
func arrivals(d *deployment, s scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 0))
	names := rng.Perm(d.adapters) // Popularity has nothing to do with names.
	weights := zipfWeights(d.adapters, d.zipf)
	var all []*request
	for c := range d.classes {
		one := &d.classes[c]
		for at := time.Duration(0); at < dayLength; {
			rate := one.rate
			inside := at >= from && at < until
			if inside {
				rate *= s.load
			}
			at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			rank := drawRank(rng, weights)
			if s.rare && inside {
				rank = rng.IntN(d.adapters)
			} else if s.moves > 0 {
				rank = (rank + s.by*int(at/s.moves)) % d.adapters
			}
			all = append(all, newRequest(rng, d, one, at, names[rank], len(all)))
		}
	}
	return all
}

func newRequest(rng *rand.Rand, d *deployment, c *class, at time.Duration, adapter, number int) *request {
	own := c.own * math.Exp(c.spread*rng.NormFloat64()-c.spread*c.spread/2)
	return &request{
		id: fmt.Sprint(number), class: c, at: at, key: catalog.AdapterKey{Model: modelName, Adapter: fmt.Sprintf("a%d", adapter)},
		part: fmt.Sprintf("%s-%d", c.name, rng.IntN(c.subjects)), shared: c.shared,
		prompt: c.shared + int(min(own, largestOwn*c.own)) + 1, output: 1 + int(c.output*(0.5+rng.Float64())),
		router: rng.IntN(d.routers),
	}
}

// zipfWeights returns the cumulated popularity of the ranks.
func zipfWeights(n int, exponent float64) []float64 {
	sum, out := 0.0, make([]float64, n)
	for i := range out {
		sum += math.Pow(float64(i+1), -exponent)
		out[i] = sum
	}
	return out
}

func drawRank(rng *rand.Rand, cumulated []float64) int {
	x := rng.Float64() * cumulated[len(cumulated)-1]
	low, high := 0, len(cumulated)-1
	for low < high {
		if mid := (low + high) / 2; cumulated[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
