// Package vmlist is a small stand-in for the platform's VM list: a JSON array
// over HTTP that shows each change only after a lag.
package vmlist

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	platform "github.com/hyssoptiller/hyssoptiller/internal/platform/vmlist"
)

// Server serves the list. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	lag     time.Duration
	shown   []platform.VM
	pending []change
}

type change struct {
	due time.Time
	vms []platform.VM
}

// NewServer returns a Server that shows vms at once and later changes after lag.
func NewServer(lag time.Duration, vms ...platform.VM) *Server {
	return &Server{lag: lag, shown: vms}
}

// Set replaces the rows; readers see it after the lag.
func (s *Server) Set(vms ...platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, change{due: time.Now().Add(s.lag), vms: vms})
}

// ServeHTTP answers GET with the list and PUT with a replacement.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method {
	case http.MethodGet:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(s.now())
	case http.MethodPut:
		var vms []platform.VM
		if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(vms...)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func (s *Server) now() []platform.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for len(s.pending) > 0 && !s.pending[0].due.After(now) {
		s.shown = s.pending[0].vms
		s.pending = s.pending[1:]
	}
	if s.shown == nil {
		return []platform.VM{}
	}
	return s.shown
}

// Show replaces the rows at once, without the lag.
func (s *Server) Show(vms ...platform.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shown = vms
	s.pending = nil
}
