package router

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

const (
	pathExchange = "/crash-records/exchange" // Sends crash records and asks for those of the router.
	// maxExchangeBytes bounds the records in one call or response.
	maxExchangeBytes = 512 << 10
	// digestLifetime is how long a digest is sent with pings: with many records, each one takes time.
	digestLifetime = 200 * time.Millisecond
)

// recordExchange repairs lost reports: routers compare digests of their crash records with each ping, and exchange the
// records if these differ. A router that was cut off learns what it has missed, and passes on what it has found, with its
// first ping.
type recordExchange struct {
	peers   *quota.Peers
	log     *logrus.Entry
	records func() crashrecords.Records
	adopt   func(from string, r crashrecords.Records)
	count   func() // Called for each exchange; may be nil.
	// complete reports whether this router knows what was known before it started; onComplete is called after the records of a
	// router that does were adopted.
	complete   func() bool
	onComplete func()

	mu sync.Mutex
	// settled are the digests after the last exchange with a router, by VM. They may differ for good: a router
	// does not adopt crashes of a request that runs there without a crash.
	settled map[string]digestPair
	found   int       // Routers that were found.
	own     string    // Digest that is sent with pings.
	ownAt   time.Time // When it was computed.
}

// digestPair are the digests of this router and of another one.
type digestPair struct{ own, other string }

func newRecordExchange(peers *quota.Peers, log *logrus.Entry) *recordExchange {
	return &recordExchange{peers: peers, log: log, settled: make(map[string]digestPair)}
}

// digest returns the digest of the records of this router, of at most digestLifetime ago.
func (x *recordExchange) digest() string {
	x.mu.Lock()
	defer x.mu.Unlock()
	if now := time.Now(); now.Sub(x.ownAt) >= digestLifetime {
		x.own, x.ownAt = x.records().Digest(), now
	}
	return x.own
}

// compare exchanges records with a router whose digest differs.
func (x *recordExchange) compare(other quota.Peer, digest string) {
	own := x.records().Digest()
	x.mu.Lock()
	known := own == digest || x.settled[other.VM] == digestPair{own, digest}
	x.mu.Unlock()
	if !known {
		x.exchange(other)
	}
}

// ownRecords returns the records of this router for another one.
func (x *recordExchange) ownRecords() crashrecords.Records {
	complete := x.complete() // Records that are read afterwards include those of before.
	r := x.records()
	r.Complete = complete
	return r
}

// receive adopts the records of another router.
func (x *recordExchange) receive(from string, r crashrecords.Records) {
	x.adopt(from, r)
	if r.Complete {
		x.onComplete()
	}
}

// exchangeFirst exchanges records with a router that was found, unless maxFetches routers were asked before: a router that has
// started learns what the others hold without waiting for its pings. It reports whether nothing remains to be done.
func (x *recordExchange) exchangeFirst(other quota.Peer) bool {
	x.mu.Lock()
	x.found++
	enough := x.found > maxFetches
	x.mu.Unlock()
	return enough || x.exchange(other)
}

// exchange sends the records of this router to another one and adopts its records. It reports whether that succeeded.
func (x *recordExchange) exchange(other quota.Peer) bool {
	var reply crashrecords.Records
	if err := x.peers.Call(context.Background(), other, pathExchange, x.ownRecords(), &reply); err != nil {
		x.log.WithError(err).WithField("peer", other.VM).Info("crash records not exchanged with router")
		return false
	}
	x.receive(other.VM, reply)
	if x.count != nil {
		x.count()
	}
	x.settle(other, digestPair{x.records().Digest(), reply.Digest()})
	x.log.WithFields(logrus.Fields{
		"event": "crash_records_exchanged", "peer": other.VM, "parts": len(reply.Parts), "requests": len(reply.Requests),
	}).Info("crash records exchanged with router")
	return true
}

// settle records the digests after an exchange.
func (x *recordExchange) settle(other quota.Peer, digests digestPair) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(x.settled) > 2*x.peers.Count() {
		clear(x.settled) // Most of them are of routers that have left.
	}
	x.settled[other.VM] = digests
}

// mount adds the handler for the calls of other routers to r.
func (x *recordExchange) mount(r chi.Router) {
	r.Post(pathExchange, func(w http.ResponseWriter, req *http.Request) {
		var in crashrecords.Records
		if !schedulerapi.DecodeRequest(w, req, maxExchangeBytes, &in) {
			return
		}
		x.receive(req.RemoteAddr, in)
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(x.ownRecords()); err != nil {
			x.log.WithError(err).Info("crash records not sent")
		}
	})
}
