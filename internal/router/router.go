package router

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/connlimit"
	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/peerconn"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/relay"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
	"github.com/hyssoptiller/hyssoptiller/internal/sockopt"
	"github.com/hyssoptiller/hyssoptiller/internal/upstream"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// registryIntervalShare is the interval between two reads of the registry, as a part of
	// the time for which a draining endpoint may still be used. Without the interval, each
	// heartbeat of an endpoint would cause a call.
	registryIntervalShare = 0.4
	// routersBound is the time in which a change of the registered routers is known. The pings between
	// routers detect the end of a router sooner.
	routersBound = 26 * time.Second
	// routersWatchInterval batches the registrations of routers that start at the same time.
	routersWatchInterval = 2 * time.Second
	// callerIdleTimeout is how long an idle connection of a caller is kept. It is longer than
	// the 15 s that the configurations specify.
	callerIdleTimeout = 2 * time.Minute
	// headerTimeout bounds the time to receive a request header.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// shortTimeout bounds each request of the readiness check and for the metrics, and its response.
	shortTimeout  = 10 * time.Second
	sweepInterval = time.Second
	// baseGrace bounds the shutdown of the services under the base supervisor.
	baseGrace = time.Second
)

// Router is the gateway process on an entry VM.
type Router struct {
	settings        Settings
	log             *logrus.Entry
	state           *catalog.State
	pool            *upstream.Pool
	schedulerConns  *schedulerConns
	endpointTracker *endpointTracker
	domains         *domains
	sendRates       *sendRates
	relays          *relay.Relays
	changes         *relay.Server
	peers           *quota.Peers
	quota           *quota.Ledger
	endpointLimits  *quota.EndpointLimits
	crashTracker    *crashTracker
	parts           *partQuarantine
	crashRecords    *crashRecordStore
	recordExchange  *recordExchange
	storedRecords   *storedRecords
	streamOrigins   *streamOrigins
	formerVersions  *formerVersions
	budgets         *retryBudgets
	streamLengths   *streamLengths
	stopper         *stopper
	routing         routing.Config
	counters        *Counters
	metrics         *process.Metrics
	store           *platform.StoreClient
	memory          *bodies.Memory     // Nil without a limit.
	limiter         *connlimit.Limiter // Of the connections of callers.

	inFlight atomic.Int64
	draining atomic.Bool
}

// New returns a router. Serve starts it.
func New(s Settings, log *logrus.Entry) *Router {
	metrics := process.NewMetrics()
	r := &Router{
		settings: s, log: log, pool: upstream.NewPool(), endpointTracker: newEndpointTracker(), domains: newDomains(s), sendRates: newSendRates(),
		streamLengths: newStreamLengths(), stopper: newStopper(s.ShutdownGrace), routing: routing.DefaultConfig(), metrics: metrics,
		counters: NewCounters(metrics.Scope.SubScope("router")), state: catalog.NewState(),
		store: platform.NewStoreClient(s.StoreAddress),
	}
	r.memory = bodies.NewMemoryOfVM(s.MemoryMB, smallBytes, r.counters.scope)
	r.limiter = connlimit.New(connlimit.LimitsOfVM(s.MemoryMB, s.MaxFDs), "callers", r.counters.scope)
	r.pool.SocketBytes = sockopt.BytesOfVM(s.MemoryMB)
	r.pool.OnDial = func() { r.counters.connections.Inc(1) }
	transport := r.newTransport("schedulers", grantResponseDelay)
	r.schedulerConns = newSchedulerConns(s.SchedulerPort, transport, log)
	r.relays = relay.NewRelays(s.VM, s.FailureDomain, r.newTransport("relays", 0), metrics.Scope.SubScope("changes"), log)
	r.changes = relay.NewServer(map[string]*catalog.ChangeLog{
		relay.TopicOperator: catalog.NewChangeLog(nil),
		relay.TopicRegistry: catalog.NewChangeLog(platform.IsHeartbeat(time.Now)),
		relay.TopicRouters:  catalog.NewChangeLog(nil),
	})
	r.peers = quota.NewPeers(s.VM, r.newTransport("routers", quota.ResponseDelay), log)
	r.quota = quota.NewLedger(r.peers, r.state.View, log)
	r.endpointLimits = quota.NewEndpointLimits(r.peers, log)
	r.crashTracker = newCrashTracker(r.peers, log)
	r.parts = newPartQuarantine(r.peers, log)
	r.peers.OnFound = func(p quota.Peer) {
		if !r.recordExchange.exchangeFirst(p) { // The router may be of a former build.
			r.parts.fetch(p)
			r.crashTracker.fetch(p)
		}
	}
	r.streamOrigins = newStreamOrigins(s.SchedulerPort, transport, log)
	r.streamOrigins.updateRouter(platform.RouterRegistration{VM: s.VM, Address: s.PeersAddress, FailureDomain: s.FailureDomain}, true)
	r.crashTracker.OnPartCrash = r.parts.recordCrash
	r.crashRecords = newCrashRecordStore(transport)
	r.crashRecords.holders = func() []streamorigin.Holder {
		v := r.state.View()
		if v.Config == nil || !v.Synced {
			return nil
		}
		return r.streamOrigins.holders(v).Schedulers
	}
	records := func() crashrecords.Records {
		records := r.crashTracker.records(storedCrashes)
		records.Parts = r.parts.records().Parts
		return records.Bounded()
	}
	adopt := func(from string, records crashrecords.Records) {
		r.crashTracker.apply(records, from)
		r.parts.apply(records, from)
	}
	r.crashRecords.records, r.crashRecords.adopt = records, adopt
	r.recordExchange = newRecordExchange(r.peers, log)
	r.recordExchange.records, r.recordExchange.adopt = records, adopt
	r.storedRecords = newStoredRecords(r.store, log)
	r.storedRecords.records, r.storedRecords.adopt = records, adopt
	r.storedRecords.rank = func() int { return r.peers.RecordsRank(crashRecordsKey, time.Now()) }
	r.storedRecords.isolated = func() bool { return r.peers.Isolated(time.Now()) }
	r.storedRecords.counted = func() { r.counters.recordWrites.Inc(1) }
	r.recordExchange.complete, r.recordExchange.onComplete = r.storedRecords.isComplete, r.storedRecords.markComplete
	r.recordExchange.count = func() { r.counters.recordExchanges.Inc(1) }
	r.peers.Digest, r.peers.OnDigest = r.recordExchange.digest, r.recordExchange.compare
	r.crashRecords.isOwner = func() bool { return r.peers.Owns(crashRecordsKey, 0, time.Now()) }
	publish := func() {
		r.crashRecords.publish()
		r.storedRecords.notify()
	}
	r.crashTracker.OnCounted, r.parts.OnChange = publish, publish
	r.parts.OnAdopt = r.storedRecords.notify // The router that has found the state may not be the one that stores it.
	r.formerVersions = newFormerVersions(s.versionBound(), func(key catalog.AdapterKey) catalog.Announcement {
		return r.state.View().Versions[key]
	})
	r.budgets = newRetryBudgets(s.RetryRatio, s.RetryBurst, r.peers.Count)
	return r
}

// newTransport returns a transport of calls to a kind of processes. A call without a response for responseDelay makes
// it check the connection; 0 leaves silent connections to pings.
func (r *Router) newTransport(to string, responseDelay time.Duration) *peerconn.Transport {
	return peerconn.NewTransport(peerconn.Options{
		ResponseDelay: responseDelay, Log: r.log, Scope: r.metrics.Scope.SubScope("connections").Tagged(map[string]string{"to": to}),
	})
}

// registryInterval returns the shortest interval between two reads of the registry.
func (r *Router) registryInterval() time.Duration {
	return time.Duration(registryIntervalShare * float64(r.settings.EndpointDrainBound))
}

// Serve runs the router until ctx ends, then drains it. It returns an error if a listen
// address cannot be bound.
func (r *Router) Serve(ctx context.Context) error {
	var listeners []net.Listener
	for _, address := range []string{
		r.settings.CallersAddress, r.settings.ReadyAddress, r.settings.PeersAddress, r.settings.AdminAddress,
	} {
		l, err := process.ListenBuffered(address, sockopt.BytesOfVM(r.settings.MemoryMB))
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
	}
	ready, admin, callers := r.plainServer(http.HandlerFunc(r.serveReady)), r.plainServer(r.metrics.Handler), r.callersServer()
	listeners[0] = r.limiter.Listen(listeners[0])
	listeners[1] = r.limitConnections(ready, listeners[1], "ready")
	listeners[3] = r.limitConnections(admin, listeners[3], "admin")
	base := process.NewSupervisor("base", r.log, baseGrace)
	base.Add(&process.HTTPServer{Name: "ready", Server: ready, Listener: listeners[1]})
	base.Add(&process.HTTPServer{Name: "peers", Server: peerconn.NewServer(r.peersHandler()), Listener: listeners[2]})
	base.Add(&process.HTTPServer{Name: "admin", Server: admin, Listener: listeners[3]})
	for _, follower := range r.followers() {
		base.Add(follower)
	}
	base.Add(catalog.Expirer{State: r.state, Log: r.log})
	base.Add(r.peers)
	base.Add(service{"sync", r.syncLoop})
	base.Add(service{"replacement", (&replacer{router: r, services: make(map[string]*serviceReplacement)}).run})
	base.Add(service{"crash records", r.crashRecords.run})
	r.storedRecords.await()
	base.Add(service{"stored crash records", r.storedRecords.run})
	frontGrace := r.settings.ShutdownGrace - r.stopper.acceptDuration() - drainMargin
	front := process.NewSupervisor("front", r.log, frontGrace)
	registration := platform.RouterRegistration{
		VM: r.settings.VM, Address: r.settings.PeersAddress, FailureDomain: r.settings.FailureDomain,
		LinkMbps: r.settings.LinkMbps, CPUShare: r.settings.CPUShare,
	}
	registrationCtx, deregister := context.WithCancel(context.WithoutCancel(ctx))
	defer deregister()
	base.Add(service{"registrar", func(runCtx context.Context) error {
		serveCtx, cancel := context.WithCancel(runCtx)
		defer cancel()
		defer context.AfterFunc(registrationCtx, cancel)()
		err := (&registrar{
			store: r.store, registration: registration, log: r.log,
			onRegistered: func() { r.peers.MarkRegistered(time.Now()) },
		}).Serve(serveCtx)
		if registrationCtx.Err() != nil {
			return suture.ErrDoNotRestart
		}
		return err
	}})
	front.Add(&process.HTTPServer{Name: "callers", Server: callers, Listener: listeners[0], Grace: frontGrace})
	return process.NewStages(base, front).Serve(ctx, func() { r.drain(deregister) })
}

// followers returns the followers of all topics. Each one fills the change log that other processes read.
func (r *Router) followers() []*catalog.Follower {
	reader := func(topic string, f relay.Freshness) *relay.Reader {
		return &relay.Reader{
			Store: r.store, Topic: topic, Relays: r.relays, Freshness: f, LogChanges: topic == relay.TopicOperator,
		}
	}
	operator := platform.FollowOperator(
		reader(relay.TopicOperator, relay.WithinDeferring(r.settings.ConfigBound)), r.state, r.log, nil)
	registry := platform.FollowRegistry(
		reader(relay.TopicRegistry, relay.Within(r.settings.EndpointDrainBound)), r.state, r.registryInterval(), r.log)
	routers := platform.FollowRouters(
		reader(relay.TopicRouters, relay.WithinDeferring(routersBound)), routersWatchInterval, r.log, r.updatePeer)
	operator.ChangeLog = r.changes.Log(relay.TopicOperator)
	registry.ChangeLog = r.changes.Log(relay.TopicRegistry)
	routers.ChangeLog = r.changes.Log(relay.TopicRouters)
	return []*catalog.Follower{operator, registry, routers}
}

// registryLog returns the change log of the registered endpoints.
func (r *Router) registryLog() *catalog.ChangeLog { return r.changes.Log(relay.TopicRegistry) }

// service is a named function run by a supervisor.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String returns the service name for supervisor events.
func (s service) String() string { return s.name }

// drain fails the readiness check, deregisters the router and keeps accepting requests until
// the load balancer has stopped sending them. The front supervisor then stops accepting
// requests and lets running ones finish; the stopper ends them before the grace period does.
func (r *Router) drain(deregister func()) {
	r.draining.Store(true)
	r.stopper.begin(time.Now())
	r.peers.Leave()
	r.changes.Close()
	deregister()
	r.log.WithField("event", "drain").WithField("in_flight", r.inFlight.Load()).Info("draining")
	// The context of the process has already ended.
	_ = sleep.For(context.Background(), r.stopper.acceptDuration())
	r.log.WithField("event", "drain_closed").WithField("in_flight", r.inFlight.Load()).
		Info("draining router stops accepting requests")
}

// syncLoop updates the scheduler connections and endpoint statistics after each catalog
// change, checks scheduler connections whose snapshots are late, and closes expired idle connections to endpoints every
// sweepInterval.
func (r *Router) syncLoop(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	late := time.NewTicker(lateCheckInterval)
	defer late.Stop()
	cold := coldLog{r.log, make(map[catalog.EndpointID]time.Time)}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.state.Changed():
			v := r.state.View()
			r.schedulerConns.sync(ctx, v)
			r.endpointTracker.sync(v, time.Now())
			r.formerVersions.update()
			cold.observe(v, time.Now())
		case now := <-late.C:
			r.schedulerConns.checkLate(now)
			r.logPhases(r.state.View(), now)
		case now := <-sweep.C:
			r.pool.CloseExpired(now)
			r.reportMemory()
			r.endpointLimits.Prune(r.state.View(), now)
		}
	}
}

// updatePeer adds or removes a router that appeared in or left the store.
func (r *Router) updatePeer(found platform.RouterRegistration, present bool) {
	r.relays.Update(found.Relay(), present)
	r.streamOrigins.updateRouter(found, present)
	if present {
		r.peers.Add(quota.Peer{VM: found.VM, Address: found.Address})
		return
	}
	r.peers.Remove(found.VM)
}

// serveReady responds to the load balancer's readiness check.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := r.state.View()
	switch {
	case r.draining.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case v.Config == nil || !v.OperatorSynced:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case !v.Synced:
		http.Error(w, "no list of endpoints yet", http.StatusServiceUnavailable)
	case !r.storedRecords.ready(time.Now()):
		http.Error(w, "no crash records yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

// peersHandler returns the handler for the calls of other routers.
func (r *Router) peersHandler() http.Handler {
	router := chi.NewRouter()
	r.changes.Mount(router)
	r.quota.Mount(router)
	r.endpointLimits.Mount(router)
	r.crashTracker.mount(router)
	r.parts.mount(router)
	r.recordExchange.mount(router)
	r.streamOrigins.server.Mount(router)
	return router
}

// plainServer returns an HTTP/1.1 server with the router's timeouts.
func (r *Router) plainServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ReadTimeout: shortTimeout, WriteTimeout: shortTimeout, ErrorLog: r.errorLog(),
	}
}

// callersServer returns the server for callers' requests.
func (r *Router) callersServer() *http.Server {
	s := r.plainServer(r)
	s.ReadTimeout, s.WriteTimeout = 0, 0 // Bodies and streams have their own bounds.
	r.limiter.Attach(s)
	return s
}

// errorLog returns a logger that records the connection errors of net/http as warnings.
func (r *Router) errorLog() *stdlog.Logger {
	return stdlog.New(r.log.WithField("event", "http").WriterLevel(logrus.WarnLevel), "", 0)
}
