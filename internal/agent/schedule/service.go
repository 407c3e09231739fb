package schedule

import (
	"context"
	"sync"
	"time"

	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/fairqueue"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

const (
	queuedPerGrant   = 8                // Queue length per attempt that the endpoint runs at once.
	agingStep        = 2 * time.Second  // Wait after which an attempt moves up one priority class.
	maxBypass        = 4                // Attempts of a running build that may overtake one attempt.
	maxLeadTokens    = 4_000            // Weighted tokens that an organisation may be ahead of one that it overtakes.
	maxLagTokens     = 50_000           // Weighted tokens that an organisation whose attempts could not run may catch up on.
	loadTokens       = 1_000            // Tokens that an organisation is charged for one load.
	rateHalfLife     = 10 * time.Second // Half-life of the service rate estimate.
	maxLoads         = 1                // Load orders sent to the engine at once.
	failureBackoff   = time.Second      // Backoff after the first failed load of a build; doubles up to maxBackoff.
	maxBackoff       = 30 * time.Second
	repeatDelay      = 250 * time.Millisecond // Wait before an unanswered order or a failed permit request is repeated.
	demandHalfLife   = 30 * time.Second       // Time in which the weight of a past use of a build halves.
	maxAbsentRecords = 256                    // Absent builds whose demand and failures are kept.
	maxWantedBuilds  = 16                     // Builds of waiting attempts that are considered for loading at once.
	// tokenPollInterval is the time between checks for a fencing token while
	// attempts wait and this process may not send orders.
	tokenPollInterval = time.Second
)

// MaxSlotWait is the longest time that an attempt waits while every adapter
// slot is in use.
const MaxSlotWait = 6 * time.Second

// Options configures New.
type Options struct {
	Engine             engine.Engine                      // Not used if Slots is 0.
	FencingToken       func() (engine.FencingToken, bool) // Returns the fencing token, or false if no order may be sent.
	ChecksFencingToken bool                               // Whether loads and unloads require that FencingToken returns true.
	Permits            LoadPermits
	Slots              int           // Adapter builds that the engine holds at once; 0 for a plain service.
	Capacity           int           // Attempts that the endpoint runs at once.
	Grace              time.Duration // Longest time that Serve waits for attempts to finish after its context ends.
	Timeline           *timeline.Ring
	Metrics            tally.Scope // No metrics are recorded if nil.
}

// Service implements Scheduler. It is safe for concurrent use.
type Service struct {
	opts         Options
	metrics      metrics
	orderCtx     context.Context // Context of the orders to the engine and of the permit requests.
	cancelOrders context.CancelFunc
	inFlight     sync.WaitGroup // Goroutines of orders and permit requests.

	mu              sync.Mutex // Guards the fields below.
	queue           *fairqueue.Queue
	machine         *slots.Machine
	waiters         map[fairqueue.ID]*waiter
	grants          map[ident.AttemptID]*grant
	lastID          fairqueue.ID
	running         int // Attempts that hold a grant.
	runningIsolated int // Attempts with IsolateSuspect that hold a grant.
	permits         permits
	timer           *time.Timer   // Next call of advance; nil before the first one.
	idle            chan struct{} // Closed once no attempt waits or runs; nil until idleSignal is called.
}

// waiter is an attempt in the queue.
type waiter struct {
	job        wire.Job
	build      slots.Build // Zero for a job without an adapter.
	resident   bool        // Whether the build was resident when the attempt arrived.
	enqueuedAt time.Time
	decision   chan decision // Has capacity 1 and receives one value.
}

// decision ends the wait of an attempt: either grant or err is set.
type decision struct {
	grant *grant
	err   error
}

// New returns a Service without any state of the engine. Residency is read from
// the engine at the first call of HandleBoot or Acquire. Serve ends the Service.
func New(opts Options) *Service {
	if opts.Metrics == nil {
		opts.Metrics = tally.NoopScope
	}
	s := &Service{
		opts:    opts,
		metrics: newMetrics(opts.Metrics),
		queue:   fairqueue.New(QueueConfig(opts.Capacity)),
		machine: slots.New(SlotsConfig(opts.Slots)),
		waiters: make(map[fairqueue.ID]*waiter),
		grants:  make(map[ident.AttemptID]*grant),
	}
	s.orderCtx, s.cancelOrders = context.WithCancel(context.Background())
	return s
}

// QueueConfig returns the queue configuration for an endpoint that runs
// capacity attempts at once.
func QueueConfig(capacity int) fairqueue.Config {
	return fairqueue.Config{
		MaxItems:      queuedPerGrant * capacity,
		Concurrency:   capacity,
		AgingStep:     agingStep,
		MaxBypass:     maxBypass,
		MaxLead:       maxLeadTokens,
		MaxLag:        maxLagTokens,
		TokensPerLoad: loadTokens,
		RateHalfLife:  rateHalfLife,
	}
}

// SlotsConfig returns the slots configuration for an engine that holds count
// builds at once.
func SlotsConfig(count int) slots.Config {
	return slots.Config{
		Slots:            count,
		MaxLoads:         maxLoads,
		FailureBackoff:   failureBackoff,
		MaxBackoff:       maxBackoff,
		RepeatDelay:      repeatDelay,
		DemandHalfLife:   demandHalfLife,
		MaxAbsentEntries: maxAbsentRecords,
	}
}

// String returns the service name used in the supervisor's events.
func (s *Service) String() string {
	return "schedule"
}

// Serve blocks until ctx ends. It then waits up to Options.Grace for the
// waiting and running attempts to finish, and cancels the remaining orders. It
// implements suture.Service.
func (s *Service) Serve(ctx context.Context) error {
	<-ctx.Done()
	grace := time.NewTimer(s.opts.Grace)
	defer grace.Stop()
	select {
	case <-s.idleSignal():
	case <-grace.C:
	}
	s.cancelOrders()
	s.mu.Lock()
	s.stopTimer()
	s.mu.Unlock()
	s.inFlight.Wait()
	return suture.ErrDoNotRestart
}

// Acquire implements Scheduler.
func (s *Service) Acquire(ctx context.Context, job wire.Job) (Grant, error) {
	w, err := s.enqueue(ctx, job)
	if err != nil {
		return nil, err
	}
	select {
	case d := <-w.decision:
		if d.err != nil {
			return nil, d.err
		}
		return d.grant, nil
	case <-ctx.Done():
		s.cancelWait(w)
		return nil, ctx.Err()
	}
}

// Load implements Scheduler.
func (s *Service) Load(job wire.Job) wire.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := wire.Load{
		Running:      s.running,
		Capacity:     s.opts.Capacity,
		Queued:       s.queue.Len(),
		QueuedTokens: s.queue.ReservedTokens(),
	}
	if g, ok := s.grants[job.AttemptID]; ok {
		load.Resident = g.resident
	}
	return load
}

// HandleBoot implements Scheduler.
func (s *Service) HandleBoot(boot ident.BootID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.machine.SetBoot(boot) {
		return
	}
	s.metrics.boots.Inc(1)
	s.opts.Timeline.Record(timeline.Event{Kind: timeline.KindEngineRestarted, Detail: string(boot)})
	s.advance()
}

// idleSignal returns a channel that is closed as soon as no attempt waits or runs.
func (s *Service) idleSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.idle == nil {
		s.idle = make(chan struct{})
	}
	idle := s.idle
	s.signalIdle()
	return idle
}

// signalIdle closes the channel of idleSignal if no attempt waits or runs. It is
// called with mu held.
func (s *Service) signalIdle() {
	if s.idle == nil || s.running > 0 || len(s.waiters) > 0 {
		return
	}
	select {
	case <-s.idle:
	default:
		close(s.idle)
	}
}
