// Command hyssopctl is the command-line client for operators. It edits the lists of
// plans and allowances, grants and withdraws keys, and shows the state of a fleet.
package main

import (
	"os"

	"github.com/hyssoptiller/hyssoptiller/internal/control"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

func main() {
	ctx, stop := process.SignalContext()
	defer stop()
	os.Exit(control.NewProgram(os.Stdout).Run(ctx, os.Args[1:], os.Stderr))
}
