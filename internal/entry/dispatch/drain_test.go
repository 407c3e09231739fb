package dispatch_test

import (
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/agent"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

// drainTriggers are the ways in which an endpoint starts to drain.
var drainTriggers = map[string]func(f *fleet){
	"agent is stopped":        func(f *fleet) { f.nodes[0].stop() },
	"engine reports draining": func(f *fleet) { f.engines[0].SetDraining(true) },
}

func TestDrainingEndpointFinishesItsWorkAndGetsNoNewWork(t *testing.T) {
	slow := plainEngine
	slow.TokenTime = 3 * time.Second
	for name, startDrain := range drainTriggers {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, func(f *fleet) {
				f.addEngines(2, slow)
				done := make(chan callerResponse, 2)
				go func() { done <- f.complete(true, "x") }()
				time.Sleep(loadTime)
				go func() { done <- f.complete(false, "y") }()
				time.Sleep(time.Second)
				startDrain(f)
				time.Sleep(5 * time.Second)
				before := f.runCounts()[0]
				go func() { done <- f.complete(true, "new") }()
				for range 3 {
					if got := <-done; got.Refusal != nil || got.Incomplete {
						f.t.Errorf("response = %+v, want it complete", got)
					}
				}
				if runs := f.runCounts(); runs[0] != before || runs[1] != 1 {
					f.t.Errorf("runs per engine = %v, want [%d 1]: new work goes to the engine that does not drain", runs, before)
				}
			})
		})
	}
}

func TestQueuedRequestMovesOffADrainingEndpoint(t *testing.T) {
	slow := plainEngine
	slow.TokenTime = 2 * time.Second
	runFleetTest(t, func(f *fleet) {
		f.addEnginesWith(2, slow, func(s *agent.Settings) { s.Capacity = 1 })
		done := make(chan callerResponse, 2)
		start := time.Now()
		for range 2 {
			go func() { done <- f.complete(false, "x") }()
			time.Sleep(loadTime)
		}
		time.Sleep(time.Second)
		f.engines[0].SetDraining(true)
		for range 2 {
			checkCompletion(f.t, <-done, false)
		}
		if took := time.Since(start); took > 12*time.Second {
			f.t.Errorf("both requests took %v, want at most 12s", took)
		}
		if runs := f.runCounts(); runs[0] != 1 || runs[1] != 1 {
			f.t.Errorf("runs per engine = %v, want [1 1]: the queued request moves off the draining engine", runs)
		}
	})
}

func TestFrozenEndpointGetsNoWorkUntilItResumes(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		f.net.freeze(f.nodes[0].endpoint)
		time.Sleep(8 * time.Second)
		start := time.Now()
		checkCompletion(f.t, f.complete(false, "x"), false)
		if time.Since(start) > 2*time.Second {
			f.t.Errorf("request took %v while one endpoint was frozen, want at most 2s", time.Since(start))
		}
		f.net.resume(f.nodes[0].endpoint)
		f.settle()
		before := f.runCounts()[0]
		checkCompletion(f.t, f.complete(false, "y"), false)
		if f.runCounts()[0] != before+1 {
			f.t.Error("the endpoint got no request after it resumed")
		}
	})
}

func TestAdapterIsReloadedAfterEngineRestart(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(1, plainEngine)
		checkCompletion(f.t, f.complete(false, "x"), false)
		f.engines[0].Restart()
		f.settle()
		checkCompletion(f.t, f.complete(false, "y"), false)
	})
}

func TestRequestSucceedsBeforeEngineRestartIsDetected(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(2, plainEngine)
		checkCompletion(f.t, f.complete(false, "x"), false)
		f.engines[0].Restart() // The agent has not detected the restart yet.
		checkCompletion(f.t, f.complete(false, "y"), false)
	})
}

func TestReplacedAgentRefusesWork(t *testing.T) {
	for _, checksToken := range []bool{true, false} {
		runFleetTest(t, func(f *fleet) {
			opts := plainEngine
			opts.ChecksFencingToken = checksToken
			f.addEnginesWith(1, opts, func(s *agent.Settings) { s.ChecksFencingToken = checksToken })
			checkCompletion(f.t, f.complete(false, "x"), false)
			f.addSecondAgent(f.nodes[0], checksToken)
			f.settle()
			old, successor := f.vms[0], f.vms[1]
			f.vms = []vmlist.VM{old}
			checkRefusal(f.t, f.complete(false, "y"), refusal.CodeDraining, refusal.RanNo)
			f.vms = []vmlist.VM{successor}
			checkCompletion(f.t, f.complete(false, "z"), false)
		})
	}
}

func TestAgentWithoutFencingTokenLoadsOnlyOnEngineWithoutCheck(t *testing.T) {
	for _, checksToken := range []bool{true, false} {
		runFleetTest(t, func(f *fleet) {
			f.store.SetFault(store.FaultDown)
			f.addEnginesWith(1, enginestandin.Options{Slots: 2, ChecksFencingToken: checksToken},
				func(s *agent.Settings) { s.ChecksFencingToken = checksToken })
			got := f.complete(false, "x")
			if checksToken {
				checkRefusal(f.t, got, refusal.CodeAdapterLoadFailed, refusal.RanNo)
				f.store.SetFault(store.FaultNone)
				f.settle()
				got = f.complete(false, "x")
			}
			checkCompletion(f.t, got, false)
		})
	}
}
