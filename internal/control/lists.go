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

const listFileMode = 0o644

// listCommand holds the arguments of the commands for one list.
type listCommand struct {
	program  *Program
	list     config.List
	file     string
	revision uint64
}

func addLists(p *Program) {
	addList(p, config.ListPlans, "Edits the list of plans: the plan and the weight of each organisation.")
	addList(p, config.ListAllowances, "Edits the list of allowances: what each plan may use, and how much of it.")
}

// addList adds the commands for one list, under the list's name.
func addList(p *Program, list config.List, help string) {
	c := &listCommand{program: p, list: list}
	group := p.App.Command(string(list), help)
	get := group.Command("get", "Writes the list in force to FILE, with its revision in the first line.")
	get.Arg("file", `File to write; "-" writes to standard output.`).Default("-").StringVar(&c.file)
	p.Handle(get, c.get)
	check := group.Command("check", "Checks FILE and prints its problems; changes nothing.")
	check.Arg("file", "File with the new list.").Required().ExistingFileVar(&c.file)
	p.Handle(check, c.check)
	apply := group.Command("apply", "Replaces the list by FILE, unless the list was changed after FILE was written by get.")
	apply.Arg("file", "File with the new list.").Required().ExistingFileVar(&c.file)
	apply.Flag("revision", "Revision that FILE is based on; by default the one in its first line.").Uint64Var(&c.revision)
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
		return c.addFileName(err)
	}
	return c.program.Print(checkResult{true}, Table{Heading: []string{"RESULT"}, Rows: [][]string{{"ok"}}})
}

func (c *listCommand) apply(ctx context.Context) error {
	text, err := os.ReadFile(c.file)
	if err != nil {
		return err
	}
	base, err := c.baseRevision(text)
	if err != nil {
		return err
	}
	revision, err := c.program.Client().ApplyList(ctx, c.list, text, base)
	if err != nil {
		return c.addFileName(err)
	}
	return c.program.Print(revisionResult{revision}, revisionTable(revision))
}

// addFileName adds the file's name to ErrInvalid and returns other errors unchanged.
func (c *listCommand) addFileName(err error) error {
	if !errors.Is(err, ErrInvalid) {
		return err
	}
	return errors.WithType(errors.Errorf("%s was rejected, nothing was changed:\n%v", c.file, err), ErrInvalid)
}

// baseRevision returns the revision that the edit is based on. It is the value of
// the flag --revision or, without the flag, the one in the first line of text,
// which the get command writes.
func (c *listCommand) baseRevision(text []byte) (config.Revision, error) {
	if c.revision > 0 {
		return config.Revision(c.revision), nil
	}
	line, _ := bufio.NewReader(bytes.NewReader(text)).ReadString('\n')
	number, ok := strings.CutPrefix(strings.TrimSpace(line), strings.TrimSpace(config.RevisionComment))
	if !ok {
		return 0, errors.WithType(errors.Errorf(
			"the first line of %s is not %q; fetch the list with get, or set --revision", c.file, config.RevisionComment+"N"), ErrInvalid)
	}
	revision, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)
	if err != nil {
		return 0, errors.WithType(errors.Errorf("%s: the revision in line 1 is not a number", c.file), ErrInvalid)
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
