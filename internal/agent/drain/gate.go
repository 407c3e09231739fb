// Package drain decides whether an agent accepts new work.
//
// A Gate is closed for one or more reasons and open if there is none. Running
// attempts continue while the gate is closed. Waiting attempts are refused,
// because they would be new work for the endpoint.
package drain

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Reason is the reason why an agent accepts no new work. Its text is the message
// of the refusals.
type Reason string

// Values of Reason, in the order of precedence: permanent reasons come first.
const (
	ReasonSignal       Reason = "the agent was told to stop"
	ReasonSuperseded   Reason = "another process orders the endpoint now"
	ReasonVMList       Reason = "the VM list says that the VM is leaving"
	ReasonEndpoint     Reason = "the endpoint asks for no new work"
	ReasonUnresponsive Reason = "the endpoint does not answer"
)

// reasons lists the values of Reason in the order of precedence.
var reasons = []Reason{ReasonSignal, ReasonSuperseded, ReasonVMList, ReasonEndpoint, ReasonUnresponsive}

const (
	drainingRetryAfter     = time.Second
	unresponsiveRetryAfter = 2 * time.Second
)

// Options configures NewGate.
type Options struct {
	Log      *logrus.Entry
	Timeline *timeline.Ring
	// OnChange is called at each change with the first active reason, or "" if the
	// gate is open. It must not call the Gate, whose lock is held. It may be nil.
	OnChange func(first Reason)
}

// Gate controls whether new work is accepted. It is safe for concurrent use.
type Gate struct {
	opts Options

	mu       sync.Mutex      // Guards the fields below.
	active   map[Reason]bool // Reasons for which the gate is closed.
	closedCh chan struct{}   // Closed while the gate is closed; replaced when the gate opens.
}

// NewGate returns an open Gate.
func NewGate(opts Options) *Gate {
	return &Gate{opts: opts, active: make(map[Reason]bool), closedCh: make(chan struct{})}
}

// SetReason adds a reason for which the gate is closed, or removes it. The gate
// opens when the last reason is removed.
func (g *Gate) SetReason(reason Reason, active bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.active[reason] == active {
		return
	}
	g.active[reason] = active
	first := g.firstReason()
	g.updateClosed(first != "")
	g.opts.Log.WithField("reason", string(reason)).WithField("closed", active).WithField("first_reason", string(first)).
		Info("drain reason added (closed=true) or removed (closed=false)")
	// An event without a detail records that the gate has opened.
	g.opts.Timeline.Record(timeline.Event{Kind: timeline.KindEndpointDraining, Detail: string(first)})
	if g.opts.OnChange != nil {
		g.opts.OnChange(first)
	}
}

// updateClosed closes closedCh when the gate closes, and replaces it by an open
// channel when the gate opens. It is called with mu held.
func (g *Gate) updateClosed(closed bool) {
	select {
	case <-g.closedCh:
		if !closed {
			g.closedCh = make(chan struct{})
		}
	default:
		if closed {
			close(g.closedCh)
		}
	}
}

// Reason returns the reason of the highest precedence for which the gate is
// closed, or "" if it is open.
func (g *Gate) Reason() Reason {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.firstReason()
}

// firstReason returns the active reason of the highest precedence, or "". It is
// called with mu held.
func (g *Gate) firstReason() Reason {
	for _, r := range reasons {
		if g.active[r] {
			return r
		}
	}
	return ""
}

// Check returns the refusal of new work, or nil while the gate is open.
func (g *Gate) Check() *refusal.Refusal {
	reason := g.Reason()
	if reason == "" {
		return nil
	}
	if reason == ReasonUnresponsive {
		return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo, string(reason)).WithRetryAfter(unresponsiveRetryAfter)
	}
	return refusal.New(refusal.CodeDraining, refusal.RanNo, string(reason)).WithRetryAfter(drainingRetryAfter)
}

// WaitContext returns a context that also ends when the gate closes. It is meant
// for attempts that wait and have not started.
func (g *Gate) WaitContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	g.mu.Lock()
	closedCh := g.closedCh
	g.mu.Unlock()
	go func() {
		select {
		case <-closedCh:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}
