// Command hyssop-demo runs a small fleet in one process on loopback addresses. It
// prints a line that begins with "ready" when the fleet accepts requests.
package main

import (
	"fmt"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/demo"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

const exitFailure = 1

func main() {
	app := kingpin.New("hyssop-demo", "Runs a small fleet in one process on loopback addresses.")
	callers := process.AddFlag(app, "callers", "Listen addresses for callers, separated by commas. Each address starts one entry.").
		Default("127.0.0.1:8080,127.0.0.1:8081").String()
	operators := process.AddFlag(app, "operators", "Listen address of the first entry for operators.").Default("127.0.0.1:8090").String()
	level := process.AddLevelFlag(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
	log := process.NewLogger(os.Stderr, process.ParseLevel(*level), "hyssop-demo")
	d, err := demo.New(demo.Options{
		Callers:   strings.Split(*callers, ","),
		Operators: *operators,
		TokenTime: demo.EngineTokenTime,
		LoadTime:  demo.EngineLoadTime,
		Log:       log,
	})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
	if err := run(d); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// run serves until SIGTERM or SIGINT, and prints the ready line.
func run(d *demo.Demo) error {
	ctx, stop := process.SignalContext()
	defer stop()
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx) }()
	if err := d.WaitReady(ctx); err != nil {
		return <-done
	}
	fmt.Printf("ready callers=%s operators=%s operators-token=%s\n",
		strings.Join(d.CallersAddresses(), ","), d.OperatorsAddress(), demo.OperatorsToken)
	return <-done
}
