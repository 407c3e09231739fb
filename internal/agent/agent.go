// Package agent is the supervisor of the agent process, which stands beside
// one endpoint and alone gives it orders.
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

// vmListInterval is the time between two readings of the VM list.
const vmListInterval = 2 * time.Second

// Options configures New. The listeners are open; Serve closes them.
type Options struct {
	Settings      Settings
	Store         store.Store
	VMList        vmlist.List // Tells when the VM is leaving and where the entries are; not asked where nil.
	FleetListener net.Listener
	AdminListener net.Listener
	Log           *logrus.Entry
	Dial          transport.DialFunc // Opens connections; TCP where nil.
}

// Agent is the agent process.
type Agent struct {
	opts    Options
	ready   *process.Ready
	metrics *process.Metrics
	ring    *timeline.Ring
	gate    *drain.Gate
	fencing *fencing.TokenHolder
	claims  *claims.Claims
	watch   *watch.Watch
	intake  *intake.Handler
	tree    *suture.Supervisor // What running work rests on.
	front   *suture.Supervisor // Entries' listener; ends first.
}

// New builds the agent's supervisor tree.
func New(opts Options) (*Agent, error) {
	if opts.Settings.ClaimRetention == 0 {
		opts.Settings.ClaimRetention = DefaultClaimRetention
	}
	opts.Settings.setLoadDefaults()
	s := opts.Settings
	clock := hlc.New(nil)
	a := &Agent{
		opts:    opts,
		ready:   process.NewReady("starting"),
		metrics: process.NewMetrics(),
		ring:    timeline.NewRing(s.VM, clock, s.TimelineEvents),
		tree:    process.NewSupervisor("agent", opts.Log, s.DrainTimeout),
	}
	endpoint := engine.NewClient(s.EndpointAddress, s.OrderTimeout, opts.Dial)
	a.addGuards()
	loads, err := a.loadPermits(clock)
	if err != nil {
		return nil, errors.Trace(err)
	}
	scheduler := schedule.New(schedule.Options{
		Engine: fencing.NewGuard(endpoint, a.fencing),
		Fence:  a.fencing.Current,
		// Fencing knows what may be ordered from an endpoint that does not check.
		ChecksFence: true,
		Permits:     loads,
		Slots:       s.Slots,
		Capacity:    s.Capacity,
		Grace:       s.DrainTimeout,
		Timeline:    a.ring,
		Metrics:     a.metrics.Scope,
	})
	a.addIntake(endpoint, scheduler)
	router := chi.NewRouter()
	router.Method("POST", wire.PathRun, a.intake)
	router.Mount(timeline.Path, timeline.NewHandler(a.ring))
	fleet, err := transport.NewServer(s.Security, clock, router)
	if err != nil {
		return nil, errors.Trace(err)
	}
	admin := process.AdminHandler(a.ready, a.metrics)
	a.front = process.NewSupervisor("agent front", opts.Log, s.DrainTimeout)
	a.front.Add(&process.HTTPServer{Name: "fleet", Server: fleet, Listener: opts.FleetListener, Grace: s.DrainTimeout})
	a.tree.Add(scheduler)
	a.tree.Add(process.NewHTTPServer("admin", opts.AdminListener, admin, time.Second))
	return a, nil
}

// loadPermits returns what rations adapter loads over the fleet. Without a VM
// list there is no entry to ask, and loads are not rationed.
func (a *Agent) loadPermits(clock *hlc.Clock) (schedule.LoadPermits, error) {
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
	reserver := shares.NewAsker(shares.AskerOptions{
		Self:    limit.Member{VM: s.VM, Incarnation: limit.Incarnation(time.Now().UnixNano())},
		Client:  client,
		Peers:   shares.FromDirectory(list),
		Metrics: a.metrics.Scope,
	})
	a.tree.Add(list)
	a.tree.Add(reserver)
	return permits.New(permits.Options{
		Reserver: reserver,
		Limits:   permits.Limits{PerSecond: s.LoadsPerSecond, InFlight: s.LoadsInFlight},
		Metrics:  a.metrics.Scope,
	}), nil
}

// addGuards adds what decides whether the agent may take and order work.
func (a *Agent) addGuards() {
	s := a.opts.Settings
	a.gate = drain.NewGate(drain.Options{Log: a.opts.Log, Timeline: a.ring, OnChange: a.readiness})
	a.fencing = fencing.New(fencing.Options{
		Store: a.opts.Store, VM: s.VM, ChecksToken: s.ChecksFence, Gate: a.gate, Timeline: a.ring, Log: a.opts.Log,
	})
	a.claims = claims.New(claims.Options{
		Store: a.opts.Store, CallTimeout: s.StoreTimeout, Retention: s.ClaimRetention, PersistTimeout: s.DrainTimeout,
		Timeline: a.ring, Metrics: a.metrics.Scope,
	})
	a.tree.Add(a.fencing)
	a.tree.Add(a.claims)
}

func (a *Agent) addIntake(endpoint engine.Engine, scheduler schedule.Scheduler) {
	a.watch = watch.New(watch.Options{
		Endpoint: endpoint, BootHandler: scheduler, Gate: a.gate,
		Timeline: a.ring, Metrics: a.metrics.Scope, Log: a.opts.Log,
	})
	a.tree.Add(a.watch)
	a.intake = intake.NewHandler(intake.Options{
		Endpoint: endpoint, Scheduler: scheduler, Gate: a.gate, Claims: a.claims, Watch: a.watch,
		Timeline: a.ring, Metrics: a.metrics.Scope, MaxBodyBytes: a.opts.Settings.MaxBodyBytes,
	})
}

// readiness follows the gate: an agent that takes no new work is not ready.
func (a *Agent) readiness(reason drain.Reason) {
	if reason == "" {
		a.ready.Set()
		return
	}
	a.ready.Not(string(reason))
}

// Serve runs the agent until ctx ends, then drains: new work is refused and
// running work finishes within the drain timeout.
func (a *Agent) Serve(ctx context.Context) error {
	defer a.metrics.Close()
	a.ring.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	a.ready.Set()
	err := process.NewStages(a.tree, a.front).Serve(ctx, a.drain)
	a.flushClaims(ctx)
	return err
}

func (a *Agent) drain() {
	a.gate.SetReason(drain.ReasonSignal, true)
	a.ring.Record(timeline.Event{Kind: timeline.KindProcessDraining})
}

// flushClaims writes the outcomes that are still to be stored.
func (a *Agent) flushClaims(ctx context.Context) {
	flush, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.opts.Settings.DrainTimeout)
	defer cancel()
	a.claims.Flush(flush)
}
