package router

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// leaseTTL is how long the registration of a crashed router remains. The other routers
	// detect the crash earlier by their pings.
	leaseTTL = 10 * time.Second
	// leaseRenewInterval is below a third of leaseTTL.
	leaseRenewInterval = 3 * time.Second
	// leaseRetryDelay is the delay after a failed renewal.
	leaseRetryDelay = time.Second
	// deregisterTimeout bounds the call that removes the registration at shutdown, and before it the
	// wait for the response to a registration that has begun.
	deregisterTimeout = 500 * time.Millisecond
)

// registrar keeps this router's registration in the store.
type registrar struct {
	store        *platform.StoreClient
	registration platform.RouterRegistration
	log          *logrus.Entry
	onRegistered func()         // Called after each registration.
	lease        platform.Lease // Lease of the registration; zero if there is none.
	revision     int64          // Revision of the registration in the store.
}

// String returns the service name for supervisor events.
func (g *registrar) String() string { return "registrar" }

// Serve renews the registration until ctx ends, then removes it. It implements suture.Service.
func (g *registrar) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		wait := leaseRenewInterval
		if err := g.renew(ctx); err != nil && ctx.Err() == nil {
			g.log.WithError(err).WithField("event", "registration").Info("registration of this router not renewed")
			wait = leaseRetryDelay
		}
		if sleep.For(ctx, wait) != nil {
			break
		}
	}
	if g.lease != (platform.Lease{}) {
		deregisterCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), deregisterTimeout)
		defer cancel()
		if err := g.store.DeregisterRouter(deregisterCtx, g.registration, g.revision); err != nil {
			g.log.WithError(err).Info("registration of this router not removed; it expires with its lease")
		}
	}
	return ctx.Err()
}

// extend returns a context that ends d after ctx does.
func extend(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	extended, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() { time.AfterFunc(d, cancel) })
	return extended, func() {
		stop()
		cancel()
	}
}

// renew renews the lease. If there is none or it has expired, renew registers the router under
// a new one.
func (g *registrar) renew(ctx context.Context) error {
	if g.lease != (platform.Lease{}) {
		err := g.store.RenewLease(ctx, g.lease)
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return err
		}
		g.log.WithField("event", "registration").Info("lease of this router's registration has ended; registering again")
		g.lease = platform.Lease{}
	}
	lease, err := g.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	// Only the response has the revision by which the registration can be removed.
	extended, cancel := extend(ctx, deregisterTimeout)
	defer cancel()
	revision, err := g.store.RegisterRouter(extended, g.registration, lease)
	if err != nil {
		return err
	}
	g.lease, g.revision = lease, revision
	g.onRegistered()
	return nil
}
