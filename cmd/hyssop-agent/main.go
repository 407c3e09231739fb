// Command hyssop-agent runs on the VM of one endpoint. It forwards the attempts of
// entries to the endpoint and is the only process that sends it orders.
package main

import (
	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/agent"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

func main() {
	var s agent.Settings
	app := kingpin.New("hyssop-agent", "Forwards attempts and sends orders to one endpoint of a hyssoptiller fleet.")
	addFlags(app, &s)
	check := func() error { return s.Check() }
	process.Main(app, check, func(log *logrus.Entry) error {
		return run(s, log.WithField("vm", s.VM))
	})
}

func addFlags(app *kingpin.Application, s *agent.Settings) {
	process.AddFlag(app, "vm", "Name of this VM on the VM list.").StringVar((*string)(&s.VM))
	process.AddFlag(app, "failure-domain", "Failure domain of this VM.").StringVar((*string)(&s.FailureDomain))
	process.AddFlag(app, "region", "Region of this VM.").Default("region-1").StringVar((*string)(&s.Region))
	process.AddFlag(app, "fleet", "Listen address for entries.").Default("127.0.0.1:7100").StringVar(&s.FleetAddress)
	process.AddFlag(app, "admin", "Listen address for /healthz, /readyz and /metrics.").Default("127.0.0.1:9100").StringVar(&s.AdminAddress)
	process.AddFlag(app, "store", "Address (host:port) of the key-value service.").Default("127.0.0.1:8500").StringVar(&s.StoreAddress)
	process.AddFlag(app, "endpoint", "Address (host:port) of the endpoint.").Default("127.0.0.1:8000").StringVar(&s.EndpointAddress)
	process.AddFlag(app, "endpoint-checks-fence", "Whether the endpoint refuses orders with an outdated fencing token.").BoolVar(&s.ChecksFencingToken)
	process.AddFlag(app, "slots", "Adapter slots of the engine; 0 for a plain service.").Default("8").IntVar(&s.Slots)
	process.AddFlag(app, "capacity", "Maximum number of attempts that run on the endpoint at the same time.").Default("32").IntVar(&s.Capacity)
	process.AddSecurityFlags(app, &s.Security)
	process.AddFlag(app, "order-timeout", "Maximum time for one order to the endpoint.").Default("30s").DurationVar(&s.OrderTimeout)
	process.AddFlag(app, "drain-timeout", "Maximum time for running attempts to finish at shutdown.").Default("5m").DurationVar(&s.DrainTimeout)
	process.AddFlag(app, "store-timeout", "Maximum time for one call to the key-value service.").Default("2s").DurationVar(&s.StoreTimeout)
	process.AddFlag(app, "claim-retention", "Time for which the claim of an Idempotency-Key is kept.").Default("24h").DurationVar(&s.ClaimRetention)
	process.AddFlag(app, "vm-list", "URL of the platform's VM list. The agent reads from it whether this VM is leaving and which processes grant load permits. If empty, no list is read.").StringVar(&s.VMListURL)
	process.AddFlag(app, "loads-per-second", "Maximum number of adapter loads that begin per second in the whole fleet.").Default("4").Int64Var(&s.LoadsPerSecond)
	process.AddFlag(app, "loads-in-flight", "Maximum number of adapter loads that run at the same time in the whole fleet.").Default("8").Int64Var(&s.LoadsInFlight)
	process.AddFlag(app, "max-body-bytes", "Maximum size of a request body in bytes.").Default("4194304").Int64Var(&s.MaxBodyBytes)
	process.AddFlag(app, "timeline-events", "Maximum number of events that the timeline keeps.").Default("8192").IntVar(&s.TimelineEvents)
}

func run(s agent.Settings, log *logrus.Entry) error {
	fleetListener, err := process.Listen(s.FleetAddress)
	if err != nil {
		return err
	}
	admin, err := process.Listen(s.AdminAddress)
	if err != nil {
		return err
	}
	var list vmlist.List
	if s.VMListURL != "" {
		list = vmlist.NewClient(s.VMListURL, s.StoreTimeout)
	}
	a, err := agent.New(agent.Options{
		VMList:        list,
		Settings:      s,
		Store:         store.NewConsul(store.ConsulOptions{Address: s.StoreAddress, Prefix: "hyssop/", Timeout: s.StoreTimeout}),
		FleetListener: fleetListener,
		AdminListener: admin,
		Log:           log,
	})
	if err != nil {
		return err
	}
	ctx, stop := process.SignalContext()
	defer stop()
	log.Info("started")
	return a.Serve(ctx)
}
