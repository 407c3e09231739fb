package router

import (
	"cmp"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/versionbound"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

// Settings configures a router.
type Settings struct {
	VM                 string
	FailureDomain      string        // Failure domain of the VM.
	CallersAddress     string        // Listen address for callers.
	ReadyAddress       string        // Listen address of the readiness check.
	PeersAddress       string        // Listen address for other routers.
	AdminAddress       string        // Listen address of the metrics.
	StoreAddress       string        // Address of the key-value store.
	SchedulerPort      int           // Port of the schedulers on the engines' VMs.
	MemoryMB           int           // Memory of the VM; 0 sets no limit.
	MaxFDs             int           // File descriptors of the VM; 0 sets no limit.
	LinkMbps           float64       // Rate of the VM's link; 0 if unknown.
	CPUShare           float64       // Share of a core that the VM has; 0 if unknown.
	ShutdownGrace      time.Duration // Time from SIGTERM to the exit of the process.
	EndpointDrainBound time.Duration // How long a draining endpoint may still be used.
	ConfigBound        time.Duration // Time in which a change of the configuration must be in force.
	// EvacuateBound is the time after the start of an evacuation from which no request may reach the failure domain. If it
	// is not set, defaultEvacuateBound applies, and adapters of lost engines are not replaced ahead of the requests.
	EvacuateBound settings.OptionalDuration
	// VersionBound is the time after the announcement of an adapter version from which no request may begin on a former one.
	// If it is not set, that of PlatformBounds applies, or versionbound.DefaultBound.
	VersionBound   settings.OptionalDuration
	PlatformBounds platform.Bounds
	// Regions are the regions of the failure domains. Endpoints of other domains get no requests that are restricted to
	// regions.
	Regions    settings.StringMap
	RetryRatio float64 // Retries per request that all routers together may make.
	RetryBurst float64 // Retries beyond the ratio that all routers together may make in any window.
}

// defaultEvacuateBound is the bound of today's deployments.
const defaultEvacuateBound = 5 * time.Second

// versionBound returns the bound that applies.
func (s Settings) versionBound() time.Duration {
	return s.VersionBound.Or(cmp.Or(s.PlatformBounds.Version, versionbound.DefaultBound))
}

// Check returns an error that lists all invalid settings, or nil.
func (s Settings) Check() error {
	var c settings.Checker
	c.RequireName("vm", s.VM)
	c.RequireName("failure-domain", s.FailureDomain)
	c.RequireAddress("callers", s.CallersAddress)
	c.RequireAddress("ready", s.ReadyAddress)
	c.RequireAddress("peers", s.PeersAddress)
	c.RequireAddress("admin", s.AdminAddress)
	c.RequireAddress("store", s.StoreAddress)
	c.RequireAtLeast("scheduler-port", int64(s.SchedulerPort), 1)
	c.RequireAtLeast("memory-mb", int64(s.MemoryMB), 0)
	c.RequireAtLeast("max-fds", int64(s.MaxFDs), 0)
	c.RequireNotNegative("link-mbps", s.LinkMbps)
	c.RequireNotNegative("cpu-share", s.CPUShare)
	c.RequirePositive("grace", s.ShutdownGrace)
	c.RequirePositive("drain-bound", s.EndpointDrainBound)
	c.RequirePositive("config-bound", s.ConfigBound)
	c.RequirePositive("evacuate-bound", s.EvacuateBound.Or(defaultEvacuateBound))
	c.RequirePositive("version-bound", s.versionBound())
	return c.Err()
}
