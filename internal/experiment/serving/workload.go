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
	// maxOwnTokensFactor bounds the own tokens of a prompt, as a multiple of
	// their mean.
	maxOwnTokensFactor = 13
)

// request is a request of a caller, with the timing of its response.
type request struct {
	id           string
	class        *class
	arrival      time.Duration // Time of the first submission.
	key          catalog.AdapterKey
	prefix       string // Identifies the shared prefix of the prompt.
	prefixTokens int
	promptTokens int // Includes the shared prefix.
	outputTokens int
	router       int // Index of the router that receives the request.

	submissions int
	firstEvent  time.Duration // Time of the first response event; 0 if there is none.
	longestGap  time.Duration // Between two response events.
	done        bool          // The response is complete.
}

// recordEvent records the time of a response event of the given run.
func (q *request) recordEvent(now time.Duration, r *run) {
	if r.events == 1 {
		q.firstEvent = now
	} else {
		q.longestGap = max(q.longestGap, now-r.lastEvent)
	}
	r.lastEvent = now
}

// onTime reports whether the response is complete and met both targets of its
// class.
func (q *request) onTime() bool {
	return q.done && q.firstEvent-q.arrival <= q.class.latencyTarget && q.longestGap <= q.class.gapTarget
}

// arrivals generates the requests of a simulation.
func arrivals(spec *deploymentSpec, s scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 0))
	adapterOfRank := rng.Perm(spec.adapters) // Adapter numbers are independent of popularity.
	weights := zipfWeights(spec.adapters, spec.zipfExponent)
	var requests []*request
	for c := range spec.classes {
		cls := &spec.classes[c]
		for arrival := time.Duration(0); arrival < arrivalWindow; {
			rate := cls.rate
			disturbed := arrival >= disturbanceStart && arrival < disturbanceEnd
			if disturbed {
				rate *= s.loadFactor
			}
			arrival += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
			rank := drawRank(rng, weights)
			if s.uniform && disturbed {
				rank = rng.IntN(spec.adapters)
			} else if s.shiftInterval > 0 {
				rank = (rank + s.shiftRanks*int(arrival/s.shiftInterval)) % spec.adapters
			}
			q := newRequest(rng, spec, cls, arrival, adapterOfRank[rank], len(requests))
			for spec.swing > 0 && rng.Float64()*(1+spec.swing) > spec.demandAt(q.router, arrival) {
				q.router = rng.IntN(spec.routers)
			}
			requests = append(requests, q)
		}
	}
	return requests
}

// demandAt returns the demand at a router as a multiple of its mean.
func (d *deploymentSpec) demandAt(router int, t time.Duration) float64 {
	phase := t.Seconds()/swingPeriod.Seconds() + float64(d.domain(router))/float64(max(d.domains, 1))
	return 1 + d.swing*math.Sin(2*math.Pi*phase)
}

// domain returns the failure domain of the router or engine with a number.
func (d *deploymentSpec) domain(number int) int { return number % max(d.domains, 1) }

func newRequest(rng *rand.Rand, spec *deploymentSpec, c *class, arrival time.Duration, adapter, number int) *request {
	own := c.ownTokens * math.Exp(c.ownSpread*rng.NormFloat64()-c.ownSpread*c.ownSpread/2)
	return &request{
		id: fmt.Sprint(number), class: c, arrival: arrival,
		key:    catalog.AdapterKey{Model: modelName, Adapter: fmt.Sprintf("a%d", adapter)},
		prefix: fmt.Sprintf("%s-%d", c.name, rng.IntN(c.prefixes)), prefixTokens: c.prefixTokens,
		promptTokens: c.prefixTokens + int(min(own, maxOwnTokensFactor*c.ownTokens)) + 1,
		outputTokens: 1 + int(c.outputTokens*(0.5+rng.Float64())),
		router:       rng.IntN(spec.routers),
	}
}

// zipfWeights returns the cumulative popularity of n ranks under a Zipf
// distribution; the weights are not normalised.
func zipfWeights(n int, exponent float64) []float64 {
	sum, out := 0.0, make([]float64, n)
	for i := range out {
		sum += math.Pow(float64(i+1), -exponent)
		out[i] = sum
	}
	return out
}

// drawRank draws a rank, from 0, from cumulative weights.
func drawRank(rng *rand.Rand, cumulative []float64) int {
	x := rng.Float64() * cumulative[len(cumulative)-1]
	low, high := 0, len(cumulative)-1
	for low < high {
		if mid := (low + high) / 2; cumulative[mid] < x {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}
