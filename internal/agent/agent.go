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

	"github.com/hyssoptiller/hyssoptiller/internal/agent/intake"
	"github.com/hyssoptiller/hyssoptiller/internal/agent/schedule"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/store"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// Options configures New. The listeners are open; Serve closes them.
type Options struct {
	Settings      Settings
	Store         store.Store
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
	intake  *intake.Handler
	tree    *suture.Supervisor // What running work rests on.
	front   *suture.Supervisor // Entries' listener; ends first.
}

// New builds the agent's supervisor tree.
func New(opts Options) (*Agent, error) {
	s := opts.Settings
	clock := hlc.New(nil)
	a := &Agent{
		opts:    opts,
		ready:   process.NewReady("starting"),
		metrics: process.NewMetrics(),
		ring:    timeline.NewRing(s.VM, clock, s.TimelineEvents),
	}
	endpoint := engine.NewClient(s.EndpointAddress, s.OrderTimeout, opts.Dial)
	scheduler := schedule.New(schedule.Options{
		Engine:   endpoint,
		Fence:    func() (engine.Fence, bool) { return 0, false },
		Permits:  schedule.UnlimitedLoads{},
		Slots:    s.Slots,
		Capacity: s.Capacity,
		Log:      opts.Log,
		Timeline: a.ring,
	})
	a.intake = intake.NewHandler(intake.Options{
		Endpoint:     endpoint,
		Scheduler:    scheduler,
		Timeline:     a.ring,
		Metrics:      a.metrics.Scope,
		MaxBodyBytes: s.MaxBodyBytes,
	})
	router := chi.NewRouter()
	router.Method("POST", wire.PathRun, a.intake)
	router.Mount(timeline.Path, timeline.NewHandler(a.ring))
	fleet, err := transport.NewServer(s.Security, clock, router)
	if err != nil {
		return nil, errors.Trace(err)
	}
	admin := process.AdminHandler(a.ready, a.metrics)
	a.tree = process.NewSupervisor("agent", opts.Log, s.DrainTimeout)
	a.front = process.NewSupervisor("agent front", opts.Log, s.DrainTimeout)
	a.front.Add(&process.HTTPServer{Name: "fleet", Server: fleet, Listener: opts.FleetListener, Grace: s.DrainTimeout})
	a.tree.Add(process.NewHTTPServer("admin", opts.AdminListener, admin, time.Second))
	return a, nil
}

// Serve runs the agent until ctx ends, then drains: new work is refused and
// running work finishes within the drain timeout.
func (a *Agent) Serve(ctx context.Context) error {
	defer a.metrics.Close()
	a.ring.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	a.ready.Set()
	return process.NewStages(a.tree, a.front).Serve(ctx, a.drain)
}

func (a *Agent) drain() {
	a.ready.Not("draining")
	a.intake.Drain()
	a.ring.Record(timeline.Event{Kind: timeline.KindProcessDraining})
}
