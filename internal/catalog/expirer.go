package catalog

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// expiryInterval is the largest delay between the end of an endpoint's grace period and its
// removal.
const expiryInterval = 250 * time.Millisecond

// Expirer removes endpoints from a State when their grace period has ended. It implements
// suture.Service.
type Expirer struct {
	State *State
	Log   *logrus.Entry
}

// Serve removes expired endpoints every expiryInterval until ctx ends.
func (e Expirer) Serve(ctx context.Context) error {
	for {
		if err := sleep.For(ctx, expiryInterval); err != nil {
			return err
		}
		for _, id := range e.State.Expire(time.Now()) {
			e.Log.WithFields(logrus.Fields{"event": "endpoint_expired", "endpoint": id}).
				Info("endpoint removed: not registered again after the store outage")
		}
	}
}
