// Package watch polls the health of an agent's endpoint: its boot id, whether it
// is draining, and whether it responds. It closes the agent's gate while the
// endpoint is draining or unresponsive, and reports new boot ids to its BootHandler.
package watch

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/drain"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	pollInterval      = time.Second
	healthTimeout     = time.Second
	unresponsiveAfter = 3  // Consecutive failed polls after which the endpoint counts as unresponsive.
	maxEndedBoots     = 16 // Boot ids of ended incarnations that are kept.
)

// Health is the part of engine.Engine that reports the endpoint's health.
type Health interface {
	// Health returns the endpoint's state, or engine.ErrUnavailable.
	Health(ctx context.Context) (engine.Health, error)
}

// BootHandler is notified of the boot id under which the endpoint runs.
type BootHandler interface {
	// HandleBoot is called with each new boot id, the first one included.
	HandleBoot(boot ident.BootID)
}

// Options configures New.
type Options struct {
	Endpoint    Health
	BootHandler BootHandler
	Gate        *drain.Gate
	Timeline    *timeline.Ring
	Metrics     tally.Scope
	Log         *logrus.Entry
}

// Watch polls the endpoint's health. It implements suture.Service and is safe for
// concurrent use.
type Watch struct {
	opts     Options
	restarts tally.Counter

	mu          sync.Mutex     // Guards the fields below.
	boot        ident.BootID   // Last observed boot id; empty until one is observed.
	ended       []ident.BootID // Boot ids of the last maxEndedBoots ended incarnations; may contain the empty id.
	failedPolls int            // Consecutive failed polls.
}

// New returns a Watch that has not observed a boot id. Serve starts the polls.
func New(opts Options) *Watch {
	return &Watch{opts: opts, restarts: opts.Metrics.Counter("agent_endpoint_restarts_total")}
}

// String returns the service name used in the supervisor's events.
func (w *Watch) String() string {
	return "endpoint watch"
}

// Serve polls the endpoint every pollInterval until ctx ends.
func (w *Watch) Serve(ctx context.Context) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		w.poll(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Boot returns the last observed boot id. It is empty before the first response,
// and if the endpoint reports none.
func (w *Watch) Boot() ident.BootID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot
}

// ObserveBoot records the boot id of a response of the endpoint. An empty boot id
// and a late response of an ended incarnation are ignored.
func (w *Watch) ObserveBoot(boot ident.BootID) {
	if boot == "" {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if boot == w.boot || slices.Contains(w.ended, boot) {
		return
	}
	restarted := w.boot != ""
	w.ended = append(w.ended, w.boot)
	w.ended = w.ended[max(0, len(w.ended)-maxEndedBoots):]
	w.boot = boot
	w.opts.BootHandler.HandleBoot(boot)
	if !restarted {
		return
	}
	w.restarts.Inc(1)
	w.opts.Log.WithField("boot", string(boot)).Warn("endpoint restarted under a new boot id")
	w.opts.Timeline.Record(timeline.Event{Kind: timeline.KindEngineRestarted, Detail: string(boot)})
}

// IncarnationEnded polls the endpoint and reports whether the incarnation with the
// boot id startBoot has ended. It has ended if the health call fails before
// healthTimeout, as it does if the endpoint accepts no connection, or if the
// endpoint reports another boot id. It has not ended if the endpoint reports the
// same boot id or does not respond within healthTimeout. If startBoot is empty,
// boot ids are not compared.
func (w *Watch) IncarnationEnded(ctx context.Context, startBoot ident.BootID) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), healthTimeout)
	defer cancel()
	h, err := w.opts.Endpoint.Health(ctx)
	if err != nil {
		return ctx.Err() == nil
	}
	w.ObserveBoot(h.Boot)
	return startBoot != "" && h.Boot != startBoot
}

// poll reads the health once and updates the gate and the boot id.
func (w *Watch) poll(ctx context.Context) {
	pollCtx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	h, err := w.opts.Endpoint.Health(pollCtx)
	if ctx.Err() != nil {
		return
	}
	w.opts.Gate.SetReason(drain.ReasonUnresponsive, w.recordPoll(err == nil) >= unresponsiveAfter)
	if err != nil {
		return
	}
	w.ObserveBoot(h.Boot)
	w.opts.Gate.SetReason(drain.ReasonEndpoint, h.Draining)
}

// recordPoll counts a poll and returns the number of consecutive failed polls.
func (w *Watch) recordPoll(succeeded bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if succeeded {
		w.failedPolls = 0
	} else {
		w.failedPolls++
	}
	return w.failedPolls
}
