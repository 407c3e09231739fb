package freshness

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/freshness"
)

const (
	warmUpDuration = 10 * time.Second // Before a fault. The ages are measured after one warm-up and for the same time.
	faultDuration  = 30 * time.Second
	sampleInterval = 200 * time.Millisecond
)

// Experiment compares the freshness rule with two baselines: entries always trust
// their keys, or they trust them only while the store responds.
var Experiment = experiment.Experiment{
	Name: "freshness",
	Help: "Compares the refusals caused by the freshness rule, and the time for which a withdrawn key is trusted, with baselines, in each network partition.",
	Run:  runFreshness,
}

// scenario is a fault that starts at the same time as the withdrawal of a key.
type scenario struct {
	name  string
	apply func(i, n int, e *entry) // Applies the fault to entry i of n.
}

var scenarios = []scenario{
	{"normal running", func(int, int, *entry) {}},
	{"store down for all", func(_, _ int, e *entry) { e.storeReachable = false }},
	{"half see the store, all see each other", func(i, _ int, e *entry) { e.storeReachable = i%2 == 0 }},
	{"halves cut apart, one with the store", func(i, n int, e *entry) {
		if i < n/2 {
			e.partition, e.storeReachable = 1, false
		}
	}},
	{"halves cut apart, store down for all", func(i, n int, e *entry) {
		e.storeReachable = false
		if i < n/2 {
			e.partition = 1
		}
	}},
	{"one entry alone, without the store", func(i, _ int, e *entry) {
		if i == 0 {
			e.partition, e.storeReachable = 1, false
		}
	}},
	{"one entry alone, with the store", func(i, _ int, e *entry) {
		if i == 0 {
			e.partition = 1
		}
	}},
	{"only one entry with the store, cut from the others", func(i, _ int, e *entry) {
		e.storeReachable = i == 0
		if i == 0 {
			e.partition = 1
		}
	}},
}

// outcome is the result of one rule in one scenario. A sample is the state of one
// entry at one time.
type outcome struct {
	refused, samples int
	maxTrusted       time.Duration // Time from the withdrawal to the last sample that trusts the key.
}

// add adds a sample. trusted reports whether the entry trusts its keys, hasKey
// whether its revision still contains the withdrawn key, and elapsed is the time since
// the withdrawal.
func (o *outcome) add(trusted, hasKey bool, elapsed time.Duration) {
	o.samples++
	if !trusted {
		o.refused++
	}
	if trusted && hasKey {
		o.maxTrusted = max(o.maxTrusted, elapsed)
	}
}

// String returns the refused share of the samples and the longest trust of the
// withdrawn key, which is "all along" if it lasts into the last second of the fault.
func (o outcome) String() string {
	trusted := "all along"
	if o.maxTrusted < faultDuration-time.Second {
		trusted = fmt.Sprintf("%.1f s", o.maxTrusted.Seconds())
	}
	return fmt.Sprintf("%.1f%% / %s", 100*float64(o.refused)/float64(o.samples), trusted)
}

func runFreshness(_ context.Context, opts experiment.Options, out io.Writer) error {
	fmt.Fprintf(out, "Refused share of entry time during a fault of %s / time for which a key withdrawn at its start was trusted.\n",
		faultDuration)
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
	return printAgeTable(out, opts.Seed)
}

// measure simulates a scenario with n entries and returns its row.
func measure(n int, s scenario, seed uint64) []string {
	m := newModel(n, seed)
	m.run(warmUpDuration, m.propagate)
	for i, e := range m.entries {
		s.apply(i, n, e)
	}
	oldRevision := m.storeRevision
	m.storeRevision++
	withdrawn := anyStoreReachable(m)
	if !withdrawn {
		m.storeRevision = oldRevision
	}
	faultStart := m.now
	var rule, always, storeOnly outcome
	inForceAfter := time.Duration(-1)
	m.run(faultDuration, func() {
		m.propagate()
		elapsed := m.now.Sub(faultStart)
		if elapsed%sampleInterval != 0 {
			return
		}
		updated := 0
		for _, e := range m.entries {
			verdicts := m.trustVerdicts(e)
			hasKey := withdrawn && e.revision == oldRevision
			if e.revision > oldRevision {
				updated++
			}
			rule.add(verdicts.rule, hasKey, elapsed)
			always.add(verdicts.always, hasKey, elapsed)
			storeOnly.add(verdicts.storeOnly || !e.watchesStore && e.storeReachable, hasKey, elapsed)
		}
		if inForceAfter < 0 && withdrawn && 2*updated > n {
			inForceAfter = elapsed
		}
	})
	return []string{
		fmt.Sprint(n), s.name, rule.String(), always.String(), storeOnly.String(),
		withdrawalResult(withdrawn, inForceAfter),
	}
}

// anyStoreReachable reports whether any entry reaches the store.
func anyStoreReachable(m *model) bool {
	for _, e := range m.entries {
		if e.storeReachable {
			return true
		}
	}
	return false
}

// withdrawalResult describes the result of the withdrawal. inForceAfter is negative if
// it is not in force at a majority of the entries by the end of the fault.
func withdrawalResult(withdrawn bool, inForceAfter time.Duration) string {
	switch {
	case !withdrawn:
		return "fails: store down"
	case inForceAfter < 0:
		return "stored, not in force"
	default:
		return fmt.Sprintf("in force after %.1f s", inForceAfter.Seconds())
	}
}

// printAgeTable prints the ages of the confirmations without a fault.
func printAgeTable(out io.Writer, seed uint64) error {
	var rows [][]string
	for _, n := range []int{4, 64, 330} {
		m := newModel(n, seed)
		m.run(warmUpDuration, m.propagate)
		var ages []time.Duration
		m.run(warmUpDuration, func() {
			m.propagate()
			ages = append(ages, m.confirmationAges()...)
		})
		rows = append(rows, append([]string{fmt.Sprint(n)}, quantiles(ages)...))
	}
	fmt.Fprintf(out, "Age of the store's last confirmation without a fault; a confirmation is valid for %s.\n",
		freshness.ConfirmationValidity)
	return experiment.Table(out, []string{"entries", "50 in 100", "99 in 100", "999 in 1000", "longest"}, rows)
}
