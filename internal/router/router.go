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

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/pause"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/process"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/turncall"
	"github.com/hyssoptiller/hyssoptiller/internal/upstream"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// watchWait is the wait of one watch of the store. A watch that went silent
	// is found after it, within the time in which a VM is out of contact.
	watchWait = 2500 * time.Millisecond
	// registryShare is the part of the time for which a draining endpoint may
	// still be used that passes between two looks at the registry: the
	// endpoints' heartbeats would cause a call each.
	registryShare = 0.4
	// routersWait is longer: the routers' pings tell sooner of a change.
	routersWait = 10 * time.Second
	// routersPause lets the entries of routers that start together come together.
	routersPause = 2 * time.Second
	// callerIdle is how long an idle connection of a caller is kept; the
	// configurations name 15 s.
	callerIdle = 2 * time.Minute
	// headerTimeout bounds the arrival of a request's head.
	headerTimeout = 10 * time.Second
	maxHeader     = 64 << 10
	// drainOpen is how long a router that drains still takes requests: the
	// balancer asks each second and goes by two misses. What comes later than
	// 3 s after the signal would have to be finished within the grace.
	drainOpen = 2600 * time.Millisecond
	// drainMargin is kept of the grace for the end of the process.
	drainMargin = 300 * time.Millisecond
	sweepEvery  = time.Second
	peersGrace  = time.Second
)

// Router is the process on an entry VM.
type Router struct {
	settings  Settings
	log       *logrus.Entry
	state     *catalog.State
	pool      *upstream.Pool
	links     *links
	endpoints *endpoints
	peers     *quota.Peers
	quota     *quota.Ledger
	suspects  *suspects
	budget    *budgets
	lengths   *lengths
	routing   routing.Config
	count     *Counters
	metrics   *process.Metrics
	store     *platform.StoreClient

	inFlight atomic.Int64
	closing  atomic.Bool
}

// New returns a router that serves nothing yet.
func New(s Settings, log *logrus.Entry) *Router {
	metrics := process.NewMetrics()
	r := &Router{
		settings: s, log: log, pool: upstream.NewPool(), endpoints: newEndpoints(), lengths: newLengths(), routing: routing.DefaultConfig(),
		metrics: metrics, count: NewCounters(metrics.Scope.SubScope("router")), state: catalog.NewState(),
		store: platform.NewStoreClient(s.StoreAddress),
	}
	r.pool.Dialled = func() { r.count.dialled.Inc(1) }
	transport := turncall.NewTransport()
	r.links = newLinks(s.SchedulerPort, transport, log)
	r.peers = quota.NewPeers(s.VM, turncall.NewTransport(), log)
	r.quota = quota.NewLedger(r.peers, r.state.View, log)
	r.suspects = newSuspects(r.peers, log)
	r.budget = newBudgets(s.RetryRatio, s.RetryBurst, r.peers.Count)
	return r
}

func (r *Router) registryPause() time.Duration {
	return time.Duration(registryShare * float64(r.settings.DrainBound))
}

// Serve runs until ctx ends, then drains. Listen addresses that cannot be had
// are an error.
func (r *Router) Serve(ctx context.Context) error {
	var listeners []net.Listener
	for _, address := range []string{r.settings.CallersAddress, r.settings.ReadyAddress, r.settings.PeersAddress, r.settings.AdminAddress} {
		l, err := process.Listen(address)
		if err != nil {
			return err
		}
		listeners = append(listeners, l)
	}
	base := process.NewSupervisor("base", r.log, peersGrace)
	base.Add(&process.HTTPServer{Name: "ready", Server: r.plainServer(http.HandlerFunc(r.serveReady)), Listener: listeners[1]})
	base.Add(&process.HTTPServer{Name: "peers", Server: turncall.NewServer(r.peersHandler()), Listener: listeners[2]})
	base.Add(&process.HTTPServer{Name: "admin", Server: r.plainServer(r.metrics.Page), Listener: listeners[3]})
	base.Add(platform.FollowOperator(r.store, r.state, watchWait, r.log, nil))
	base.Add(platform.FollowRegistry(r.store, r.state, watchWait, r.registryPause(), r.log))
	base.Add(platform.FollowRouters(r.store, routersWait, routersPause, r.log, r.routerFound))
	base.Add(catalog.Expirer{State: r.state})
	base.Add(r.peers)
	base.Add(service{"sync", r.syncLoop})
	rest := max(r.settings.Grace-drainOpen-drainMargin, time.Second)
	front := process.NewSupervisor("front", r.log, rest)
	entry := platform.Router{VM: r.settings.VM, Address: r.settings.PeersAddress}
	registration, deregister := context.WithCancel(context.WithoutCancel(ctx))
	defer deregister()
	base.Add(service{"registrar", func(c context.Context) error {
		both, cancel := context.WithCancel(c)
		defer cancel()
		defer context.AfterFunc(registration, cancel)()
		err := (&registrar{store: r.store, entry: entry, log: r.log}).Serve(both)
		if registration.Err() != nil {
			return suture.ErrDoNotRestart
		}
		return err
	}})
	front.Add(&process.HTTPServer{Name: "callers", Server: r.callersServer(), Listener: listeners[0], Grace: rest})
	return process.NewStages(base, front).Serve(ctx, func() { r.drain(deregister) })
}

// service is a named function under a supervisor.
type service struct {
	name string
	run  func(context.Context) error
}

// Serve implements suture.Service.
func (s service) Serve(ctx context.Context) error { return s.run(ctx) }

// String names the service in the supervisor's events.
func (s service) String() string { return s.name }

// drain lets the balancer turn away. Then the front ends: it takes no more
// requests and running ones finish.
func (r *Router) drain(deregister func()) {
	r.closing.Store(true)
	r.peers.Leave()
	deregister()
	r.log.WithField("event", "drain").WithField("in_flight", r.inFlight.Load()).Info("draining")
	// Background: the process's own context has ended.
	_ = pause.For(context.Background(), drainOpen)
	r.log.WithField("event", "drain_closed").WithField("in_flight", r.inFlight.Load()).Info("takes no more requests")
}

// syncLoop brings links and endpoints in line with the catalog.
func (r *Router) syncLoop(ctx context.Context) error {
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.state.Changed():
			v := r.state.View()
			r.links.sync(ctx, v)
			r.endpoints.sync(v)
		case now := <-sweep.C:
			r.pool.Sweep(now)
		}
	}
}

func (r *Router) routerFound(found platform.Router, present bool) {
	if present {
		r.peers.Add(quota.Peer{VM: found.VM, Address: found.Address})
		return
	}
	r.peers.Remove(found.VM)
}

// serveReady tells the balancer whether to send connections here.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	v := r.state.View()
	switch {
	case r.closing.Load():
		http.Error(w, "draining", http.StatusServiceUnavailable)
	case v.Config == nil:
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	case !v.Synced:
		http.Error(w, "no list of endpoints yet", http.StatusServiceUnavailable)
	default:
		_, _ = io.WriteString(w, "ready\n")
	}
}

func (r *Router) peersHandler() http.Handler {
	router := chi.NewRouter()
	r.quota.Mount(router)
	r.suspects.mount(router)
	return router
}

func (r *Router) plainServer(h http.Handler) *http.Server {
	return &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdle, ErrorLog: r.errorLog()}
}

func (r *Router) callersServer() *http.Server {
	s := r.plainServer(r)
	s.MaxHeaderBytes = maxHeader
	return s
}

// errorLog takes what net/http says of its connections.
func (r *Router) errorLog() *stdlog.Logger {
	return stdlog.New(r.log.WithField("event", "http").WriterLevel(logrus.WarnLevel), "", 0)
}
