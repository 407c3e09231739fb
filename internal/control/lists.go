package control

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
)

const (
	listFileMode = 0o644
)

// listCommand is one of the two lists' commands with its arguments.
type listCommand struct {
	program  *Program
	list     config.List
	file     string
	revision uint64
}

func addLists(p *Program) {
	addList(p, config.ListPlans, "The plan and weight of each organisation.")
	addList(p, config.ListAllowances, "What each plan may use, and how much.")
}

func addList(p *Program, list config.List, about string) {
	c := &listCommand{program: p, list: list}
	group := p.App.Command(string(list), about)
	get := group.Command("get", "Writes the list in force to FILE, its revision in the first line.")
	get.Arg("file", `File to write; "-" is the standard output.`).Default("-").StringVar(&c.file)
	p.Handle(get, c.get)
	check := group.Command("check", "Says what is wrong with FILE; changes nothing.")
	check.Arg("file", "File with the new list.").Required().ExistingFileVar(&c.file)
	p.Handle(check, c.check)
	apply := group.Command("apply", "Replaces the list by FILE, unless another edit came since FILE was read by get.")
	apply.Arg("file", "File with the new list.").Required().ExistingFileVar(&c.file)
	apply.Flag("revision", "Revision that was read; by default the one in FILE's first line.").Uint64Var(&c.revision)
	p.Handle(apply, c.apply)
}

func (c *listCommand) get(ctx context.Context) error {
	text, revision, err := c.program.Client().GetList(ctx, c.list)
	if err != nil {
		return err
	}
	out := append([]byte(fmt.Sprintf("%s%d\n", config.RevisionComment, revision)), text...)
	if c.file == "-" {
		_, err = c.program.Out.Write(out)
		return err
	}
	if err := os.WriteFile(c.file, out, listFileMode); err != nil {
		return errors.Annotatef(err, "writing %s", c.file)
	}
	return c.program.Print(revisionResult{revision}, revisionTable(revision))
}

func (c *listCommand) check(ctx context.Context) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return err
	}
	if err := c.program.Client().CheckList(ctx, c.list, text); err != nil {
		return c.inFile(err)
	}
	return c.program.Print(checkResult{true}, Table{Heading: []string{"RESULT"}, Rows: [][]string{{"ok"}}})
}

func (c *listCommand) apply(ctx context.Context) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return err
	}
	read, err := c.readRevision(text)
	if err != nil {
		return err
	}
	revision, err := c.program.Client().ApplyList(ctx, c.list, text, read)
	if err != nil {
		return c.inFile(err)
	}
	return c.program.Print(revisionResult{revision}, revisionTable(revision))
}

// inFile says which file was not accepted.
func (c *listCommand) inFile(err error) error {
	if !errors.Is(err, ErrInvalid) {
		return err
	}
	return errors.WithType(errors.Errorf("%s was not accepted, nothing changed:\n%v", c.file, err), ErrInvalid)
}

// readRevision returns the revision that the edit is based on: the flag, or
// else the first line that get wrote.
func (c *listCommand) readRevision(text []byte) (config.Revision, error) {
	if c.revision > 0 {
		return config.Revision(c.revision), nil
	}
	line, _ := bufio.NewReader(bytes.NewReader(text)).ReadString('\n')
	number, ok := strings.CutPrefix(strings.TrimSpace(line), strings.TrimSpace(config.RevisionComment))
	if !ok {
		return 0, errors.WithType(errors.Errorf(
			"%s does not begin with %q; fetch the list with get, or give --revision", c.file, config.RevisionComment+"N"), ErrInvalid)
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, errors.WithType(errors.Errorf("%s: line 1 holds no revision number", c.file), ErrInvalid)
	}
	return config.Revision(revision), nil
}

type checkResult struct {
	OK bool `json:"ok"`
}

type revisionResult struct {
	Revision config.Revision `json:"revision"`
}

func revisionTable(r config.Revision) Table {
	return Table{Heading: []string{"REVISION"}, Rows: [][]string{{r.String()}}}
}
