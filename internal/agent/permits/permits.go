// Package permits limits adapter loads over the whole fleet: the number of loads
// that start per second and the number in flight.
//
// Each limit is a fleet-wide account of package shares:
//   - The rate is a token bucket. Each load consumes one token.
//   - The loads in flight are an account of rate zero. A load reserves one token
//     and returns it when it ends.
//
// A permit that is not returned becomes free after limit.PermitLifetime. An agent
// therefore ends each load before that time, and starts none on a reservation
// whose response is older than limit.ResponseLifetime. So at most Limits.InFlight loads that have run for
// less than limit.PermitLifetime are in flight, even if agents crash, are paused
// or cannot reach the fleet. An engine may continue an order after its agent
// has ended. The bound covers that work only if the engine ends it within
// limit.PermitLifetime.
package permits

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	rateAccount     limit.Account = "loads/rate"
	inFlightAccount limit.Account = "loads/in-flight"
	// minRetryWait and maxRetryWait bound the wait between two reservations.
	minRetryWait = 10 * time.Millisecond
	maxRetryWait = time.Second
	// maxHold is the longest time for which an in-flight token is held before its
	// load starts.
	maxHold = 10 * time.Second
)

// MaxLoadTime is the longest run time of a load for which the load ends before
// its permit expires. The load may start maxHold after its in-flight token was
// reserved, on a response that is up to limit.ResponseLifetime old.
const MaxLoadTime = limit.PermitLifetime - maxHold - limit.ResponseLifetime

// errPermitHeldTooLong is returned if the process was paused for longer than
// maxHold while it held an in-flight token.
const errPermitHeldTooLong = errors.ConstError("in-flight token held too long before the load could start")

// Limits are the fleet-wide limits of adapter loads.
type Limits struct {
	PerSecond int64 // Loads that may start per second.
	InFlight  int64 // Loads that may run at once.
}

// Reserver reserves tokens of an account.
type Reserver interface {
	// Reserve reserves all of the tokens, or returns *shares.DeniedError.
	Reserve(ctx context.Context, account limit.Account, terms limit.Terms, tokens int64) (*shares.Reservation, error)
}

// Options configures New.
type Options struct {
	Reserver Reserver
	Limits   Limits
	Metrics  tally.Scope
}

// Permits implements schedule.LoadPermits. It is safe for concurrent use.
type Permits struct {
	opts    Options
	granted tally.Counter // Permits granted.
	waits   tally.Counter // Waits after a failed reservation.
}

// New returns a Permits that reserves from opts.Reserver.
func New(opts Options) *Permits {
	scope := opts.Metrics.SubScope("load_permits")
	return &Permits{opts: opts, granted: scope.Counter("given_permits"), waits: scope.Counter("waits")}
}

// Acquire implements schedule.LoadPermits. It reserves the in-flight token first,
// so that no token of the rate is consumed while all loads in flight are in use.
func (p *Permits) Acquire(ctx context.Context) (func(), error) {
	for {
		release, err := p.tryAcquire(ctx)
		if err == nil {
			p.granted.Inc(1)
			return release, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// tryAcquire reserves an in-flight token and then a token of the rate. It gives the
// in-flight token back and returns an error if the rate token takes longer than maxHold, because the
// load might then not end within limit.PermitLifetime.
func (p *Permits) tryAcquire(ctx context.Context) (func(), error) {
	inFlightToken, err := p.reserveOne(ctx, inFlightAccount, limit.Terms{Burst: p.opts.Limits.InFlight, Permits: true})
	if err != nil {
		return nil, err
	}
	reservedAt := time.Now()
	holdCtx, cancel := context.WithTimeout(ctx, maxHold)
	defer cancel()
	rateTerms := limit.Terms{Rate: p.opts.Limits.PerSecond, Burst: p.opts.Limits.PerSecond}
	rateToken, err := p.reserveOne(holdCtx, rateAccount, rateTerms)
	if err != nil {
		inFlightToken.Settle(0)
		return nil, err
	}
	rateToken.Settle(1)
	if time.Since(reservedAt) > maxHold {
		inFlightToken.Settle(0)
		return nil, errPermitHeldTooLong
	}
	return func() { inFlightToken.Settle(0) }, nil
}

// reserveOne reserves one token of the account. It retries until it succeeds or
// ctx ends.
func (p *Permits) reserveOne(ctx context.Context, account limit.Account, terms limit.Terms) (*shares.Reservation, error) {
	for {
		reservation, err := p.opts.Reserver.Reserve(ctx, account, terms, 1)
		if err == nil {
			return reservation, nil
		}
		p.waits.Inc(1)
		timer := time.NewTimer(retryWait(err))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}

// retryWait returns the wait after a failed reservation.
func retryWait(err error) time.Duration {
	var denied *shares.DeniedError
	if !errors.As(err, &denied) {
		return maxRetryWait
	}
	return min(max(denied.RetryAfter, minRetryWait), maxRetryWait)
}
