package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/availability"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/streamrecords"
)

const (
	// idleReportInterval is the interval between reports while the engine neither loads nor
	// prefills.
	idleReportInterval = 250 * time.Millisecond
	// loadReportInterval is the interval during an adapter load. The shortest load takes
	// 25 ms.
	loadReportInterval = 12 * time.Millisecond
	// prefillReportInterval is the interval while the engine prefills prompts. A typical
	// prefill takes 100 to 300 ms.
	prefillReportInterval = 30 * time.Millisecond
	// maxFailedReports is the number of consecutive failed reports after which the engine
	// counts as unreachable.
	maxFailedReports = 2
)

// EngineClient calls the model engine.
type EngineClient interface {
	// Report returns the engine's current state.
	Report(ctx context.Context) (grants.Report, error)
	// Order sends a load or unload order to one incarnation of the engine. The order carries
	// the fencing token of this process.
	Order(ctx context.Context, endpointID catalog.EndpointID, token int64, o grants.Order) (grants.Outcome, error)
}

// Engine connects a grants.Machine with one engine: it feeds the engine's reports to the
// machine and sends the machine's orders to the engine.
type Engine struct {
	client   EngineClient
	service  string // Name of the engine's service, for the log.
	log      *logrus.Entry
	counters *Counters

	mu           sync.Mutex
	machine      *grants.Machine
	waiters      map[grants.RequestID]chan grants.Decision // Calls that wait for a decision.
	lastGrantID  grants.RequestID                          // ID of the last grant request.
	endpointID   catalog.EndpointID                        // Registered ID of the engine's incarnation; "" if not known yet.
	fencingToken int64                                     // Fencing token of the orders; 0 if not set yet.
	failures     int                                       // Consecutive failed reports; used by the Serve loop only.
	rateLimit    ratelimit.Limit                           // Last logged rate limit of the engine.
	draining     bool                                      // Last logged state of the engine.
	coldUntil    time.Time                                 // Last known end of the engine's cold time.
	// coldIncarnation is the incarnation that coldUntil belongs to.
	coldIncarnation int64
	pausedUntil     time.Time // The incarnation wants no calls before.

	streamRecords *streamrecords.Server // Software versions of streams of all engines.
	crashRecords  *crashrecords.Server  // Requests and prompt parts that crash engines, of all engines.

	wake    chan struct{} // Wakes the Serve loop after a change.
	changed *broadcast    // Notifies the snapshot streams of a change.
}

// NewEngine returns an Engine that has no report yet.
func NewEngine(client EngineClient, config grants.Config, service string, log *logrus.Entry, counters *Counters) *Engine {
	return &Engine{
		client: client, service: service, log: log, counters: counters, machine: grants.New(config),
		waiters: make(map[grants.RequestID]chan grants.Decision), wake: make(chan struct{}, 1), changed: newBroadcast(),
		streamRecords: streamrecords.NewServer(log), crashRecords: crashrecords.NewServer(log),
	}
}

// String returns the service name for supervisor events.
func (e *Engine) String() string { return "engine" }

// Serve sends orders and fetches reports until ctx ends. It implements suture.Service.
func (e *Engine) Serve(ctx context.Context) error {
	reportAt := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		if paused := e.paused(); now.Before(paused) {
			reportAt = paused
		} else if e.sendNextOrder(ctx) {
			continue
		}
		if !now.Before(reportAt) {
			e.fetchReport(ctx)
			reportAt = time.Now().Add(e.reportInterval())
			continue
		}
		e.waitForWork(ctx, &reportAt)
	}
	return ctx.Err()
}

// waitForWork waits until the next report is due or the machine has changed. After a change
// the next report may become due earlier.
func (e *Engine) waitForWork(ctx context.Context, reportAt *time.Time) {
	timer := time.NewTimer(time.Until(*reportAt))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-e.wake:
		if earliest := time.Now().Add(e.reportInterval()); earliest.Before(*reportAt) {
			*reportAt = earliest
		}
	}
}

// reportInterval returns the interval between reports for the engine's current state.
func (e *Engine) reportInterval() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.machine.Alive() && e.machine.NeedsReportSoon():
		return loadReportInterval
	case e.machine.Alive() && e.machine.HasPrefillBacklog():
		return prefillReportInterval
	default:
		return idleReportInterval
	}
}

// sendNextOrder sends the next order to the engine and waits for its outcome. It returns false
// if there is no order to send.
func (e *Engine) sendNextOrder(ctx context.Context) bool {
	e.mu.Lock()
	if e.fencingToken == 0 || e.endpointID == "" {
		e.mu.Unlock()
		return false // An order requires a fencing token and the engine's endpoint ID.
	}
	o, ok := e.machine.NextOrder(time.Now())
	endpointID, token := e.endpointID, e.fencingToken
	e.mu.Unlock()
	if !ok {
		return false
	}
	began := time.Now()
	outcome, err := e.client.Order(ctx, endpointID, token, o)
	e.counters.recordOrder(o, outcome)
	log := e.log
	if err != nil {
		log = log.WithError(err)
	}
	e.pauseIfRefused(err)
	log.WithFields(logrus.Fields{
		"event": "order", "unload": o.Unload, "model": o.Key.Model, "adapter": o.Key.Adapter, "version": o.Version,
		"sequence": o.Sequence, "outcome": outcome.String(), "took_ms": time.Since(began).Milliseconds(),
	}).Info("order sent to engine")
	e.update(func(now time.Time) {
		if outcome == grants.OutcomeMisdirected {
			e.endpointID = "" // Another incarnation uses the address now.
		}
		e.machine.CompleteOrder(outcome, now)
	})
	return true
}

// fetchReport fetches a report and passes it to the machine. After maxFailedReports failures
// in a row it marks the engine as unreachable.
func (e *Engine) fetchReport(ctx context.Context) {
	r, err := e.client.Report(ctx)
	if err == nil {
		e.engineReachable(r)
		e.update(func(now time.Time) { e.machine.ApplyReport(r, now) })
		return
	}
	if ctx.Err() != nil || e.pauseIfRefused(err) {
		return
	}
	e.failures++
	if e.failures != maxFailedReports {
		return
	}
	e.log.WithError(err).WithField("event", "engine_lost").Warn("engine unreachable: consecutive reports failed")
	e.update(e.machine.MarkUnreachable)
}

// pauseIfRefused stops all calls to the engine for the time for which it refused a call. It reports
// whether err is such a refusal. An engine that refuses calls is running.
func (e *Engine) pauseIfRefused(err error) bool {
	var refused *availability.RefusedError
	if !errors.As(err, &refused) {
		return false
	}
	e.counters.pushbacks.Inc(1)
	e.log.WithFields(logrus.Fields{
		"event": "endpoint_pushback", "endpoint": e.endpointID, "ms": refused.RetryAfter.Milliseconds(),
	}).Info("engine wants no calls for a time")
	e.update(func(now time.Time) {
		e.pausedUntil = now.Add(refused.RetryAfter)
		e.machine.PauseOrders(e.pausedUntil, now)
	})
	return true
}

// paused returns the time before which the engine wants no calls.
func (e *Engine) paused() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pausedUntil
}

// engineReachable records a successful report. If the engine has a new incarnation, its
// endpoint ID must be looked up again.
func (e *Engine) engineReachable(r grants.Report) {
	e.mu.Lock()
	restarted := e.machine.Incarnation() != r.Incarnation
	if restarted {
		e.endpointID = ""
	}
	e.mu.Unlock()
	if e.failures >= maxFailedReports || restarted {
		e.log.WithFields(logrus.Fields{
			"event": "engine_up", "born": r.Incarnation, "sequence": r.Sequence, "models": r.Models,
		}).Info("engine reachable")
	}
	e.failures = 0
}

// update applies a change to the machine, delivers the resulting decisions and notifies the
// Serve loop and the snapshot streams.
func (e *Engine) update(change func(now time.Time)) {
	e.mu.Lock()
	change(time.Now())
	e.logRateLimit()
	e.logDraining()
	e.logCold(time.Now())
	for _, d := range e.machine.TakeDecisions() {
		if waiter := e.waiters[d.ID]; waiter != nil {
			delete(e.waiters, d.ID)
			waiter <- d
		}
	}
	e.mu.Unlock()
	e.changed.notify()
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// logRateLimit logs a change of the engine's rate limit. The caller holds e.mu.
func (e *Engine) logRateLimit() {
	limit := e.machine.RateLimit()
	if limit == e.rateLimit {
		return
	}
	e.rateLimit = limit
	e.log.WithFields(logrus.Fields{
		"event": "endpoint_rate_limit", "endpoint": e.endpointID, "named": limit.Named, "per_second": limit.PerSecond,
	}).Info("rate limit of the engine changed")
}

// logDraining logs that the engine has started to drain. The caller holds e.mu.
func (e *Engine) logDraining() {
	draining := e.machine.Draining()
	if draining && !e.draining {
		e.log.WithFields(logrus.Fields{"event": "endpoint_draining", "endpoint": e.endpointID}).Info("engine says that it drains")
	}
	e.draining = draining
}

// logCold logs that the engine has become cold. The caller holds e.mu.
func (e *Engine) logCold(now time.Time) {
	cold, incarnation := e.machine.Cold(), e.machine.Incarnation()
	if remaining := cold.Remaining(now); remaining > 0 && (!e.coldUntil.After(now) || e.coldIncarnation != incarnation) {
		e.log.WithFields(logrus.Fields{
			"event": "endpoint_cold", "endpoint": e.endpointID, "service": e.service, "born": incarnation,
			"ms": remaining.Milliseconds(), "source": cold.Source,
		}).Info("engine is cold")
	}
	e.coldUntil, e.coldIncarnation = cold.Until, incarnation
}

// RequestGrant requests a grant. The returned channel receives one decision. Release withdraws
// the request or ends the grant.
//
// The router's view may be newer than the scheduler's. version is the adapter version in the
// router's view, formerVersion the time that is left to begin on a former one, nil if the router does not say, id is the endpoint ID of the request's incarnation, limit is the rate limit in
// the incarnation's last response to the router, and cold is how long the incarnation remains cold.
func (e *Engine) RequestGrant(
	request grants.Request, version int64, formerVersion *time.Duration, id catalog.EndpointID, limit ratelimit.Observation, cold time.Duration,
) (grants.RequestID, <-chan grants.Decision) {
	incarnation := request.Incarnation
	decision := make(chan grants.Decision, 1)
	e.update(func(now time.Time) {
		if incarnation != 0 && incarnation == e.machine.Incarnation() {
			e.endpointID = id
		}
		if incarnation > e.machine.Incarnation() {
			e.pausedUntil = time.Time{} // The engine has restarted.
		}
		e.machine.ObserveRateLimit(incarnation, limit)
		e.machine.ObserveCold(incarnation, cold, now)
		var beginBy time.Time
		if formerVersion != nil {
			beginBy = now.Add(*formerVersion)
		}
		e.machine.AnnounceVersion(request.Key, version, beginBy, now)
		e.lastGrantID++
		request.ID = e.lastGrantID
		e.waiters[request.ID] = decision
		e.machine.RequestGrant(request, now)
	})
	return request.ID, decision
}

// Preload requests the load of an adapter ahead of its requests.
func (e *Engine) Preload(key catalog.AdapterKey, demand int) (result grants.PreloadResult) {
	e.update(func(now time.Time) { result = e.machine.Preload(key, demand, now) })
	return result
}

// Release ends a grant, or withdraws a request that still waits.
func (e *Engine) Release(id grants.RequestID) {
	e.update(func(now time.Time) {
		delete(e.waiters, id)
		e.machine.Release(id, now)
	})
}

// Snapshot returns the engine state for routers and a channel that is closed at the next
// change.
func (e *Engine) Snapshot() (grants.Snapshot, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Snapshot(time.Now()).Rounded(), e.changed.next()
}

// ApplyCatalog applies the engine's limits and the adapter versions from the catalog. Nil
// limits leave the current ones in force.
func (e *Engine) ApplyCatalog(limits *grants.Limits, versions map[catalog.AdapterKey]catalog.Announcement) {
	e.update(func(now time.Time) {
		if limits != nil {
			e.machine.SetLimits(*limits)
		}
		for key, a := range versions {
			for _, earlier := range a.Earlier {
				e.machine.AnnounceVersion(key, earlier.Version, e.machine.BeginBy(earlier), now)
			}
			e.machine.AnnounceVersion(key, a.Version, e.machine.BeginBy(a), now)
		}
	})
}

// Incarnation returns the engine's incarnation (0 before its first report) and whether its
// endpoint ID is known.
func (e *Engine) Incarnation() (incarnation int64, hasEndpointID bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Incarnation(), e.endpointID != ""
}

// coldRemaining returns how long the engine remains cold.
func (e *Engine) coldRemaining() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.machine.Cold().Remaining(time.Now())
}

// SetEndpointID sets the endpoint ID of an incarnation. It does nothing if the engine
// has restarted since.
func (e *Engine) SetEndpointID(incarnation int64, id catalog.EndpointID) {
	e.update(func(time.Time) {
		if e.machine.Incarnation() == incarnation {
			e.endpointID = id
		}
	})
}

// revisionBits is the width of the store's revision in a fencing token, below the store's
// epoch. JSON numbers are exact up to 53 bits, which leaves 13 bits for the epoch.
const revisionBits = 40

// fencingToken returns a token that is higher than those of all earlier positions of the store.
func fencingToken(p catalog.Position) int64 { return p.Epoch<<revisionBits + p.Revision }

// SetFencingToken sets the fencing token for this process's orders from a position of the store
// that was read after the process started. Only the first call has an effect.
func (e *Engine) SetFencingToken(p catalog.Position) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fencingToken == 0 {
		e.fencingToken = fencingToken(p)
		e.log.WithFields(logrus.Fields{
			"event": "fence", "token": e.fencingToken, "epoch": p.Epoch, "revision": p.Revision,
		}).Info("fencing token set")
	}
}
