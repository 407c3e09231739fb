// Package engine is a small stand-in for a model engine. It speaks the part
// of vLLM's published HTTP API that internal/clients/engine uses, records what it was
// asked, and has switches for the faults that engines show.
package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	engineapi "github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	defaultMaxTokens = 16
	maxBodyBytes     = 4 << 20
	bootIDBytes      = 6
)

// Options configures NewServer.
type Options struct {
	Slots        int           // Adapters that fit at once.
	LoadTime     time.Duration // Time of one load.
	TokenTime    time.Duration // Time of one output token.
	ChecksFence  bool          // Whether orders with an old fencing number are refused.
	CrashMarker  string        // A body that contains it crashes the engine; none where empty.
	RecordBodies bool          // Whether Runs keeps request bodies and headers.
}

// Run records one request that began to run.
type Run struct {
	Adapter   string
	RequestID string
	Header    http.Header
	Body      string
	Finished  bool // False while it runs and where it was cancelled or crashed.
}

// Server is one engine.
type Server struct {
	opts   Options
	router chi.Router

	mu        sync.Mutex
	boot      ident.BootID
	bootCtx   context.Context
	kill      context.CancelFunc
	resident  map[string]bool
	running   map[string]int
	fence     uint64
	failLoads int
	draining  bool
	lostOrder int
	breaks    int
	breakAt   int
	crosses   int
	runs      []*Run
	evictions []string
}

// NewServer returns an engine that has just booted.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts, router: chi.NewRouter()}
	s.Restart()
	s.router.Get("/health", s.health)
	s.router.Get("/v1/models", s.models)
	s.router.Post("/v1/load_lora_adapter", s.load)
	s.router.Post("/v1/unload_lora_adapter", s.unload)
	s.router.Post("/v1/chat/completions", s.complete)
	s.router.Post("/v1/completions", s.complete)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engineapi.HeaderBoot, string(s.Boot()))
	s.router.ServeHTTP(w, r)
}

// Boot returns the boot id of the present life.
func (s *Server) Boot() ident.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// Restart ends all running requests and begins a new life with no adapters.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kill != nil {
		s.kill()
	}
	s.boot = ident.BootID(ident.NewToken(bootIDBytes))
	s.bootCtx, s.kill = context.WithCancel(context.Background())
	s.resident = make(map[string]bool)
	s.running = make(map[string]int)
}

// FailLoads makes the next n loads fail.
func (s *Server) FailLoads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failLoads = n
}

// LoseOrderAnswers carries out the next n orders and cuts their connections.
func (s *Server) LoseOrderAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostOrder = n
}

// SetDraining makes the health answer ask for no new work.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// BreakAnswers makes the next n answers end after the given number of tokens:
// a stream without its end mark, a plain answer short of its length.
func (s *Server) BreakAnswers(n, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks = n
	s.breakAt = tokens
}

// CrossAnswers makes the next n answers carry the id of another request.
func (s *Server) CrossAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.crosses = n
}

// Runs returns a copy of what ran so far.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// EvictedInUse returns the adapters that were unloaded while a request ran on
// them. It stays empty where the promise holds.
func (s *Server) EvictedInUse() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.evictions...)
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (s *Server) models(w http.ResponseWriter, _ *http.Request) {
	type model struct {
		ID string `json:"id"`
	}
	var list struct {
		Data []model `json:"data"`
	}
	s.mu.Lock()
	for name := range s.resident {
		list.Data = append(list.Data, model{ID: name})
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

type order struct {
	Name string `json:"lora_name"`
}

func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	o, ok := s.acceptOrder(w, r)
	if !ok {
		return
	}
	if !wait(r.Context(), s.lifetime(), s.opts.LoadTime) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	status := s.finishLoad(o.Name)
	s.mu.Unlock()
	s.answerOrder(w, status)
}

func (s *Server) finishLoad(name string) int {
	if s.failLoads > 0 {
		s.failLoads--
		return http.StatusInternalServerError
	}
	if !s.resident[name] && len(s.resident) >= s.opts.Slots {
		return http.StatusBadRequest
	}
	s.resident[name] = true
	return http.StatusOK
}

func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := s.acceptOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	status := http.StatusNotFound
	if s.resident[o.Name] {
		status = http.StatusOK
		delete(s.resident, o.Name)
	}
	if s.running[o.Name] > 0 {
		s.evictions = append(s.evictions, o.Name)
	}
	s.mu.Unlock()
	s.answerOrder(w, status)
}

func (s *Server) acceptOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	number, _ := strconv.ParseUint(r.Header.Get(engineapi.HeaderFencingToken), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFence && number < s.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return o, false
	}
	s.fence = max(s.fence, number)
	return o, true
}

func (s *Server) answerOrder(w http.ResponseWriter, status int) {
	s.mu.Lock()
	lose := s.lostOrder > 0
	if lose {
		s.lostOrder--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}
