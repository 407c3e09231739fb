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
	"github.com/hyssoptiller/hyssoptiller/internal/platform/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const busyRetryAfter = time.Second

// Options configures New.
type Options struct {
	Engine   engine.Engine // Nil where the endpoint is a plain service.
	Fence    func() engine.Fence
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
	order sync.Mutex // Held while an order is with the engine.
	inUse map[engine.Resident]int
	last  map[engine.Resident]time.Time
}

// New returns a Slots with nothing resident.
func New(opts Options) *Slots {
	return &Slots{
		opts:  opts,
		seats: make(chan struct{}, opts.Capacity),
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
func (s *Slots) Load() Load {
	return Load{Running: len(s.seats)}
}

func (s *Slots) hold(ctx context.Context, build engine.Resident) error {
	if s.take(build) {
		return nil
	}
	s.order.Lock()
	defer s.order.Unlock()
	if s.take(build) {
		return nil
	}
	if err := s.makeRoom(ctx); err != nil {
		return err
	}
	if err := s.opts.Engine.Load(ctx, build, s.opts.Fence()); err != nil {
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
	if err := s.opts.Engine.Unload(ctx, victim, s.opts.Fence()); err != nil {
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
func (t *turn) Release() {
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
