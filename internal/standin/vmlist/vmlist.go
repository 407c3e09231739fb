// Package vmlist is a stand-in for the platform's VM list. It serves the rows over
// HTTP as a JSON array. Like the platform's list, it shows a change only after a lag.
package vmlist

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	listapi "github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
)

// Server is an HTTP handler that serves the list. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	visible []listapi.VM
	pending []change // Changes within the lag, in the order of their time.
}

// change is a replacement of the rows that readers see from the time visibleAt on.
type change struct {
	visibleAt time.Time
	vms       []listapi.VM
}

// NewServer returns a Server with the rows vms. Later changes appear after lag.
func NewServer(lag time.Duration, vms ...listapi.VM) *Server {
	return &Server{lag: lag, visible: vms}
}

// Set replaces the rows. Readers see the new rows after the lag.
func (s *Server) Set(vms ...listapi.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{visibleAt: time.Now().Add(s.lag), vms: vms})
}

// ServeHTTP responds to GET with the list. On PUT, it replaces the rows by those in
// the body, as Set does.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		s.get(w, r)
	case http.MethodPut:
		var vms []listapi.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(vms...)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

// get responds with the list and its ETag, or with 304 if the ETag in the header
// If-None-Match is that of the list.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	data, err := json.Marshal(s.currentRows())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf("%q", strconv.FormatUint(xxhash.Sum64(data), 16))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}

// currentRows applies the changes whose lag has passed and returns the visible rows.
func (s *Server) currentRows() []listapi.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].visibleAt.After(now) {
		s.visible = s.pending[0].vms
		s.pending = s.pending[1:]
	}
	if s.visible == nil {
		return []listapi.VM{}
	}
	return s.visible
}

// SetNow replaces the rows without the lag and drops pending changes.
func (s *Server) SetNow(vms ...listapi.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.visible = vms
	s.pending = nil
}
