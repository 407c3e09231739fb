package schedule

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
)

const testLoadTime = 250 * time.Millisecond

// fakeEngine is an in-memory engine.Engine with injectable faults. It records
// violations of the rules that a scheduler must keep.
type fakeEngine struct {
	engine.Engine
	slots int

	mu            sync.Mutex
	held          map[engine.AdapterBuild]bool
	running       map[engine.AdapterBuild]int // Number of running requests per build.
	failLoads     int                         // Number of next loads that fail.
	loseResponses int                         // Number of next orders that are carried out and whose response is lost.
	loseOrders    int                         // Number of next orders that are lost before they reach the engine.
	modelsFail    bool                        // Whether Models fails.
	loads         int                         // Load orders that reached the engine.
	violations    []string
	restarted     chan struct{} // Closed when the engine restarts.
}

func newFakeEngine(slots int) *fakeEngine {
	return &fakeEngine{
		slots: slots, held: make(map[engine.AdapterBuild]bool), running: make(map[engine.AdapterBuild]int),
		restarted: make(chan struct{}),
	}
}

func (f *fakeEngine) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = make(map[engine.AdapterBuild]bool)
	f.running = make(map[engine.AdapterBuild]int)
	close(f.restarted)
	f.restarted = make(chan struct{})
}

func (f *fakeEngine) Models(context.Context) ([]string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.modelsFail {
		return nil, engine.ErrUnavailable
	}
	names := []string{"base-model"}
	for build := range f.held {
		names = append(names, build.Name())
	}
	return names, nil
}

func (f *fakeEngine) Load(ctx context.Context, build engine.AdapterBuild, _ engine.FencingToken) error {
	f.mu.Lock()
	restarted := f.restarted
	f.mu.Unlock()
	select {
	case <-time.After(testLoadTime):
	case <-restarted:
		return engine.ErrOutcomeUnknown
	case <-ctx.Done():
		return engine.ErrOutcomeUnknown
	}
	return f.applyOrder(func() error {
		f.loads++
		if f.failLoads > 0 {
			f.failLoads--
			return engine.ErrOrderFailed
		}
		f.held[build] = true
		if len(f.held) > f.slots {
			f.violations = append(f.violations, "the engine holds more builds than it has slots")
		}
		return nil
	})
}

func (f *fakeEngine) Unload(_ context.Context, build engine.AdapterBuild, _ engine.FencingToken) error {
	return f.applyOrder(func() error {
		if f.running[build] > 0 {
			f.violations = append(f.violations, build.Name()+" was unloaded while a request ran on it")
		}
		if !f.held[build] {
			return engine.ErrOrderFailed
		}
		delete(f.held, build)
		return nil
	})
}

// applyOrder carries out an order, unless loseOrders applies. If loseResponses
// applies, it carries out the order and hides the result.
func (f *fakeEngine) applyOrder(carryOut func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loseOrders > 0 {
		f.loseOrders--
		return engine.ErrOutcomeUnknown
	}
	err := carryOut()
	if f.loseResponses > 0 {
		f.loseResponses--
		return engine.ErrOutcomeUnknown
	}
	return err
}

// addRunning adds n to the running requests of the job's build. A request that
// begins on a build that is not held is a violation.
func (f *fakeEngine) addRunning(job wire.Job, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	build := engine.AdapterBuild{Adapter: job.Adapter, Version: job.Version}
	if n > 0 && !f.held[build] {
		f.violations = append(f.violations, build.Name()+" ran a request although the engine does not hold it")
	}
	f.running[build] += n
}

func (f *fakeEngine) reportViolations(t *testing.T) {
	t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, v := range f.violations {
		t.Error(v)
	}
}
