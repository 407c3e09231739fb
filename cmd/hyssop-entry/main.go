// Command hyssop-entry serves the requests of callers and operators on an entry VM.
package main

import (
	"net"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/sockopt"
)

func main() {
	var s entry.Settings
	app := kingpin.New("hyssop-entry", "Serves callers and operators of a hyssoptiller fleet.")
	addFlags(app, &s)
	check := func() error { return s.Check() }
	process.Main(app, check, func(log *logrus.Entry) error {
		return run(s, log.WithField("vm", s.VM))
	})
}

func addFlags(app *kingpin.Application, s *entry.Settings) {
	process.AddFlag(app, "vm", "Name of this VM on the VM list.").StringVar((*string)(&s.VM))
	process.AddFlag(app, "failure-domain", "Failure domain of this VM.").StringVar((*string)(&s.FailureDomain))
	process.AddFlag(app, "region", "Region of this VM.").Default("region-1").StringVar((*string)(&s.Region))
	process.AddFlag(app, "callers", "Listen address for callers.").Default("127.0.0.1:8080").StringVar(&s.CallersAddress)
	process.AddFlag(app, "operators", "Listen address for operators.").Default("127.0.0.1:8090").StringVar(&s.OperatorsAddress)
	process.AddFlag(app, "operators-token", "Token with which operators authenticate, at least 16 characters.").StringVar(&s.OperatorsToken)
	process.AddFlag(app, "fleet", "Listen address for other processes of the fleet.").Default("127.0.0.1:7000").StringVar(&s.FleetAddress)
	process.AddFlag(app, "admin", "Listen address for /healthz, /readyz and /metrics.").Default("127.0.0.1:9090").StringVar(&s.AdminAddress)
	process.AddFlag(app, "store", "Address (host:port) of the key-value service.").Default("127.0.0.1:8500").StringVar(&s.StoreAddress)
	process.AddFlag(app, "vm-list", "URL of the platform's VM list.").Default("http://127.0.0.1:8501/vms").StringVar(&s.VMListURL)
	process.AddSecurityFlags(app, &s.Security)
	process.AddFlag(app, "memory-mb", "Memory of this VM in MB; 0 sets no memory limit.").Default("0").IntVar(&s.MemoryMB)
	process.AddFlag(app, "max-fds", "File descriptors of this VM; 0 sets no limit for the connections of callers.").Default("0").IntVar(&s.MaxFDs)
	process.AddFlag(app, "max-body-bytes", "Maximum size of a request body in bytes.").Default("4194304").Int64Var(&s.MaxBodyBytes)
	process.AddFlag(app, "request-timeout", "Maximum time for one request.").Default("5m").DurationVar(&s.RequestTimeout)
	process.AddFlag(app, "body-timeout", "Maximum time for a caller to send the body of a request.").Default("30s").DurationVar(&s.BodyTimeout)
	process.AddFlag(app, "write-timeout", "Maximum time for a caller to read one part of a response.").Default("30s").DurationVar(&s.WriteTimeout)
	process.AddFlag(app, "drain-delay", "Time at shutdown between the failure of /readyz and the closing of the listeners.").Default("5s").DurationVar(&s.DrainDelay)
	process.AddFlag(app, "drain-timeout", "Maximum time for running requests to finish at shutdown.").Default("5m").DurationVar(&s.DrainTimeout)
	process.AddFlag(app, "store-timeout", "Maximum time for one call to the key-value service.").Default("2s").DurationVar(&s.StoreTimeout)
	process.AddFlag(app, "vm-list-interval", "Interval at which the VM list is read.").Default("2s").DurationVar(&s.VMListInterval)
	process.AddFlag(app, "vm-list-lag", "Maximum time until a change appears on the VM list.").Default("30s").DurationVar(&s.VMListLag)
	process.AddFlag(app, "timeline-events", "Maximum number of events that the timeline keeps.").Default("8192").IntVar(&s.TimelineEvents)
}

func run(s entry.Settings, log *logrus.Entry) error {
	if s.MemoryMB > 0 {
		process.LimitMemory(s.MemoryMB)
	}
	listeners := make([]net.Listener, 0, 4)
	for _, address := range []string{s.CallersAddress, s.OperatorsAddress, s.FleetAddress, s.AdminAddress} {
		l, err := process.ListenBuffered(address, sockopt.BytesOfVM(s.MemoryMB))
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
	}
	e, err := entry.New(entry.Options{
		Settings:          s,
		Store:             store.NewConsul(store.ConsulOptions{Address: s.StoreAddress, Prefix: "hyssop/", Timeout: s.StoreTimeout}),
		VMList:            vmlist.NewClient(s.VMListURL, s.StoreTimeout),
		CallersListener:   listeners[0],
		OperatorsListener: listeners[1],
		FleetListener:     listeners[2],
		AdminListener:     listeners[3],
		Log:               log,
	})
	if err != nil {
		return err
	}
	ctx, stop := process.SignalContext()
	defer stop()
	log.Info("started")
	return e.Serve(ctx)
}
