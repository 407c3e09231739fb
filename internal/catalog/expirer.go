package catalog

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// expiryInterval is the largest delay between the end of a grace period and what follows it.
const expiryInterval = 250 * time.Millisecond

// Expirer removes endpoints and evacuations from a State when their grace period has ended. It
// implements suture.Service.
type Expirer struct {
	State *State
	Log   *logrus.Entry
}

// Serve removes what has expired every expiryInterval until ctx ends.
func (e Expirer) Serve(ctx context.Context) error {
	for {
		if err := sleep.For(ctx, expiryInterval); err != nil {
			return err
		}
		for _, id := range e.State.Expire(time.Now()) {
			e.Log.WithFields(logrus.Fields{"event": "endpoint_expired", "endpoint": id}).
				Info("endpoint removed: not registered again after the store outage")
		}
		for _, domain := range e.State.ExpireEvacuations(time.Now()) {
			e.Log.WithFields(logrus.Fields{"event": "evacuation_ended", "domain": domain}).
				Info("evacuation ended: its key was not written again after the restore of the store")
		}
	}
}
