package streamrecords

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

const (
	// maxRecords bounds the records of one process. A record takes about 200 bytes.
	maxRecords = 8192
	// maxTTL bounds the life of a record, whatever deadline a caller names.
	maxTTL = 10 * time.Minute
	// maxCallBytes bounds a call: an id and a name that a caller sent are 4 KB at most.
	maxCallBytes = 16 << 10
)

// Paths of the calls.
const (
	pathStore  = "/stream-records/store"
	pathLookup = "/stream-records/lookup"
)

// storeRequest records the origin of one stream.
type storeRequest struct {
	Organisation string `json:"organisation"`
	RequestID    string `json:"request"`
	Service      string `json:"service"`
	Software     string `json:"software"`
	TTLMS        int64  `json:"ttlMs"` // How long the caller may come back.
}

// lookupRequest asks for the origin of one stream.
type lookupRequest struct {
	Organisation string `json:"organisation"`
	RequestID    string `json:"request"`
}

// lookupReply is the response to a lookupRequest.
type lookupReply struct {
	Service  string `json:"service,omitempty"`  // "" if there is no record.
	Software string `json:"software,omitempty"` // "" if there is no record.
	Conflict bool   `json:"conflict,omitempty"` // Two origins were recorded.
}

// Server holds records in memory. It is safe for concurrent use.
type Server struct {
	log *logrus.Entry

	mu    sync.Mutex
	table *streamorigin.Table
}

// NewServer returns a Server without records.
func NewServer(log *logrus.Entry) *Server {
	return &Server{log: log, table: streamorigin.NewTable(maxRecords)}
}

// Mount adds the handlers of the calls to r.
func (s *Server) Mount(r chi.Router) {
	r.Post(pathStore, s.serveStore)
	r.Post(pathLookup, s.serveLookup)
}

// Record records the origin of a stream that this process serves.
func (s *Server) Record(key streamorigin.Key, origin streamorigin.Origin, ttl time.Duration) {
	now := time.Now()
	s.mu.Lock()
	consistent := s.table.Put(key, origin, now.Add(min(ttl, maxTTL)), now)
	s.mu.Unlock()
	if !consistent {
		s.log.WithFields(logrus.Fields{
			"event": "stream_record_conflict", "request": key.RequestID, "organisation": key.Organisation,
			"service": origin.Service, "software": origin.Software,
		}).Warn("two origins were recorded for one request id; the stream cannot be taken up again")
	}
}

// Lookup returns the origin that this process has recorded.
func (s *Server) Lookup(key streamorigin.Key) (streamorigin.Origin, streamorigin.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Get(key, time.Now())
}

func (s *Server) serveStore(w http.ResponseWriter, req *http.Request) {
	var call storeRequest
	if !schedulerapi.DecodeRequest(w, req, maxCallBytes, &call) {
		return
	}
	if call.RequestID == "" || call.Service == "" || call.Software == "" || call.TTLMS <= 0 {
		http.Error(w, "request, service, software and ttlMs are required", http.StatusBadRequest)
		return
	}
	s.Record(
		streamorigin.Key{Organisation: call.Organisation, RequestID: call.RequestID},
		streamorigin.Origin{Service: call.Service, Software: call.Software},
		time.Duration(min(call.TTLMS, maxTTL.Milliseconds()))*time.Millisecond,
	)
	w.WriteHeader(http.StatusNoContent)
}

func (s *Server) serveLookup(w http.ResponseWriter, req *http.Request) {
	var call lookupRequest
	if !schedulerapi.DecodeRequest(w, req, maxCallBytes, &call) {
		return
	}
	origin, result := s.Lookup(streamorigin.Key{Organisation: call.Organisation, RequestID: call.RequestID})
	w.Header().Set("Content-Type", "application/json")
	reply := lookupReply{Service: origin.Service, Software: origin.Software, Conflict: result == streamorigin.ResultConflict}
	if err := json.NewEncoder(w).Encode(reply); err != nil {
		s.log.WithError(err).Info("response about a stream's origin not sent")
	}
}
