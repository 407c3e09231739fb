// Package admission decides whether a request fits its organisation's rate
// and burst.
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

// Limiter reserves tokens of an organisation's rate and burst, counted over
// all VMs.
type Limiter interface {
	// Reserve takes tokens for one request. It returns a *Limited error where
	// they are not to be had now.
	Reserve(ctx context.Context, tenant config.Tenant, tokens int64) (Grant, error)
}

// Grant is a reservation that was given.
type Grant interface {
	// Settle ends the reservation: the tokens above used go back. It is called
	// once.
	Settle(used int64)
}

// Limited says that a request does not fit.
type Limited struct {
	RetryAfter   time.Duration // When the tokens may be there.
	ExceedsBurst bool          // True where the request can never fit.
}

// Error implements error.
func (l *Limited) Error() string {
	if l.ExceedsBurst {
		return "request is larger than the organisation's burst"
	}
	return fmt.Sprintf("organisation's rate used up, retry after %s", l.RetryAfter)
}

// Local is a Limiter that counts in this process only: the double for tests.
type Local struct {
	mu       sync.Mutex
	limiters map[ident.Organisation]*rate.Limiter
}

// NewLocal returns a Local with full buckets.
func NewLocal() *Local {
	return &Local{limiters: make(map[ident.Organisation]*rate.Limiter)}
}

// Reserve implements Limiter.
func (l *Local) Reserve(_ context.Context, tenant config.Tenant, tokens int64) (Grant, error) {
	if tokens > tenant.Burst {
		return nil, &Limited{ExceedsBurst: true}
	}
	r := l.limiter(tenant).ReserveN(time.Now(), int(tokens))
	if !r.OK() {
		return nil, &Limited{ExceedsBurst: true}
	}
	if delay := r.Delay(); delay > 0 {
		r.Cancel()
		return nil, &Limited{RetryAfter: delay}
	}
	return localGrant{}, nil
}

func (l *Local) limiter(tenant config.Tenant) *rate.Limiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	limiter, ok := l.limiters[tenant.Organisation]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(tenant.TokensPerSecond), int(tenant.Burst))
		l.limiters[tenant.Organisation] = limiter
	}
	return limiter
}

type localGrant struct{}

func (localGrant) Settle(int64) {}
