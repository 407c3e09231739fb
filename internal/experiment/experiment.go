// Package experiment defines the sub-commands of hyssop-load. Most experiments run the
// product's policies in a simulation with generated arrivals, compare them with baselines
// on the same arrivals, and print the results as a table.
package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
)

// Options are the options of all experiments.
type Options struct {
	Seed uint64 // Seed of the generated arrivals. Simulations with the same seed print the same results.
}

// Experiment is a sub-command of hyssop-load.
type Experiment struct {
	Name string
	Help string // Help text, one sentence.
	// Flags adds the experiment's own flags to its sub-command. It is nil if there are
	// none.
	Flags func(cmd *kingpin.CmdClause)
	// Run runs the experiment and prints its results to out.
	Run func(ctx context.Context, opts Options, out io.Writer) error
}

// Table prints a heading and rows of cells in aligned columns.
func Table(out io.Writer, heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
