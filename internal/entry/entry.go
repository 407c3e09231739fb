// Package entry implements the entry process, which forwards callers' requests
// to agents and serves the operators' API. The package builds the process's
// supervisor tree.
//
// Shutdown has two stages: the callers' listener drains first, while the
// services that running requests depend on keep working. Then the other services
// stop.
package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/connlimit"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/callers"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/endpoints"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/inflight"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/operatorapi"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/timelineapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// Options configures New. The listeners must be open; Serve closes them.
type Options struct {
	Settings          Settings
	Store             store.Store
	VMList            vmlist.List
	CallersListener   net.Listener
	OperatorsListener net.Listener
	FleetListener     net.Listener
	AdminListener     net.Listener
	Log               *logrus.Entry
	Dial              transport.DialFunc // Opens connections to other processes; TCP if nil.
}

// Entry is the entry process.
type Entry struct {
	opts      Options
	clock     *hlc.Clock
	ring      *timeline.Ring
	ready     *readiness
	metrics   *process.Metrics
	fleet     fleetServices
	directory *directory.Directory
	running   *inflight.Index
	holder    *shares.ShareHolder
	reserver  *shares.Reserver
	tree      *suture.Supervisor // All services but front; stops after it.
	front     *suture.Supervisor // The callers' listener; stops first.
}

// smallBytes is the most that a small body holds: 50 KB in pieces, and three copies that are made of it.
const smallBytes = 256 << 10

// New builds the entry's supervisor tree.
func New(opts Options) (*Entry, error) {
	s := opts.Settings
	clock := hlc.New(nil)
	ring := timeline.NewRing(s.VM, clock, s.TimelineEvents)
	e := &Entry{
		opts:      opts,
		clock:     clock,
		ring:      ring,
		ready:     newReadiness(),
		metrics:   process.NewMetrics(),
		directory: directory.New(directory.Options{List: opts.VMList, Interval: s.VMListInterval, Log: opts.Log}),
		running:   inflight.NewIndex(),
		tree:      process.NewSupervisor("entry", opts.Log, s.DrainTimeout),
		front:     process.NewSupervisor("entry front", opts.Log, s.DrainTimeout),
	}
	if err := e.addServices(); err != nil {
		return nil, err
	}
	return e, nil
}

// addServices creates the entry's services and adds them to its supervisors.
func (e *Entry) addServices() error {
	s := e.opts.Settings
	client, err := transport.NewClient(s.Security, e.clock, e.opts.Dial)
	if err != nil {
		return errors.Trace(err)
	}
	e.fleet = e.newFleetServices(client)
	e.fleet.replica.OnRevision(e.applyConfig)
	e.addShares(client)
	fleetServer, err := transport.NewServer(s.Security, e.clock, e.fleetHandler())
	if err != nil {
		return errors.Trace(err)
	}
	e.tree.Add(e.directory)
	e.tree.Add(e.fleet.replica)
	e.tree.Add(e.fleet.freshness)
	e.tree.Add(e.fleet.gossip)
	e.tree.Add(e.fleet.collector)
	limiter := connlimit.New(connlimit.LimitsOfVM(s.MemoryMB, s.MaxFDs), "callers", e.metrics.Scope)
	server := process.NewHTTPServer("callers", limiter.Listen(e.opts.CallersListener), e.callersHandler(client, limiter), s.DrainTimeout)
	limiter.Attach(server.Server)
	e.front.Add(server)
	e.tree.Add(process.NewHTTPServer("operators", e.opts.OperatorsListener, e.operatorsHandler(client), time.Second))
	e.tree.Add(&process.HTTPServer{Name: "fleet", Server: fleetServer, Listener: e.opts.FleetListener, Grace: s.DrainTimeout})
	admin := process.AdminHandler(e.ready.status, e.metrics)
	e.tree.Add(process.NewHTTPServer("admin", e.opts.AdminListener, admin, time.Second))
	return nil
}

func (e *Entry) callersHandler(client *transport.Client, limiter *connlimit.Limiter) http.Handler {
	s := e.opts.Settings
	dispatcher := dispatch.New(dispatch.Options{
		Client: client,
		Endpoints: endpoints.New(endpoints.Options{
			Directory: e.directory,
			Placement: endpoints.DefaultPlacement(),
			Metrics:   e.metrics.Scope,
		}),
		Timeline: e.ring,
		Metrics:  e.metrics.Scope,
		Notices:  e.fleet.notices,
	})
	return callers.NewHandler(callers.Options{
		Config:       e.fleet.replica.Current,
		Freshness:    e.fleet.freshness,
		Limiter:      admission.NewFleet(e.reserver, e.fleet.replica.Current),
		Dispatcher:   dispatcher,
		Running:      e.running,
		Timeline:     e.ring,
		Metrics:      e.metrics.Scope,
		MaxBodyBytes: s.MaxBodyBytes,
		Memory:       bodies.NewMemoryOfVM(s.MemoryMB, smallBytes, e.metrics.Scope),
		Connections:  limiter,
		Timeout:      s.RequestTimeout,
		BodyTimeout:  s.BodyTimeout,
		WriteTimeout: s.WriteTimeout,
	})
}

func (e *Entry) operatorsHandler(client *transport.Client) http.Handler {
	return operatorapi.NewHandler(operatorapi.Options{
		VM:        e.opts.Settings.VM,
		Editor:    e.newEditor(),
		Survey:    e.fleet.survey,
		Config:    e.fleet.replica.Current,
		Providers: e.statusProviders(),
		Ring:      e.ring,
		Timeline: timelineapi.NewHandler(timelineapi.Options{
			VM: e.opts.Settings.VM, Ring: e.ring, Client: client, Directory: e.directory,
		}),
		Token: e.opts.Settings.OperatorsToken,
	})
}

// applyConfig cancels the running requests whose key a new revision of the
// configuration no longer grants. It also records that a configuration is in
// force.
func (e *Entry) applyConfig(s *config.Snapshot) {
	e.running.Cancel(inflight.ErrKeyWithdrawn, func(key ident.KeyHash) bool {
		_, ok := s.Key(key)
		return ok
	})
	e.ready.setConfigured()
}

// Serve runs the entry until ctx ends and then drains it. /readyz fails first,
// and the load balancer has DrainDelay to stop sending requests. Then running
// requests have DrainTimeout to finish. Key withdrawals and configuration
// changes still apply to them.
func (e *Entry) Serve(ctx context.Context) error {
	defer e.metrics.Close()
	e.ring.Record(timeline.Event{Kind: timeline.KindProcessStarted})
	return process.NewStages(e.tree, e.front).Serve(ctx, e.drain)
}

// drain fails /readyz, announces to the fleet that the entry is leaving, hands
// over its shares and waits for DrainDelay.
func (e *Entry) drain() {
	e.ready.setDraining()
	e.fleet.members.SetLeaving()
	e.ring.Record(timeline.Event{Kind: timeline.KindProcessDraining})
	e.holder.Leave(context.Background())
	time.Sleep(e.opts.Settings.DrainDelay)
}

// Ready reports whether the entry can serve callers: /readyz succeeds, the VM
// list was read, its share holder is ready and its
// copy of the callers' keys is recent enough.
func (e *Entry) Ready() bool {
	return e.ready.status.Reason() == "" && !e.directory.View().ReadAt.IsZero() &&
		e.holder.Ready() && e.fleet.freshness.IsFresh()
}
