// Package permits rations adapter loads over the whole fleet: so many a
// second, and a bounded number in flight.
//
// Both are accounts of the fleet-wide limits. The rate is a token bucket whose
// tokens are used up. What is in flight is an account of rate zero: a load
// holds one token and returns it when it has ended. A permit that nobody
// returns is free again after limit.PermitLifetime; an agent therefore ends
// each load before that, and begins none on an answer older than
// limit.GrantLifetime. So at most the given number of loads that have run for
// less than limit.PermitLifetime are in flight, also when agents die, are
// paused or are cut off. What an engine goes on to do with an order after its
// agent is gone is bounded by the same time only where the engine ends it by
// then.
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
	rateAccount   limit.Account = "loads/rate"
	flightAccount limit.Account = "loads/in-flight"
	// shortestWait and longestWait bound the time between two tries.
	shortestWait = 10 * time.Millisecond
	longestWait  = time.Second
	// longestHold is how long a place is held before its load begins.
	longestHold = 10 * time.Second
)

// LongestLoad is how long a load may run so that it ends within its permit.
const LongestLoad = limit.PermitLifetime - longestHold - limit.GrantLifetime

// errHeldTooLong says that the process was paused while it held a place.
const errHeldTooLong = errors.ConstError("place held too long before the load began")

// Limits are the fleet's limits of adapter loads.
type Limits struct {
	PerSecond int64 // Loads that may begin in a second.
	InFlight  int64 // Loads that may run at once.
}

// Reserver takes tokens of an account.
type Reserver interface {
	// Reserve takes all of the tokens, or returns *shares.Denied.
	Reserve(ctx context.Context, account limit.Account, terms limit.Terms, tokens int64) (*shares.Reservation, error)
}

// Options configures New.
type Options struct {
	Reserver Reserver
	Limits   Limits
	Metrics  tally.Scope
}

// Permits implements schedule.LoadPermits.
type Permits struct {
	opts  Options
	given tally.Counter
	waits tally.Counter
}

// New returns Permits.
func New(opts Options) *Permits {
	scope := opts.Metrics.SubScope("load_permits")
	return &Permits{opts: opts, given: scope.Counter("given_permits"), waits: scope.Counter("waits")}
}

// Acquire implements schedule.LoadPermits. It takes the place in flight first,
// so that no token of the rate is spent while the places are taken.
func (p *Permits) Acquire(ctx context.Context) (func(), error) {
	for {
		release, err := p.try(ctx)
		if err == nil {
			p.given.Inc(1)
			return release, nil
		}
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
}

// try takes a place and then a token of the rate. It gives the place back
// where the token came too late for the load to end within the place's
// lifetime.
func (p *Permits) try(ctx context.Context) (func(), error) {
	place, err := p.take(ctx, flightAccount, limit.Terms{Burst: p.opts.Limits.InFlight, Permits: true})
	if err != nil {
		return nil, err
	}
	taken := time.Now()
	bounded, cancel := context.WithTimeout(ctx, longestHold)
	defer cancel()
	rate := limit.Terms{Rate: p.opts.Limits.PerSecond, Burst: p.opts.Limits.PerSecond}
	begun, err := p.take(bounded, rateAccount, rate)
	if err != nil {
		place.Settle(0)
		return nil, err
	}
	begun.Settle(1)
	if time.Since(taken) > longestHold {
		place.Settle(0)
		return nil, errHeldTooLong
	}
	return func() { place.Settle(0) }, nil
}

// take tries until one token is there.
func (p *Permits) take(ctx context.Context, account limit.Account, terms limit.Terms) (*shares.Reservation, error) {
	for {
		reservation, err := p.opts.Reserver.Reserve(ctx, account, terms, 1)
		if err == nil {
			return reservation, nil
		}
		p.waits.Inc(1)
		timer := time.NewTimer(waitFor(err))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil, ctx.Err()
		}
	}
}

func waitFor(err error) time.Duration {
	var denied *shares.Denied
	if !errors.As(err, &denied) {
		return longestWait
	}
	return min(max(denied.RetryAfter, shortestWait), longestWait)
}
