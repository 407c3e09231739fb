package entry

import (
	"sync"

	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// Reasons for an entry not to be ready.
const (
	reasonDraining = "draining"
	reasonConfig   = "no configuration is in force yet"
	reasonLimits   = "fleet-wide limits cannot be counted yet"
)

// readiness combines the conditions for an entry to receive callers. A draining
// entry does not become ready again.
type readiness struct {
	status *process.Readiness

	mu          sync.Mutex
	configured  bool // Whether a configuration is in force.
	limitsReady bool // Whether the fleet-wide limits can be counted.
	draining    bool
}

func newReadiness() *readiness {
	return &readiness{status: process.NewReadiness(reasonConfig)}
}

func (r *readiness) setConfigured() {
	r.update(func() { r.configured = true })
}

func (r *readiness) setLimitsReady() {
	r.update(func() { r.limitsReady = true })
}

func (r *readiness) setDraining() {
	r.update(func() { r.draining = true })
}

// update applies change and sets the resulting state or the first reason
// against readiness.
func (r *readiness) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	switch {
	case r.draining:
		r.status.SetNotReady(reasonDraining)
	case !r.configured:
		r.status.SetNotReady(reasonConfig)
	case !r.limitsReady:
		r.status.SetNotReady(reasonLimits)
	default:
		r.status.SetReady()
	}
}
