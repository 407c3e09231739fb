package endpoints

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

const (
	adapters            = 3000 // Of all organisations.
	fixedPromptTokens   = 300
	meanOutputTokens    = 150
	maxOutputTokens     = 1200
	outputLogStdDev     = 0.8              // Standard deviation of the logarithm of the output tokens.
	plainOutputTokens   = 4                // Engine steps of a call to the plain service.
	maxWait             = 20 * time.Second // From the arrival of a request to the start of its run.
	prefixIDsPerAdapter = 40               // Range of prefix IDs of an adapter, of which two are used.
	sharedPrefixShare   = 0.6              // Share of requests with one of the two shared prefixes of their adapter.
	burstSeconds        = 10               // Burst of an organisation in seconds of its rate.
)

// deployment describes the size of a fleet and its load.
type deployment struct {
	name             string
	engines          int
	plainInstances   int       // Instances of the plain service.
	loadsPerSecond   float64   // Limit of the weight store.
	requestRate      float64   // Completions per second.
	plainRequestRate float64   // Calls of the plain service per second.
	rateShares       []float64 // Shares of requestRate, by organisation.
	weights          []int     // Fair queueing weights, by organisation.
}

var deployments = []deployment{
	{
		name: "kowalnia", engines: 18, plainInstances: 4, loadsPerSecond: 4, requestRate: 14, plainRequestRate: 20,
		rateShares: []float64{0.38, 0.28, 0.18, 0.10, 0.06}, weights: []int{4, 3, 2, 1, 1},
	},
	{
		name: "consorcio", engines: 12, plainInstances: 4, loadsPerSecond: 3, requestRate: 8, plainRequestRate: 20,
		rateShares: []float64{0.34, 0.30, 0.26, 0.06, 0.04}, weights: []int{3, 3, 3, 1, 1},
	},
}

// scenario describes the course of a simulation. Times count from its start.
type scenario struct {
	name         string
	duration     time.Duration
	warmUp       time.Duration // Requests that arrive before it ends are not in the metrics.
	shiftAt      time.Duration // Time when the popularity moves to other adapters.
	floodFactor  float64       // Factor on the flooder's rate during the flood.
	floodStart   time.Duration
	floodEnd     time.Duration
	rateFactor   float64 // Factor on the deployment's requestRate.
	zipfExponent float64 // Of the popularity of adapters.
}

var scenarios = []scenario{
	{
		name: "day", duration: 600 * time.Second, warmUp: 60 * time.Second, shiftAt: 300 * time.Second,
		floodFactor: 4, floodStart: 400 * time.Second, floodEnd: 500 * time.Second, rateFactor: 1, zipfExponent: 1.3,
	},
	{
		name: "flood", duration: 300 * time.Second, warmUp: 60 * time.Second, shiftAt: 180 * time.Second,
		floodFactor: 10, floodStart: 60 * time.Second, floodEnd: 300 * time.Second, rateFactor: 1, zipfExponent: 1.3,
	},
	{
		name: "busy engines", duration: 240 * time.Second, warmUp: 60 * time.Second, shiftAt: 240 * time.Second,
		floodFactor: 10, floodStart: 60 * time.Second, floodEnd: 240 * time.Second, rateFactor: 2.5, zipfExponent: 2,
	},
}

// flooder is the index of the organisation that exceeds its rate during the flood.
const flooder = 1

// request is a request of a caller, with its outcome.
type request struct {
	arrival      time.Duration
	orgIndex     int
	weight       int
	priority     int
	build        slots.Build // Zero for the plain service.
	promptTokens int64       // 0 for the plain service.
	outputTokens int64
	prefix       uint64 // ID of the prompt's prefix; 0 for the plain service.
	entry        int    // Index of the entry that receives the request.
	tieBreaker   uint64 // Random number that breaks ties of the placement and seeds the random baseline.
	entitled     bool   // Within the rate and burst of its organisation.

	attempts   int
	stalled    bool          // An attempt found the build not resident.
	stallTime  time.Duration // From the arrival to the end of the wait.
	firstToken time.Duration // Time of the first token; 0 if there is none.
	done       bool
	refused    bool
}

func (q *request) organisation() ident.Organisation {
	return ident.Organisation(fmt.Sprintf("org-%d", q.orgIndex))
}

func (q *request) tokens() int64 {
	return q.promptTokens + q.outputTokens
}

// arrivals generates the requests of a simulation. They are not sorted by arrival.
func arrivals(d deployment, s scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 1))
	popularity := newZipf(adapters/len(d.rateShares), s.zipfExponent)
	var out []*request
	for org, share := range d.rateShares {
		entitlement := bucket{rate: d.requestRate * s.rateFactor * share * (fixedPromptTokens + meanOutputTokens)}
		for arrival := range poisson(rng, s, d.requestRate*s.rateFactor*share, org) {
			q := newCompletion(rng, d, s, popularity, org, arrival)
			q.entitled = entitlement.take(arrival, float64(q.tokens()))
			out = append(out, q)
		}
	}
	for arrival := range poisson(rng, s, d.plainRequestRate, -1) {
		q := &request{
			arrival: arrival, weight: 1, outputTokens: plainOutputTokens,
			entry: rng.IntN(entries), tieBreaker: rng.Uint64(), entitled: true,
		}
		out = append(out, q)
	}
	return out
}

// newCompletion generates a request for an adapter.
func newCompletion(rng *rand.Rand, d deployment, s scenario, popularity zipfDistribution, org int, arrival time.Duration) *request {
	adaptersPerOrg := adapters / len(d.rateShares)
	rank := popularity.draw(rng)
	if arrival >= s.shiftAt {
		rank = (rank*7 + adaptersPerOrg/2) % adaptersPerOrg
	}
	q := &request{
		arrival: arrival, orgIndex: org, weight: d.weights[org], priority: rng.IntN(2),
		build:        slots.Build{Adapter: ident.Adapter(fmt.Sprintf("a-%d-%d", org, rank)), Version: "v1"},
		promptTokens: fixedPromptTokens, outputTokens: drawOutputTokens(rng),
		entry: rng.IntN(entries), tieBreaker: rng.Uint64(),
	}
	q.prefix = rng.Uint64() | 1
	if rng.Float64() < sharedPrefixShare {
		q.prefix = uint64(org*adapters+rank)*prefixIDsPerAdapter + uint64(rng.IntN(2)) + 2
	}
	return q
}

// drawOutputTokens draws from a log-normal distribution with mean meanOutputTokens.
func drawOutputTokens(rng *rand.Rand) int64 {
	logMean := math.Log(meanOutputTokens) - outputLogStdDev*outputLogStdDev/2
	return min(int64(math.Exp(logMean+outputLogStdDev*rng.NormFloat64()))+1, maxOutputTokens)
}

// poisson yields the arrival times of one organisation, or of the plain service if
// org is -1. The flooder's rate is higher during the flood.
func poisson(rng *rand.Rand, s scenario, rate float64, org int) func(func(time.Duration) bool) {
	return func(yield func(time.Duration) bool) {
		arrival := time.Duration(0)
		for {
			currentRate := rate
			if org == flooder && arrival >= s.floodStart && arrival < s.floodEnd {
				currentRate *= s.floodFactor
			}
			arrival += time.Duration(rng.ExpFloat64() / currentRate * float64(time.Second))
			if arrival >= s.duration || !yield(arrival) {
				return
			}
		}
	}
}

// zipfDistribution holds the cumulative probabilities of ranks under a Zipf
// distribution.
type zipfDistribution []float64

func newZipf(n int, exponent float64) zipfDistribution {
	out := make(zipfDistribution, n)
	sum := 0.0
	for i := range out {
		sum += math.Pow(float64(i+1), -exponent)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// draw draws a rank, from 0.
func (z zipfDistribution) draw(rng *rand.Rand) int {
	u := rng.Float64()
	low, high := 0, len(z)-1
	for low < high {
		mid := (low + high) / 2
		if z[mid] < u {
			low = mid + 1
		} else {
			high = mid
		}
	}
	return low
}

// bucket is a token bucket. It determines which requests are within the rate and
// burst of an organisation.
type bucket struct {
	rate        float64       // Tokens per second.
	level       float64       // Tokens.
	updated     time.Duration // Time of the level.
	initialized bool
}

// take removes tokens and reports whether the bucket held enough; otherwise it
// removes none.
func (b *bucket) take(now time.Duration, tokens float64) bool {
	burst := b.rate * burstSeconds
	if !b.initialized {
		b.level = burst
		b.initialized = true
	}
	b.level = min(burst, b.level+b.rate*(now-b.updated).Seconds())
	b.updated = now
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}
