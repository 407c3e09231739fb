package schedule

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/fairqueue"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// permits holds the load permits of a Service and its requests for more.
type permits struct {
	held          []func()                   // Release functions of permits that no load uses yet.
	requests      map[int]context.CancelFunc // Pending requests by id.
	lastRequestID int
	retryAt       time.Time // No permit is requested before this time; set after an error.
}

// mayOrder reports whether the engine would accept loads and unloads from this
// process.
func (s *Service) mayOrder() bool {
	if !s.opts.ChecksFencingToken {
		return true
	}
	_, ok := s.opts.FencingToken()
	return ok
}

// issueOrders sends the orders that the state allows and requests the load
// permits that further loads need.
func (s *Service) issueOrders(now time.Time) {
	if s.opts.Slots == 0 || s.orderCtx.Err() != nil {
		return
	}
	input := slots.OrderInput{
		WantedBuilds:  s.queue.WantedBuilds(now, maxWantedBuilds),
		Permits:       len(s.permits.held),
		OrdersAllowed: s.mayOrder(),
	}
	for _, order := range s.machine.NextOrders(now, input) {
		s.execute(order)
	}
	input.Permits = len(s.permits.held)
	s.adjustPermits(now, s.machine.PermitsNeeded(now, input))
}

// adjustPermits makes the number of held and requested permits equal to
// needed. It cancels excess requests before it releases held permits.
func (s *Service) adjustPermits(now time.Time, needed int) {
	total := func() int { return len(s.permits.held) + len(s.permits.requests) }
	for total() < needed && !s.permits.retryAt.After(now) {
		s.requestPermit()
	}
	for total() > needed && len(s.permits.requests) > 0 {
		s.cancelNewestRequest()
	}
	for total() > needed && len(s.permits.held) > 0 {
		s.takePermit()()
	}
}

// cancelNewestRequest cancels the most recent request for a permit.
func (s *Service) cancelNewestRequest() {
	newest := 0
	for id := range s.permits.requests {
		newest = max(newest, id)
	}
	s.permits.requests[newest]()
	delete(s.permits.requests, newest)
}

// takePermit removes a held permit and returns its release function.
func (s *Service) takePermit() func() {
	last := len(s.permits.held) - 1
	release := s.permits.held[last]
	s.permits.held = s.permits.held[:last]
	return release
}

// requestPermit requests one permit in the background.
func (s *Service) requestPermit() {
	ctx, cancel := context.WithCancel(s.orderCtx)
	if s.permits.requests == nil {
		s.permits.requests = make(map[int]context.CancelFunc)
	}
	s.permits.lastRequestID++
	id := s.permits.lastRequestID
	s.permits.requests[id] = cancel
	s.inFlight.Go(func() {
		defer cancel()
		release, err := s.opts.Permits.Acquire(ctx)
		s.handlePermit(id, release, err)
	})
}

// handlePermit keeps the permit of a request that has ended. A permit that is
// no longer needed is released.
func (s *Service) handlePermit(id int, release func(), err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, pending := s.permits.requests[id]
	delete(s.permits.requests, id)
	switch {
	case err != nil && (!pending || s.orderCtx.Err() != nil):
		return
	case err != nil:
		s.permits.retryAt = time.Now().Add(repeatDelay)
	case !pending || s.orderCtx.Err() != nil:
		release()
		return
	default:
		s.permits.held = append(s.permits.held, release)
	}
	s.advance()
}

// execute sends an order to the engine in the background, without holding mu.
// A load uses a held permit and is charged to an organisation with an attempt
// that waits for the build.
func (s *Service) execute(o slots.Order) {
	token, _ := s.opts.FencingToken()
	release := func() {}
	if o.Kind == slots.KindLoad {
		release = s.takePermit()
		s.queue.ChargeLoad(o.Build)
	}
	s.inFlight.Go(func() {
		if o.Kind == slots.KindList {
			s.listBuilds(o)
			return
		}
		err := s.sendOrder(o, token)
		release()
		s.completeOrder(o, err)
	})
}

// listBuilds reads which builds the engine holds.
func (s *Service) listBuilds(o slots.Order) {
	names, err := s.opts.Engine.Models(s.orderCtx)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.machine.CompleteList(time.Now(), o.ID, parseBuilds(names), err == nil)
	s.advance()
}

func (s *Service) sendOrder(o slots.Order, token engine.FencingToken) error {
	build := engine.AdapterBuild(o.Build)
	if o.Kind == slots.KindUnload {
		return s.opts.Engine.Unload(s.orderCtx, build, token)
	}
	return s.opts.Engine.Load(s.orderCtx, build, token)
}

// completeOrder applies the outcome of a load or unload.
func (s *Service) completeOrder(o slots.Order, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	outcome := classifyError(err)
	failed := s.machine.CompleteOrder(now, o.ID, outcome)
	s.recordOutcome(o, outcome, err)
	if failed {
		s.refuseBuildWaiters(now, o.Build)
	}
	s.advance()
}

// refuseBuildWaiters refuses the attempts that wait for a build whose load failed.
func (s *Service) refuseBuildWaiters(now time.Time, b slots.Build) {
	waiting := s.queue.RemoveMatching(func(item fairqueue.Item) bool { return item.Build == b })
	for _, item := range waiting {
		s.refuse(item, loadFailed(max(s.machine.Backoff(now, b), failureBackoff)))
	}
}

// recordOutcome counts the outcome of an order and adds a timeline event. An
// unload that did not succeed has no event.
func (s *Service) recordOutcome(o slots.Order, outcome slots.Outcome, err error) {
	event := timeline.Event{Adapter: o.Build.Adapter, Version: o.Build.Version}
	switch {
	case outcome == slots.OutcomeDone && o.Kind == slots.KindLoad:
		s.metrics.loads.Inc(1)
		event.Kind = timeline.KindAdapterLoaded
	case outcome == slots.OutcomeDone:
		s.metrics.unloads.Inc(1)
		event.Kind = timeline.KindAdapterUnloaded
	case o.Kind == slots.KindLoad:
		s.metrics.loadFailures.Inc(1)
		event.Kind = timeline.KindAdapterLoadFailed
		event.Detail = err.Error()
	}
	if outcome == slots.OutcomeUnknown {
		s.metrics.unanswered.Inc(1)
	}
	if event.Kind != "" {
		s.opts.Timeline.Record(event)
	}
}

// classifyError returns the outcome of an order that ended with err. For an
// error that does not determine the outcome it returns slots.OutcomeUnknown:
// the engine may or may not have carried out the order.
func classifyError(err error) slots.Outcome {
	switch {
	case err == nil:
		return slots.OutcomeDone
	case errors.Is(err, engine.ErrOrderFailed), errors.Is(err, engine.ErrFenced):
		return slots.OutcomeFailed
	case errors.Is(err, engine.ErrUnavailable):
		return slots.OutcomeNotSent
	default:
		return slots.OutcomeUnknown
	}
}

// parseBuilds parses the engine's model names of the form adapter@version.
// Other names, such as the base model's, are skipped.
func parseBuilds(names []string) []slots.Build {
	var builds []slots.Build
	for _, name := range names {
		adapter, version, ok := strings.Cut(name, "@")
		if ok {
			builds = append(builds, slots.Build{Adapter: ident.Adapter(adapter), Version: ident.Version(version)})
		}
	}
	return builds
}
