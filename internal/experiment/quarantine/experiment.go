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

// Crashes compares policies against requests that crash endpoints.
var Crashes = experiment.Experiment{
	Name: "crashes",
	Help: "Counts endpoint crashes caused by bad requests, and the innocent requests that they harm, by quarantine policy.",
	Run:  runCrashes,
}

// RetryStorm compares retry budgets while many attempts fail.
var RetryStorm = experiment.Experiment{
	Name: "retry-storm",
	Help: "Counts the attempts per request while a share of all attempts fails, with and without a retry budget.",
	Run:  runRetryStorm,
}

func runCrashes(_ context.Context, opts experiment.Options, out io.Writer) error {
	heading := []string{
		"endpoints", "policy", "lost per bad request", "lost in all", "innocents refused by quarantine", "innocents unanswered",
		"met by a crash", "delay p50", "delay max",
	}
	var rows [][]string
	for _, endpoints := range []int{18, 4} {
		for _, p := range policies() {
			s := newCrashSimulation(p, endpoints, opts.Seed)
			s.run()
			rows = append(rows, s.row())
		}
	}
	return experiment.Table(out, heading, rows)
}

// row formats the results; delay columns are zero if no crash interrupted an answered
// request.
func (s *crashSimulation) row() []string {
	slices.Sort(s.delays)
	median, longest := time.Duration(0), time.Duration(0)
	if n := len(s.delays); n > 0 {
		median, longest = s.delays[n/2], s.delays[n-1]
	}
	return []string{
		fmt.Sprint(len(s.endpoints)),
		s.policy.name,
		fmt.Sprintf("%.1f", float64(s.endpointCrashes)/badRequests),
		fmt.Sprint(s.endpointCrashes),
		fmt.Sprintf("%d of %d", s.innocentsQuarantined, s.innocentsEnded),
		fmt.Sprintf("%d of %d", s.innocentsEnded-s.innocentsAnswered, s.innocentsEnded),
		fmt.Sprint(len(s.delays)),
		median.String(),
		longest.String(),
	}
}

func runRetryStorm(_ context.Context, opts experiment.Options, out io.Writer) error {
	budgets := []struct {
		name   string
		limits retry.BudgetLimits
	}{
		{"no retry", retry.BudgetLimits{}},
		{"retries without a budget", retry.BudgetLimits{Ratio: math.MaxInt32, Burst: math.MaxInt32}},
		{"as built", retry.DefaultBudgetLimits()},
	}
	var rows [][]string
	for _, failureProbability := range []float64{0.01, 0.05, 0.2, 0.5, 1} {
		for _, b := range budgets {
			result := simulateStorm(b.limits, failureProbability, opts.Seed)
			rows = append(rows, []string{
				fmt.Sprintf("%.0f%%", 100*failureProbability), b.name,
				fmt.Sprintf("%.2f", result.attemptsPerRequest()), fmt.Sprintf("%.2f%%", 100*result.answeredShare()),
			})
		}
	}
	return experiment.Table(out, []string{"attempts failing", "policy", "attempts per request", "answered"}, rows)
}
