package entry

import (
	"sync"

	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// Reasons why an entry is not ready.
const (
	reasonDraining = "draining"
	reasonConfig   = "no configuration yet"
	reasonLimits   = "limits cannot be counted yet"
)

// readiness joins what an entry needs before callers may be sent to it. Once
// it drains it stays not ready.
type readiness struct {
	ready *process.Ready

	mu         sync.Mutex
	configured bool // A configuration is in force.
	counting   bool // The fleet-wide limits can be counted.
	draining   bool
}

func newReadiness() *readiness {
	return &readiness{ready: process.NewReady(reasonConfig)}
}

func (r *readiness) setConfigured() {
	r.update(func() { r.configured = true })
}

func (r *readiness) setCounting() {
	r.update(func() { r.counting = true })
}

func (r *readiness) setDraining() {
	r.update(func() { r.draining = true })
}

func (r *readiness) update(change func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change()
	switch {
	case r.draining:
		r.ready.Not(reasonDraining)
	case !r.configured:
		r.ready.Not(reasonConfig)
	case !r.counting:
		r.ready.Not(reasonLimits)
	default:
		r.ready.Set()
	}
}
