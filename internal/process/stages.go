package process

import (
	"context"

	"github.com/thejerf/suture/v4"
)

// Stages runs supervisors that end one after the other: a later stage ends
// before an earlier one, so that what serves requests can finish them while
// all that it rests on still runs.
type Stages struct {
	supervisors []*suture.Supervisor
}

// NewStages returns Stages that end in the reverse order of the arguments.
func NewStages(supervisors ...*suture.Supervisor) *Stages {
	return &Stages{supervisors: supervisors}
}

// Serve runs all stages until ctx ends or one of them fails. Where ctx ends,
// beforeEnd runs first, with everything still running.
func (s *Stages) Serve(ctx context.Context, beforeEnd func()) error {
	running := make([]stage, len(s.supervisors))
	failed := make(chan error, len(s.supervisors))
	for i, supervisor := range s.supervisors {
		running[i] = begin(ctx, supervisor, failed)
	}
	var err error
	select {
	case <-ctx.Done():
		beforeEnd()
	case err = <-failed:
	}
	for i := len(running) - 1; i >= 0; i-- {
		running[i].stop()
		<-running[i].done
	}
	return err
}

// stage is a running supervisor.
type stage struct {
	stop context.CancelFunc
	done chan struct{}
}

func begin(ctx context.Context, supervisor *suture.Supervisor, failed chan<- error) stage {
	own, stop := context.WithCancel(context.WithoutCancel(ctx))
	s := stage{stop: stop, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		err := supervisor.Serve(own)
		if own.Err() == nil {
			failed <- err
		}
	}()
	return s
}
