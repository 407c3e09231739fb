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
	adapters       = 3000
	promptTokens   = 300
	meanOutput     = 150
	maxOutput      = 1200
	outputSpread   = 0.8 // Standard deviation of the output's logarithm.
	plainTokens    = 4   // Steps of a call to a plain service.
	patience       = 20 * time.Second
	prefixesPerOrg = 40
	sharedPrefix   = 0.6 // Share of requests that begin with one of them.
	// burstSeconds is the burst of an organisation in seconds of its rate.
	burstSeconds = 10
)

// deployment is the size of one fleet and its load.
type deployment struct {
	name      string
	runners   int
	plain     int
	loadRate  float64 // Loads a second that the weight store gives.
	rate      float64 // Completions a second in normal running.
	plainRate float64 // Calls of the plain service a second.
	shares    []float64
	weights   []int
}

var deployments = []deployment{
	{
		name: "kowalnia", runners: 18, plain: 4, loadRate: 4, rate: 14, plainRate: 20,
		shares: []float64{0.38, 0.28, 0.18, 0.10, 0.06}, weights: []int{4, 3, 2, 1, 1},
	},
	{
		name: "consorcio", runners: 12, plain: 4, loadRate: 3, rate: 8, plainRate: 20,
		shares: []float64{0.34, 0.30, 0.26, 0.06, 0.04}, weights: []int{3, 3, 3, 1, 1},
	},
}

// scenario is what one run goes through.
type scenario struct {
	name   string
	length time.Duration
	warmUp time.Duration // Not measured.
	shift  time.Duration // When popularity moves to other adapters.
	flood  float64       // Times its rate that one organisation sends.
	from   time.Duration // Of the flood.
	to     time.Duration
	// Rate is a multiple of the deployment's rate, 1 in normal running.
	rate float64
	zipf float64 // Exponent of the popularity.
}

var scenarios = []scenario{
	{
		name: "day", length: 600 * time.Second, warmUp: 60 * time.Second, shift: 300 * time.Second,
		flood: 4, from: 400 * time.Second, to: 500 * time.Second, rate: 1, zipf: 1.3,
	},
	{
		name: "flood", length: 300 * time.Second, warmUp: 60 * time.Second, shift: 180 * time.Second,
		flood: 10, from: 60 * time.Second, to: 300 * time.Second, rate: 1, zipf: 1.3,
	},
	{
		name: "busy engines", length: 240 * time.Second, warmUp: 60 * time.Second, shift: 240 * time.Second,
		flood: 10, from: 60 * time.Second, to: 240 * time.Second, rate: 2.5, zipf: 2,
	},
}

// flooder is the index of the organisation that sends several times its rate.
const flooder = 1

// request is one request of a caller.
type request struct {
	at       time.Duration
	org      int
	weight   int
	priority int
	build    slots.Build // Zero for a plain service.
	prompt   int64       // Tokens.
	output   int64       // Tokens.
	prefix   uint64
	entry    int
	spread   uint64
	entitled bool // Within its organisation's rate and burst.

	attempts int
	stalled  bool
	stall    time.Duration
	first    time.Duration // When the first token came; 0 before.
	done     bool
	refused  bool
}

func (r *request) organisation() ident.Organisation {
	return ident.Organisation(fmt.Sprintf("org-%d", r.org))
}

func (r *request) tokens() int64 {
	return r.prompt + r.output
}

// arrivals makes the requests of a run from its seed.
func arrivals(d deployment, s scenario, seed uint64) []*request {
	rng := rand.New(rand.NewPCG(seed, 1))
	popular := newZipf(adapters/len(d.shares), s.zipf)
	var out []*request
	for org, share := range d.shares {
		buckets := bucket{rate: d.rate * s.rate * share * (promptTokens + meanOutput)}
		for at := range poisson(rng, s, d.rate*s.rate*share, org) {
			r := completion(rng, d, s, popular, org, at)
			r.entitled = buckets.take(at, float64(r.tokens()))
			out = append(out, r)
		}
	}
	for at := range poisson(rng, s, d.plainRate, -1) {
		r := &request{at: at, weight: 1, output: plainTokens, entry: rng.IntN(entries), spread: rng.Uint64(), entitled: true}
		out = append(out, r)
	}
	return out
}

func completion(rng *rand.Rand, d deployment, s scenario, popular zipf, org int, at time.Duration) *request {
	count := adapters / len(d.shares)
	rank := popular.draw(rng)
	if at >= s.shift {
		rank = (rank*7 + count/2) % count
	}
	r := &request{
		at: at, org: org, weight: d.weights[org], priority: rng.IntN(2),
		build:  slots.Build{Adapter: ident.Adapter(fmt.Sprintf("a-%d-%d", org, rank)), Version: "v1"},
		prompt: promptTokens, output: outputTokens(rng),
		entry: rng.IntN(entries), spread: rng.Uint64(),
	}
	r.prefix = rng.Uint64() | 1
	if rng.Float64() < sharedPrefix {
		r.prefix = uint64(org*adapters+rank)*prefixesPerOrg + uint64(rng.IntN(2)) + 2
	}
	return r
}

func outputTokens(rng *rand.Rand) int64 {
	mean := math.Log(meanOutput) - outputSpread*outputSpread/2
	return min(int64(math.Exp(mean+outputSpread*rng.NormFloat64()))+1, maxOutput)
}

// poisson yields the arrivals of one organisation; the flooder's rate is higher
// during the flood.
func poisson(rng *rand.Rand, s scenario, rate float64, org int) func(func(time.Duration) bool) {
	return func(yield func(time.Duration) bool) {
		at := time.Duration(0)
		for {
			now := rate
			if org == flooder && at >= s.from && at < s.to {
				now *= s.flood
			}
			at += time.Duration(rng.ExpFloat64() / now * float64(time.Second))
			if at >= s.length || !yield(at) {
				return
			}
		}
	}
}

// zipf draws ranks with a probability that falls with their power.
type zipf []float64

func newZipf(n int, exponent float64) zipf {
	out := make(zipf, n)
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

func (z zipf) draw(rng *rand.Rand) int {
	u := rng.Float64()
	low, high := 0, len(z)-1
	for low < high {
		middle := (low + high) / 2
		if z[middle] < u {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return low
}

// bucket tells which requests are within an organisation's rate and burst.
type bucket struct {
	rate  float64 // Tokens a second.
	level float64
	at    time.Duration
	begun bool
}

func (b *bucket) take(at time.Duration, tokens float64) bool {
	burst := b.rate * burstSeconds
	if !b.begun {
		b.level = burst
		b.begun = true
	}
	b.level = min(burst, b.level+b.rate*(at-b.at).Seconds())
	b.at = at
	if b.level < tokens {
		return false
	}
	b.level -= tokens
	return true
}
