package schedule

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const busyRetryAfter = time.Second

// Options configures New.
type Options struct {
	Engine   engine.Engine               // Nil where the endpoint is a plain service.
	Fence    func() (engine.Fence, bool) // Fencing number; false while the process holds none.
	Permits  LoadPermits
	Slots    int // Adapter builds that the engine holds at once.
	Capacity int // Attempts that the endpoint runs at once.
	Log      *logrus.Entry
	Timeline *timeline.Ring
}

// Slots is a Scheduler that loads on demand and evicts the build that has
// been idle longest.
type Slots struct {
	opts  Options
	seats chan struct{}

	mu    sync.Mutex
	boot  ident.BootID
	order chan struct{} // Holds one element while an order is with the engine.
	inUse map[engine.Resident]int
	last  map[engine.Resident]time.Time
}

// New returns a Slots with nothing resident.
func New(opts Options) *Slots {
	return &Slots{
		opts:  opts,
		seats: make(chan struct{}, opts.Capacity),
		order: make(chan struct{}, 1),
		inUse: make(map[engine.Resident]int),
		last:  make(map[engine.Resident]time.Time),
	}
}

// Acquire implements Scheduler.
func (s *Slots) Acquire(ctx context.Context, job wire.Job) (Turn, error) {
	select {
	case s.seats <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if job.Adapter == "" {
		return &turn{slots: s}, nil
	}
	build := engine.Resident{Adapter: job.Adapter, Version: job.Version}
	if err := s.hold(ctx, build); err != nil {
		<-s.seats
		return nil, err
	}
	return &turn{slots: s, build: build}, nil
}

// Load implements Scheduler.
func (s *Slots) Load(wire.Job) wire.Load {
	return wire.Load{Running: len(s.seats), Capacity: cap(s.seats)}
}

// EngineBooted implements Scheduler.
func (s *Slots) EngineBooted(boot ident.BootID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if boot == s.boot {
		return
	}
	s.boot = boot
	s.inUse = make(map[engine.Resident]int)
	s.last = make(map[engine.Resident]time.Time)
}

func (s *Slots) hold(ctx context.Context, build engine.Resident) error {
	if s.take(build) {
		return nil
	}
	select {
	case s.order <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-s.order }()
	if s.take(build) {
		return nil
	}
	if err := s.makeRoom(ctx); err != nil {
		return err
	}
	if err := s.load(ctx, build); err != nil {
		return loadFailed(err)
	}
	s.mu.Lock()
	s.inUse[build]++
	s.mu.Unlock()
	s.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindAdapterLoaded, Adapter: build.Adapter, Version: build.Version,
	})
	return nil
}

func (s *Slots) load(ctx context.Context, build engine.Resident) error {
	release, err := s.opts.Permits.Acquire(ctx)
	if err != nil {
		return err
	}
	defer release()
	fence, _ := s.opts.Fence()
	return s.opts.Engine.Load(ctx, build, fence)
}

// take counts a use of a resident build and reports whether it is resident.
func (s *Slots) take(build engine.Resident) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.inUse[build]; !ok {
		return false
	}
	s.inUse[build]++
	return true
}

func (s *Slots) makeRoom(ctx context.Context) error {
	victim, full := s.victim()
	if !full {
		return nil
	}
	if victim == (engine.Resident{}) {
		return busy()
	}
	fence, _ := s.opts.Fence()
	if err := s.opts.Engine.Unload(ctx, victim, fence); err != nil {
		return loadFailed(err)
	}
	s.opts.Timeline.Record(timeline.Event{
		Kind: timeline.KindAdapterUnloaded, Adapter: victim.Adapter, Version: victim.Version,
	})
	return nil
}

// victim removes and returns the build that has been idle longest.
func (s *Slots) victim() (engine.Resident, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.inUse) < s.opts.Slots {
		return engine.Resident{}, false
	}
	var oldest engine.Resident
	for build, uses := range s.inUse {
		if uses > 0 {
			continue
		}
		if oldest == (engine.Resident{}) || s.last[build].Before(s.last[oldest]) {
			oldest = build
		}
	}
	delete(s.inUse, oldest)
	delete(s.last, oldest)
	return oldest, true
}

func (s *Slots) release(build engine.Resident) {
	<-s.seats
	if build == (engine.Resident{}) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inUse[build]--
	s.last[build] = time.Now()
}

type turn struct {
	slots *Slots
	build engine.Resident
}

// Release implements Turn.
func (t *turn) Release(int64) {
	t.slots.release(t.build)
}

func busy() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeEndpointBusy,
		Message: "every adapter slot of the endpoint is in use", Ran: refusal.RanNo, RetryAfter: busyRetryAfter,
	}
}

func loadFailed(err error) error {
	if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
		return err
	}
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeEndpoint, Code: refusal.CodeAdapterLoadFailed,
		Message: "the endpoint could not load the adapter", Ran: refusal.RanNo, RetryAfter: busyRetryAfter,
	}
}
