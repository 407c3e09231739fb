package schedule

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// fixture is a running Service with a fakeEngine, inside a synctest bubble.
type fixture struct {
	*Service
	engine  *fakeEngine
	noToken bool   // Whether the process holds no valid fencing token.
	stop    func() // Ends Serve and reports violations of the engine's rules.
}

func newFixture(t *testing.T, slots int, change func(*Options)) *fixture {
	t.Helper()
	f := &fixture{engine: newFakeEngine(slots)}
	opts := Options{
		Engine: f.engine, Permits: UnlimitedLoads{}, Slots: slots, Capacity: 4, Grace: time.Minute,
		FencingToken: func() (engine.FencingToken, bool) { return 1, !f.noToken },
	}
	if change != nil {
		change(&opts)
	}
	f.Service = New(opts)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = f.Serve(ctx)
		close(done)
	}()
	f.stop = func() {
		cancel()
		<-done
		f.engine.reportViolations(t)
	}
	f.HandleBoot("boot-1")
	return f
}

func newJob(adapter string) wire.Job {
	return wire.Job{
		AttemptID: ident.NewAttemptID(), Organisation: "smithy", Adapter: ident.Adapter(adapter), Version: "v1",
		Weight: 1, Cost: 100,
	}
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// mustRun runs the job at once and fails the test if it gets no grant within 20 s.
func (f *fixture) mustRun(t *testing.T, job wire.Job) {
	t.Helper()
	grant, err := f.Acquire(withTimeout(t, 20*time.Second), job)
	if err != nil {
		t.Fatalf("Acquire() for adapter %s: error %v, want a grant", job.Adapter, err)
	}
	f.engine.addRunning(job, 1)
	f.engine.addRunning(job, -1)
	grant.Release(100)
}

// isRefusal reports whether err is a retryable refusal with the given code that
// says that nothing ran.
func isRefusal(err error, code refusal.Code) bool {
	var r *refusal.Refusal
	return errors.As(err, &r) && r.Code == code && r.Ran == refusal.RanNo &&
		r.Status == http.StatusServiceUnavailable && r.RetryAfter > 0
}

func TestBuildIsLoadedOnceAndReportedResident(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, nil)
		defer f.stop()
		for i, resident := range []bool{false, true} {
			job := newJob("a")
			grant, err := f.Acquire(withTimeout(t, time.Second), job)
			if err != nil {
				t.Fatal(err)
			}
			if load := f.Load(job); load.Resident != resident || load.Running != 1 || load.Capacity != 4 {
				t.Errorf("run %d: Load() = %+v, want 1 running, capacity 4, and resident in run 1 only", i, load)
			}
			grant.Release(100)
		}
		if f.engine.loads != 1 {
			t.Errorf("the engine got %d loads, want 1", f.engine.loads)
		}
	})
}

// An unload whose response is lost leaves the build's residency unknown. The
// Service must list the engine's builds and serve both builds in the single slot.
func TestUnloadWithUnknownOutcomeIsResolved(t *testing.T) {
	for name, injectFault := range map[string]func(*fakeEngine){
		"response lost": func(e *fakeEngine) { e.loseResponses = 1 },
		"order lost":    func(e *fakeEngine) { e.loseOrders = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1, nil)
				defer f.stop()
				f.mustRun(t, newJob("a"))
				injectFault(f.engine)
				f.mustRun(t, newJob("b"))
				f.mustRun(t, newJob("a"))
			})
		})
	}
}

func TestFailedLoadIsRefusedAndBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, nil)
		defer f.stop()
		f.engine.failLoads = 1
		_, err := f.Acquire(withTimeout(t, 20*time.Second), newJob("a"))
		if !isRefusal(err, refusal.CodeAdapterLoadFailed) {
			t.Fatalf("Acquire() with a failing load: error %v, want an adapter_load_failed refusal", err)
		}
		synctest.Wait()
		start := time.Now()
		_, err = f.Acquire(withTimeout(t, 20*time.Second), newJob("a"))
		if !isRefusal(err, refusal.CodeAdapterLoadFailed) || time.Since(start) > 0 {
			t.Fatalf("Acquire() during the backoff: error %v after %s, want an adapter_load_failed refusal at once",
				err, time.Since(start))
		}
		time.Sleep(failureBackoff)
		f.mustRun(t, newJob("a"))
	})
}

func TestFailedLoadIsRefusedAtOnceWhileListingFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, nil)
		defer f.stop()
		synctest.Wait()
		f.engine.mu.Lock()
		f.engine.failLoads = 1
		f.engine.modelsFail = true
		f.engine.mu.Unlock()
		start := time.Now()
		_, err := f.Acquire(withTimeout(t, 20*time.Second), newJob("a"))
		if !isRefusal(err, refusal.CodeAdapterLoadFailed) || time.Since(start) != testLoadTime {
			t.Fatalf("Acquire(): error %v after %s, want an adapter_load_failed refusal after testLoadTime",
				err, time.Since(start))
		}
	})
}

// A restart interrupts the load of b and drops a; both must be loaded again.
func TestRestartDuringLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, nil)
		defer f.stop()
		f.mustRun(t, newJob("a"))
		go func() {
			time.Sleep(testLoadTime / 2)
			f.engine.restart()
			f.HandleBoot("boot-2")
		}()
		f.mustRun(t, newJob("b"))
		f.mustRun(t, newJob("a"))
	})
}

// After a restart, builds in demand are loaded again although no attempt waits
// for them.
func TestBuildInDemandIsPrefetchedAfterRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, nil)
		defer f.stop()
		for range 4 {
			f.mustRun(t, newJob("a"))
		}
		f.mustRun(t, newJob("rare"))
		f.engine.restart()
		f.HandleBoot("boot-2")
		time.Sleep(2 * testLoadTime)
		f.engine.mu.Lock()
		defer f.engine.mu.Unlock()
		inDemand := f.engine.held[engine.AdapterBuild{Adapter: "a", Version: "v1"}]
		rare := f.engine.held[engine.AdapterBuild{Adapter: "rare", Version: "v1"}]
		if !inDemand || rare {
			t.Errorf("the engine holds %v after a restart, want a and not rare", f.engine.held)
		}
	})
}

// A load that began before a restart ends after it. The Service must not take the
// response as proof that the new boot holds the build.
func TestLoadFromFormerBootDoesNotCountAsResident(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, nil)
		defer f.stop()
		go func() {
			time.Sleep(testLoadTime / 2)
			f.engine.mu.Lock()
			f.engine.held = make(map[engine.AdapterBuild]bool)
			f.engine.mu.Unlock()
			f.HandleBoot("boot-2") // The load in flight ends later.
		}()
		f.mustRun(t, newJob("a"))
	})
}

func TestCancelledAttemptLeavesQueueAndPermitRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		permits := &blockedPermits{}
		f := newFixture(t, 1, func(o *Options) { o.Permits = permits })
		defer f.stop()
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			time.Sleep(time.Second)
			cancel()
		}()
		if _, err := f.Acquire(ctx, newJob("a")); !errors.Is(err, context.Canceled) {
			t.Fatalf("Acquire() after a cancel: error %v, want context.Canceled", err)
		}
		synctest.Wait()
		if load := f.Load(wire.Job{}); load.Queued != 0 || load.Running != 0 {
			t.Errorf("Load() after a cancel = %+v, want nothing queued or running", load)
		}
		if permits.waiting() != 0 {
			t.Error("a permit request is still pending after its attempt was cancelled")
		}
	})
}

// blockedPermits is a LoadPermits that never grants a permit.
type blockedPermits struct {
	mu sync.Mutex
	n  int // Pending requests.
}

func (p *blockedPermits) add(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.n += n
}

func (p *blockedPermits) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.n
}

func (p *blockedPermits) Acquire(ctx context.Context) (func(), error) {
	p.add(1)
	defer p.add(-1)
	<-ctx.Done()
	return nil, ctx.Err()
}

// failingPermits is a LoadPermits whose next requests fail.
type failingPermits struct {
	mu       sync.Mutex
	failures int // Number of requests that still fail.
}

func (p *failingPermits) Acquire(context.Context) (func(), error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.failures > 0 {
		p.failures--
		return nil, errors.New("no share holder responds")
	}
	return func() {}, nil
}

func TestFailedPermitRequestIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, func(o *Options) { o.Permits = &failingPermits{failures: 3} })
		defer f.stop()
		f.mustRun(t, newJob("a"))
	})
}

func TestFailedListingIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, nil)
		defer f.stop()
		synctest.Wait()
		f.engine.mu.Lock()
		f.engine.modelsFail = true
		f.engine.mu.Unlock()
		f.HandleBoot("boot-2")
		go func() {
			time.Sleep(3 * time.Second)
			f.engine.mu.Lock()
			f.engine.modelsFail = false
			f.engine.mu.Unlock()
		}()
		f.mustRun(t, newJob("a"))
	})
}

func TestOneIsolatedAttemptRunsAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, nil)
		defer f.stop()
		isolatedJob := func() wire.Job {
			job := newJob("a")
			job.IsolateSuspect = true
			return job
		}
		first, err := f.Acquire(withTimeout(t, time.Second), isolatedJob())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.Acquire(withTimeout(t, time.Second), isolatedJob()); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("Acquire() of a second isolated attempt: error %v, want context.DeadlineExceeded", err)
		}
		f.mustRun(t, newJob("a"))
		first.Release(100)
		f.mustRun(t, isolatedJob())
	})
}

func TestResidentBuildIsServedWithoutFencingToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 2, func(o *Options) { o.ChecksFencingToken = true })
		defer f.stop()
		f.mustRun(t, newJob("a"))
		f.noToken = true
		f.mustRun(t, newJob("a"))
		if _, err := f.Acquire(withTimeout(t, time.Second), newJob("b")); !isRefusal(err, refusal.CodeAdapterLoadFailed) {
			t.Fatalf("Acquire() of an absent build without a fencing token: error %v, want an adapter_load_failed refusal", err)
		}
	})
}

func TestAttemptIsRefusedWhenAllSlotsStayInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, nil)
		defer f.stop()
		grant, err := f.Acquire(withTimeout(t, time.Second), newJob("a"))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		_, err = f.Acquire(withTimeout(t, time.Minute), newJob("b"))
		if !isRefusal(err, refusal.CodeEndpointBusy) || time.Since(start) != MaxSlotWait {
			t.Fatalf("Acquire(): error %v after %s, want an endpoint_busy refusal after MaxSlotWait", err, time.Since(start))
		}
		grant.Release(100)
	})
}

func TestServeWaitsForGrantsToBeReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1, nil)
		grant, err := f.Acquire(withTimeout(t, time.Second), newJob("a"))
		if err != nil {
			t.Fatal(err)
		}
		start := time.Now()
		go func() {
			time.Sleep(10 * time.Second)
			grant.Release(100)
		}()
		f.stop()
		if took := time.Since(start); took != 10*time.Second {
			t.Errorf("Serve() returned after %s, want 10s: when the last grant is released", took)
		}
	})
}

// 1000 requests for 8 builds compete for 3 slots while orders and responses are
// lost and loads fail. No build may be unloaded while in use, the engine may
// never hold more builds than slots, and each refusal must say that nothing ran.
func TestStressWithEngineFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 3, nil)
		rng := rand.New(rand.NewPCG(1, 2))
		var callers sync.WaitGroup
		served := make(chan struct{}, 2000)
		for range 1000 {
			time.Sleep(time.Duration(rng.IntN(60)) * time.Millisecond)
			job := newJob(string(rune('a' + rng.IntN(8))))
			runTime := time.Duration(rng.IntN(400)) * time.Millisecond
			callers.Go(func() { f.runJob(t, job, runTime, served) })
			f.injectFault(rng)
		}
		callers.Wait()
		f.stop()
		if len(served) == 0 {
			t.Error("no request was served")
		}
	})
}

// runJob acquires a grant for the job, runs for runTime and releases the grant.
func (f *fixture) runJob(t *testing.T, job wire.Job, runTime time.Duration, served chan<- struct{}) {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	grant, err := f.Acquire(ctx, job)
	var r *refusal.Refusal
	switch {
	case errors.As(err, &r):
		if r.Ran != refusal.RanNo {
			t.Errorf("refusal %v, want one that says that nothing ran", r)
		}
		return
	case err != nil:
		return
	}
	f.engine.addRunning(job, 1)
	time.Sleep(runTime)
	f.engine.addRunning(job, -1)
	grant.Release(int64(runTime / time.Millisecond))
	served <- struct{}{}
}

// injectFault makes the engine fail its next order in 3 of 40 calls.
func (f *fixture) injectFault(rng *rand.Rand) {
	f.engine.mu.Lock()
	defer f.engine.mu.Unlock()
	switch rng.IntN(40) {
	case 0:
		f.engine.failLoads = 1
	case 1:
		f.engine.loseResponses = 1
	case 2:
		f.engine.loseOrders = 1
	}
}
