package admission

import (
	"context"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// ErrUncounted reports that tokens cannot be counted now. No request may be
// admitted then.
const ErrUncounted = errors.ConstError("organisation's tokens cannot be counted now")

// Fleet is a Limiter that counts over all VMs.
type Fleet struct {
	reserver *shares.Reserver
	config   func() *config.Snapshot
}

// NewFleet returns a Fleet that reserves tokens through reserver. config
// returns the configuration in force.
func NewFleet(reserver *shares.Reserver, config func() *config.Snapshot) *Fleet {
	return &Fleet{reserver: reserver, config: config}
}

// organisationAccount returns the account of an organisation's tokens.
func organisationAccount(organisation ident.Organisation) limit.Account {
	return limit.Account("organisation/" + organisation)
}

// Reserve implements Limiter.
func (f *Fleet) Reserve(ctx context.Context, limits config.OrganisationLimits, tokens int64) (Reservation, error) {
	reservation, err := f.reserver.Reserve(ctx, organisationAccount(limits.Organisation), f.terms(limits), tokens)
	if err == nil {
		return reservation, nil
	}
	var denied *shares.DeniedError
	if errors.As(err, &denied) {
		return nil, &Limited{RetryAfter: denied.RetryAfter, ExceedsBurst: denied.ExceedsBurst}
	}
	return nil, errors.WithType(err, ErrUncounted)
}

// terms returns the organisation's limits and their revision from one snapshot
// of the configuration. The given limits are used if the snapshot does not contain
// the organisation.
func (f *Fleet) terms(limits config.OrganisationLimits) limit.Terms {
	snapshot := f.config()
	if current, ok := snapshot.OrganisationLimits(limits.Organisation); ok {
		limits = current
	}
	return limit.Terms{
		Rate: limits.TokensPerSecond, Burst: limits.Burst, Revision: uint64(snapshot.Revision()),
	}
}
