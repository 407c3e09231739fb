package endpoints

import (
	"context"
	"fmt"
	"io"
	"time"

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
	"wrongful %", "refused %", "first token p95", "plain p95", "loads/s",
}

// Run measures every system in every scenario at both deployments' sizes.
func Run(ctx context.Context, opts experiment.Options, out io.Writer) error {
	for _, d := range deployments {
		for _, s := range scenarios {
			fmt.Fprintf(out, "\n%s, %s: %d engines, %d plain instances, %g loads/s, flood of %g times\n",
				d.name, s.name, d.runners, d.plain, d.loadRate, s.flood)
			if err := compare(ctx, d, s, opts.Seed, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func compare(ctx context.Context, d deployment, s scenario, seed uint64, out io.Writer) error {
	var rows [][]string
	for _, sys := range systems {
		if err := ctx.Err(); err != nil {
			return err
		}
		requests := arrivals(d, s, seed)
		m := measure(d, s, simulate(d, s, sys, requests), requests)
		rows = append(rows, m.row(sys.name))
	}
	return experiment.Table(out, heading, rows)
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
		fmt.Sprintf("%.2f", 100*m.refused),
		m.firstToken.Round(time.Millisecond).String(),
		m.plainAnswer.Round(time.Millisecond).String(),
		fmt.Sprintf("%.2f", m.loads),
	}
}
