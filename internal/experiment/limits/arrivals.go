package limits

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	entries       = 4
	simulatedTime = 10 * time.Minute
	rate          = 2000  // Tokens per second, of each organisation.
	burst         = 20000 // Tokens, of each organisation.
	normalLoad    = 0.9   // Used tokens as a share of the rate.
)

var terms = limit.Terms{Rate: rate, Burst: burst, Revision: 1}

// sizeRange is the range of the tokens that requests reserve. The distribution
// within the range is log-uniform.
type sizeRange struct {
	name          string
	minTokens     float64
	maxTokens     float64
	meanUsedShare float64 // Mean share of the reserved tokens that is used.
}

// scenario describes the load and the faults of a simulation. Times count from its
// start.
type scenario struct {
	name         string
	skewed       bool          // Most requests of an organisation arrive at one entry.
	loadFactor   float64       // Used tokens as a multiple of the rate.
	entryDownAt  time.Duration // Time when the first entry fails; 0 means never.
	entryDownFor time.Duration
	storeDownAt  time.Duration // Time when the store fails; 0 means never.
	storeDownFor time.Duration
}

// arrival is a request.
type arrival struct {
	at             time.Duration
	index          int
	entry          int // Entry that the caller reaches while all entries are up.
	fallback       int // The caller reaches entry 1+fallback if its entry is down.
	reservedTokens int64
	usedTokens     int64
	serviceTime    time.Duration // From the arrival to the settlement.
}

// generateArrivals generates the requests of one organisation.
func generateArrivals(s scenario, size sizeRange, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	meanTokens := (size.maxTokens - size.minTokens) / math.Log(size.maxTokens/size.minTokens)
	meanGap := meanTokens * size.meanUsedShare / (rate * s.loadFactor)
	mainEntry := rng.IntN(entries)
	var out []arrival
	for at := rng.ExpFloat64() * meanGap; at < simulatedTime.Seconds(); at += rng.ExpFloat64() * meanGap {
		tokens := int64(math.Exp(math.Log(size.minTokens) + rng.Float64()*math.Log(size.maxTokens/size.minTokens)))
		usedShare := min(1, size.meanUsedShare*(0.5+rng.Float64()))
		out = append(out, arrival{
			at: time.Duration(at * float64(time.Second)), index: len(out),
			entry: drawEntry(rng, s, mainEntry), fallback: rng.IntN(entries - 1),
			reservedTokens: max(tokens, 1), usedTokens: max(int64(float64(tokens)*usedShare), 1),
			serviceTime: time.Duration((0.2 + rng.ExpFloat64()*2) * float64(time.Second)),
		})
	}
	return out
}

// drawEntry draws the entry that a request arrives at. In a skewed scenario, 70% of
// the requests arrive at mainEntry and the rest at any entry.
func drawEntry(rng *rand.Rand, s scenario, mainEntry int) int {
	if s.skewed && rng.Float64() < 0.7 {
		return mainEntry
	}
	return rng.IntN(entries)
}

// entryDown reports whether an entry is down at a time. Only the first entry fails.
func (s scenario) entryDown(entry int, at time.Duration) bool {
	return entry == 0 && s.entryDownAt > 0 && at >= s.entryDownAt && at < s.entryDownAt+s.entryDownFor
}

// reachedEntry returns the entry that the caller reaches.
func (s scenario) reachedEntry(a arrival) int {
	if !s.entryDown(a.entry, a.at) {
		return a.entry
	}
	return 1 + a.fallback
}

// storeDown reports whether the store is down at a time.
func (s scenario) storeDown(at time.Duration) bool {
	return s.storeDownAt > 0 && at >= s.storeDownAt && at < s.storeDownAt+s.storeDownFor
}

// event is the arrival or the settlement of a request.
type event struct {
	at      time.Duration
	arrival int // Index of the arrival.
	settle  bool
}

// sortedEvents returns the arrivals and settlements in order of time.
func sortedEvents(arrivals []arrival) []event {
	out := make([]event, 0, 2*len(arrivals))
	for i, a := range arrivals {
		out = append(out, event{at: a.at, arrival: i}, event{at: a.at + a.serviceTime, arrival: i, settle: true})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}
