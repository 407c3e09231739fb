package drain

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	maxCloseDelay = 5 * time.Second // Time within which the gate must close once the list marks the VM as leaving.
	pollInterval  = 2 * time.Second
)

func newGate() *Gate {
	return NewGate(Options{Log: process.NewLogger(io.Discard, logrus.ErrorLevel, "test")})
}

func TestGateIsClosedWhileVMListMarksVMAsLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		vm := vmlist.VM{ID: "vm-1", State: vmlist.StateLive}
		list := vmlist.NewStatic(vm, vmlist.VM{ID: "vm-2", State: vmlist.StateLeaving})
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error, 1)
		vmDirectory := directory.New(directory.Options{
			List: list, Interval: pollInterval, OnRead: CloseWhileLeaving(gate, vm.ID),
			Log: process.NewLogger(io.Discard, logrus.ErrorLevel, "test"),
		})
		go func() { done <- vmDirectory.Serve(ctx) }()
		synctest.Wait()
		if gate.Check() != nil {
			t.Error("the gate closed because another VM is leaving")
		}
		vm.State = vmlist.StateLeaving
		list.Set(vm)
		time.Sleep(maxCloseDelay)
		if r := gate.Check(); r == nil || r.Ran != refusal.RanNo || !r.Retryable() {
			t.Errorf("Check() of a leaving VM = %v, want a retryable refusal with ran no", r)
		}
		list.SetUnavailable(true) // The last state read stays in force.
		time.Sleep(time.Minute)
		if gate.Check() == nil {
			t.Error("the gate opened while the VM list is down")
		}
		list.SetUnavailable(false)
		list.Set() // A list without the VM does not cancel its leaving.
		time.Sleep(time.Minute)
		if gate.Check() == nil {
			t.Error("the gate opened after a list without the VM")
		}
		cancel()
		<-done
	})
}

func TestGateOpensWhenLastReasonIsRemoved(t *testing.T) {
	gate := newGate()
	gate.SetReason(ReasonEndpoint, true)
	gate.SetReason(ReasonSignal, true)
	gate.SetReason(ReasonEndpoint, false)
	if gate.Reason() != ReasonSignal {
		t.Errorf("Reason() = %q after another reason was removed, want ReasonSignal", gate.Reason())
	}
	gate.SetReason(ReasonSignal, false)
	if gate.Check() != nil {
		t.Error("the gate is closed without a reason")
	}
}

func TestWaitContextEndsWhenGateCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate := newGate()
		for range 2 { // The second round starts with a gate that has opened again.
			ctx, cancel := gate.WaitContext(t.Context())
			if ctx.Err() != nil {
				t.Error("the context ended while the gate is open")
			}
			gate.SetReason(ReasonUnresponsive, true)
			synctest.Wait()
			if ctx.Err() == nil {
				t.Error("the context did not end when the gate closed")
			}
			gate.SetReason(ReasonUnresponsive, false)
			cancel()
		}
	})
}
