// Package kv is a stand-in for the platform's key-value service. It implements the
// part of Consul's published HTTP API for the KV store and sessions that
// internal/clients/store uses. A store.Memory holds the data.
//
// PUT /fault/{name} sets a fault of the Memory, and GET /calls returns the numbers of
// calls.
package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
)

// defaultWait is the maximum time of a watch whose query has no valid wait.
const defaultWait = 5 * time.Minute

// Server is an HTTP handler for the API.
type Server struct {
	memory *store.Memory
	router chi.Router
}

// row is a record in the response to a read.
type row struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

// NewServer returns a Server that reads and writes memory.
func NewServer(memory *store.Memory) *Server {
	s := &Server{memory: memory, router: chi.NewRouter()}
	s.router.Get("/v1/kv/*", s.get)
	s.router.Put("/v1/kv/*", s.put)
	s.router.Delete("/v1/kv/*", s.delete)
	s.router.Put("/v1/session/create", s.createSession)
	s.router.Put("/v1/session/renew/{id}", s.renewSession)
	s.router.Put("/v1/session/destroy/{id}", s.destroySession)
	s.router.Put("/fault/{name}", s.setFault)
	s.router.Get("/calls", s.calls)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.router.ServeHTTP(w, r)
}

// get responds to a read of one key, a list (?recurse) or a watch (?index).
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	query := r.URL.Query()
	switch {
	case query.Has("recurse"):
		records, err := s.memory.List(r.Context(), key)
		writeRecords(w, records, err)
	case query.Has("index"):
		after, _ := strconv.ParseUint(query.Get("index"), 10, 64)
		wait, err := time.ParseDuration(query.Get("wait"))
		if err != nil {
			wait = defaultWait
		}
		record, err := s.memory.Watch(r.Context(), key, store.Index(after), wait)
		if err == nil && record.Index == 0 {
			err = store.ErrNotFound
		}
		writeRecords(w, []store.Record{record}, err)
	default:
		record, err := s.memory.Get(r.Context(), key)
		writeRecords(w, []store.Record{record}, err)
	}
}

// put responds to a compare-and-swap (?cas) or an acquisition by a session (?acquire).
func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "*")
	value, err := io.ReadAll(io.LimitReader(r.Body, store.MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	if query.Has("acquire") {
		ok, err := s.memory.Acquire(r.Context(), key, value, store.LeaseID(query.Get("acquire")))
		writeBool(w, ok, err)
		return
	}
	prev, err := strconv.ParseUint(query.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "the query must contain cas=NUMBER or acquire=SESSION", http.StatusBadRequest)
		return
	}
	ok, err := s.memory.CompareAndSwap(r.Context(), key, value, store.Index(prev))
	writeBool(w, ok, err)
}

func (s *Server) delete(w http.ResponseWriter, r *http.Request) {
	prev, err := strconv.ParseUint(r.URL.Query().Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "the query must contain cas=NUMBER", http.StatusBadRequest)
		return
	}
	ok, err := s.memory.Delete(r.Context(), chi.URLParam(r, "*"), store.Index(prev))
	writeBool(w, ok, err)
}

func (s *Server) createSession(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTL string }
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		http.Error(w, "TTL must be a duration, such as 10s", http.StatusBadRequest)
		return
	}
	id, err := s.memory.GrantLease(r.Context(), ttl)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{ ID string }{string(id)})
}

func (s *Server) renewSession(w http.ResponseWriter, r *http.Request) {
	err := s.memory.RenewLease(r.Context(), store.LeaseID(chi.URLParam(r, "id")))
	writeBool(w, true, err)
}

func (s *Server) destroySession(w http.ResponseWriter, r *http.Request) {
	err := s.memory.ReleaseLease(r.Context(), store.LeaseID(chi.URLParam(r, "id")))
	writeBool(w, true, err)
}

// faultsByName are the faults by their names in the path of PUT /fault/{name}.
var faultsByName = map[string]store.Fault{
	"none":        store.FaultNone,
	"down":        store.FaultDown,
	"answer-lost": store.FaultResponseLost,
	"write-lost":  store.FaultWriteLost,
}

// setFault sets the fault that the path names. "slow" sets the delay of each call
// from the query, as in ?delay=200ms.
func (s *Server) setFault(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "name")
	if name == "slow" {
		delay, err := time.ParseDuration(r.URL.Query().Get("delay"))
		if err != nil {
			http.Error(w, "the query must contain delay=DURATION, such as delay=200ms", http.StatusBadRequest)
			return
		}
		s.memory.SetDelay(delay)
		return
	}
	fault, ok := faultsByName[name]
	if !ok {
		http.Error(w, "unknown fault: want none, down, answer-lost, write-lost or slow", http.StatusNotFound)
		return
	}
	s.memory.SetFault(fault)
}

func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, s.memory.Calls())
}

// writeRecords responds to a read with records, or with the status of err.
func writeRecords(w http.ResponseWriter, records []store.Record, err error) {
	if errors.Is(err, store.ErrNotFound) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	rows := make([]row, 0, len(records))
	for _, record := range records {
		rows = append(rows, row{Key: record.Key, Value: record.Value, ModifyIndex: uint64(record.Index), Session: string(record.Lease)})
	}
	writeJSON(w, rows)
}

// writeBool responds to a write with "true" or "false", or with the status of err.
func writeBool(w http.ResponseWriter, ok bool, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	_, _ = io.WriteString(w, strings.ToLower(strconv.FormatBool(ok)))
}

// writeError responds with the status that Consul has for err. If the outcome of a
// write is unknown, it closes the connection without a response.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrOutcomeUnknown):
		panic(http.ErrAbortHandler)
	case errors.Is(err, store.ErrLeaseLost):
		http.Error(w, err.Error(), http.StatusNotFound)
	case errors.Is(err, store.ErrUnavailable):
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
