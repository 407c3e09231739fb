package router

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/shutdown"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	// maxAcceptDuration is how long a draining router still accepts connections. The load balancer checks each second and
	// stops sending requests after two failed checks.
	maxAcceptDuration = 2600 * time.Millisecond
	// acceptShare bounds the same as a part of the grace period. The rest is for the requests that were accepted.
	acceptShare = 0.5
	// drainMargin is the part of the grace period reserved for the exit of the process.
	drainMargin = 300 * time.Millisecond
	// finalResponseMargin is reserved before it for the final responses of requests that have not finished.
	finalResponseMargin = 200 * time.Millisecond
)

// stopper ends the requests of a router that stops while there is time for their responses.
type stopper struct {
	grace time.Duration
	ctx   context.Context // Ends when requests get their final responses.
	stop  context.CancelFunc

	mu        sync.Mutex
	end       time.Time // When ctx ends; zero while the router does not stop.
	durations shutdown.Durations
}

func newStopper(grace time.Duration) *stopper {
	s := &stopper{grace: grace}
	s.ctx, s.stop = context.WithCancel(context.Background())
	return s
}

// begin starts the grace period at now.
func (s *stopper) begin(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	left := s.grace - drainMargin - finalResponseMargin
	s.end = now.Add(left)
	time.AfterFunc(left, s.stop)
}

// stopped reports whether requests get their final responses because the process ends.
func (s *stopper) stopped() bool { return s.ctx.Err() != nil }

// acceptDuration returns how long the router accepts connections after begin.
func (s *stopper) acceptDuration() time.Duration {
	return min(maxAcceptDuration, time.Duration(acceptShare*float64(s.grace)))
}

// record adds a request that got its response to the durations of its route.
func (s *stopper) record(route string, took time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.durations.Record(route, took, now)
}

// decide returns whether the request is taken, and its deadline.
func (s *stopper) decide(q *request, now time.Time) (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.end.IsZero() {
		return q.deadline, true
	}
	return shutdown.Decide(shutdown.Request{
		Deadline: q.deadline, Idempotent: q.route.Idempotent(), Longest: s.durations.Longest(q.route.Name, now),
	}, now, s.end)
}

// checkStop refuses a request that a stopping router cannot finish. It returns false if it has refused the request.
func (r *Router) checkStop(q *request) bool {
	deadline, taken := r.stopper.decide(q, time.Now())
	if !taken {
		r.refuse(q, refusal.CodeDraining, "The router stops before the request would end.", minRetryAfter)
		return false
	}
	q.deadline = deadline
	return true
}
