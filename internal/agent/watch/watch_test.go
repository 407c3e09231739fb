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

// endpoint is a Health with switches. It also records boots as Booted.
type endpoint struct {
	mu     sync.Mutex
	health engine.Health
	down   bool
	silent bool
	boots  []ident.BootID
}

func (e *endpoint) set(change func(e *endpoint)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// Health implements Health.
func (e *endpoint) Health(ctx context.Context) (engine.Health, error) {
	e.mu.Lock()
	h, down, silent := e.health, e.down, e.silent
	e.mu.Unlock()
	if silent {
		<-ctx.Done()
	}
	if down || silent {
		return engine.Health{}, engine.ErrUnavailable
	}
	return h, nil
}

// HandleBoot implements Booted.
func (e *endpoint) HandleBoot(boot ident.BootID) {
	e.set(func(e *endpoint) { e.boots = append(e.boots, boot) })
}

// watched runs a test beside a Watch of an endpoint with boot id "one".
func watched(t *testing.T, test func(t *testing.T, e *endpoint, w *Watch, gate *drain.Gate)) {
	synctest.Test(t, func(t *testing.T) {
		log := process.NewLogger(io.Discard, logrus.ErrorLevel, "test")
		gate := drain.NewGate(drain.Options{Log: log})
		e := &endpoint{health: engine.Health{Boot: "one"}}
		w := New(Options{Endpoint: e, Booted: e, Gate: gate, Metrics: tally.NoopScope, Log: log})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		go func() { done <- w.Serve(ctx) }()
		synctest.Wait()
		test(t, e, w, gate)
		cancel()
		<-done
	})
}

func TestRestartIsToldOnceAndLateAnswersChangeNothing(t *testing.T) {
	watched(t, func(t *testing.T, e *endpoint, w *Watch, _ *drain.Gate) {
		e.set(func(e *endpoint) { e.health.Boot = "two" })
		time.Sleep(2 * pollInterval)
		w.ObserveBoot("one") // An answer that was begun in the first life.
		w.ObserveBoot("two")
		if len(e.boots) != 2 || e.boots[1] != "two" || w.Boot() != "two" {
			t.Errorf("told %v, boot %q", e.boots, w.Boot())
		}
	})
}

func TestSilentEndpointGetsNoWorkUntilItAnswers(t *testing.T) {
	watched(t, func(t *testing.T, e *endpoint, _ *Watch, gate *drain.Gate) {
		e.set(func(e *endpoint) { e.silent = true })
		time.Sleep(2 * time.Second)
		if gate.Check() != nil {
			t.Error("closed by one missed answer")
		}
		time.Sleep(5 * time.Second)
		if gate.Reason() != drain.ReasonUnresponsive {
			t.Errorf("reason %q for a silent endpoint", gate.Reason())
		}
		e.set(func(e *endpoint) { e.silent = false })
		time.Sleep(3 * time.Second)
		if gate.Check() != nil {
			t.Error("closed for an endpoint that answers again")
		}
	})
}

func TestEndpointsWordClosesAndOpensTheGate(t *testing.T) {
	watched(t, func(t *testing.T, e *endpoint, _ *Watch, gate *drain.Gate) {
		for _, draining := range []bool{true, false} {
			e.set(func(e *endpoint) { e.health.Draining = draining })
			time.Sleep(2 * pollInterval)
			if (gate.Reason() == drain.ReasonEndpoint) != draining {
				t.Errorf("reason %q while draining is %t", gate.Reason(), draining)
			}
		}
	})
}

func TestDied(t *testing.T) {
	tests := []struct {
		name   string
		change func(e *endpoint)
		died   bool
	}{
		{"same life", func(*endpoint) {}, false},
		{"another life", func(e *endpoint) { e.health.Boot = "two" }, true},
		{"no connection", func(e *endpoint) { e.down = true }, true},
		{"accepts and stays silent", func(e *endpoint) { e.silent = true }, false},
	}
	for _, tt := range tests {
		watched(t, func(t *testing.T, e *endpoint, w *Watch, _ *drain.Gate) {
			e.set(tt.change)
			if got := w.IncarnationEnded(t.Context(), "one"); got != tt.died {
				t.Errorf("%s: died is %t", tt.name, got)
			}
		})
	}
}
