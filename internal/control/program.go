package control

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// Exit codes of hyssopctl.
const (
	ExitOK       = 0
	ExitFailure  = 1 // Failed for another reason, such as store down or entry unreachable.
	ExitUsage    = 2 // The command line is invalid.
	ExitInvalid  = 3 // A list or a name is invalid; nothing was changed.
	ExitConflict = 4 // The list was changed by another edit; nothing was changed by this one.
	ExitDenied   = 5 // The operators' token is missing or invalid.
	ExitPartial  = 6 // Stored, but not yet in force at a majority of the entries.
)

const help = `Operates a hyssoptiller fleet.

Exit codes: 0 success; 1 failure, such as store down or entry unreachable;
2 invalid command line; 3 invalid list or name, nothing was changed;
4 conflict with another edit, nothing was changed; 5 operators' token missing
or invalid; 6 stored, but not yet in force at a majority of the entries.

Examples:
  hyssopctl plans get plans.yaml
  hyssopctl allowances check allowances.yaml
  hyssopctl plans apply plans.yaml
  hyssopctl keys grant smithy
  hyssopctl keys withdraw smithy 9f86d081
  hyssopctl status --output json

Completion in bash: eval "$(hyssopctl --completion-script-bash)"`

// commands holds the functions that register the commands, in the order of the
// help text.
var commands = []func(*Program){
	addLists,
	addKeys,
	addStatus,
	addTimeline,
	addExplain,
	addTLS,
}

// Program is the command line of hyssopctl.
type Program struct {
	App *kingpin.Application
	Out io.Writer // Receives the results.

	address *string
	token   *string
	timeout *time.Duration
	output  *string
	actions map[string]func(context.Context) error // By the command's full name.
}

// NewProgram returns the command line with all commands registered. The commands
// write their results to out.
func NewProgram(out io.Writer) *Program {
	app := kingpin.New("hyssopctl", help)
	app.HelpFlag.Short('h')
	p := &Program{
		App:     app,
		Out:     out,
		address: process.AddFlag(app, "operators", "Operators' address of an entry (host and port).").Default("127.0.0.1:8090").String(),
		token:   process.AddFlag(app, "operators-token", "Token that authenticates the operator.").String(),
		timeout: process.AddFlag(app, "timeout", "Maximum time of one call to the entry.").Default("15s").Duration(),
		output:  process.AddFlag(app, "output", "Output format: table or json.").Short('o').Default(outputTable).Enum(outputTable, outputJSON),
		actions: make(map[string]func(context.Context) error),
	}
	for _, add := range commands {
		add(p)
	}
	return p
}

// Handle registers the function that runs a command.
func (p *Program) Handle(clause *kingpin.CmdClause, action func(context.Context) error) {
	p.actions[clause.FullCommand()] = action
}

// Client returns a client for the entry that the flags specify.
func (p *Program) Client() *Client {
	return NewClient(*p.address, *p.token, *p.timeout)
}

// Run parses the arguments, runs the command and returns the exit code. It writes
// errors to errOut.
func (p *Program) Run(ctx context.Context, args []string, errOut io.Writer) int {
	command, err := p.App.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "hyssopctl: %v, try --help\n", err)
		return ExitUsage
	}
	if err := p.actions[command](ctx); err != nil {
		fmt.Fprintf(errOut, "hyssopctl: %v\n", err)
		return ExitCode(err)
	}
	return ExitOK
}

// ExitCode returns the exit code for an error of a command.
func ExitCode(err error) int {
	switch {
	case errors.Is(err, ErrInvalid):
		return ExitInvalid
	case errors.Is(err, ErrConflict):
		return ExitConflict
	case errors.Is(err, ErrUnauthorized):
		return ExitDenied
	case errors.Is(err, ErrNotInForce):
		return ExitPartial
	default:
		return ExitFailure
	}
}
