// Command hyssopctl edits the operators' two lists, grants and withdraws keys
// and shows the state of a fleet.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/control"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// Exit codes.
const (
	exitFailure  = 1 // Not possible now: store down, entry unreachable.
	exitInvalid  = 3 // The list or the name was not accepted; nothing changed.
	exitConflict = 4 // Another edit came between; nothing changed.
	exitDenied   = 5 // The token is missing or wrong.
)

func main() {
	app := kingpin.New("hyssopctl", "Operates a hyssoptiller fleet.")
	address := process.Flag(app, "operators", "Operators' address of an entry.").Default("127.0.0.1:8090").String()
	token := process.Flag(app, "operators-token", "Credential that operators show.").String()
	timeout := process.Flag(app, "timeout", "Longest time for one command.").Default("10s").Duration()
	list := app.Command("lists", "Edits a list.")
	apply := list.Command("apply", "Replaces a list.")
	name := apply.Arg("list", "plans or allowances").Required().Enum("plans", "allowances")
	file := apply.Arg("file", "File with the new list.").Required().ExistingFile()
	revision := apply.Flag("revision", "Revision that was read.").Required().Uint64()
	grant := app.Command("grant", "Grants a key.")
	org := grant.Arg("organisation", "Organisation.").Required().String()
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	client := control.NewClient(*address, *token, *timeout)
	var err error
	switch command {
	case apply.FullCommand():
		err = applyList(client, config.List(*name), *file, config.Revision(*revision))
	case grant.FullCommand():
		err = grantKey(client, ident.Organisation(*org))
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}

func applyList(c *control.Client, list config.List, file string, read config.Revision) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return err
	}
	revision, err := c.ApplyList(context.Background(), list, text, read)
	if err != nil {
		return err
	}
	fmt.Printf("revision %d\n", revision)
	return nil
}

func grantKey(c *control.Client, org ident.Organisation) error {
	granted, err := c.GrantKey(context.Background(), org)
	if err != nil {
		return err
	}
	return json.NewEncoder(os.Stdout).Encode(granted)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, control.ErrInvalid):
		return exitInvalid
	case errors.Is(err, control.ErrConflict):
		return exitConflict
	case errors.Is(err, control.ErrUnauthorized):
		return exitDenied
	default:
		return exitFailure
	}
}
