package entry

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
)

// Settings are the entry's settings, as flags and variables give them.
type Settings struct {
	VM               ident.VM
	FailureDomain    ident.FailureDomain
	Region           ident.Region
	CallersAddress   string // Listen address for callers.
	OperatorsAddress string // Listen address for operators.
	OperatorsToken   string // Credential that operators show.
	FleetAddress     string // Listen address for other processes of the fleet.
	AdminAddress     string // Listen address for health and metrics.
	StoreAddress     string // Address of the key-value service.
	VMListURL        string // URL of the platform's VM list.
	Security         transport.Security
	MaxBodyBytes     int64
	RequestTimeout   time.Duration // Longest time for one request.
	BodyTimeout      time.Duration // Longest time to send a request's body.
	WriteTimeout     time.Duration // Longest time to read one part of an answer.
	DrainDelay       time.Duration // Between failing /readyz and closing the listeners.
	DrainTimeout     time.Duration // Longest time that running requests get at shutdown.
	StoreTimeout     time.Duration
	VMListInterval   time.Duration
	VMListLag        time.Duration // Longest time until the VM list shows a change.
	TimelineEvents   int           // Events that the time line keeps.
}

const minOperatorsToken = 16

// Check returns what is wrong with the settings, a line for each.
func (s Settings) Check() error {
	var c settings.Checker
	c.Name("vm", string(s.VM))
	c.Name("failure-domain", string(s.FailureDomain))
	c.Name("region", string(s.Region))
	c.Address("callers", s.CallersAddress)
	c.Address("operators", s.OperatorsAddress)
	if len(s.OperatorsToken) < minOperatorsToken {
		c.Problemf("operators-token", "give at least %d characters", minOperatorsToken)
	}
	c.Address("fleet", s.FleetAddress)
	c.Address("admin", s.AdminAddress)
	c.Address("store", s.StoreAddress)
	c.URL("vm-list", s.VMListURL)
	c.Check("fleet-secret", s.Security.Check())
	c.AtLeast("max-body-bytes", s.MaxBodyBytes, 1)
	c.Positive("request-timeout", s.RequestTimeout)
	c.Positive("body-timeout", s.BodyTimeout)
	c.Positive("write-timeout", s.WriteTimeout)
	c.AtLeast("drain-delay", s.DrainDelay.Nanoseconds(), 0)
	c.Positive("drain-timeout", s.DrainTimeout)
	c.Positive("store-timeout", s.StoreTimeout)
	c.Positive("vm-list-interval", s.VMListInterval)
	if s.VMListInterval > limit.PauseLimit {
		c.Problemf("vm-list-interval", "%s is above %s, within which an entry must see that it is off the list", s.VMListInterval, limit.PauseLimit)
	}
	c.Positive("vm-list-lag", s.VMListLag)
	c.AtLeast("timeline-events", int64(s.TimelineEvents), 1)
	return c.Err()
}
