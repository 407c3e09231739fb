// Command hyssop-router is the gateway for callers. It forwards their requests to
// the schedulers of model engines (command hyssop-scheduler) and to plain services.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/router"
)

func main() {
	app := kingpin.New("hyssop-router", "Serves callers and forwards their requests to endpoints.")
	var s router.Settings
	addFlags(app, &s)
	// Parse fills s from the flags before it calls the check.
	level := process.Parse(app, func() error { return s.Check() })
	o := process.Options{Name: app.Name, VM: s.VM, MemoryMB: s.MemoryMB, Level: level}
	os.Exit(process.Serve(o, func(ctx context.Context, log *logrus.Entry) error {
		return router.New(s, log).Serve(ctx)
	}))
}

func addFlags(app *kingpin.Application, s *router.Settings) {
	process.AddFlag(app, "vm", "Name of this VM.").StringVar(&s.VM)
	process.AddFlag(app, "failure-domain", "Failure domain of this VM.").StringVar(&s.FailureDomain)
	process.AddFlag(app, "callers", "Listen address for callers.").StringVar(&s.CallersAddress)
	process.AddFlag(app, "ready", "Listen address for the readiness check of the load balancer.").StringVar(&s.ReadyAddress)
	process.AddFlag(app, "peers", "Listen address for other routers.").StringVar(&s.PeersAddress)
	process.AddFlag(app, "admin", "Listen address for the metrics page.").StringVar(&s.AdminAddress)
	process.AddFlag(app, "store", "Address (host:port) of the platform's key-value store.").StringVar(&s.StoreAddress)
	process.AddFlag(app, "scheduler-port", "Port on which the scheduler of each engine VM listens.").IntVar(&s.SchedulerPort)
	process.AddFlag(app, "memory-mb", "Memory of this VM in MB; 0 sets no memory limit.").Default("0").IntVar(&s.MemoryMB)
	process.AddFlag(app, "max-fds", "File descriptors of this VM; 0 sets no limit for the connections of callers.").Default("0").IntVar(&s.MaxFDs)
	process.AddFlag(app, "link-mbps", "Rate of this VM's link in Mbit/s; 0 if unknown. Routers with faster links read the store for others.").Default("0").Float64Var(&s.LinkMbps)
	process.AddFlag(app, "cpu-share", "Share of a core that this VM has; 0 if unknown.").Default("0").Float64Var(&s.CPUShare)
	process.AddFlag(app, "grace", "Maximum time from SIGTERM until the process ends.").Default("8s").DurationVar(&s.ShutdownGrace)
	process.AddFlag(app, "drain-bound", "Maximum time for which a draining endpoint is still used.").Default("2s").DurationVar(&s.EndpointDrainBound)
	process.AddFlag(app, "config-bound", "Maximum time until a change of the configuration is in force.").Default("2s").DurationVar(&s.ConfigBound)
	process.AddFlag(app, "version-bound", "Time after the announcement of an adapter version from which no request may begin on a former one; that of the platform's bounds if empty.").SetValue(&s.VersionBound)
	process.AddFlag(app, "platform-bounds", "Bounds of the platform, as a JSON object; empty if there are none.").SetValue(&s.PlatformBounds)
	process.AddFlag(app, "evacuate-bound", "Maximum time until an evacuated failure domain gets no requests; 5s if empty or without a number.").SetValue(&s.EvacuateBound)
	process.AddFlag(app, "regions", "Region of each failure domain, as a JSON object; empty if there are none.").SetValue(&s.Regions)
	process.AddFlag(app, "retry-ratio", "Retries per request that all routers together may make.").Default("0.2").Float64Var(&s.RetryRatio)
	process.AddFlag(app, "retry-burst", "Retries in addition to the ratio that all routers together may make in a window.").Default("40").Float64Var(&s.RetryBurst)
}
