package endpoints

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
)

// Experiment compares placement, adapter slots and fair queueing with baselines.
var Experiment = experiment.Experiment{
	Name: "endpoints",
	Help: "Compares placement, adapter slots and fair queueing with baselines, on a simulated fleet.",
	Run:  Run,
}

var heading = []string{
	"system", "stalled %", "stall", "stalled s/100", "tokens/step", "tokens/busy s", "worst served",
	"wrongful %", "others %", "refused %", "first token p95", "plain p95", "loads/s",
}

// Run prints a table for each deployment and scenario, with a row for each system.
func Run(ctx context.Context, opts experiment.Options, out io.Writer) error {
	for _, d := range deployments {
		for _, s := range scenarios {
			fmt.Fprintf(out, "\n%s, %s: %d engines, %d plain instances, %g loads/s, %g requests/s of Zipf %g, flood of %g times\n",
				d.name, s.name, d.engines, d.plainInstances, d.loadsPerSecond, d.requestRate*s.rateFactor, s.zipfExponent, s.floodFactor)
			if err := compare(ctx, d, s, opts.Seed, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// parallelRuns is the maximum number of systems simulated at once.
const parallelRuns = 2

func compare(ctx context.Context, d deployment, s scenario, seed uint64, out io.Writer) error {
	rows := make([][]string, len(systems))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelRuns)
	for i, sys := range systems {
		group.Go(func() error {
			m, err := average(ctx, d, s, sys, seed)
			rows[i] = m.row(sys.name)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return experiment.Table(out, heading, rows)
}

// runsPerFigure is the number of seeds over which each figure is averaged.
const runsPerFigure = 3

// average returns the metrics of a system, averaged over runsPerFigure seeds.
func average(ctx context.Context, d deployment, s scenario, sys system, seed uint64) (metrics, error) {
	var sum metrics
	for i := range uint64(runsPerFigure) {
		if err := ctx.Err(); err != nil {
			return sum, err
		}
		requests := arrivals(d, s, seed+i)
		sum = sum.add(measure(d, s, simulate(d, s, sys, requests), requests))
	}
	return sum.divide(runsPerFigure), nil
}

func (m metrics) row(name string) []string {
	return []string{
		name,
		fmt.Sprintf("%.2f", 100*m.stallShare),
		m.meanStall.Round(time.Millisecond).String(),
		fmt.Sprintf("%.1f", m.stallSecondsPer100Completions),
		fmt.Sprintf("%.2f", m.tokensPerStep),
		fmt.Sprintf("%.0f", m.tokensPerBusySecond),
		fmt.Sprintf("%.3f", m.worstServedRatio),
		fmt.Sprintf("%.2f", 100*m.wrongfulRefusalShare),
		fmt.Sprintf("%.2f", 100*m.othersRefusedShare),
		fmt.Sprintf("%.2f", 100*m.refusedShare),
		m.firstTokenP95.Round(time.Millisecond).String(),
		m.plainFirstTokenP95.Round(time.Millisecond).String(),
		fmt.Sprintf("%.2f", m.loadsPerSecond),
	}
}
