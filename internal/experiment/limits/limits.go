// Package limits measures how many requests the fleet-wide limits refuse
// although one perfect bucket would have admitted them, against an equal
// static split and one owner under a lease of the store, on the same arrivals.
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

// flags chooses what is measured.
type flags struct {
	organisations int    // Independent organisations that a row sums up.
	scenario      string // Only scenarios whose name has this in it.
}

// New returns the experiment.
func New() experiment.Experiment {
	f := &flags{}
	return experiment.Experiment{
		Name: "limits",
		Help: "Counts wrongful refusals and violations of the fleet-wide rate and burst.",
		Flags: func(cmd *kingpin.CmdClause) {
			cmd.Flag("organisations", "Independent organisations that a row sums up.").Default("20").IntVar(&f.organisations)
			cmd.Flag("scenario", "Only scenarios whose name contains this.").StringVar(&f.scenario)
		},
		Run: func(_ context.Context, opts experiment.Options, out io.Writer) error { return f.run(opts, out) },
	}
}

var scenarios = []scenario{
	{name: "balanced", load: usual},
	{name: "skewed", load: usual, skewed: true},
	{name: "five times the rate", load: 5, skewed: true},
	{name: "entry lost 60 s", load: usual, lostAt: 200 * time.Second, lostFor: 60 * time.Second},
	{name: "entry lost 60 s, skewed", load: usual, skewed: true, lostAt: 200 * time.Second, lostFor: 60 * time.Second},
	{name: "store down 150 s", load: usual, storeAt: 200 * time.Second, storeDown: 150 * time.Second},
	{
		name: "both at once", load: usual, skewed: true, lostAt: 220 * time.Second, lostFor: 60 * time.Second,
		storeAt: 200 * time.Second, storeDown: 150 * time.Second,
	},
}

var requestSizes = []sizes{
	{name: "to burst/20", low: burst / 400, high: burst / 20, meanUsed: 0.6},
	{name: "to burst/4", low: burst / 400, high: burst / 4, meanUsed: 0.6},
	{name: "to the burst", low: burst / 400, high: burst, meanUsed: 0.6},
}

// counts is what one limiter did on one organisation's arrivals.
type counts struct {
	requests  int
	admitted  int
	tokens    int64   // Used by what was admitted.
	ownTokens int64   // Used by what a bucket of its own admitted.
	wrongful  int     // Refused; a bucket that had admitted the same would have admitted it.
	apart     int     // Refused; a bucket of its own on the same arrivals admitted it.
	violation float64 // Tokens above the limit in the worst window.
	calls     int
}

func (c *counts) add(o counts) {
	c.requests += o.requests
	c.admitted += o.admitted
	c.tokens += o.tokens
	c.ownTokens += o.ownTokens
	c.wrongful += o.wrongful
	c.apart += o.apart
	c.violation = max(c.violation, o.violation)
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
		for _, z := range requestSizes {
			rows = append(rows, f.measure(s, z, opts.Seed)...)
		}
	}
	return experiment.Table(out, heading, rows)
}

// measure returns a row for each limiter.
func (f *flags) measure(s scenario, z sizes, seed uint64) [][]string {
	totals := make(map[string]*counts)
	order := []string{"shares", "split", "leased owner"}
	for _, name := range order {
		totals[name] = &counts{}
	}
	for org := range f.organisations {
		list := arrivalsOf(s, z, seed*1000+uint64(org))
		d := newDesign(s, org)
		c := replay(s, list, d)
		c.calls = d.calls
		totals["shares"].add(c)
		totals["split"].add(replay(s, list, newSplit(s)))
		totals["leased owner"].add(replay(s, list, newLeased(s)))
	}
	var rows [][]string
	for _, name := range order {
		rows = append(rows, row(s.name, z.name, name, totals[name]))
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
		fmt.Sprintf("%.2f", 100*float64(c.tokens)/float64(c.ownTokens)), percent(c.wrongful),
		percent(c.apart), fmt.Sprintf("%.0f", c.violation), calls,
	}
}

// replay runs a limiter on arrivals, beside one bucket that follows its
// decisions and one that makes its own.
func replay(s scenario, list []arrival, l limiter) counts {
	follower, own := newPerfect(), newPerfect()
	admitted := make([]bool, len(list))
	var c counts
	for _, e := range eventsOf(list) {
		a := list[e.arrival]
		entry := s.where(a)
		l.tick(e.at)
		if e.settle {
			if admitted[e.arrival] {
				l.settle(e.at, entry, a)
				follower.settle(e.at, entry, a)
			}
			own.settle(e.at, entry, a)
			continue
		}
		c.requests++
		fits := follower.bucket.HasTokens(at(e.at), a.tokens)
		ownFits := own.reserve(e.at, entry, a)
		if ownFits {
			c.ownTokens += a.used
		}
		if l.reserve(e.at, entry, a) {
			admitted[e.arrival] = true
			c.admitted++
			c.tokens += a.used
			follower.reserve(e.at, entry, a)
			continue
		}
		if fits {
			c.wrongful++
		}
		if ownFits {
			c.apart++
		}
	}
	c.violation = excess(list, admitted)
	return c
}

// excess returns by how many tokens the worst window exceeds rate and burst.
func excess(list []arrival, admitted []bool) float64 {
	level, worst := 0.0, 0.0
	last := time.Duration(0)
	for i, a := range list {
		if !admitted[i] {
			continue
		}
		level = max(level-(a.at-last).Seconds()*rate, 0)
		last = a.at
		level += float64(a.used)
		worst = max(worst, level-burst)
	}
	return worst
}
