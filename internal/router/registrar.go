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
	// revokeTimeout bounds the call that revokes the lease at shutdown.
	revokeTimeout = 500 * time.Millisecond
)

// registrar keeps this router's registration in the store.
type registrar struct {
	store        *platform.StoreClient
	registration platform.RouterRegistration
	log          *logrus.Entry
	lease        int64 // Lease of the registration; 0 if there is none.
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
	if g.lease != 0 {
		revokeCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
		defer cancel()
		if err := g.store.RevokeLease(revokeCtx, g.lease); err != nil {
			g.log.WithError(err).Info("lease of this router's registration not revoked; it expires by itself")
		}
	}
	return ctx.Err()
}

// renew renews the lease. If there is none or it has expired, renew registers the router under
// a new one.
func (g *registrar) renew(ctx context.Context) error {
	if g.lease != 0 {
		err := g.store.RenewLease(ctx, g.lease)
		if !errors.Is(err, platform.ErrLeaseExpired) {
			return err
		}
		g.lease = 0
	}
	lease, err := g.store.GrantLease(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := g.store.RegisterRouter(ctx, g.registration, lease); err != nil {
		return err
	}
	g.lease = lease
	return nil
}
