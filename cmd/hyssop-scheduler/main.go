// Command hyssop-scheduler is the scheduler of one model engine. It grants requests
// of routers the right to run on the engine and orders the engine to load and
// unload adapters.
package main

import (
	"context"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/scheduler"
)

func main() {
	app := kingpin.New("hyssop-scheduler", "Schedules requests and adapter loads on one model engine.")
	var s scheduler.Settings
	process.AddFlag(app, "vm", "Name of this VM.").StringVar(&s.VM)
	process.AddFlag(app, "failure-domain", "Failure domain of this VM.").StringVar(&s.FailureDomain)
	process.AddFlag(app, "service", "Name of the service that the engine belongs to.").StringVar(&s.Service)
	process.AddFlag(app, "engine", "Address (host:port) of the engine.").StringVar(&s.EngineAddress)
	process.AddFlag(app, "listen", "Listen address for routers.").StringVar(&s.ListenAddress)
	process.AddFlag(app, "admin", "Listen address for the metrics page.").StringVar(&s.AdminAddress)
	process.AddFlag(app, "store", "Address (host:port) of the platform's key-value store.").StringVar(&s.StoreAddress)
	process.AddFlag(app, "memory-mb", "Memory of this VM in MB; 0 sets no memory limit.").Default("0").IntVar(&s.MemoryMB)
	process.AddFlag(app, "version-bound", "Time after the announcement of an adapter version from which no request may begin on a former one; that of the platform's bounds if empty.").SetValue(&s.VersionBound)
	process.AddFlag(app, "platform-bounds", "Bounds of the platform, as a JSON object; empty if there are none.").SetValue(&s.PlatformBounds)
	// Parse fills s from the flags before it calls the check.
	level := process.Parse(app, func() error { return s.Check() })
	o := process.Options{Name: app.Name, VM: s.VM, MemoryMB: s.MemoryMB, Level: level}
	os.Exit(process.Serve(o, func(ctx context.Context, log *logrus.Entry) error {
		return scheduler.New(s, log).Serve(ctx)
	}))
}
