package entry

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// Settings holds the entry's settings from flags and environment variables.
type Settings struct {
	VM               ident.VM
	FailureDomain    ident.FailureDomain
	Region           ident.Region
	CallersAddress   string // Listen address for callers.
	OperatorsAddress string // Listen address for operators.
	OperatorsToken   string // Bearer token of the operators.
	FleetAddress     string // Listen address for other processes of the fleet.
	AdminAddress     string // Listen address for health and metrics.
	StoreAddress     string // Address of the key-value service.
	VMListURL        string // URL of the platform's VM list.
	Security         transport.Security
	MemoryMB         int // Memory of the VM in MB; 0 sets no limit.
	MaxFDs           int // File descriptors of the VM; 0 sets no limit for the connections of callers.
	MaxBodyBytes     int64
	RequestTimeout   time.Duration // Maximum duration of one request.
	BodyTimeout      time.Duration // Maximum duration of receiving a request's body.
	WriteTimeout     time.Duration // Maximum duration of writing one part of a response to a caller.
	DrainDelay       time.Duration // Delay between failing /readyz and closing the callers' listener.
	DrainTimeout     time.Duration // Maximum time for running requests to finish at shutdown.
	StoreTimeout     time.Duration // Maximum duration of one call to the key-value service.
	VMListInterval   time.Duration // Interval between reads of the VM list.
	VMListLag        time.Duration // Maximum time until the VM list shows a change.
	TimelineEvents   int           // Number of events that the timeline keeps.
}

const minOperatorsTokenBytes = 16

// Check returns an error with one line for each invalid setting, or nil.
func (s Settings) Check() error {
	var c settings.Checker
	c.RequireName("vm", string(s.VM))
	c.RequireName("failure-domain", string(s.FailureDomain))
	c.RequireName("region", string(s.Region))
	c.RequireAddress("callers", s.CallersAddress)
	c.RequireAddress("operators", s.OperatorsAddress)
	if len(s.OperatorsToken) < minOperatorsTokenBytes {
		c.Problemf("operators-token", "give at least %d characters", minOperatorsTokenBytes)
	}
	c.RequireAddress("fleet", s.FleetAddress)
	c.RequireAddress("admin", s.AdminAddress)
	c.RequireAddress("store", s.StoreAddress)
	c.RequireURL("vm-list", s.VMListURL)
	c.AddError("fleet-secret", s.Security.Validate())
	c.RequireAtLeast("memory-mb", int64(s.MemoryMB), 0)
	c.RequireAtLeast("max-fds", int64(s.MaxFDs), 0)
	c.RequireAtLeast("max-body-bytes", s.MaxBodyBytes, 1)
	c.RequirePositive("request-timeout", s.RequestTimeout)
	c.RequirePositive("body-timeout", s.BodyTimeout)
	c.RequirePositive("write-timeout", s.WriteTimeout)
	c.RequireAtLeast("drain-delay", s.DrainDelay.Nanoseconds(), 0)
	c.RequirePositive("drain-timeout", s.DrainTimeout)
	c.RequirePositive("store-timeout", s.StoreTimeout)
	c.RequirePositive("vm-list-interval", s.VMListInterval)
	if s.VMListInterval > limit.MaxHeartbeatGap {
		c.Problemf("vm-list-interval",
			"%s is above the maximum of %s: an entry must notice within that time that it was removed from the VM list",
			s.VMListInterval, limit.MaxHeartbeatGap)
	}
	c.RequirePositive("vm-list-lag", s.VMListLag)
	c.RequireAtLeast("timeline-events", int64(s.TimelineEvents), 1)
	return c.Err()
}
