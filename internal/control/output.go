package control

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Values of the flag --output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// Table is a result in rows and columns.
type Table struct {
	Heading []string // Titles of the columns.
	Rows    [][]string
}

// Print writes a result to Out: v as JSON with --output json, otherwise the tables
// with a blank line between them.
func (p *Program) Print(v any, tables ...Table) error {
	if *p.output == outputJSON {
		encoder := json.NewEncoder(p.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(v)
	}
	for i, t := range tables {
		if i > 0 {
			fmt.Fprintln(p.Out)
		}
		if err := t.write(p.Out); err != nil {
			return err
		}
	}
	return nil
}

func (t Table) write(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, strings.Join(t.Heading, "\t"))
	for _, row := range t.Rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return w.Flush()
}
