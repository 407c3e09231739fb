// Package watch follows the health of an agent's endpoint: its boot id, its
// own word on leaving, and whether it answers at all.
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
	pollInterval = time.Second
	askTimeout   = time.Second
	lostAfter    = 3 // Unanswered polls in a row.
	keptBoots    = 16
)

// Health is the part of engine.Engine that is watched.
type Health interface {
	// Health returns the endpoint's state, or engine.ErrUnavailable.
	Health(ctx context.Context) (engine.Health, error)
}

// Booted learns under which boot id the endpoint runs.
type Booted interface {
	// HandleBoot tells the boot id.
	HandleBoot(boot ident.BootID)
}

// Options configures New.
type Options struct {
	Endpoint Health
	Booted   Booted
	Gate     *drain.Gate
	Timeline *timeline.Ring
	Metrics  tally.Scope
	Log      *logrus.Entry
}

// Watch polls the endpoint's health. It is a suture.Service and safe for
// concurrent use.
type Watch struct {
	opts     Options
	restarts tally.Counter

	mu     sync.Mutex
	boot   ident.BootID
	ended  []ident.BootID // Earlier lives, the last keptBoots of them.
	missed int
}

// New returns a Watch that knows no boot id yet.
func New(opts Options) *Watch {
	return &Watch{opts: opts, restarts: opts.Metrics.Counter("agent_endpoint_restarts_total")}
}

// String names the service in the supervisor's events.
func (w *Watch) String() string {
	return "endpoint watch"
}

// Serve polls until ctx ends.
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

// Boot returns the last known boot id; empty before the first answer and
// where the endpoint gives none.
func (w *Watch) Boot() ident.BootID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.boot
}

// Saw tells the boot id that an answer of the endpoint carried. An answer of
// an earlier life that arrives late changes nothing.
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
	w.ended = w.ended[max(0, len(w.ended)-keptBoots):]
	w.boot = boot
	w.opts.Booted.HandleBoot(boot)
	if !restarted {
		return
	}
	w.restarts.Inc(1)
	w.opts.Log.WithField("boot", string(boot)).Warn("endpoint restarted")
	w.opts.Timeline.Record(timeline.Event{Kind: timeline.KindEngineRestarted, Detail: string(boot)})
}

// Died asks the endpoint at once whether the life that a request ran in has
// ended. An endpoint that accepts no connection has; one that answers under
// the same boot id, or accepts and stays silent, has not.
func (w *Watch) IncarnationEnded(ctx context.Context, life ident.BootID) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
	defer cancel()
	h, err := w.opts.Endpoint.Health(ctx)
	if err != nil {
		return ctx.Err() == nil
	}
	w.ObserveBoot(h.Boot)
	return life != "" && h.Boot != life
}

func (w *Watch) poll(ctx context.Context) {
	ask, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	h, err := w.opts.Endpoint.Health(ask)
	if ctx.Err() != nil {
		return
	}
	w.opts.Gate.SetReason(drain.ReasonUnresponsive, w.count(err == nil) >= lostAfter)
	if err != nil {
		return
	}
	w.ObserveBoot(h.Boot)
	w.opts.Gate.SetReason(drain.ReasonEndpoint, h.Draining)
}

// count returns how many polls in a row went unanswered.
func (w *Watch) count(answered bool) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	if answered {
		w.missed = 0
	} else {
		w.missed++
	}
	return w.missed
}
