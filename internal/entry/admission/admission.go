// Package admission decides whether a request fits its organisation's rate
// and burst.
//
// A request is admitted only with a reservation of its tokens. If the tokens
// cannot be counted, the request is refused.
package admission

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Limiter reserves tokens of an organisation's rate and burst. Both limits
// apply to the sum over all VMs.
type Limiter interface {
	// Reserve reserves tokens for one request. It returns a *Limited error if
	// the tokens are not available now, and ErrUncounted if they cannot be
	// counted.
	Reserve(ctx context.Context, limits config.OrganisationLimits, tokens int64) (Reservation, error)
}

// Reservation is a successful reservation.
type Reservation interface {
	// Settle ends the reservation and gives back the reserved tokens that exceed
	// used. It must be called once.
	Settle(used int64)
}

// Limited is the error for a request that exceeds its organisation's limits.
type Limited struct {
	RetryAfter   time.Duration // Estimated time until the tokens are available.
	ExceedsBurst bool          // Whether the request exceeds the burst, so that a retry cannot succeed.
}

// Error implements error.
func (l *Limited) Error() string {
	if l.ExceedsBurst {
		return "request needs more tokens than the organisation's burst"
	}
	return fmt.Sprintf("organisation's rate is exhausted, retry after %s", l.RetryAfter)
}

// Local is a Limiter that counts in this process only. It serves as a fake in
// tests.
type Local struct {
	mu       sync.Mutex
	limiters map[ident.Organisation]*rate.Limiter
}

// NewLocal returns a Local whose organisations have their full burst available.
func NewLocal() *Local {
	return &Local{limiters: make(map[ident.Organisation]*rate.Limiter)}
}

// Reserve implements Limiter.
func (l *Local) Reserve(_ context.Context, limits config.OrganisationLimits, tokens int64) (Reservation, error) {
	if tokens > limits.Burst {
		return nil, &Limited{ExceedsBurst: true}
	}
	r := l.limiter(limits).ReserveN(time.Now(), int(tokens))
	if !r.OK() {
		return nil, &Limited{ExceedsBurst: true}
	}
	if delay := r.Delay(); delay > 0 {
		r.Cancel()
		return nil, &Limited{RetryAfter: delay}
	}
	return localReservation{}, nil
}

func (l *Local) limiter(limits config.OrganisationLimits) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.limiters[limits.Organisation]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(limits.TokensPerSecond), int(limits.Burst))
		l.limiters[limits.Organisation] = limiter
	}
	return limiter
}

// localReservation is a Reservation of Local. All of its tokens count as used.
type localReservation struct{}

// Settle implements Reservation. It returns no tokens.
func (localReservation) Settle(int64) {}
