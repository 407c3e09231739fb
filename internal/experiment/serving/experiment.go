package serving

import (
	"context"
	"fmt"
	"io"
	"slices"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
)

// Experiment compares strategies that choose engines for adapter requests.
var Experiment = experiment.Experiment{
	Name: "serving",
	Help: "Compares the choice of engines, adapter loads and refusals with baselines, on a simulated fleet.",
	Run:  Run,
}

const (
	// runsPerFigure is the number of seeds over which each figure is averaged.
	runsPerFigure = 3
	// parallelRuns is the maximum number of strategies simulated at once.
	parallelRuns = 2
)

var heading = []string{"way", "earned %", "on time %", "late %", "refused %", "worst class %", "loads/s", "read %"}

// metrics are the results of one strategy in one simulation, or sums of such
// results.
type metrics struct {
	earned       float64 // Share of the worth of all requests that was earned.
	onTime       float64 // Share of requests with a response on time.
	late         float64 // Share of requests with a complete but late response.
	refused      float64 // Share of requests without any response event.
	worstClass   float64 // Lowest earned share of a class.
	loads        float64 // Weight store transfers per second of the arrival window.
	prefillShare float64 // Prefilled tokens as a share of the uncached prompt tokens.
}

func (m metrics) add(o metrics) metrics {
	return metrics{
		m.earned + o.earned, m.onTime + o.onTime, m.late + o.late, m.refused + o.refused,
		m.worstClass + o.worstClass, m.loads + o.loads, m.prefillShare + o.prefillShare,
	}
}

// row formats the averages over the runs whose metrics m sums.
func (m metrics) row(name string, runs float64) []string {
	cells := []string{name}
	for _, share := range []float64{m.earned, m.onTime, m.late, m.refused, m.worstClass} {
		cells = append(cells, fmt.Sprintf("%.1f", 100*share/runs))
	}
	return append(cells, fmt.Sprintf("%.1f", m.loads/runs), fmt.Sprintf("%.1f", 100*m.prefillShare/runs))
}

// Run prints a table for each deployment and scenario, with a row for each strategy.
func Run(ctx context.Context, opts experiment.Options, out io.Writer) error {
	all := append(slices.Clone(deployments), largeDeployment)
	for i := range all {
		for _, s := range scenarios {
			spec := &all[i]
			fmt.Fprintf(out, "\n%s, %s: %d engines, %d adapters of Zipf %g\n",
				spec.name, s.name, spec.engines, spec.adapters, spec.zipfExponent)
			if err := compare(ctx, spec, s, opts.Seed, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func compare(ctx context.Context, spec *deploymentSpec, s scenario, seed uint64, out io.Writer) error {
	rows := make([][]string, len(strategies))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelRuns)
	for i, chosen := range strategies {
		group.Go(func() error {
			var sum metrics
			for run := range uint64(runsPerFigure) {
				if err := ctx.Err(); err != nil {
					return err
				}
				sum = sum.add(measure(spec, s, chosen, seed+run))
			}
			rows[i] = sum.row(chosen.name(), runsPerFigure)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return experiment.Table(out, heading, rows)
}

// measure simulates one scenario with a strategy and returns its metrics.
func measure(spec *deploymentSpec, s scenario, chosen strategy, seed uint64) metrics {
	return summarize(simulate(spec, s, chosen, seed))
}

// summarize returns the metrics of a simulation.
func summarize(f *fleet, requests []*request) metrics {
	spec := f.spec
	var m metrics
	earned, offered := make(map[*class]float64), make(map[*class]float64)
	for _, q := range requests {
		offered[q.class] += q.class.worth
		switch {
		case q.onTime():
			m.onTime++
			earned[q.class] += q.class.worth
		case q.done:
			m.late++
			earned[q.class] += q.class.lateWorth
		case q.firstEvent == 0:
			m.refused++
		}
	}
	m.worstClass = 1
	earnedTotal, offeredTotal := 0.0, 0.0
	for i := range spec.classes {
		c := &spec.classes[i]
		worth := offered[c]
		m.worstClass = min(m.worstClass, earned[c]/worth)
		earnedTotal += earned[c]
		offeredTotal += worth
	}
	count := float64(len(requests))
	m.earned, m.onTime, m.late, m.refused = earnedTotal/offeredTotal, m.onTime/count, m.late/count, m.refused/count
	m.loads = float64(f.store.started) / arrivalWindow.Seconds()
	prefilledTokens, uncachedTokens := 0, 0
	for _, n := range f.nodes {
		prefilledTokens += n.engine.prefilledTokens
		uncachedTokens += n.engine.uncachedTokens
	}
	if uncachedTokens > 0 {
		m.prefillShare = float64(prefilledTokens) / float64(uncachedTokens)
	}
	return m
}
