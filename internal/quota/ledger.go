package quota

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

// Paths of the calls between routers.
const (
	PathPing     = "/ping"
	PathTake     = "/quota/take"
	PathReturn   = "/quota/return"
	PathTransfer = "/quota/surrender"
	// PathReachable asks whether a router reaches another one.
	PathReachable = "/reachable"
)

const (
	// initialBalanceSeconds is the balance, in seconds of the organisation's rate, with which
	// a quota owner starts if it gets none from the previous owner.
	initialBalanceSeconds = 0.25
	// isolatedShare is the part of its even share of a rate that a router admits while it is
	// isolated from the other routers.
	isolatedShare = 0.5
	// isolatedBurstSeconds is the burst of an isolated router, in seconds of its reduced rate.
	isolatedBurstSeconds = 2.0
)

// forwardTimeout bounds a call that is passed on to the owner, so that its caller still gets a response within callTimeout.
const forwardTimeout = callTimeout / 2

// quotaRequest is the body of the take, return and transfer calls. Transfer does not use Units.
type quotaRequest struct {
	Organisation string  `json:"organisation"`
	Units        float64 `json:"units"`
	From         string  `json:"from,omitempty"`      // VM of the calling router; "" in the calls of former builds.
	Forwarded    bool    `json:"forwarded,omitempty"` // Passed on by another router; it is not passed on again.
}

// takeReply is the response to a take call. WaitMS is the time until a refused request would
// be admitted, in milliseconds.
type takeReply struct {
	Taken  bool  `json:"taken"`
	WaitMS int64 `json:"waitMs"`
}

// transferReply is the response to a transfer call. Known is false if the router has no bucket
// for the organisation and has handed over none within surrenderRetention. Held means that
// Balance is that of its bucket.
type transferReply struct {
	Known   bool    `json:"known"`
	Held    bool    `json:"held"`
	Balance float64 `json:"balance"`
}

// reachableRequest and reachableReply are the bodies of the call that asks whether a router
// reaches another one.
type reachableRequest struct {
	VM string `json:"vm"`
}

type reachableReply struct {
	Reachable bool `json:"reachable"`
}

// Decision reports whether a request is within its organisation's quota.
type Decision struct {
	Admitted   bool
	RetryAfter time.Duration // If not admitted: time until the request would be admitted.
	OwnerVM    string        // VM that was asked, the owner or a router that passed the call on to it; "" for this router.
	Isolated   bool          // Decided by this router alone because it is isolated from the others.
}

// Ledger counts the quotas that this router owns and calls the owners of the others. It is
// safe for concurrent use.
type Ledger struct {
	peers *Peers
	view  func() *catalog.View // Returns the current catalog view.
	log   *logrus.Entry

	mu          sync.Mutex
	buckets     map[string]*ownedBucket // Quotas that this router owns, by organisation.
	isolated    map[string]*Bucket      // Buckets used while this router is isolated, by organisation.
	surrendered map[string]surrender    // Last handover of a bucket to another router, by organisation.
}

// NewLedger returns a Ledger that owns no quotas yet.
func NewLedger(peers *Peers, view func() *catalog.View, log *logrus.Entry) *Ledger {
	return &Ledger{
		peers: peers, view: view, log: log, buckets: make(map[string]*ownedBucket),
		isolated: make(map[string]*Bucket), surrendered: make(map[string]surrender),
	}
}

// Take takes units from the quota of an organisation with a limited rate. It calls the quota
// owner, and the next router in the owner ranking if the owner does not respond. An isolated
// router decides by itself.
func (l *Ledger) Take(ctx context.Context, o *catalog.Organisation, units float64) Decision {
	now := time.Now()
	if l.peers.Isolated(now) {
		return l.takeIsolated(o, units, now)
	}
	for _, owner := range l.peers.owners(o.Name, now) {
		if owner.VM == "" {
			taken, wait := l.takeOwned(ctx, o, l.request(o.Name, units))
			return Decision{Admitted: taken, RetryAfter: wait}
		}
		var reply takeReply
		err := l.peers.Call(ctx, owner, PathTake, l.request(o.Name, units), &reply)
		if err == nil {
			return Decision{Admitted: reply.Taken, RetryAfter: time.Duration(reply.WaitMS) * time.Millisecond, OwnerVM: owner.VM}
		}
		if ctx.Err() != nil {
			return Decision{RetryAfter: time.Second, OwnerVM: owner.VM}
		}
		l.log.WithError(err).WithFields(logrus.Fields{"event": "quota_home_silent", "home": owner.VM}).
			Warn("quota owner did not respond")
		if l.peers.Isolated(time.Now()) {
			break
		}
	}
	return l.takeIsolated(o, units, time.Now())
}

// Return returns the units of a request that did not run. It is best effort: if the owner does
// not respond, the units stay taken.
func (l *Ledger) Return(ctx context.Context, o *catalog.Organisation, units float64) {
	owners := l.peers.owners(o.Name, time.Now())
	if len(owners) == 0 {
		return // No owner is reachable, so the units stay taken.
	}
	owner := owners[0]
	if owner.VM == "" {
		l.returnLocal(o.Name, units)
		return
	}
	if err := l.peers.Call(ctx, owner, PathReturn, l.request(o.Name, units), nil); err != nil {
		l.log.WithError(err).WithField("home", owner.VM).Info("units not returned to the quota owner")
	}
}

// request returns the body of a call about units of an organisation.
func (l *Ledger) request(organisation string, units float64) quotaRequest {
	return quotaRequest{Organisation: organisation, Units: units, From: l.peers.self}
}

// takeIsolated takes units from this router's reduced share of the rate. Unless this router is cut
// off, the quota owner may only respond late, and it counts for all routers.
func (l *Ledger) takeIsolated(o *catalog.Organisation, units float64, now time.Time) Decision {
	if !l.peers.CutOff(now) {
		return Decision{RetryAfter: pingInterval, Isolated: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	share := isolatedShare / float64(l.peers.Count())
	rate, burst := o.Rate*share, o.Rate*share*isolatedBurstSeconds
	b := l.isolated[o.Name]
	if b == nil {
		b = NewBucket(rate, burst, burst, now)
		l.isolated[o.Name] = b
	}
	b.SetLimit(rate, burst, now)
	taken, wait := b.Take(units, now)
	return Decision{Admitted: taken, RetryAfter: wait, Isolated: true}
}

// takeOwned takes units from a bucket that this router owns. If another router takes the bucket over meanwhile, the units are
// taken there, or from a new bucket of this router while it does not know the other one.
func (l *Ledger) takeOwned(ctx context.Context, o *catalog.Organisation, req quotaRequest) (bool, time.Duration) {
	taken, wait, moved := l.takeLocal(ctx, o, req.Units)
	if !moved {
		return taken, wait
	}
	var reply takeReply
	if passed, err := l.forward(ctx, PathTake, req, &reply); err != nil {
		return false, forwardTimeout // The owner may have taken the units.
	} else if passed {
		return reply.Taken, time.Duration(reply.WaitMS) * time.Millisecond
	}
	if _, ahead := l.ownerAhead(o.Name); ahead {
		return false, transferRetryInterval
	}
	taken, wait, _ = l.takeLocal(ctx, o, req.Units)
	return taken, wait
}

// takeLocal takes units from a bucket that this router owns. moved reports that another router has taken the bucket over meanwhile.
func (l *Ledger) takeLocal(ctx context.Context, o *catalog.Organisation, units float64) (taken bool, wait time.Duration, moved bool) {
	owned := l.ownedBucket(ctx, o)
	owned.waitReady()
	l.mu.Lock()
	defer l.mu.Unlock()
	if moved = l.buckets[o.Name] != owned; moved || !owned.settled {
		return false, transferRetryInterval, moved
	}
	now := time.Now()
	owned.bucket.SetLimit(o.Rate, o.Burst, now)
	taken, wait = owned.bucket.Take(units, now)
	return taken, wait, false
}

// ownerAhead returns the reachable router that owns an organisation's quota before this one. ok is false if there is none, or if
// this router holds the bucket. The calling router may have missed one response of the owner. If this router took the bucket over,
// the routers that reach the owner would make it take the bucket back, and so on.
func (l *Ledger) ownerAhead(organisation string) (owner Peer, ok bool) {
	l.mu.Lock()
	held := l.buckets[organisation] != nil
	l.mu.Unlock()
	if held {
		return Peer{}, false
	}
	owners := l.peers.owners(organisation, time.Now())
	if len(owners) == 0 || owners[0].VM == "" {
		return Peer{}, false
	}
	return owners[0], true
}

// forward passes a call of another router on to the owner ahead of this router. passed is false if there is none, or if it is known to
// be gone by now. The owner may have handled a call that returns an error.
func (l *Ledger) forward(ctx context.Context, path string, req quotaRequest, reply any) (passed bool, err error) {
	owner, ok := l.ownerAhead(req.Organisation)
	if !ok || req.Forwarded || owner.VM == req.From {
		return false, nil
	}
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	req.Forwarded = true
	err = l.peers.Call(ctx, owner, path, req, reply)
	if err != nil && ctx.Err() != nil {
		go func() {
			// Call records whether the owner responds within the usual time. If not, the next call is not passed on.
			_ = l.peers.Call(context.WithoutCancel(ctx), owner, PathPing, nil, nil)
		}()
		return true, err
	}
	return err == nil, err
}

// returnLocal returns units to a bucket if this router owns it.
func (l *Ledger) returnLocal(organisation string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if owned := l.buckets[organisation]; owned != nil {
		owned.bucket.Return(units, time.Now())
	}
}

// Mount adds the handlers for the calls of other routers to r.
func (l *Ledger) Mount(r chi.Router) {
	r.Post(PathPing, l.peers.servePing)
	r.Post(PathTake, func(w http.ResponseWriter, httpReq *http.Request) {
		var req quotaRequest
		if !schedulerapi.DecodeRequest(w, httpReq, schedulerapi.MaxPeerCallBytes, &req) {
			return
		}
		o := l.organisation(req.Organisation)
		if o == nil {
			// The calling router has checked the key, so its configuration may be newer.
			writeJSON(w, takeReply{WaitMS: 100})
			return
		}
		var reply takeReply
		passed, err := l.forward(httpReq.Context(), PathTake, req, &reply)
		switch {
		case passed && err != nil:
			reply = takeReply{WaitMS: forwardTimeout.Milliseconds()} // The owner may have taken the units.
		case !passed:
			taken, wait := l.takeOwned(httpReq.Context(), o, req)
			reply = takeReply{Taken: taken, WaitMS: wait.Milliseconds()}
		}
		writeJSON(w, reply)
	})
	r.Post(PathReturn, func(w http.ResponseWriter, httpReq *http.Request) {
		var req quotaRequest
		if !schedulerapi.DecodeRequest(w, httpReq, schedulerapi.MaxPeerCallBytes, &req) {
			return
		}
		// Units that the owner did not confirm are not returned here too: it may have them.
		if passed, _ := l.forward(httpReq.Context(), PathReturn, req, nil); !passed {
			l.returnLocal(req.Organisation, req.Units)
		}
	})
	r.Post(PathReachable, func(w http.ResponseWriter, httpReq *http.Request) {
		var req reachableRequest
		if schedulerapi.DecodeRequest(w, httpReq, schedulerapi.MaxPeerCallBytes, &req) {
			writeJSON(w, reachableReply{Reachable: l.peers.checkReachable(httpReq.Context(), req.VM)})
		}
	})
	r.Post(PathTransfer, func(w http.ResponseWriter, httpReq *http.Request) {
		var req quotaRequest
		if schedulerapi.DecodeRequest(w, httpReq, schedulerapi.MaxPeerCallBytes, &req) {
			l.peers.markResponding(req.From) // It counts from now on, so that calls for it are passed on.
			writeJSON(w, l.transfer(req.Organisation))
		}
	})
}

// organisation returns the organisation with the given name, or nil.
func (l *Ledger) organisation(name string) *catalog.Organisation {
	c := l.view().Config
	if c == nil {
		return nil
	}
	for _, o := range c.Organisations {
		if o.Name == name {
			return o
		}
	}
	return nil
}

// writeJSON writes v as the response.
func writeJSON(w http.ResponseWriter, v any) {
	// An error means a closed connection. The calling router counts the call as failed.
	_ = json.NewEncoder(w).Encode(v)
}
