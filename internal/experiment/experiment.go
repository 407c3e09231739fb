// Package experiment is the frame of the load and experiment tool: each
// experiment runs decisions on generated arrivals and prints its figures as a
// table, with the baselines in the same run.
package experiment

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/alecthomas/kingpin/v2"
)

// Options is what every experiment takes.
type Options struct {
	Seed uint64 // Of the generated arrivals; the same seed gives the same figures.
}

// Experiment is one measurement.
type Experiment struct {
	Name string // Sub-command of hyssop-load.
	Help string // One sentence.
	// Flags adds the experiment's own flags to its sub-command; nil where it
	// has none.
	Flags func(cmd *kingpin.CmdClause)
	// Run measures and prints.
	Run func(ctx context.Context, opts Options, out io.Writer) error
}

// Table prints rows of cells under a heading in aligned columns.
func Table(out io.Writer, heading []string, rows [][]string) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(heading, "\t"))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
