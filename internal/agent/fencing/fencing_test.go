package fencing

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/drain"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// agentProcess is an agent process with its TokenHolder and gate.
type agentProcess struct {
	*TokenHolder
	gate *drain.Gate
	stop func()
}

func newProcess(s store.Store, checksToken bool) *agentProcess {
	log := process.NewLogger(io.Discard, logrus.ErrorLevel, "test")
	gate := drain.NewGate(drain.Options{Log: log})
	return &agentProcess{
		TokenHolder: New(Options{Store: s, VM: "vm-1", ChecksFencingToken: checksToken, Gate: gate, Log: log}),
		gate:        gate,
	}
}

// startProcess returns a process whose TokenHolder runs until stop is called.
func startProcess(s store.Store, checksToken bool) *agentProcess {
	h := newProcess(s, checksToken)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- h.Serve(ctx) }()
	h.stop = func() {
		cancel()
		<-done
	}
	return h
}

// waitForStore gives the processes time to read and write the record, one retry
// included.
func waitForStore() {
	time.Sleep(2 * time.Second)
	synctest.Wait()
}

func TestLaterProcessAcquiresHigherToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		first := startProcess(memory, true)
		waitForStore()
		low, ok := first.Current()
		if !ok || low == 0 {
			t.Fatalf("first process: Current() = %d, %t, want a token", low, ok)
		}
		second := startProcess(memory, true)
		waitForStore()
		high, ok := second.Current()
		if !ok || high <= low {
			t.Errorf("second process: Current() = %d, %t, want a token above %d", high, ok, low)
		}
		if _, ok := first.Current(); ok || first.gate.Reason() != drain.ReasonSuperseded {
			t.Errorf("superseded process may order: %t, gate closed for %q, want no orders and a closed gate",
				ok, first.gate.Reason())
		}
		first.stop()
		second.stop()
	})
}

func TestLostStoreResponseIsResolvedByReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		memory.SetFault(store.FaultResponseLost)
		h := startProcess(memory, true)
		waitForStore()
		if token, ok := h.Current(); !ok || token == 0 {
			t.Errorf("Current() = %d, %t after a lost store response, want a token", token, ok)
		}
		if calls := memory.Calls(); calls.Writes != 1 {
			t.Errorf("%d store writes for one token, want 1", calls.Writes)
		}
		h.stop()
	})
}

func TestTokenGrowsAfterStoreIsRestoredFromOlderData(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := store.NewMemory()
		old := memory.Export()
		first := startProcess(memory, true)
		waitForStore()
		low, _ := first.Current()
		first.stop()
		memory.Import(old)
		second := startProcess(memory, true)
		waitForStore()
		if high, _ := second.Current(); high <= low {
			t.Errorf("token %d after the store was restored, want one above %d", high, low)
		}
		second.stop()
	})
}

// While the store is down, a process without a token may order only if the
// endpoint does not check tokens.
func TestOrdersWithoutToken(t *testing.T) {
	for _, checksToken := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			memory := store.NewMemory()
			memory.SetFault(store.FaultDown)
			h := startProcess(memory, checksToken)
			waitForStore()
			if _, ok := h.Current(); ok == checksToken {
				t.Errorf("may order is %t without a token, and the endpoint checks tokens is %t: want opposite values",
					ok, checksToken)
			}
			memory.SetFault(store.FaultNone)
			waitForStore()
			if token, ok := h.Current(); !ok || token == 0 {
				t.Errorf("Current() = %d, %t after the store outage, want a token", token, ok)
			}
			h.stop()
		})
	}
}

// A process that was paused may have been superseded meanwhile. It must not send
// orders before it has read the record again. The test pauses a process by not
// running its ticks.
func TestPausedProcessMustReadRecordBeforeOrders(t *testing.T) {
	for _, superseded := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			memory := store.NewMemory()
			h := newProcess(memory, false)
			if err := h.step(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, ok := h.Current(); !ok {
				t.Fatal("Current() before the pause allows no orders, want orders allowed")
			}
			time.Sleep(10 * time.Second) // Paused: no ticks.
			if superseded {
				second := startProcess(memory, false)
				waitForStore()
				second.stop()
			}
			if _, ok := h.Current(); ok {
				t.Error("Current() right after the pause allows orders, want none until the record was read")
			}
			if err := h.step(t.Context()); err != nil {
				t.Fatal(err)
			}
			if _, ok := h.Current(); ok == superseded {
				t.Errorf("after the record was read, may order is %t and superseded is %t: want opposite values", ok, superseded)
			}
		})
	}
}

// fencedEngine is an engine.Engine that refuses every load with ErrFenced.
type fencedEngine struct {
	engine.Engine
	orders int // Loads received.
}

// Load implements engine.Engine.
func (e *fencedEngine) Load(context.Context, engine.AdapterBuild, engine.FencingToken) error {
	e.orders++
	return engine.ErrFenced
}

func TestGuardSendsNoOrderAfterEndpointRefusedOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newProcess(store.NewMemory(), true)
		if err := h.step(t.Context()); err != nil {
			t.Fatal(err)
		}
		e := &fencedEngine{}
		guard := NewGuard(e, h.TokenHolder)
		first := guard.Load(t.Context(), engine.AdapterBuild{}, 0)
		second := guard.Load(t.Context(), engine.AdapterBuild{}, 0)
		if !errors.Is(first, engine.ErrFenced) || !errors.Is(second, engine.ErrUnavailable) || e.orders != 1 {
			t.Errorf("Load() errors: %v, then %v, and %d orders sent; want ErrFenced, ErrUnavailable and 1 order",
				first, second, e.orders)
		}
		if h.gate.Reason() != drain.ReasonSuperseded {
			t.Errorf("gate closed for %q, want drain.ReasonSuperseded", h.gate.Reason())
		}
	})
}
