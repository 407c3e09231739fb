package serving

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

// NewSpreading returns the experiment that compares ways to choose engines by snapshots that are 100 to 600 ms old.
func NewSpreading() experiment.Experiment {
	runs := 0
	return experiment.Experiment{
		Name: "spreading",
		Help: "Compares the choice of engines by old snapshots, on a simulated fleet with engines of uneven speed.",
		Flags: func(cmd *kingpin.CmdClause) {
			cmd.Flag("runs", "Number of seeds over which each figure is averaged.").Default("3").IntVar(&runs)
		},
		Run: func(ctx context.Context, opts experiment.Options, out io.Writer) error {
			return runSpreading(ctx, opts.Seed, max(runs, 1), out)
		},
	}
}

// spreader ranks with the routing policy and then picks an engine among the ones that hold the adapter.
type spreader struct {
	label         string
	minSlowdown   float64
	maxRandomCost time.Duration
	unseen        float64 // Factor on the unseen work; 0 means that none is expected.
	routersFactor bool    // The router's own pending prefill counts for each router (C3).
	drained       bool    // The prefill that an engine has done since its snapshot is taken off its backlog.
	spare         bool    // Holders are drawn with probabilities by their spare capacity: what their wait leaves of the latency target.
	choices       int     // Number of holders drawn at random, of which the one with the lowest cost is taken; 0 means none is drawn.
}

func (p spreader) name() string { return p.label }

func (p spreader) config() routing.Config {
	c := routing.DefaultConfig()
	c.MinSlowdown, c.MaxRandomCost = p.minSlowdown, p.maxRandomCost
	return c
}

func (p spreader) choose(f *fleet, s *submission) (*node, time.Duration) {
	job, candidates := f.job(s), f.candidates(s)
	job.OthersPrefillRate *= p.unseen
	if p.routersFactor {
		for i := range candidates {
			candidates[i].PendingPrefillMS *= float64(f.spec.routers)
		}
	}
	if p.drained {
		for i := range candidates {
			for j, wait := range candidates[i].Snapshot.PrefillWaitMS {
				candidates[i].Snapshot.PrefillWaitMS[j] = max(wait-int(candidates[i].SnapshotAge.Milliseconds()), 0)
			}
		}
	}
	ranked := routing.Rank(f.config, job, candidates)
	if len(ranked) == 0 || ranked[0].LoadLimitExceeded {
		return nil, 0
	}
	best := ranked[0]
	if (p.choices > 0 || p.spare) && best.Resident {
		holders := slices.DeleteFunc(slices.Clone(ranked), func(c routing.Choice) bool {
			return !c.Resident || c.ExpectedWait > max(job.MaxOnTimeWait, best.ExpectedWait)
		})
		best = holders[f.rng.IntN(len(holders))]
		if p.spare {
			best = drawBySpareCapacity(f.rng, holders, job.MaxOnTimeWait)
		}
		for range p.choices - 1 {
			if other := holders[f.rng.IntN(len(holders))]; other.Cost < best.Cost {
				best = other
			}
		}
	}
	return f.node(best.ID), best.ColdLoadTime
}

// drawBySpareCapacity draws an engine with a probability by its speed and what its expected wait leaves of the target.
func drawBySpareCapacity(rng *rand.Rand, holders []routing.Choice, target time.Duration) routing.Choice {
	best, lowest := holders[0], math.Inf(1)
	for _, c := range holders {
		if key := rng.ExpFloat64() * c.Slowdown / max(millis.FromDuration(target-c.ExpectedWait), 1); key < lowest {
			best, lowest = c, key
		}
	}
	return best
}

const randomCost = 200 * time.Millisecond

var spreaders = []spreader{
	{label: "before", minSlowdown: 1, maxRandomCost: randomCost},
	{label: "random", minSlowdown: 1, choices: 1},
	{label: "two choices", minSlowdown: 1, choices: 2},
	{label: "three choices", minSlowdown: 1, choices: 3},
	{label: "spare capacity", minSlowdown: 1, spare: true},
	{label: "own sends x routers", minSlowdown: 1, maxRandomCost: randomCost, routersFactor: true},
	{label: "unseen work", minSlowdown: 1, unseen: 1},
	{label: "unseen x 3", minSlowdown: 1, unseen: 3},
	{label: "unseen, random cost", minSlowdown: 1, maxRandomCost: randomCost, unseen: 1},
	{label: "same, speed as cost", maxRandomCost: randomCost, unseen: 1},
	{label: "same, drained", maxRandomCost: randomCost, unseen: 1, drained: true},
}

// runSpreading prints a table for each deployment, number of routers and part of lost reports.
func runSpreading(ctx context.Context, seed uint64, runs int, out io.Writer) error {
	for _, spec := range staleDeployments {
		for _, variant := range []struct {
			routers int
			lost    float64
		}{{26, 0}, {26, 0.3}, {300, 0}} {
			spec.routers, spec.lostReports = variant.routers, variant.lost
			fmt.Fprintf(out, "\n%s: %d engines, %d routers, %.0f%% of the reports lost\n", spec.name, spec.engines, spec.routers, 100*spec.lostReports)
			rows := make([][]string, len(spreaders))
			group, ctx := errgroup.WithContext(ctx)
			group.SetLimit(parallelRuns)
			for i, chosen := range spreaders {
				group.Go(func() error {
					var sum spreadMetrics
					for run := range uint64(runs) {
						if err := ctx.Err(); err != nil {
							return err
						}
						sum.add(measureSpread(&spec, chosen, seed+run))
					}
					rows[i] = sum.row(chosen.label, float64(runs))
					return nil
				})
			}
			if err := group.Wait(); err != nil {
				return err
			}
			if err := experiment.Table(out, spreadHeading, rows); err != nil {
				return err
			}
		}
	}
	return nil
}

var spreadHeading = []string{"way", "busiest/mean", "p50 ms", "p95 ms", "p99 ms", "on time %", "refused %", "loads/s", "read %"}

// spreadMetrics are busiest over mean, the time to the first event at three percentiles, the share on time and
// refused, loads per second and the share of prompt tokens prefilled.
type spreadMetrics [8]float64

func (m *spreadMetrics) add(o spreadMetrics) {
	for i := range m {
		m[i] += o[i]
	}
}

func (m *spreadMetrics) row(name string, runs float64) []string {
	cells := []string{name}
	for i, format := range []string{"%.2f", "%.0f", "%.0f", "%.0f", "%.1f", "%.1f", "%.1f", "%.1f"} {
		cells = append(cells, fmt.Sprintf(format, m[i]/runs))
	}
	return cells
}

// measureSpread simulates the usual scenario.
func measureSpread(spec *deploymentSpec, chosen strategy, seed uint64) spreadMetrics {
	f, requests := simulate(spec, scenarios[0], chosen, seed)
	m := summarize(f, requests)
	var firstMS []float64
	for _, q := range requests {
		if q.firstEvent > 0 {
			firstMS = append(firstMS, millis.FromDuration(q.firstEvent-q.arrival))
		}
	}
	slices.Sort(firstMS)
	evenness := 0.0
	for _, e := range f.evenness {
		evenness += e / float64(len(f.evenness))
	}
	at := func(share float64) float64 { return firstMS[int(share*float64(len(firstMS)-1))] }
	return spreadMetrics{evenness, at(0.5), at(0.95), at(0.99), 100 * m.onTime, 100 * m.refused, m.loads, 100 * m.prefillShare}
}
