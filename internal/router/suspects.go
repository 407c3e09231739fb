package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/pause"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/turncall"
)

const (
	pathCrash = "/crashes"
	// crashesMost quarantines a request; the platform asks for it after the third.
	crashesMost = 3
	// quarantineFor is how long such a request is refused, longer than a day's
	// pause between two of its tries.
	quarantineFor = 2 * time.Minute
	// crashProbeAfter leaves a crashed process time to close its port.
	crashProbeAfter = 40 * time.Millisecond
	crashProbe      = 300 * time.Millisecond
)

// crash is a request at whose run an endpoint died.
type crash struct {
	Fingerprint quarantine.Fingerprint `json:"fingerprint"`
	Endpoint    catalog.EndpointID     `json:"endpoint"`
}

// suspects finds requests that crash the endpoints that run them. One crash of
// an endpoint counts once for each request that ran there.
type suspects struct {
	peers *quota.Peers
	log   *logrus.Entry

	mu     sync.Mutex
	ledger *quarantine.Ledger
	seen   map[crash]time.Time
}

func newSuspects(peers *quota.Peers, log *logrus.Entry) *suspects {
	limits := quarantine.DefaultLimits()
	limits.Crashes, limits.Quarantine, limits.Suspicion = crashesMost, quarantineFor, quarantineFor
	return &suspects{peers: peers, log: log, ledger: quarantine.NewLedger(limits), seen: make(map[crash]time.Time)}
}

func fingerprint(org, method, uri string, body []byte) quarantine.Fingerprint {
	return quarantine.NewFingerprint(ident.Organisation(org), method+" "+uri, body)
}

// quarantined reports whether a request may not run. id is asked for only while
// there are suspects.
func (s *suspects) quarantined(id func() quarantine.Fingerprint, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	// Trials of suspects are not serialised: the bound is on crashes, and a
	// request that waits for another's trial would be refused for nothing.
	return s.ledger.Tracked() > 0 && s.ledger.Quarantined(id(), now)
}

// finished clears a request that ran well.
func (s *suspects) finished(id func() quarantine.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ledger.Tracked() > 0 {
		s.ledger.End(id(), quarantine.VerdictRun, quarantine.OutcomeFinished, time.Now())
	}
}

// broke takes a request whose connection broke. It counts as a crash where the
// endpoint does not accept connections afterwards.
func (s *suspects) broke(id quarantine.Fingerprint, at *catalog.Endpoint) {
	go func() {
		ctx := context.Background()
		if pause.For(ctx, crashProbeAfter) != nil || accepts(at.Address) {
			return
		}
		c := crash{Fingerprint: id, Endpoint: at.ID}
		s.count(c)
		s.peers.Broadcast(ctx, pathCrash, c)
	}()
}

// accepts reports whether an address accepts a connection.
func accepts(address string) bool {
	conn, err := net.DialTimeout("tcp", address, crashProbe)
	if err != nil {
		return false // Refused or silent: the process that was there is gone.
	}
	_ = conn.Close()
	return true
}

func (s *suspects) count(c crash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for old, at := range s.seen {
		if now.Sub(at) > quarantineFor {
			delete(s.seen, old)
		}
	}
	if _, again := s.seen[c]; again {
		return
	}
	s.seen[c] = now
	_, held := s.ledger.End(c.Fingerprint, quarantine.VerdictRun, quarantine.OutcomeCrashed, now)
	s.log.WithFields(logrus.Fields{"event": "crash", "fingerprint": c.Fingerprint, "endpoint": c.Endpoint, "quarantined": held}).Warn("endpoint died under a request")
}

func (s *suspects) mount(r chi.Router) {
	r.Post(pathCrash, func(w http.ResponseWriter, req *http.Request) {
		var c crash
		if turncall.Read(w, req, turncall.MaxCall, &c) {
			s.count(c)
		}
	})
}
