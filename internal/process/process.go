// Package process holds what every long-running program of the system has:
// logging, metrics, a supervisor tree, the administrative address and a
// graceful shutdown.
package process

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"
	client "github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// ErrListen says that an address cannot be listened on.
const ErrListen = errors.ConstError("cannot listen")

const (
	reportInterval    = time.Second
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// NewLogger returns a logger of structured lines on out.
func NewLogger(out io.Writer, level logrus.Level, program string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger.WithField("program", program)
}

// Metrics is the process's root scope with its HTTP page.
type Metrics struct {
	Scope  tally.Scope
	Page   http.Handler
	closer io.Closer
}

// NewMetrics returns a scope whose metrics begin with "hyssop_".
func NewMetrics() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hyssop",
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Page: reporter.HTTPHandler(), closer: closer}
}

// Close stops the reporting.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Ready tells the balancer whether to send traffic here.
type Ready struct {
	reason atomic.Pointer[string]
}

// NewReady returns a Ready that is not ready for the given reason.
func NewReady(reason string) *Ready {
	r := &Ready{}
	r.Not(reason)
	return r
}

// Not makes the process not ready.
func (r *Ready) Not(reason string) {
	r.reason.Store(&reason)
}

// Set makes the process ready.
func (r *Ready) Set() {
	r.reason.Store(nil)
}

// Reason returns why the process is not ready, or "".
func (r *Ready) Reason() string {
	reason := r.reason.Load()
	if reason == nil {
		return ""
	}
	return *reason
}

// AdminHandler serves /healthz, /readyz and /metrics.
func AdminHandler(ready *Ready, metrics *Metrics) http.Handler {
	router := chi.NewRouter()
	router.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	router.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		reason := ready.Reason()
		if reason != "" {
			http.Error(w, reason, http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	router.Handle("/metrics", metrics.Page)
	return router
}

// Listen opens a TCP address, or returns ErrListen.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithType(err, ErrListen)
	}
	return l, nil
}

// HTTPServer is a supervised HTTP server on an open listener.
type HTTPServer struct {
	Name     string
	Server   *http.Server
	Listener net.Listener
	Grace    time.Duration // Longest time that running requests may take to finish.
}

// NewHTTPServer returns a supervised server with the limits that protect a
// process from slow clients.
func NewHTTPServer(name string, l net.Listener, h http.Handler, grace time.Duration) *HTTPServer {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return &HTTPServer{Name: name, Server: server, Listener: l, Grace: grace}
}

// String names the service in the supervisor's events.
func (s *HTTPServer) String() string {
	return s.Name
}

// Serve serves until ctx ends, then lets running requests finish within the
// grace. It implements suture.Service.
func (s *HTTPServer) Serve(ctx context.Context) error {
	failed := make(chan error, 1)
	go func() { failed <- s.serve() }()
	select {
	case err := <-failed:
		return errors.Annotate(err, s.Name)
	case <-ctx.Done():
	}
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Grace)
	defer cancel()
	if err := s.Server.Shutdown(stop); err != nil {
		_ = s.Server.Close()
	}
	return suture.ErrDoNotRestart
}

func (s *HTTPServer) serve() error {
	if s.Server.TLSConfig != nil {
		return s.Server.ServeTLS(s.Listener, "", "")
	}
	return s.Server.Serve(s.Listener)
}

// NewSupervisor returns a supervisor that logs only the failures of its
// services. Its services have grace to end.
func NewSupervisor(name string, log *logrus.Entry, grace time.Duration) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		Timeout: grace + time.Second,
		EventHook: func(e suture.Event) {
			if e.Type() == suture.EventTypeStopTimeout || e.Type() == suture.EventTypeServiceTerminate {
				log.WithField("supervisor", name).Warn(e.String())
				return
			}
			if e.Type() == suture.EventTypeServicePanic || e.Type() == suture.EventTypeBackoff {
				log.WithField("supervisor", name).Error(e.String())
			}
		},
	})
}

// SignalContext returns a context that ends at SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
