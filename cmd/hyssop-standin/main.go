// Command hyssop-standin runs a stand-in for one service of the platform or for one
// endpoint. With stand-ins, a fleet of separate processes can run on one machine.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	platformvmlist "github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/demo"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/kv"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/service"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/vmlist"
)

const (
	exitFailure = 1
	grace       = time.Second // Maximum time for running requests to finish at shutdown.
)

func main() {
	app := kingpin.New("hyssop-standin", "Runs a stand-in for a service of the platform or for an endpoint.")
	listen := process.AddFlag(app, "listen", "Listen address.").Default("127.0.0.1:8500").String()

	storeCommand := app.Command("store", "Runs the key-value service. PUT /fault/NAME sets its fault to none, down, answer-lost or write-lost. PUT /fault/slow?delay=200ms delays its calls.")
	seed := storeCommand.Flag("seed", "Store the lists and keys of the demo at start.").Bool()

	listCommand := app.Command("vm-list", "Runs the VM list. A PUT request replaces the list.")
	file := listCommand.Flag("file", "JSON file with the initial list.").ExistingFile()
	lag := listCommand.Flag("lag", "Time until a change appears on the list.").Default("5s").Duration()

	engineCommand := app.Command("engine", "Runs a model engine.")
	var opts engine.Options
	engineCommand.Flag("slots", "Number of adapter slots.").Default("8").IntVar(&opts.Slots)
	engineCommand.Flag("load-time", "Duration of an adapter load.").Default("250ms").DurationVar(&opts.LoadTime)
	engineCommand.Flag("token-time", "Time per output token.").Default("20ms").DurationVar(&opts.TokenTime)
	engineCommand.Flag("checks-fence", "Refuse orders with an outdated fencing token.").BoolVar(&opts.ChecksFencingToken)
	engineCommand.Flag("crash-marker", "A request with this text in its body crashes the engine.").StringVar(&opts.CrashMarker)

	serviceCommand := app.Command("service", "Runs an instance of the booking service, a plain service.")

	var handler http.Handler
	var err error
	switch kingpin.MustParse(app.Parse(os.Args[1:])) {
	case storeCommand.FullCommand():
		handler, err = newStore(*seed)
	case listCommand.FullCommand():
		handler, err = newList(*file, *lag)
	case engineCommand.FullCommand():
		handler = engine.NewServer(opts)
	case serviceCommand.FullCommand():
		handler = service.NewServer()
	}
	if err == nil {
		err = serve(*listen, handler)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailure)
	}
}

// newStore returns the handler of the key-value service.
func newStore(seed bool) (http.Handler, error) {
	memory := store.NewMemory()
	ctx, stop := process.SignalContext()
	defer stop()
	if seed {
		if err := demo.Seed(ctx, memory); err != nil {
			return nil, err
		}
	}
	return kv.NewServer(memory), nil
}

// newList returns the handler of the VM list. The file contains the initial rows as
// a JSON array; the list is empty if file is "".
func newList(file string, lag time.Duration) (http.Handler, error) {
	var vms []platformvmlist.VM
	if file != "" {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, err
		}
		if err := json.Unmarshal(data, &vms); err != nil {
			return nil, fmt.Errorf("%s is not a JSON array of VMs: %w", file, err)
		}
	}
	return vmlist.NewServer(lag, vms...), nil
}

// serve serves handler at address until SIGTERM or SIGINT.
func serve(address string, handler http.Handler) error {
	l, err := process.Listen(address)
	if err != nil {
		return err
	}
	ctx, stop := process.SignalContext()
	defer stop()
	fmt.Printf("listening on %s\n", l.Addr())
	err = process.NewHTTPServer("stand-in", l, handler, grace).Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}
