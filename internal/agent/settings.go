package agent

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/permits"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// DefaultClaimRetention is the default time for which the claim of an
// Idempotency-Key is kept.
const DefaultClaimRetention = 24 * time.Hour

// Default limits of adapter loads over the whole fleet.
const (
	DefaultLoadsPerSecond = 4
	DefaultLoadsInFlight  = 8
)

// Settings are the agent's settings, which are read from flags and environment
// variables.
type Settings struct {
	VM                 ident.VM
	FailureDomain      ident.FailureDomain
	Region             ident.Region
	FleetAddress       string // Listen address for entries.
	AdminAddress       string // Listen address for health and metrics.
	StoreAddress       string // Address of the key-value store.
	EndpointAddress    string // Address of the endpoint.
	ChecksFencingToken bool   // Whether the endpoint refuses orders with an outdated fencing token.
	Slots              int    // Adapter builds that the engine holds at once; 0 for a plain service.
	Capacity           int    // Attempts that the endpoint runs at once.
	Security           transport.Security
	OrderTimeout       time.Duration // Timeout of one order to the endpoint.
	DrainTimeout       time.Duration // Longest time for running attempts to finish at shutdown.
	StoreTimeout       time.Duration // Timeout of one call to the store.
	ClaimRetention     time.Duration // Time for which the claim of an Idempotency-Key is kept; DefaultClaimRetention if 0.
	VMListURL          string        // URL of the platform's VM list; not read if empty.
	LoadsPerSecond     int64         // Adapter loads that may start per second over the whole fleet; DefaultLoadsPerSecond if 0.
	LoadsInFlight      int64         // Adapter loads that may run at once over the whole fleet; DefaultLoadsInFlight if 0.
	MaxBodyBytes       int64         // Size of the largest request body.
	TimelineEvents     int           // Events that the timeline keeps.
}

// setLoadDefaults replaces zero limits of adapter loads by the defaults.
func (s *Settings) setLoadDefaults() {
	if s.LoadsPerSecond == 0 {
		s.LoadsPerSecond = DefaultLoadsPerSecond
	}
	if s.LoadsInFlight == 0 {
		s.LoadsInFlight = DefaultLoadsInFlight
	}
}

// Check returns an error that lists all invalid settings, one per line, or nil.
func (s Settings) Check() error {
	var c settings.Checker
	c.RequireName("vm", string(s.VM))
	c.RequireName("failure-domain", string(s.FailureDomain))
	c.RequireName("region", string(s.Region))
	c.RequireAddress("fleet", s.FleetAddress)
	c.RequireAddress("admin", s.AdminAddress)
	c.RequireAddress("store", s.StoreAddress)
	c.RequireAddress("endpoint", s.EndpointAddress)
	c.RequireAtLeast("slots", int64(s.Slots), 0)
	c.RequireAtLeast("capacity", int64(s.Capacity), 1)
	c.AddError("fleet-secret", s.Security.Validate())
	c.RequirePositive("order-timeout", s.OrderTimeout)
	c.RequirePositive("drain-timeout", s.DrainTimeout)
	c.RequirePositive("store-timeout", s.StoreTimeout)
	c.RequireAtLeast("claim-retention", int64(s.ClaimRetention), 0)
	if s.VMListURL != "" {
		c.RequireURL("vm-list", s.VMListURL)
	}
	if s.OrderTimeout > permits.MaxLoadTime {
		c.Problemf("order-timeout",
			"%s is above %s, the longest load time that a load permit covers", s.OrderTimeout, permits.MaxLoadTime)
	}
	c.RequireAtLeast("loads-per-second", s.LoadsPerSecond, 0)
	c.RequireAtLeast("loads-in-flight", s.LoadsInFlight, 0)
	c.RequireAtLeast("max-body-bytes", s.MaxBodyBytes, 1)
	c.RequireAtLeast("timeline-events", int64(s.TimelineEvents), 1)
	return c.Err()
}
