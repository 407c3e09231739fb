package config

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/freshness"
)

const (
	settleTime = 10 * time.Second
	faultTime  = 30 * time.Second
	sampleTime = 200 * time.Millisecond
)

// Freshness compares the freshness rule with trusting always and with trusting
// the store only.
var Freshness = experiment.Experiment{
	Name: "freshness",
	Help: "What the freshness rule costs in refusals, and how long a withdrawn key lives, in each split case.",
	Run:  runFreshness,
}

// scenario is a fault that begins together with a withdrawal.
type scenario struct {
	name  string
	apply func(i, n int, e *entry) // Of entry i of n.
}

var scenarios = []scenario{
	{"normal running", func(int, int, *entry) {}},
	{"store down for all", func(_, _ int, e *entry) { e.store = false }},
	{"half see the store, all see each other", func(i, _ int, e *entry) { e.store = i%2 == 0 }},
	{"halves cut apart, one with the store", func(i, n int, e *entry) {
		if i < n/2 {
			e.side, e.store = 1, false
		}
	}},
	{"halves cut apart, store down for all", func(i, n int, e *entry) {
		e.store = false
		if i < n/2 {
			e.side = 1
		}
	}},
	{"one entry alone, without the store", func(i, _ int, e *entry) {
		if i == 0 {
			e.side, e.store = 1, false
		}
	}},
	{"one entry alone, with the store", func(i, _ int, e *entry) {
		if i == 0 {
			e.side = 1
		}
	}},
	{"only one entry with the store, cut from the others", func(i, _ int, e *entry) {
		e.store = i == 0
		if i == 0 {
			e.side = 1
		}
	}},
}

// outcome is what one way to decide did in one scenario.
type outcome struct {
	refused, steps int
	lived          time.Duration // Longest that an entry trusted the withdrawn key.
}

func (o *outcome) count(trusts, granted bool, since time.Duration) {
	o.steps++
	if !trusts {
		o.refused++
	}
	if trusts && granted {
		o.lived = max(o.lived, since)
	}
}

func (o outcome) String() string {
	lived := "all along"
	if o.lived < faultTime-time.Second {
		lived = fmt.Sprintf("%.1f s", o.lived.Seconds())
	}
	return fmt.Sprintf("%.1f%% / %s", 100*float64(o.refused)/float64(o.steps), lived)
}

func runFreshness(_ context.Context, opts experiment.Options, out io.Writer) error {
	fmt.Fprintf(out, "Refused share of entry time in %s of fault / how long a key lived that was withdrawn as it began.\n", faultTime)
	heading := []string{"entries", "scenario", "rule", "always", "store only", "withdrawal reported"}
	var rows [][]string
	for _, n := range []int{4, 330} {
		for _, s := range scenarios {
			rows = append(rows, measure(n, s, opts.Seed))
		}
	}
	if err := experiment.Table(out, heading, rows); err != nil {
		return err
	}
	fmt.Fprintln(out)
	return ageTable(out, opts.Seed)
}

func measure(n int, s scenario, seed uint64) []string {
	m := newModel(n, seed)
	m.run(settleTime, m.push)
	for i, e := range m.entries {
		s.apply(i, n, e)
	}
	before := m.head
	m.head++
	stored := anyStore(m)
	if !stored {
		m.head = before
	}
	begun := m.now
	var rule, always, storeOnly outcome
	reported := time.Duration(-1)
	m.run(faultTime, func() {
		m.push()
		since := m.now.Sub(begun)
		if since%sampleTime != 0 {
			return
		}
		holding := 0
		for _, e := range m.entries {
			t := m.trusts(e)
			granted := stored && e.revision == before
			if e.revision > before {
				holding++
			}
			rule.count(t.rule, granted, since)
			always.count(t.always, granted, since)
			storeOnly.count(t.storeOnly || !e.watches && e.store, granted, since)
		}
		if reported < 0 && stored && 2*holding > n {
			reported = since
		}
	})
	return []string{fmt.Sprint(n), s.name, rule.String(), always.String(), storeOnly.String(), report(stored, reported)}
}

func anyStore(m *model) bool {
	for _, e := range m.entries {
		if e.store {
			return true
		}
	}
	return false
}

func report(stored bool, after time.Duration) string {
	switch {
	case !stored:
		return "fails: store down"
	case after < 0:
		return "stored, not in force"
	default:
		return fmt.Sprintf("in force after %.1f s", after.Seconds())
	}
}

// ageTable shows how old the confirmations are in normal running.
func ageTable(out io.Writer, seed uint64) error {
	var rows [][]string
	for _, n := range []int{4, 64, 330} {
		m := newModel(n, seed)
		m.run(settleTime, m.push)
		var all []time.Duration
		m.run(settleTime, func() {
			m.push()
			all = append(all, m.ages()...)
		})
		rows = append(rows, append([]string{fmt.Sprint(n)}, quantiles(all)...))
	}
	fmt.Fprintf(out, "Age of the store's last confirmation in normal running; it counts for %s.\n", freshness.ConfirmationValidity)
	return experiment.Table(out, []string{"entries", "50 in 100", "99 in 100", "999 in 1000", "longest"}, rows)
}
