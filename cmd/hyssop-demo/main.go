// Command hyssop-demo runs a whole small fleet in one process on loopback.
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
	app := kingpin.New("hyssop-demo", "Runs a whole small fleet in one process on loopback.")
	callers := process.Flag(app, "callers", "Callers' addresses, one for each entry, separated by commas.").
		Default("127.0.0.1:8080,127.0.0.1:8081").String()
	operators := process.Flag(app, "operators", "Operators' address.").Default("127.0.0.1:8090").String()
	level := process.LevelFlag(app)
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
