package watch

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/drain"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// fakeEndpoint is a Health with injectable faults. As a BootHandler it records the
// boot ids it is notified of.
type fakeEndpoint struct {
	mu           sync.Mutex
	health       engine.Health
	down         bool // Whether connections are refused.
	unresponsive bool // Whether connections are accepted without a response.
	boots        []ident.BootID
}

func (e *fakeEndpoint) set(change func(e *fakeEndpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// Health implements Health.
func (e *fakeEndpoint) Health(ctx context.Context) (engine.Health, error) {
	e.mu.Lock()
	h, down, unresponsive := e.health, e.down, e.unresponsive
	e.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
	}
	if down || unresponsive {
		return engine.Health{}, engine.ErrUnavailable
	}
	return h, nil
}

// HandleBoot implements BootHandler.
func (e *fakeEndpoint) HandleBoot(boot ident.BootID) {
	e.set(func(e *fakeEndpoint) { e.boots = append(e.boots, boot) })
}

// withWatch runs a test with a running Watch of an endpoint with boot id "one",
// inside a synctest bubble.
func withWatch(t *testing.T, test func(t *testing.T, e *fakeEndpoint, w *Watch, gate *drain.Gate)) {
	synctest.Test(t, func(t *testing.T) {
		log := process.NewLogger(io.Discard, logrus.ErrorLevel, "test")
		gate := drain.NewGate(drain.Options{Log: log})
		e := &fakeEndpoint{health: engine.Health{Boot: "one"}}
		w := New(Options{Endpoint: e, BootHandler: e, Gate: gate, Metrics: tally.NoopScope, Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		synctest.Wait()
		test(t, e, w, gate)
		cancel()
		<-done
	})
}

func TestRestartIsReportedOnceDespiteLateResponses(t *testing.T) {
	withWatch(t, func(t *testing.T, e *fakeEndpoint, w *Watch, _ *drain.Gate) {
		e.set(func(e *fakeEndpoint) { e.health.Boot = "two" })
		time.Sleep(2 * pollInterval)
		w.ObserveBoot("one") // A late response of the first incarnation.
		w.ObserveBoot("two")
		if len(e.boots) != 2 || e.boots[1] != "two" || w.Boot() != "two" {
			t.Errorf("reported boot ids %v, Boot() = %q, want one report of \"two\" after \"one\"", e.boots, w.Boot())
		}
	})
}

func TestGateIsClosedWhileEndpointIsUnresponsive(t *testing.T) {
	withWatch(t, func(t *testing.T, e *fakeEndpoint, _ *Watch, gate *drain.Gate) {
		e.set(func(e *fakeEndpoint) { e.unresponsive = true })
		time.Sleep(2 * time.Second)
		if gate.Check() != nil {
			t.Error("the gate closed before unresponsiveAfter polls failed")
		}
		time.Sleep(5 * time.Second)
		if gate.Reason() != drain.ReasonUnresponsive {
			t.Errorf("Reason() = %q while the endpoint is unresponsive, want ReasonUnresponsive", gate.Reason())
		}
		e.set(func(e *fakeEndpoint) { e.unresponsive = false })
		time.Sleep(3 * time.Second)
		if gate.Check() != nil {
			t.Error("the gate is closed although the endpoint responds again")
		}
	})
}

func TestGateIsClosedWhileEndpointIsDraining(t *testing.T) {
	withWatch(t, func(t *testing.T, e *fakeEndpoint, _ *Watch, gate *drain.Gate) {
		for _, draining := range []bool{true, false} {
			e.set(func(e *fakeEndpoint) { e.health.Draining = draining })
			time.Sleep(2 * pollInterval)
			if (gate.Reason() == drain.ReasonEndpoint) != draining {
				t.Errorf("Reason() = %q while the endpoint's draining is %t, want ReasonEndpoint only while it is draining",
					gate.Reason(), draining)
			}
		}
	})
}

func TestIncarnationEnded(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *fakeEndpoint) // Applied after the Watch has observed boot id "one".
		ended  bool
	}{
		{"same boot id", func(*fakeEndpoint) {}, false},
		{"another boot id", func(e *fakeEndpoint) { e.health.Boot = "two" }, true},
		{"no connection", func(e *fakeEndpoint) { e.down = true }, true},
		{"connection without a response", func(e *fakeEndpoint) { e.unresponsive = true }, false},
	}
	for _, tt := range tests {
		withWatch(t, func(t *testing.T, e *fakeEndpoint, w *Watch, _ *drain.Gate) {
			e.set(tt.change)
			if got := w.IncarnationEnded(t.Context(), "one"); got != tt.ended {
				t.Errorf("%s: IncarnationEnded() = %t, want %t", tt.name, got, tt.ended)
			}
		})
	}
}
