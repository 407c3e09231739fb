package crashrecords

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

// Paths of the calls.
const (
	pathStore = "/crash-records/store"
	pathList  = "/crash-records/list"
)

const (
	// maxRecords bounds the requests in one call, and maxParts the prompt parts. Ids of parts come from one request header.
	maxRecords = 512
	maxParts   = 256
	// maxCallBytes bounds a call.
	maxCallBytes = 512 << 10
	// maxKeyBytes bounds the id of a record. Fingerprints have 32 bytes, ids of parts usually 8.
	maxKeyBytes = 1 << 10
)

// Server holds records in memory. It is safe for concurrent use.
type Server struct {
	log *logrus.Entry

	mu       sync.Mutex
	requests *quarantine.CrashTracker
	parts    *quarantine.PartTracker
}

// NewServer returns a Server without records.
func NewServer(log *logrus.Entry) *Server {
	return &Server{
		log: log, requests: quarantine.NewCrashTracker(Limits()), parts: quarantine.NewPartTracker(quarantine.DefaultPartLimits()),
	}
}

// Mount adds the handlers of the calls to r.
func (s *Server) Mount(r chi.Router) {
	r.Post(pathStore, s.serveStore)
	r.Post(pathList, s.serveList)
}

func (s *Server) serveStore(w http.ResponseWriter, req *http.Request) {
	var in Records
	if !schedulerapi.DecodeRequest(w, req, maxCallBytes, &in) {
		return
	}
	now := time.Now()
	s.mu.Lock()
	for _, r := range in.Requests[:min(len(in.Requests), maxRecords)] {
		if len(r.Fingerprint) <= maxKeyBytes {
			s.requests.Apply(r.Decode(), now)
		}
	}
	for _, p := range in.Parts[:min(len(in.Parts), maxParts)] {
		if p.Part != "" && len(p.Part) <= maxKeyBytes {
			s.parts.Apply(p.Decode(), now)
		}
	}
	s.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveList(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	s.mu.Lock()
	out := Records{Requests: EncodeRequests(s.requests.Held(now)), Parts: EncodeParts(s.parts.Held(now))}.Bounded()
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(out); err != nil {
		s.log.WithError(err).Info("crash records not sent")
	}
}
