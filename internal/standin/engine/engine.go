// Package engine is a stand-in for a model engine. It implements the part of vLLM's
// published HTTP API that internal/clients/engine uses, records the requests that it
// runs, and can simulate failures of an engine.
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
	defaultMaxTokens = 16 // Output tokens of a request that sets no limit.
	maxBodyBytes     = 4 << 20
	bootIDBytes      = 6 // Also the size of random response ids.
)

// Options configures NewServer.
type Options struct {
	Slots              int           // Number of adapter slots.
	LoadTime           time.Duration // Duration of an adapter load.
	TokenTime          time.Duration // Time per output token.
	ChecksFencingToken bool          // Whether orders with an outdated fencing token are refused.
	CrashMarker        string        // A request with this text in its body crashes the engine; "" disables this.
	RecordRequests     bool          // Whether Run.Header and Run.Body are recorded.
}

// Run is the record of a request that started to run.
type Run struct {
	Adapter   string // Name of the adapter build, from the field "model".
	RequestID string // Value of the header X-Request-Id.
	Header    http.Header
	Body      string
	// Finished is false while the request runs, and if it was cancelled or crashed or
	// its whole response was truncated. It is true if its stream was truncated.
	Finished bool
}

// Server is an HTTP handler that acts as one engine. It is safe for concurrent use.
type Server struct {
	opts   Options
	router chi.Router

	mu                 sync.Mutex
	boot               ident.BootID
	bootCtx            context.Context // Ends when the current incarnation ends.
	endBoot            context.CancelFunc
	loaded             map[string]bool // Loaded adapter builds.
	running            map[string]int  // Running requests of each adapter build.
	fencingToken       uint64          // Highest fencing token received.
	failLoads          int             // Number of next loads that fail.
	draining           bool
	lostOrderResponses int // Number of next orders whose responses are lost.
	truncations        int // Number of next responses that are truncated.
	truncateAt         int // Number of tokens in a truncated response.
	mismatches         int // Number of next responses with the id of another request.
	runs               []*Run
	unloadedInUse      []string
}

// NewServer returns an engine in its first incarnation, without adapters.
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
	w.Header().Set(engineapi.HeaderBootID, string(s.Boot()))
	s.router.ServeHTTP(w, r)
}

// Boot returns the boot id of the current incarnation.
func (s *Server) Boot() ident.BootID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot
}

// Restart aborts all running requests and starts a new incarnation without adapters.
func (s *Server) Restart() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endBoot != nil {
		s.endBoot()
	}
	s.boot = ident.BootID(ident.RandomHex(bootIDBytes))
	s.bootCtx, s.endBoot = context.WithCancel(context.Background())
	s.loaded = make(map[string]bool)
	s.running = make(map[string]int)
}

// FailLoads makes the next n loads fail.
func (s *Server) FailLoads(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failLoads = n
}

// LoseOrderResponses makes the next n orders take effect and then close their
// connections without a response.
func (s *Server) LoseOrderResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lostOrderResponses = n
}

// SetDraining sets whether the health check reports that the engine accepts no new
// work.
func (s *Server) SetDraining(draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = draining
}

// TruncateResponses truncates the next n responses after the given number of tokens. A
// stream then ends without [DONE], and the connection of another response closes
// before its JSON object is complete.
func (s *Server) TruncateResponses(n, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.truncations = n
	s.truncateAt = tokens
}

// MismatchResponseIDs makes the next n responses carry the id of another request.
func (s *Server) MismatchResponseIDs(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mismatches = n
}

// Runs returns a copy of the records of all requests, in the order of their start.
func (s *Server) Runs() []Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Run, 0, len(s.runs))
	for _, r := range s.runs {
		out = append(out, *r)
	}
	return out
}

// UnloadedInUse returns the adapter builds that were unloaded while a request ran on
// them. It is empty as long as the fleet never does so.
func (s *Server) UnloadedInUse() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]string(nil), s.unloadedInUse...)
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
	for name := range s.loaded {
		list.Data = append(list.Data, model{ID: name})
	}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

// order is the body of a load or unload order.
type order struct {
	Name string `json:"lora_name"`
}

// load executes a load order after LoadTime. A restart or a cancelled order aborts it.
func (s *Server) load(w http.ResponseWriter, r *http.Request) {
	o, ok := s.acceptOrder(w, r)
	if !ok {
		return
	}
	if !sleep(r.Context(), s.bootContext(), s.opts.LoadTime) {
		panic(http.ErrAbortHandler)
	}
	s.mu.Lock()
	status := s.finishLoad(o.Name)
	s.mu.Unlock()
	s.respondToOrder(w, status)
}

// finishLoad loads the build and returns the status of the response. It returns 400
// if all slots are taken. The caller holds the lock.
func (s *Server) finishLoad(name string) int {
	if s.failLoads > 0 {
		s.failLoads--
		return http.StatusInternalServerError
	}
	if !s.loaded[name] && len(s.loaded) >= s.opts.Slots {
		return http.StatusBadRequest
	}
	s.loaded[name] = true
	return http.StatusOK
}

// unload executes an unload order. It also unloads a build on which requests run, and
// records that.
func (s *Server) unload(w http.ResponseWriter, r *http.Request) {
	o, ok := s.acceptOrder(w, r)
	if !ok {
		return
	}
	s.mu.Lock()
	status := http.StatusNotFound
	if s.loaded[o.Name] {
		status = http.StatusOK
		delete(s.loaded, o.Name)
	}
	if s.running[o.Name] > 0 {
		s.unloadedInUse = append(s.unloadedInUse, o.Name)
	}
	s.mu.Unlock()
	s.respondToOrder(w, status)
}

// acceptOrder parses an order and checks its fencing token. It responds with an error
// and returns false if the order is malformed or its token is outdated.
func (s *Server) acceptOrder(w http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil || o.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return o, false
	}
	token, _ := strconv.ParseUint(r.Header.Get(engineapi.HeaderFencingToken), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.opts.ChecksFencingToken && token < s.fencingToken {
		w.WriteHeader(http.StatusPreconditionFailed)
		return o, false
	}
	s.fencingToken = max(s.fencingToken, token)
	return o, true
}

// respondToOrder responds with status, or closes the connection if the response is to
// be lost.
func (s *Server) respondToOrder(w http.ResponseWriter, status int) {
	s.mu.Lock()
	lose := s.lostOrderResponses > 0
	if lose {
		s.lostOrderResponses--
	}
	s.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
}
