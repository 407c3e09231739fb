package catalog

import (
	"context"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// expiryInterval is the largest delay between the end of an endpoint's grace period and its
// removal.
const expiryInterval = 250 * time.Millisecond

// Expirer removes endpoints from a State when their grace period has ended. It implements
// suture.Service.
type Expirer struct{ State *State }

// Serve removes expired endpoints every expiryInterval until ctx ends.
func (e Expirer) Serve(ctx context.Context) error {
	for {
		if err := sleep.For(ctx, expiryInterval); err != nil {
			return err
		}
		e.State.Expire(time.Now())
	}
}
