// Package drain keeps an agent that must take no new work from taking any.
//
// A Gate is closed for one or more reasons and opens when none is left. Work
// that runs goes on; work that waits is refused, since for the endpoint it
// would be new work.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Reason says why an agent takes no new work.
type Reason string

// Values of Reason, the ones that last first.
const (
	ReasonSignal     Reason = "the agent was told to stop"
	ReasonSuperseded Reason = "another process orders the endpoint now"
	ReasonVMList     Reason = "the VM list says that the VM is leaving"
	ReasonEndpoint   Reason = "the endpoint asks for no new work"
	ReasonLost       Reason = "the endpoint does not answer"
)

var reasons = []Reason{ReasonSignal, ReasonSuperseded, ReasonVMList, ReasonEndpoint, ReasonLost}

const (
	leavingRetryAfter = time.Second
	lostRetryAfter    = 2 * time.Second
)

// Options configures NewGate.
type Options struct {
	Log      *logrus.Entry
	Timeline *timeline.Ring
	OnChange func(reason Reason) // Told the first reason, empty where the gate opens; may be nil.
}

// Gate says whether new work is taken. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu     sync.Mutex
	closed map[Reason]bool
	shut   chan struct{} // Closed while the gate is closed.
}

// NewGate returns an open Gate.
func NewGate(opts Options) *Gate {
	return &Gate{opts: opts, closed: make(map[Reason]bool), shut: make(chan struct{})}
}

// Set closes the gate for a reason, or takes the reason back.
func (g *Gate) Set(reason Reason, closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed[reason] == closed {
		return
	}
	g.closed[reason] = closed
	first := g.first()
	g.turn(first != "")
	g.opts.Log.WithField("reason", string(reason)).WithField("closed", closed).Info("taking new work changed")
	g.opts.Timeline.Record(timeline.Event{Kind: timeline.KindEndpointDraining, Detail: string(first)})
	if g.opts.OnChange != nil {
		g.opts.OnChange(first)
	}
}

func (g *Gate) turn(closed bool) {
	select {
	case <-g.shut:
		if !closed {
			g.shut = make(chan struct{})
		}
	default:
		if closed {
			close(g.shut)
		}
	}
}

// Reason returns the first reason for which the gate is closed, or "".
func (g *Gate) Reason() Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.first()
}

func (g *Gate) first() Reason {
	for _, r := range reasons {
		if g.closed[r] {
			return r
		}
	}
	return ""
}

// Refuse returns the refusal of new work, or nil while the gate is open.
func (g *Gate) Refuse() *refusal.Refusal {
	reason := g.Reason()
	if reason == "" {
		return nil
	}
	if reason == ReasonLost {
		return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo, string(reason)).After(lostRetryAfter)
	}
	return refusal.New(refusal.CodeDraining, refusal.RanNo, string(reason)).After(leavingRetryAfter)
}

// Waiting returns a context that also ends when the gate closes, for work that
// has not begun.
func (g *Gate) Waiting(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	shut := g.shut
	g.mu.Unlock()
	go func() {
		select {
		case <-shut:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
