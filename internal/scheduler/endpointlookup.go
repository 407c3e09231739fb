package scheduler

import (
	"context"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// lookupInterval is the interval between registry lookups while the engine is not registered.
// An engine registers within one heartbeat.
const lookupInterval = 700 * time.Millisecond

// endpointLookup finds the ID under which the engine's incarnation is registered. Orders
// contain this ID, so that no other incarnation carries them out.
type endpointLookup struct {
	engine *Engine
	find   func(ctx context.Context, incarnation int64) (catalog.EndpointID, error)
}

// String returns the service name for supervisor events.
func (l *endpointLookup) String() string { return "identifier" }

// Serve looks up the endpoint ID of each new incarnation until ctx ends. It implements
// suture.Service.
func (l *endpointLookup) Serve(ctx context.Context) error {
	for {
		if err := sleep.For(ctx, lookupInterval); err != nil {
			return err
		}
		incarnation, hasEndpointID := l.engine.Incarnation()
		if incarnation == 0 || hasEndpointID { // 0: not reported yet.
			continue
		}
		id, err := l.find(ctx, incarnation)
		if err != nil {
			l.engine.log.WithError(err).WithField("born", incarnation).
				Info("registry lookup of the engine's endpoint ID failed")
			continue
		}
		if id != "" {
			l.engine.SetEndpointID(incarnation, id)
		}
	}
}
