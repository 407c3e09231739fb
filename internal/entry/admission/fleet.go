package admission

import (
	"context"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// ErrUncounted says that tokens cannot be counted now, so that no request may
// be admitted.
const ErrUncounted = errors.ConstError("organisation's tokens cannot be counted now")

// Fleet is a Limiter that counts over all VMs.
type Fleet struct {
	asker  *shares.Asker
	config func() *config.Snapshot
}

// NewFleet returns a Fleet that asks through asker. config returns the
// configuration in force.
func NewFleet(asker *shares.Asker, config func() *config.Snapshot) *Fleet {
	return &Fleet{asker: asker, config: config}
}

// AccountOf returns the account that counts an organisation's tokens.
func AccountOf(organisation ident.Organisation) limit.Account {
	return limit.Account("organisation/" + organisation)
}

// Reserve implements Limiter.
func (f *Fleet) Reserve(ctx context.Context, tenant config.Tenant, tokens int64) (Grant, error) {
	reservation, err := f.asker.Reserve(ctx, AccountOf(tenant.Organisation), f.terms(tenant), tokens)
	if err == nil {
		return reservation, nil
	}
	var denied *shares.Denied
	if errors.As(err, &denied) {
		return nil, &Limited{RetryAfter: denied.RetryAfter, ExceedsBurst: denied.ExceedsBurst}
	}
	return nil, errors.WithType(err, ErrUncounted)
}

// terms returns the limits in force with their revision, which belong
// together.
func (f *Fleet) terms(tenant config.Tenant) limit.Terms {
	snapshot := f.config()
	if current, ok := snapshot.Tenant(tenant.Organisation); ok {
		tenant = current
	}
	return limit.Terms{
		Rate: tenant.TokensPerSecond, Burst: tenant.Burst, Revision: uint64(snapshot.Revision()),
	}
}
