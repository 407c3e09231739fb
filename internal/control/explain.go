package control

import (
	"context"
	"os"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/requesttrace"
)

const explainHelp = `Explains what happened to a request, from the logs of routers and schedulers.

  hyssopctl explain 9c41d07be2a35f68 entry-1.log vm-3.log
  cat *.log | hyssopctl explain 9c41d07be2a35f68`

// explainCommand holds the arguments of the explain command.
type explainCommand struct {
	program *Program
	request string
	files   []string
}

func addExplain(p *Program) {
	c := &explainCommand{program: p}
	clause := p.App.Command("explain", explainHelp)
	clause.Arg("request", "Id of the request.").Required().StringVar(&c.request)
	clause.Arg("file", "Log files; standard input if none is given.").StringsVar(&c.files)
	p.Handle(clause, c.run)
}

func (c *explainCommand) run(context.Context) error {
	lines, err := c.readLines()
	if err != nil {
		return err
	}
	trace, err := requesttrace.ForRequest(c.request, lines)
	if err != nil {
		return err
	}
	table := Table{Heading: []string{"TIME", "VM", "EVENT", "DETAIL"}}
	for _, line := range trace {
		table.Rows = append(table.Rows, []string{line.TimeOfDay(), line.VM, line.Event, line.FieldsText()})
	}
	return c.program.Print(trace, table)
}

// readLines returns the lines of the log files, or of the standard input if no file
// is given.
func (c *explainCommand) readLines() ([]requesttrace.Line, error) {
	if len(c.files) == 0 {
		return requesttrace.Read(os.Stdin)
	}
	var all []requesttrace.Line
	for _, name := range c.files {
		lines, err := readLog(name)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

func readLog(name string) ([]requesttrace.Line, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	return requesttrace.Read(f)
}
