// Package limits compares the product's fleet-wide limits with two baselines: an
// equal static split of the limit, and one owner of the limit with a lease of the
// store. All limiters get the same generated arrivals. The main result is the number
// of wrongful refusals: refused requests that one central bucket, which never fails,
// would have admitted.
package limits

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
)

// flags are the flags of the sub-command.
type flags struct {
	organisations int    // Number of independent organisations whose counts each row adds up.
	scenario      string // Runs only scenarios whose name contains this text.
}

// New returns the experiment.
func New() experiment.Experiment {
	f := &flags{}
	return experiment.Experiment{
		Name: "limits",
		Help: "Compares wrongful refusals and violations of the fleet-wide rate and burst with baselines.",
		Flags: func(cmd *kingpin.CmdClause) {
			cmd.Flag("organisations", "Number of independent organisations whose counts each row adds up.").Default("20").IntVar(&f.organisations)
			cmd.Flag("scenario", "Run only scenarios whose name contains this text.").StringVar(&f.scenario)
		},
		Run: func(_ context.Context, opts experiment.Options, out io.Writer) error { return f.run(opts, out) },
	}
}

var scenarios = []scenario{
	{name: "balanced", loadFactor: normalLoad},
	{name: "skewed", loadFactor: normalLoad, skewed: true},
	{name: "five times the rate", loadFactor: 5, skewed: true},
	{name: "entry lost 60 s", loadFactor: normalLoad, entryDownAt: 200 * time.Second, entryDownFor: 60 * time.Second},
	{
		name: "entry lost 60 s, skewed", loadFactor: normalLoad, skewed: true,
		entryDownAt: 200 * time.Second, entryDownFor: 60 * time.Second,
	},
	{name: "store down 150 s", loadFactor: normalLoad, storeDownAt: 200 * time.Second, storeDownFor: 150 * time.Second},
	{
		name: "both at once", loadFactor: normalLoad, skewed: true, entryDownAt: 220 * time.Second, entryDownFor: 60 * time.Second,
		storeDownAt: 200 * time.Second, storeDownFor: 150 * time.Second,
	},
}

var requestSizes = []sizeRange{
	{name: "to burst/20", minTokens: burst / 400, maxTokens: burst / 20, meanUsedShare: 0.6},
	{name: "to burst/4", minTokens: burst / 400, maxTokens: burst / 4, meanUsedShare: 0.6},
	{name: "to the burst", minTokens: burst / 400, maxTokens: burst, meanUsedShare: 0.6},
}

// counts are the results of one limiter on the arrivals of one or more
// organisations. Refusals are compared with two central buckets: one that admits the
// same requests as the limiter, and one that admits requests on its own.
type counts struct {
	requests            int
	admitted            int
	usedTokens          int64   // By the requests that the limiter admitted.
	ownBucketTokens     int64   // Used by the requests that the bucket on its own admitted.
	wrongfulSameHistory int     // Refusals that the bucket with the same admissions would not have made.
	wrongfulOwnBucket   int     // Refusals of requests that the bucket on its own admitted.
	maxExcess           float64 // Used tokens above rate and burst, in the worst window.
	calls               int     // Calls between entries.
}

// add adds the counts of another organisation. maxExcess is the maximum of both.
func (c *counts) add(o counts) {
	c.requests += o.requests
	c.admitted += o.admitted
	c.usedTokens += o.usedTokens
	c.ownBucketTokens += o.ownBucketTokens
	c.wrongfulSameHistory += o.wrongfulSameHistory
	c.wrongfulOwnBucket += o.wrongfulOwnBucket
	c.maxExcess = max(c.maxExcess, o.maxExcess)
	c.calls += o.calls
}

func (f *flags) run(opts experiment.Options, out io.Writer) error {
	heading := []string{
		"scenario", "requests", "limiter", "number", "admitted %", "tokens % of own bucket", "wrongful % (same history)",
		"wrongful % (own bucket)", "tokens above limit", "calls/request",
	}
	var rows [][]string
	for _, s := range scenarios {
		if !strings.Contains(s.name, f.scenario) {
			continue
		}
		for _, size := range requestSizes {
			rows = append(rows, f.measure(s, size, opts.Seed)...)
		}
	}
	return experiment.Table(out, heading, rows)
}

// measure simulates a scenario with each limiter and returns a row for each.
func (f *flags) measure(s scenario, size sizeRange, seed uint64) [][]string {
	totals := make(map[string]*counts)
	limiterNames := []string{"shares", "split", "leased owner"}
	for _, name := range limiterNames {
		totals[name] = &counts{}
	}
	for org := range f.organisations {
		arrivals := generateArrivals(s, size, seed*1000+uint64(org))
		shares := newSharesLimiter(s, org)
		c := replay(s, arrivals, shares)
		c.calls = shares.calls
		totals["shares"].add(c)
		totals["split"].add(replay(s, arrivals, newStaticSplit(s)))
		totals["leased owner"].add(replay(s, arrivals, newLeasedOwner(s)))
	}
	var rows [][]string
	for _, name := range limiterNames {
		rows = append(rows, row(s.name, size.name, name, totals[name]))
	}
	return rows
}

func row(scenario, size, name string, c *counts) []string {
	percent := func(n int) string { return fmt.Sprintf("%.2f", 100*float64(n)/float64(c.requests)) }
	calls := "-"
	if c.calls > 0 {
		calls = fmt.Sprintf("%.2f", float64(c.calls)/float64(c.requests))
	}
	return []string{
		scenario, size, name, fmt.Sprint(c.requests), percent(c.admitted),
		fmt.Sprintf("%.2f", 100*float64(c.usedTokens)/float64(c.ownBucketTokens)), percent(c.wrongfulSameHistory),
		percent(c.wrongfulOwnBucket), fmt.Sprintf("%.0f", c.maxExcess), calls,
	}
}

// replay runs a limiter on arrivals and compares it with the two central buckets.
func replay(s scenario, arrivals []arrival, l limiter) counts {
	sameHistory, ownBucket := newCentralBucket(), newCentralBucket()
	admitted := make([]bool, len(arrivals))
	var c counts
	for _, e := range sortedEvents(arrivals) {
		a := arrivals[e.arrival]
		entry := s.reachedEntry(a)
		l.tick(e.at)
		if e.settle {
			if admitted[e.arrival] {
				l.settle(e.at, entry, a)
				sameHistory.settle(e.at, entry, a)
			}
			ownBucket.settle(e.at, entry, a)
			continue
		}
		c.requests++
		fitsSameHistory := sameHistory.bucket.HasTokens(wallTime(e.at), a.reservedTokens)
		fitsOwnBucket := ownBucket.reserve(e.at, entry, a)
		if fitsOwnBucket {
			c.ownBucketTokens += a.usedTokens
		}
		if l.reserve(e.at, entry, a) {
			admitted[e.arrival] = true
			c.admitted++
			c.usedTokens += a.usedTokens
			sameHistory.reserve(e.at, entry, a)
			continue
		}
		if fitsSameHistory {
			c.wrongfulSameHistory++
		}
		if fitsOwnBucket {
			c.wrongfulOwnBucket++
		}
	}
	c.maxExcess = excess(arrivals, admitted)
	return c
}

// excess returns the number of used tokens above rate and burst in the worst window.
func excess(arrivals []arrival, admitted []bool) float64 {
	level, worst := 0.0, 0.0
	last := time.Duration(0)
	for i, a := range arrivals {
		if !admitted[i] {
			continue
		}
		level = max(level-(a.at-last).Seconds()*rate, 0)
		last = a.at
		level += float64(a.usedTokens)
		worst = max(worst, level-burst)
	}
	return worst
}
