package dispatch_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// checkRefusal checks a refusal's code and its statement whether the request
// ran.
func checkRefusal(t *testing.T, got callerResponse, code refusal.Code, ran refusal.Ran) {
	t.Helper()
	if got.Refusal == nil {
		t.Errorf("response = %d %s, want refusal %s", got.status, got.body, code)
		return
	}
	if got.Refusal.Code != code || got.Refusal.Ran != ran {
		t.Errorf("refusal = %v, want %s (ran: %s)", got.Refusal, code, ran)
	}
}

// checkDepositResponse checks that the response is that of the first deposit
// and whether it is marked as replayed.
func checkDepositResponse(t *testing.T, got callerResponse, replayed bool) {
	t.Helper()
	if got.status != http.StatusCreated || !strings.Contains(got.body, `"deposit":1`) {
		t.Errorf("response = %d %s, want 201 with deposit 1", got.status, got.body)
	}
	if (got.header.Get(wire.HeaderReplayed) == "true") != replayed {
		t.Errorf("header %s = %q, want replayed %t", wire.HeaderReplayed, got.header.Get(wire.HeaderReplayed), replayed)
	}
}

func TestRepeatedKeyReplaysStoredResponse(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		checkDepositResponse(f.t, f.deposit("k"), false)
		checkDepositResponse(f.t, f.deposit("k"), true)
		f.vms[0], f.vms[1] = f.vms[1], f.vms[0] // Prefer the other endpoint.
		checkDepositResponse(f.t, f.deposit("k"), true)
		checkRefusal(f.t, f.depositWithBody("k", `{"amount":6}`), refusal.CodeIdempotencyKeyReused, refusal.RanNo)
		f.checkDepositCount(1)
	})
}

func TestRepeatedKeyIsRefusedDuringTheRun(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		f.services[0].SetDelay(2 * time.Second)
		first := make(chan callerResponse, 1)
		go func() { first <- f.deposit("k") }()
		time.Sleep(time.Second)
		checkRefusal(f.t, f.deposit("k"), refusal.CodeIdempotencyKeyInUse, refusal.RanUnknown)
		checkDepositResponse(f.t, <-first, false)
		f.checkDepositCount(1)
	})
}

func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		done := make(chan callerResponse)
		for range 8 {
			d := f.newDispatcher()
			go func() { done <- send(f.t.Context(), d, depositJob("k"), "{}") }()
		}
		for range 8 {
			if got := <-done; got.Refusal != nil {
				checkRefusal(f.t, got, refusal.CodeIdempotencyKeyInUse, refusal.RanUnknown)
			}
		}
		f.checkDepositCount(1)
	})
}

// TestDepositRunsOnceDespiteStoreFaults guards against a second run, and
// against a run without a claim, if the store fails while the claim is acquired
// or while the outcome is stored.
func TestDepositRunsOnceDespiteStoreFaults(t *testing.T) {
	tests := []struct {
		name      string
		onClaim   store.Fault // Active when the claim is acquired.
		onOutcome store.Fault // Active from 500 ms on, while the deposit runs.
		code      refusal.Code
		deposits  int
		repeat    refusal.Code // Refusal of the repeat after the store recovered; empty if it replays.
	}{
		{name: "down during claim", onClaim: store.FaultDown, code: refusal.CodeClaimsUnavailable},
		{name: "claim write lost", onClaim: store.FaultWriteLost, code: refusal.CodeClaimsUnavailable},
		{name: "claim response lost", onClaim: store.FaultResponseLost, deposits: 1},
		{name: "down during outcome write", onOutcome: store.FaultDown, deposits: 1},
		{name: "outcome write lost", onOutcome: store.FaultWriteLost, deposits: 1},
		{name: "outcome response lost", onOutcome: store.FaultResponseLost, deposits: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, func(f *fleet) {
				f.addServices(2)
				f.services[0].SetDelay(time.Second)
				f.store.SetFault(tt.onClaim)
				time.AfterFunc(500*time.Millisecond, func() { f.store.SetFault(tt.onOutcome) })
				got := f.deposit("k")
				if tt.code != "" {
					checkRefusal(f.t, got, tt.code, refusal.RanNo)
				} else {
					checkDepositResponse(f.t, got, false)
				}
				f.checkDepositCount(tt.deposits)
				f.store.SetFault(store.FaultNone)
				time.Sleep(timeout)
				repeat := f.deposit("k")
				checkDepositResponse(f.t, repeat, tt.deposits == 1)
				f.checkDepositCount(1)
			})
		})
	}
}

// TestAgentKilledDuringClaimedDeposit kills the agent at each step of a deposit
// with an idempotency key. The caller repeats the deposit on another endpoint
// at once and again after the deadline; it must not run twice.
func TestAgentKilledDuringClaimedDeposit(t *testing.T) {
	tests := []struct {
		name     string
		kill     func(f *fleet, n *node)
		deposits int
		repeat   refusal.Code // Refusal of the immediate repeat; empty if the repeat runs.
		ran      refusal.Ran
	}{
		{
			name: "before the claim", deposits: 1, ran: refusal.RanUnknown,
			kill: func(_ *fleet, n *node) { n.store.beforeWrite = n.kill },
		},
		{
			name: "between claim and run", deposits: 0, repeat: refusal.CodeIdempotencyKeyInUse, ran: refusal.RanUnknown,
			kill: func(_ *fleet, n *node) { n.store.afterWrite = n.kill },
		},
		{
			name: "during the run", deposits: 1, repeat: refusal.CodeIdempotencyKeyInUse, ran: refusal.RanUnknown,
			kill: func(f *fleet, n *node) {
				f.services[0].SetDelay(2 * time.Second)
				time.AfterFunc(time.Second, n.kill)
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runFleetTest(t, func(f *fleet) {
				f.addServices(2)
				tt.kill(f, f.nodes[0])
				got := f.deposit("k")
				checkRefusal(f.t, got, refusal.CodeEndpointFailed, tt.ran)
				again := f.deposit("k")
				if tt.repeat == "" {
					checkDepositResponse(f.t, again, false)
				} else {
					checkRefusal(f.t, again, tt.repeat, refusal.RanUnknown)
				}
				time.Sleep(2 * timeout)
				late := f.deposit("k")
				if tt.repeat == "" {
					checkDepositResponse(f.t, late, true)
				} else {
					checkRefusal(f.t, late, refusal.CodeOutcomeUnknown, refusal.RanUnknown)
				}
				f.checkDepositCount(tt.deposits)
			})
		})
	}
}

func TestAgentKilledBeforeStoringTheOutcome(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		writes := 0
		f.nodes[0].store.beforeWrite = func() {
			if writes++; writes == 2 { // The first write is the claim.
				f.nodes[0].kill()
			}
		}
		checkRefusal(f.t, f.deposit("k"), refusal.CodeEndpointFailed, refusal.RanUnknown)
		checkRefusal(f.t, f.deposit("k"), refusal.CodeIdempotencyKeyInUse, refusal.RanUnknown)
		time.Sleep(2 * timeout)
		checkRefusal(f.t, f.deposit("k"), refusal.CodeOutcomeUnknown, refusal.RanUnknown)
		f.checkDepositCount(1)
	})
}

func TestTruncatedEndpointResponseIsNotRetried(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		f.services[0].LoseResponses(2)
		checkRefusal(f.t, f.deposit("k"), refusal.CodeEndpointFailed, refusal.RanUnknown)
		checkRefusal(f.t, f.deposit("k"), refusal.CodeIdempotencyKeyInUse, refusal.RanUnknown)
		checkRefusal(f.t, f.deposit(""), refusal.CodeEndpointFailed, refusal.RanUnknown)
		f.checkDepositCount(2) // One with the key and one without.
	})
}

func TestUnreachableEndpointLeavesNoClaim(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		f.net.disconnect(f.nodes[0].endpoint)
		checkDepositResponse(f.t, f.deposit("k"), false)
		f.checkDepositCount(1)
	})
}

func TestResponseIsStoredAfterCallerCancels(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(1)
		f.services[0].SetDelay(2 * time.Second)
		ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
		defer cancel()
		send(ctx, f.dispatcher, depositJob("k"), `{"amount":5}`)
		time.Sleep(2 * time.Second)
		checkDepositResponse(f.t, f.deposit("k"), true)
		f.checkDepositCount(1)
	})
}

func TestFrozenAgentDoesNotRunExpiredAttempt(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		f.deposit("warm") // Opens the connection.
		f.net.freeze(f.nodes[0].vm.Address)
		start := time.Now()
		checkRefusal(f.t, f.deposit("k"), refusal.CodeEndpointFailed, refusal.RanUnknown)
		if waited := time.Since(start); waited >= timeout {
			f.t.Errorf("frozen agent was detected after %v, want less than %v", waited, timeout)
		}
		time.Sleep(2 * timeout)
		f.net.resume(f.nodes[0].vm.Address)
		synctest.Wait()
		f.checkDepositCount(1) // The warm-up deposit.
	})
}

func TestDepositWithoutKeyRunsAtMostOnce(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addServices(2)
		f.services[0].SetDelay(time.Second)
		time.AfterFunc(500*time.Millisecond, f.nodes[0].kill)
		checkRefusal(f.t, f.deposit(""), refusal.CodeEndpointFailed, refusal.RanUnknown)
		f.checkDepositCount(1)
	})
}
