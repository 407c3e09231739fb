package scheduler

import (
	"cmp"
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/peerconn"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/versionbound"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/relay"
	"github.com/hyssoptiller/hyssoptiller/internal/settings"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// operatorBound is the time in which a scheduler knows a change by the operator. Adapter versions may
	// take 5 s to take effect, and routers also announce them with their grant requests.
	operatorBound = 4 * time.Second
	// routersBound is the time in which a scheduler knows a change of the registered routers. It uses
	// them as relays only, and notices by its calls which ones are gone.
	routersBound = 26 * time.Second
	// routersWatchInterval batches the registrations of routers that start at the same time.
	routersWatchInterval = 2 * time.Second
	// serverGrace is short because a granted request continues on the engine after its
	// scheduler has stopped.
	serverGrace = 100 * time.Millisecond
	// adminTimeout and adminHeaderBytes bound each request for the metrics.
	adminTimeout     = 10 * time.Second
	adminHeaderBytes = 16 << 10
)

// Settings configures a scheduler.
type Settings struct {
	VM            string
	FailureDomain string // Failure domain of the VM.
	Service       string // Service of the engine.
	EngineAddress string // Address of the engine's API.
	ListenAddress string // Listen address for routers.
	AdminAddress  string // Listen address of the metrics.
	StoreAddress  string // Address of the key-value store.
	MemoryMB      int    // Memory of the VM; 0 sets no limit.
	// VersionBound is the time after the announcement of an adapter version from which no request may begin on a former one.
	// If it is not set, that of PlatformBounds applies, or versionbound.DefaultBound.
	VersionBound   settings.OptionalDuration
	PlatformBounds platform.Bounds
}

// versionBound returns the bound that applies.
func (s Settings) versionBound() time.Duration {
	return s.VersionBound.Or(cmp.Or(s.PlatformBounds.Version, versionbound.DefaultBound))
}

// Check returns an error that lists all invalid settings, or nil.
func (s Settings) Check() error {
	var c settings.Checker
	c.RequireName("vm", s.VM)
	c.RequireName("failure-domain", s.FailureDomain)
	c.RequireName("service", s.Service)
	c.RequireAddress("engine", s.EngineAddress)
	c.RequireAddress("listen", s.ListenAddress)
	c.RequireAddress("admin", s.AdminAddress)
	c.RequireAddress("store", s.StoreAddress)
	c.RequireAtLeast("memory-mb", int64(s.MemoryMB), 0)
	c.RequirePositive("version-bound", s.versionBound())
	return c.Err()
}

// Scheduler is the process that schedules the requests of one engine.
type Scheduler struct {
	settings Settings
	log      *logrus.Entry
	state    *catalog.State
	engine   *Engine
	metrics  *process.Metrics
}

// New returns a scheduler. Serve starts it.
func New(s Settings, log *logrus.Entry) *Scheduler {
	metrics := process.NewMetrics()
	client := platform.NewEngineClient(s.EngineAddress, s.VM)
	config := grants.DefaultConfig()
	config.VersionBound = s.versionBound()
	counters := NewCounters(metrics.Scope.SubScope("scheduler"))
	return &Scheduler{
		settings: s, log: log, metrics: metrics, state: catalog.NewState(),
		engine: NewEngine(client, config, s.Service, log, counters),
	}
}

// Serve runs the scheduler until ctx ends. It returns an error if a listen address cannot be
// bound.
func (s *Scheduler) Serve(ctx context.Context) error {
	grantListener, err := process.Listen(s.settings.ListenAddress)
	if err != nil {
		return err
	}
	adminListener, err := process.Listen(s.settings.AdminAddress)
	if err != nil {
		return err
	}
	store := platform.NewStoreClient(s.settings.StoreAddress)
	supervisor := process.NewSupervisor("scheduler", s.log, serverGrace)
	relays := relay.NewRelays("", s.settings.FailureDomain, peerconn.NewTransport(peerconn.Options{
		Log: s.log, Scope: s.metrics.Scope.SubScope("connections").Tagged(map[string]string{"to": "relays"}),
	}), s.metrics.Scope.SubScope("changes"), s.log)
	reader := func(topic string, bound time.Duration) *relay.Reader {
		return &relay.Reader{
			Store: store, Topic: topic, Relays: relays, Freshness: relay.WithinDeferring(bound), LogChanges: topic == relay.TopicOperator,
		}
	}
	supervisor.Add(platform.FollowOperator(reader(relay.TopicOperator, operatorBound), s.state, s.log, s.engine.SetFencingToken))
	supervisor.Add(platform.FollowRouters(reader(relay.TopicRouters, routersBound), routersWatchInterval, s.log,
		func(r platform.RouterRegistration, present bool) {
			relays.Update(r.Relay(), present)
		}))
	supervisor.Add(&endpointLookup{
		engine: s.engine,
		find: func(ctx context.Context, incarnation int64) (catalog.EndpointID, error) {
			return store.FindEndpoint(ctx, s.settings.EngineAddress, incarnation)
		},
	})
	supervisor.Add(s.engine)
	supervisor.Add(&process.HTTPServer{
		Name: "turns", Server: peerconn.NewServer(s.engine.Handler()), Listener: grantListener, Grace: serverGrace,
	})
	supervisor.Add(&process.HTTPServer{
		Name: "admin", Server: &http.Server{
			Handler: s.metrics.Handler, ReadHeaderTimeout: time.Second, ReadTimeout: adminTimeout, WriteTimeout: adminTimeout,
			MaxHeaderBytes: adminHeaderBytes,
		},
		Listener: adminListener, Grace: serverGrace,
	})
	supervisor.Add(catalogApplier{s})
	err = supervisor.Serve(ctx)
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// catalogApplier passes each catalog change to the engine.
type catalogApplier struct{ scheduler *Scheduler }

// Serve implements suture.Service.
func (a catalogApplier) Serve(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.scheduler.state.Changed():
			v := a.scheduler.state.View()
			a.scheduler.engine.ApplyCatalog(a.scheduler.engineLimits(v), v.Versions)
		}
	}
}

// engineLimits returns the engine limits of the scheduler's service, or nil if the view has
// none.
func (s *Scheduler) engineLimits(v *catalog.View) *grants.Limits {
	if v.Config == nil {
		return nil
	}
	service := v.Config.Services[s.settings.Service]
	if service == nil || service.Engine == nil {
		return nil
	}
	e := service.Engine
	return &grants.Limits{
		Slots: e.Slots, KVTokens: e.KVTokens, AdapterSlots: e.AdapterSlots, WeightsMB: e.WeightsMB, Models: e.Models, Cold: service.Cold,
	}
}
