package serving

import (
	"context"
	"fmt"
	"io"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
)

// Experiment measures the choice of engines for adapters.
var Experiment = experiment.Experiment{
	Name: "serving",
	Help: "Choice of engines, loads and refusals on a model of the served system, against baselines.",
	Run:  Run,
}

const (
	// runsPerFigure is the number of seeds over which each figure is averaged.
	runsPerFigure = 3
	// parallelRuns bounds the runs that go on at once.
	parallelRuns = 2
)

var heading = []string{"way", "earned %", "on time %", "late %", "refused %", "worst class %", "loads/s", "read %"}

// measures of one way over a day, in parts of 1 but for the loads.
type measures struct {
	earned, onTime, late, refused, worst, loads, again float64
}

func (m measures) plus(o measures) measures {
	return measures{
		m.earned + o.earned, m.onTime + o.onTime, m.late + o.late, m.refused + o.refused,
		m.worst + o.worst, m.loads + o.loads, m.again + o.again,
	}
}

func (m measures) row(name string, runs float64) []string {
	cells := []string{name}
	for _, part := range []float64{m.earned, m.onTime, m.late, m.refused, m.worst} {
		cells = append(cells, fmt.Sprintf("%.1f", 100*part/runs))
	}
	return append(cells, fmt.Sprintf("%.1f", m.loads/runs), fmt.Sprintf("%.1f", 100*m.again/runs))
}

// Run measures every way in every scenario at both deployments' sizes.
func Run(ctx context.Context, opts experiment.Options, out io.Writer) error {
	for i := range deployments {
		for _, s := range scenarios {
			d := &deployments[i]
			fmt.Fprintf(out, "\n%s, %s: %d engines, %d adapters of Zipf %g\n", d.name, s.name, d.engines, d.adapters, d.zipf)
			if err := compare(ctx, d, s, opts.Seed, out); err != nil {
				return err
			}
		}
	}
	return nil
}

func compare(ctx context.Context, d *deployment, s scenario, seed uint64, out io.Writer) error {
	rows := make([][]string, len(ways))
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelRuns)
	for i, w := range ways {
		group.Go(func() error {
			var sum measures
			for n := range uint64(runsPerFigure) {
				if err := ctx.Err(); err != nil {
					return err
				}
				sum = sum.plus(measure(d, s, w, seed+n))
			}
			rows[i] = sum.row(w.name(), runsPerFigure)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return experiment.Table(out, heading, rows)
}

// measure plays one day.
func measure(d *deployment, s scenario, w way, seed uint64) measures {
	f, requests := play(d, s, w, seed)
	var m measures
	earned, owed := make(map[*class]float64), make(map[*class]float64)
	for _, q := range requests {
		owed[q.class] += q.class.worth
		switch {
		case q.onTime():
			m.onTime++
			earned[q.class] += q.class.worth
		case q.done:
			m.late++
			earned[q.class] += q.class.late
		case q.first == 0:
			m.refused++
		}
	}
	m.worst = 1
	all, most := 0.0, 0.0
	for i := range d.classes {
		c := &d.classes[i]
		sum := owed[c]
		m.worst = min(m.worst, earned[c]/sum)
		all += earned[c]
		most += sum
	}
	n := float64(len(requests))
	m.earned, m.onTime, m.late, m.refused = all/most, m.onTime/n, m.late/n, m.refused/n
	m.loads = float64(f.store.begun) / dayLength.Seconds()
	read, without := 0, 0
	for _, one := range f.nodes {
		read += one.engine.read
		without += one.engine.readAll
	}
	if without > 0 {
		m.again = float64(read) / float64(without)
	}
	return m
}
