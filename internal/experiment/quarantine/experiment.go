package quarantine

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
)

// Crashes measures endpoints lost to requests that crash them.
var Crashes = experiment.Experiment{
	Name: "crashes",
	Help: "Counts endpoints lost to requests that crash them, and the harm to the requests beside them.",
	Run:  runCrashes,
}

// Storm measures the load that retries add.
var Storm = experiment.Experiment{
	Name: "retry-storm",
	Help: "Counts the attempts that endpoints see while a part of them fails, with and without a budget.",
	Run:  runStorms,
}

func runCrashes(_ context.Context, opts experiment.Options, out io.Writer) error {
	heading := []string{
		"endpoints", "policy", "lost per bad request", "lost in all", "innocents refused by quarantine", "innocents unanswered",
		"met by a crash", "delay p50", "delay max",
	}
	var rows [][]string
	for _, endpoints := range []int{18, 4} {
		for _, p := range policies() {
			c := newCrashes(p, endpoints, opts.Seed)
			c.run()
			rows = append(rows, c.row())
		}
	}
	return experiment.Table(out, heading, rows)
}

func (c *crashes) row() []string {
	slices.Sort(c.delays)
	median, longest := time.Duration(0), time.Duration(0)
	if n := len(c.delays); n > 0 {
		median, longest = c.delays[n/2], c.delays[n-1]
	}
	return []string{
		fmt.Sprint(len(c.endpoints)),
		c.policy.name,
		fmt.Sprintf("%.1f", float64(c.lost)/badRequests),
		fmt.Sprint(c.lost),
		fmt.Sprintf("%d of %d", c.turnedAway, c.innocents),
		fmt.Sprintf("%d of %d", c.innocents-c.answered, c.innocents),
		fmt.Sprint(len(c.delays)),
		median.String(),
		longest.String(),
	}
}

func runStorms(_ context.Context, opts experiment.Options, out io.Writer) error {
	budgets := []struct {
		name   string
		limits retry.BudgetLimits
	}{
		{"no retry", retry.BudgetLimits{}},
		{"retries without a budget", retry.BudgetLimits{Ratio: math.MaxInt32, Burst: math.MaxInt32}},
		{"as built", retry.DefaultBudgetLimits()},
	}
	var rows [][]string
	for _, failing := range []float64{0.01, 0.05, 0.2, 0.5, 1} {
		for _, b := range budgets {
			s := runStorm(b.limits, failing, opts.Seed)
			rows = append(rows, []string{
				fmt.Sprintf("%.0f%%", 100*failing), b.name,
				fmt.Sprintf("%.2f", s.load()), fmt.Sprintf("%.2f%%", 100*s.success()),
			})
		}
	}
	return experiment.Table(out, []string{"attempts failing", "policy", "attempts per request", "answered"}, rows)
}
