// Package schedule decides when each attempt may run on the endpoint. An
// attempt waits for free capacity and for its adapter build to be resident.
//
// Service implements Scheduler. It holds the waiting attempts in a
// fairqueue.Queue, which decides the order in which they run, and tracks the
// engine's adapter slots in a slots.Machine, which decides what to load and
// unload.
//
// Invariants:
//   - At most Options.Capacity attempts run at once.
//   - No build is unloaded while an attempt runs on it.
//   - Orders are sent to the engine without the Service's lock held.
//   - An attempt that cannot be served here is refused as soon as that is
//     certain, so that the entry can try another endpoint.
package schedule

import (
	"context"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Scheduler decides when an attempt may run on the endpoint.
type Scheduler interface {
	// Acquire blocks until the job may run. The job's adapter build stays
	// resident until the grant is released. Acquire returns a *refusal.Refusal
	// with ran "no" if the job cannot run here, or the error of ctx.
	Acquire(ctx context.Context, job wire.Job) (Grant, error)
	// Load returns the endpoint's load to report with the response to a job.
	Load(job wire.Job) wire.Load
	// HandleBoot reports the boot id under which the engine runs. If it differs
	// from the previous one, the recorded residency is discarded and read again
	// from the engine.
	HandleBoot(boot ident.BootID)
}

// Grant is the right to run one attempt on the endpoint.
type Grant interface {
	// Release returns the grant and reports how many tokens the attempt used.
	// It must be called exactly once.
	Release(usedTokens int64)
}

// LoadPermits limits adapter loads over the whole fleet.
type LoadPermits interface {
	// Acquire blocks until one load may begin, or returns the error of ctx.
	// The caller calls release exactly once, when the load has ended.
	Acquire(ctx context.Context) (release func(), err error)
}

// UnlimitedLoads is a LoadPermits that never blocks. It is used in tests and
// if there is no entry to reserve permits from.
type UnlimitedLoads struct{}

// Acquire implements LoadPermits.
func (UnlimitedLoads) Acquire(ctx context.Context) (func(), error) {
	return func() {}, ctx.Err()
}
