// Package schedule gives each attempt its turn on the endpoint: it waits for
// capacity and for the adapter build to be resident.
//
// Service is the Scheduler. It puts the decisions of policy/fairqueue (who runs
// next) and policy/slots (which builds the engine holds) to work: it keeps the
// waiting attempts, gives orders to the engine outside its lock, and tells each
// attempt at once when its turn has come or will not come.
package schedule

import (
	"context"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Scheduler decides when an attempt may run on the endpoint.
type Scheduler interface {
	// Acquire waits until the job may run. Until the turn is released, its
	// adapter build stays resident. It returns a *refusal.Refusal with ran
	// "no" where the job cannot run here, or the context's error.
	Acquire(ctx context.Context, job wire.Job) (Turn, error)
	// Load returns what the agent reports on the answer to a job.
	Load(job wire.Job) wire.Load
	// EngineBooted tells that the engine runs under the given boot id. Where
	// the id differs from the last one, residency is forgotten and rebuilt.
	EngineBooted(boot ident.BootID)
}

// Turn is the right to run one attempt.
type Turn interface {
	// Release ends the turn and tells how many tokens the attempt took. It is
	// called once.
	Release(usedTokens int64)
}

// LoadPermits rations adapter loads over the whole fleet.
type LoadPermits interface {
	// Acquire waits until one load may begin, or returns the context's error.
	// The returned function ends the permit; it is called once.
	Acquire(ctx context.Context) (release func(), err error)
}

// UnlimitedLoads is a LoadPermits that never waits, for tests.
type UnlimitedLoads struct{}

// Acquire implements LoadPermits.
func (UnlimitedLoads) Acquire(ctx context.Context) (func(), error) {
	return func() {}, ctx.Err()
}
