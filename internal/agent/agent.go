// Package agent implements the agent process. An agent runs next to one endpoint,
// receives attempts from the entries and runs them on the endpoint. It stops
// sending load and unload orders once another agent holds a higher fencing token
// for the endpoint.
//
// On shutdown the agent refuses new work and lets running attempts finish within
// the drain timeout. The server for entries stops before the services that running
// attempts depend on.
package agent

import (
	"context"
	"net"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/claims"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/drain"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/fencing"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/intake"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/permits"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/schedule"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/watch"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// vmListInterval is the time between two reads of the VM list.
const vmListInterval = 2 * time.Second

// Options configures New. The listeners must be open. Serve closes them.
type Options struct {
	Settings Settings
	Store    store.Store
	// VMList is the source of the VM's state and of the entries' addresses. If it
	// is nil, the agent does not detect that its VM is leaving, and adapter loads
	// are not limited.
	VMList        vmlist.List
	FleetListener net.Listener
	AdminListener net.Listener
	Log           *logrus.Entry
	Dial          transport.DialFunc // Opens connections; TCP if nil.
}

// Agent is the agent process: its services and their supervisors.
type Agent struct {
	opts        Options
	ready       *process.Readiness
	metrics     *process.Metrics
	ring        *timeline.Ring
	gate        *drain.Gate
	fencing     *fencing.TokenHolder
	claims      *claims.Claims
	watch       *watch.Watch
	intake      *intake.Handler
	base        *suture.Supervisor // Services that running attempts depend on.
	entryServer *suture.Supervisor // Server for entries; stops before base.
}

// New returns an Agent with its supervisor trees. Zero values of the claim
// retention and of the load limits are replaced by their defaults.
func New(opts Options) (*Agent, error) {
	if opts.Settings.ClaimRetention == 0 {
		opts.Settings.ClaimRetention = DefaultClaimRetention
	}
	opts.Settings.setLoadDefaults()
	s := opts.Settings
	clock := hlc.New(nil)
	a := &Agent{
		opts:    opts,
		ready:   process.NewReadiness("starting"),
		metrics: process.NewMetrics(),
		ring:    timeline.NewRing(s.VM, clock, s.TimelineEvents),
		base:    process.NewSupervisor("agent", opts.Log, s.DrainTimeout),
	}
	endpoint := engine.NewClient(s.EndpointAddress, s.OrderTimeout, opts.Dial)
	a.addGuards()
	loadPermits, err := a.newLoadPermits(clock)
	if err != nil {
		return nil, errors.Trace(err)
	}
	scheduler := schedule.New(schedule.Options{
		Engine:       fencing.NewGuard(endpoint, a.fencing),
		FencingToken: a.fencing.Current,
		// TokenHolder.Current already allows orders without a token if the endpoint
		// does not check tokens, so the scheduler always asks it.
		ChecksFencingToken: true,
		Permits:            loadPermits,
		Slots:              s.Slots,
		Capacity:           s.Capacity,
		Grace:              s.DrainTimeout,
		Timeline:           a.ring,
		Metrics:            a.metrics.Scope,
	})
	a.addIntake(endpoint, scheduler)
	router := chi.NewRouter()
	router.Method("POST", wire.PathRun, a.intake)
	router.Mount(timeline.PathPrefix, timeline.NewHandler(a.ring))
	fleetServer, err := transport.NewServer(s.Security, clock, router)
	if err != nil {
		return nil, errors.Trace(err)
	}
	admin := process.AdminHandler(a.ready, a.metrics)
	a.entryServer = process.NewSupervisor("agent front", opts.Log, s.DrainTimeout)
	a.entryServer.Add(&process.HTTPServer{Name: "fleet", Server: fleetServer, Listener: opts.FleetListener, Grace: s.DrainTimeout})
	a.base.Add(scheduler)
	a.base.Add(process.NewHTTPServer("admin", opts.AdminListener, admin, time.Second))
	return a, nil
}

// newLoadPermits returns the fleet-wide limit of adapter loads. Without a VM list
// there is no entry to reserve permits from, and loads are not limited.
func (a *Agent) newLoadPermits(clock *hlc.Clock) (schedule.LoadPermits, error) {
	s := a.opts.Settings
	if a.opts.VMList == nil {
		return schedule.UnlimitedLoads{}, nil
	}
	client, err := transport.NewClient(s.Security, clock, a.opts.Dial)
	if err != nil {
		return nil, errors.Trace(err)
	}
	list := directory.New(directory.Options{
		List: a.opts.VMList, Interval: vmListInterval, Log: a.opts.Log, OnRead: drain.CloseWhileLeaving(a.gate, s.VM),
	})
	reserver := shares.NewReserver(shares.ReserverOptions{
		Self:    limit.Member{VM: s.VM, Incarnation: limit.Incarnation(time.Now().UnixNano())},
		Client:  client,
		Peers:   shares.PeersFromDirectory(list),
		Metrics: a.metrics.Scope,
	})
	a.base.Add(list)
	a.base.Add(reserver)
	return permits.New(permits.Options{
		Reserver: reserver,
		Limits:   permits.Limits{PerSecond: s.LoadsPerSecond, InFlight: s.LoadsInFlight},
		Metrics:  a.metrics.Scope,
	}), nil
}

// addGuards adds the gate, the fencing token and the claims, which decide whether
// the agent may accept attempts and send orders.
func (a *Agent) addGuards() {
	s := a.opts.Settings
	a.gate = drain.NewGate(drain.Options{Log: a.opts.Log, Timeline: a.ring, OnChange: a.updateReadiness})
	a.fencing = fencing.New(fencing.Options{
		Store: a.opts.Store, VM: s.VM, ChecksFencingToken: s.ChecksFencingToken, Gate: a.gate, Timeline: a.ring, Log: a.opts.Log,
	})
	a.claims = claims.New(claims.Options{
		Store: a.opts.Store, CallTimeout: s.StoreTimeout, Retention: s.ClaimRetention, PersistTimeout: s.DrainTimeout,
		Timeline: a.ring, Metrics: a.metrics.Scope,
	})
	a.base.Add(a.fencing)
	a.base.Add(a.claims)
}

// addIntake adds the health watch and the handler of attempts.
func (a *Agent) addIntake(endpoint engine.Engine, scheduler schedule.Scheduler) {
	a.watch = watch.New(watch.Options{
		Endpoint: endpoint, BootHandler: scheduler, Gate: a.gate,
		Timeline: a.ring, Metrics: a.metrics.Scope, Log: a.opts.Log,
	})
	a.base.Add(a.watch)
	a.intake = intake.NewHandler(intake.Options{
		Endpoint: endpoint, Scheduler: scheduler, Gate: a.gate, Claims: a.claims, Watch: a.watch,
		Timeline: a.ring, Metrics: a.metrics.Scope, MaxBodyBytes: a.opts.Settings.MaxBodyBytes,
	})
}

// updateReadiness makes the agent ready while the gate is open, which is when
// reason is empty.
func (a *Agent) updateReadiness(reason drain.Reason) {
	if reason == "" {
		a.ready.SetReady()
		return
	}
	a.ready.SetNotReady(string(reason))
}

// Serve runs the agent until ctx ends. It then refuses new work, and waits for
// running attempts and for claim outcomes that are still to be stored. Each wait
// is bounded by the drain timeout.
func (a *Agent) Serve(ctx context.Context) error {
	defer a.metrics.Close()
	a.ring.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	a.ready.SetReady()
	err := process.NewStages(a.base, a.entryServer).Serve(ctx, a.drain)
	a.flushClaims(ctx)
	return err
}

// drain closes the gate for new work. It is called when ctx of Serve ends.
func (a *Agent) drain() {
	a.gate.SetReason(drain.ReasonSignal, true)
	a.ring.Record(timeline.Event{Kind: timeline.KindProcessDraining})
}

// flushClaims waits up to the drain timeout until all claim outcomes are stored.
func (a *Agent) flushClaims(ctx context.Context) {
	flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.opts.Settings.DrainTimeout)
	defer cancel()
	a.claims.Flush(flushCtx)
}
