package agent

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/permits"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// DefaultClaimRetention is how long an Idempotency-Key is remembered.
const DefaultClaimRetention = 24 * time.Hour

// Limits of adapter loads over the whole fleet.
const (
	DefaultLoadsPerSecond = 4
	DefaultLoadsInFlight  = 8
)

// Settings are the agent's settings, as flags and variables give them.
type Settings struct {
	VM              ident.VM
	FailureDomain   ident.FailureDomain
	Region          ident.Region
	FleetAddress    string // Listen address for entries.
	AdminAddress    string // Listen address for health and metrics.
	StoreAddress    string // Address of the key-value service.
	EndpointAddress string // Address of the endpoint.
	ChecksFence     bool   // Whether the endpoint refuses orders with an old fencing number.
	Slots           int    // Adapter builds that the engine holds at once; 0 for a plain service.
	Capacity        int    // Attempts that the endpoint runs at once.
	Security        transport.Security
	OrderTimeout    time.Duration
	DrainTimeout    time.Duration
	StoreTimeout    time.Duration
	ClaimRetention  time.Duration // How long an Idempotency-Key is remembered; DefaultClaimRetention where 0.
	VMListURL       string        // URL of the platform's VM list; not read where empty.
	LoadsPerSecond  int64         // Adapter loads that may begin in a second over the whole fleet; DefaultLoadsPerSecond where 0.
	LoadsInFlight   int64         // Adapter loads that may run at once over the whole fleet; DefaultLoadsInFlight where 0.
	MaxBodyBytes    int64
	TimelineEvents  int // Events that the time line keeps.
}

// setLoadDefaults fills in the limits of adapter loads.
func (s *Settings) setLoadDefaults() {
	if s.LoadsPerSecond == 0 {
		s.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if s.LoadsInFlight == 0 {
		s.LoadsInFlight = DefaultLoadsInFlight
	}
}

// Check returns what is wrong with the settings, a line for each.
func (s Settings) Check() error {
	var c settings.Checker
	c.Name("vm", string(s.VM))
	c.Name("failure-domain", string(s.FailureDomain))
	c.Name("region", string(s.Region))
	c.Address("fleet", s.FleetAddress)
	c.Address("admin", s.AdminAddress)
	c.Address("store", s.StoreAddress)
	c.Address("endpoint", s.EndpointAddress)
	c.AtLeast("slots", int64(s.Slots), 0)
	c.AtLeast("capacity", int64(s.Capacity), 1)
	c.Check("fleet-secret", s.Security.Check())
	c.Positive("order-timeout", s.OrderTimeout)
	c.Positive("drain-timeout", s.DrainTimeout)
	c.Positive("store-timeout", s.StoreTimeout)
	c.AtLeast("claim-retention", int64(s.ClaimRetention), 0)
	if s.VMListURL != "" {
		c.URL("vm-list", s.VMListURL)
	}
	if s.OrderTimeout > permits.MaxLoadTime {
		c.Problemf("order-timeout", "%s is above %s, the longest time that a load permit covers", s.OrderTimeout, permits.MaxLoadTime)
	}
	c.AtLeast("loads-per-second", s.LoadsPerSecond, 0)
	c.AtLeast("loads-in-flight", s.LoadsInFlight, 0)
	c.AtLeast("max-body-bytes", s.MaxBodyBytes, 1)
	c.AtLeast("timeline-events", int64(s.TimelineEvents), 1)
	return c.Err()
}
