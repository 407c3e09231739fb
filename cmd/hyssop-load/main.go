// Command hyssop-load runs experiments with the decision logic of the fleet on
// generated arrivals. Its command drive sends a limited load to a fleet on loopback
// addresses.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/experiment"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/endpoints"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/freshness"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/limits"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/loadgen"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/serving"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

const exitFailure = 1

// experiments are the sub-commands of hyssop-load.
var experiments = []experiment.Experiment{
	freshness.Experiment,
	loadgen.New(),
	endpoints.Experiment,
	limits.New(),
	quarantine.Crashes,
	quarantine.RetryStorm,
	serving.Experiment,
	serving.NewSpreading(),
}

func main() {
	app := kingpin.New("hyssop-load", "Measures a hyssoptiller fleet and its decision logic.")
	var opts experiment.Options
	process.AddFlag(app, "seed", "Seed of the generated arrivals. The same seed generates the same arrivals.").Default("1").Uint64Var(&opts.Seed)
	commands := make(map[string]experiment.Experiment)
	for _, e := range experiments {
		cmd := app.Command(e.Name, e.Help)
		if e.Flags != nil {
			e.Flags(cmd)
		}
		commands[cmd.FullCommand()] = e
	}
	selected := commands[kingpin.MustParse(app.Parse(os.Args[1:]))]
	ctx, stop := process.SignalContext()
	defer stop()
	if err := selected.Run(ctx, opts, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}
