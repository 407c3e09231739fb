package endpoints

import (
	"context"
	"fmt"
	"io"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
)

// Experiment measures the choice of endpoints, slots and fair queueing.
var Experiment = experiment.Experiment{
	Name: "endpoints",
	Help: "Placement, adapter slots and fair queueing against their baselines.",
	Run:  Run,
}

var heading = []string{
	"system", "stalled %", "stall", "stalled s/100", "tokens/step", "tokens/busy s", "worst served",
	"wrongful %", "others %", "refused %", "first token p95", "plain p95", "loads/s",
}

// Run measures every system in every scenario at both deployments' sizes.
func Run(ctx context.Context, opts experiment.Options, out io.Writer) error {
	for _, d := range deployments {
		for _, s := range scenarios {
			fmt.Fprintf(out, "\n%s, %s: %d engines, %d plain instances, %g loads/s, %g requests/s of Zipf %g, flood of %g times\n",
				d.name, s.name, d.runners, d.plain, d.loadRate, d.rate*s.rate, s.zipf, s.flood)
			if err := compare(ctx, d, s, opts.Seed, out); err != nil {
				return err
			}
		}
	}
	return nil
}

// parallelRuns bounds the runs that go on at once.
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

func average(ctx context.Context, d deployment, s scenario, sys system, seed uint64) (measures, error) {
	var sum measures
	for i := range uint64(runsPerFigure) {
		if err := ctx.Err(); err != nil {
			return sum, err
		}
		requests := arrivals(d, s, seed+i)
		sum = sum.plus(measure(d, s, simulate(d, s, sys, requests), requests))
	}
	return sum.over(runsPerFigure), nil
}

func (m measures) row(name string) []string {
	return []string{
		name,
		fmt.Sprintf("%.2f", 100*m.stallShare),
		m.stallMean.Round(time.Millisecond).String(),
		fmt.Sprintf("%.1f", m.stallTotal),
		fmt.Sprintf("%.2f", m.perStep),
		fmt.Sprintf("%.0f", m.perSecond),
		fmt.Sprintf("%.3f", m.worst),
		fmt.Sprintf("%.2f", 100*m.wrongful),
		fmt.Sprintf("%.2f", 100*m.others),
		fmt.Sprintf("%.2f", 100*m.refused),
		m.firstToken.Round(time.Millisecond).String(),
		m.plainAnswer.Round(time.Millisecond).String(),
		fmt.Sprintf("%.2f", m.loads),
	}
}
