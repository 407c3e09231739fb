package process

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Stages runs a list of supervisors and ends them one at a time in reverse order.
// A program puts its request servers in a later stage than the services that they
// depend on, so that running requests can finish during a shutdown.
type Stages struct {
	supervisors []*suture.Supervisor
}

// NewStages returns Stages with the given supervisors. They start together and
// end in reverse order.
func NewStages(supervisors ...*suture.Supervisor) *Stages {
	return &Stages{supervisors: supervisors}
}

// Serve runs all stages until ctx ends or one stage returns, then stops them. If
// ctx ends, Serve calls beforeStop first, while all stages still run, and returns
// nil. Otherwise it returns the error of the stage that returned.
func (s *Stages) Serve(ctx context.Context, beforeStop func()) error {
	running := make([]stage, len(s.supervisors))
	failed := make(chan error, len(s.supervisors))
	for i, supervisor := range s.supervisors {
		running[i] = startStage(ctx, supervisor, failed)
	}
	var err error
	select {
	case <-ctx.Done():
		beforeStop()
	case err = <-failed:
	}
	for i := len(running) - 1; i >= 0; i-- {
		running[i].stop()
		<-running[i].done
	}
	return err
}

// stage is a running supervisor. done is closed when it has ended.
type stage struct {
	stop context.CancelFunc
	done chan struct{}
}

// startStage runs supervisor until the stop function of the stage is called. It
// sends the error of a supervisor that returns earlier to failed.
func startStage(ctx context.Context, supervisor *suture.Supervisor, failed chan<- error) stage {
	stageCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	s := stage{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		err := supervisor.Serve(stageCtx)
		if stageCtx.Err() == nil {
			failed <- err
		}
	}()
	return s
}
