// Package schedule gives each attempt its turn on the endpoint: it waits for
// capacity and for the adapter build to be resident.
package schedule

import (
	"context"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
)

// Scheduler decides when an attempt may run on the endpoint.
type Scheduler interface {
	// Acquire waits until the job may run. Until the turn is released, its
	// adapter build stays resident. It returns a *refusal.Refusal with ran
	// "no" where the job cannot run here, or the context's error.
	Acquire(ctx context.Context, job wire.Job) (Turn, error)
	// Load returns what the agent reports on each answer.
	Load() Load
}

// Turn is the right to run one attempt.
type Turn interface {
	// Release ends the turn. It is called once.
	Release()
}

// Load is an agent's load as it rides on answers.
type Load struct {
	Running      int   // Attempts on the endpoint.
	Queued       int   // Attempts that wait.
	QueuedTokens int64 // Tokens that the waiting attempts may take.
}
