package limits

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	entries  = 4
	duration = 10 * time.Minute
	rate     = 2000  // Tokens a second of each organisation.
	burst    = 20000 // Tokens of each organisation.
	// usual is the load of an organisation that stays within its rate.
	usual = 0.9
)

var terms = limit.Terms{Rate: rate, Burst: burst, Revision: 1}

// sizes bounds the tokens of a request; they are log-uniform between.
type sizes struct {
	name     string
	low      float64
	high     float64
	meanUsed float64 // Share of the reserved tokens that is used.
}

// scenario is one set of arrivals and faults.
type scenario struct {
	name      string
	skewed    bool          // Most callers of an organisation come to one entry.
	load      float64       // Times the rate.
	lostAt    time.Duration // An entry is lost then; never where 0.
	lostFor   time.Duration
	storeAt   time.Duration // The store is down then; never where 0.
	storeDown time.Duration
}

// arrival is one request.
type arrival struct {
	at     time.Duration
	index  int
	entry  int // Where its caller would go if all entries lived.
	spare  int // Where else.
	tokens int64
	used   int64
	took   time.Duration // From its start to its settlement.
}

// arrivalsOf generates the requests of one organisation.
func arrivalsOf(s scenario, z sizes, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 7))
	mean := (z.high - z.low) / math.Log(z.high/z.low)
	gap := mean * z.meanUsed / (rate * s.load)
	home := rng.IntN(entries)
	var out []arrival
	for at := rng.ExpFloat64() * gap; at < duration.Seconds(); at += rng.ExpFloat64() * gap {
		tokens := int64(math.Exp(math.Log(z.low) + rng.Float64()*math.Log(z.high/z.low)))
		part := min(1, z.meanUsed*(0.5+rng.Float64()))
		out = append(out, arrival{
			at: time.Duration(at * float64(time.Second)), index: len(out),
			entry: entryOf(rng, s, home), spare: rng.IntN(entries - 1),
			tokens: max(tokens, 1), used: max(int64(float64(tokens)*part), 1),
			took: time.Duration((0.2 + rng.ExpFloat64()*2) * float64(time.Second)),
		})
	}
	return out
}

func entryOf(rng *rand.Rand, s scenario, home int) int {
	if s.skewed && rng.Float64() < 0.7 {
		return home
	}
	return rng.IntN(entries)
}

// lost reports whether an entry is lost at a time: always the first one.
func (s scenario) lost(entry int, at time.Duration) bool {
	return entry == 0 && s.lostAt > 0 && at >= s.lostAt && at < s.lostAt+s.lostFor
}

// where returns the entry that an arrival's caller reaches.
func (s scenario) where(a arrival) int {
	if !s.lost(a.entry, a.at) {
		return a.entry
	}
	return 1 + a.spare
}

func (s scenario) storeLost(at time.Duration) bool {
	return s.storeAt > 0 && at >= s.storeAt && at < s.storeAt+s.storeDown
}

// event is an arrival or a settlement.
type event struct {
	at      time.Duration
	arrival int
	settle  bool
}

// eventsOf orders arrivals and settlements in time.
func eventsOf(list []arrival) []event {
	out := make([]event, 0, 2*len(list))
	for i, a := range list {
		out = append(out, event{at: a.at, arrival: i}, event{at: a.at + a.took, arrival: i, settle: true})
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].at < out[j].at })
	return out
}
