// Package process contains the parts that all long-running programs share: flags,
// logging, metrics, supervisors, the administrative HTTP handler and graceful
// shutdown.
//
// A program ends on SIGTERM or SIGINT. It lets running requests finish within a
// grace period before it closes their connections.
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

	"github.com/hyssoptiller/hyssoptiller/internal/sockopt"
)

// ErrListen means that a listen address cannot be opened.
const ErrListen = errors.ConstError("cannot listen")

const (
	reportInterval    = time.Second // Interval at which the metrics scope passes values to its reporter.
	readHeaderTimeout = 10 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
)

// NewLogger returns a logger that writes JSON lines to out. Each line carries
// program in the field "program".
func NewLogger(out io.Writer, level logrus.Level, program string) *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{})
	return logger.WithField("program", program)
}

// Metrics is the root metrics scope of the process and the HTTP handler that
// exposes it.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler // Serves the metrics in the Prometheus text format.
	closer  io.Closer
}

// NewMetrics returns Metrics with a new Prometheus registry. The name of each
// metric begins with "hyssop_".
func NewMetrics() *Metrics {
	registry := client.NewRegistry()
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "hyssop",
		Separator:              prometheus.DefaultSeparator,
		CachedReporter:         reporter,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{Scope: scope, Handler: reporter.HTTPHandler(), closer: closer}
}

// Close reports the remaining values and stops the reporter.
func (m *Metrics) Close() error {
	return m.closer.Close()
}

// Readiness is the readiness of the process, which the load balancer reads from
// /readyz.
type Readiness struct {
	reason atomic.Pointer[string]
}

// NewReadiness returns a Readiness in the state "not ready" with the given reason.
func NewReadiness(reason string) *Readiness {
	r := &Readiness{}
	r.SetNotReady(reason)
	return r
}

// SetNotReady sets the state to "not ready" with the given reason.
func (r *Readiness) SetNotReady(reason string) {
	r.reason.Store(&reason)
}

// SetReady sets the state to "ready".
func (r *Readiness) SetReady() {
	r.reason.Store(nil)
}

// Reason returns the reason why the process is not ready, or "" if it is ready.
func (r *Readiness) Reason() string {
	reason := r.reason.Load()
	if reason == nil {
		return ""
	}
	return *reason
}

// AdminHandler returns a handler for /healthz, /readyz and /metrics. /readyz
// responds with 503 and the reason while the process is not ready.
func AdminHandler(ready *Readiness, metrics *Metrics) http.Handler {
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
	router.Handle("/metrics", metrics.Handler)
	return router
}

// Listen opens a TCP listener on address. It returns ErrListen if that fails.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.WithType(err, ErrListen)
	}
	return l, nil
}

// ListenBuffered is like Listen, and bounds the buffers of each connection's socket to bytes unless that is 0.
func ListenBuffered(address string, bytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error { return sockopt.SetBuffers(raw, bytes) }}
	l, err := config.Listen(context.Background(), "tcp", address)
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
	Grace    time.Duration // Maximum time for running requests to finish during a shutdown.
}

// NewHTTPServer returns a supervised server with limits on the time and size of
// request headers and on idle connections, so that slow clients cannot exhaust the
// process.
func NewHTTPServer(name string, l net.Listener, h http.Handler, grace time.Duration) *HTTPServer {
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	return &HTTPServer{Name: name, Server: server, Listener: l, Grace: grace}
}

// String returns the name that the supervisor uses for the service in its events.
func (s *HTTPServer) String() string {
	return s.Name
}

// Serve serves until ctx ends. It then waits up to Grace for running requests and
// closes the connections that remain. It implements suture.Service.
func (s *HTTPServer) Serve(ctx context.Context) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.serve() }()
	select {
	case err := <-serveErr:
		return errors.Annotate(err, s.Name)
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.Grace)
	defer cancel()
	if err := s.Server.Shutdown(shutdownCtx); err != nil {
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

// NewSupervisor returns a supervisor that logs only failures of its services. At
// shutdown it waits one second longer than grace for its services to end.
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

// SignalContext returns a context that is cancelled on SIGTERM or SIGINT.
func SignalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
}
