package router

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// Settings configures a router.
type Settings struct {
	VM             string
	Domain         string        // Failure domain.
	CallersAddress string        // Listen address for callers.
	ReadyAddress   string        // Listen address of the readiness check.
	PeersAddress   string        // Listen address for other routers.
	AdminAddress   string        // Listen address of the metrics.
	StoreAddress   string        // Address of the key-value store.
	SchedulerPort  int           // Port of the schedulers on the engines' VMs.
	MemoryMB       int           // Memory of the VM; 0 sets no limit.
	Grace          time.Duration // Time from SIGTERM to the exit of the process.
	DrainBound     time.Duration // How long a draining endpoint may still be used.
	RetryRatio     float64       // Retries per request that all routers together may make.
	RetryBurst     float64       // Retries beyond the ratio that all routers together may make in any window.
}

// Check returns an error that lists all invalid settings, or nil.
func (s Settings) Check() error {
	var c settings.Checker
	c.Name("vm", s.VM)
	c.Name("failure-domain", s.Domain)
	c.Address("callers", s.CallersAddress)
	c.Address("ready", s.ReadyAddress)
	c.Address("peers", s.PeersAddress)
	c.Address("admin", s.AdminAddress)
	c.Address("store", s.StoreAddress)
	c.AtLeast("scheduler-port", int64(s.SchedulerPort), 1)
	c.AtLeast("memory-mb", int64(s.MemoryMB), 0)
	c.Positive("grace", s.Grace)
	c.Positive("drain-bound", s.DrainBound)
	return c.Err()
}
