package quota

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/schedulerapi"
)

// PathTakeEndpoint is the path of the call that takes a request from an endpoint's rate limit.
const PathTakeEndpoint = "/endpoint-limit/take"

// Roles of the router that counts the requests to an endpoint.
const (
	roleOwner    = "owner"    // First in the ranking of the known routers.
	roleStandby  = "standby"  // Second, for callers that do not reach the owner.
	roleIsolated = "isolated" // A router that is isolated from the others, for itself.
)

const (
	// standbyShare is the part of a rate limit that the standby admits, and isolatedEndpointShare
	// that of all isolated routers. Other routers may reach the owner meanwhile; together they
	// stay within one and a half times the limit.
	standbyShare          = 0.3
	isolatedEndpointShare = 0.2
	// ownerHandover is how long a new owner admits nothing, because routers that do not know it
	// yet still call the former one. A router is found within 2 s of its registration.
	ownerHandover = 3 * time.Second
	// freshLimit is the time since a limit was first named up to which no former owner can have
	// counted a considerable part of it.
	freshLimit = 500 * time.Millisecond
	// limiterRetention is how long an unused limiter is kept.
	limiterRetention = time.Minute
)

// takeEndpointRequest is the body of the call to the router that counts an endpoint's requests.
type takeEndpointRequest struct {
	Key        string                  `json:"endpoint"`
	Role       string                  `json:"role"`
	NamedForMS int64                   `json:"namedForMs"` // How long the caller has known a limit of the endpoint.
	RateLimit  *schedulerapi.RateLimit `json:"rateLimit"`
	ColdPerS   float64                 `json:"coldPerS,omitempty"` // Rate of a cold endpoint of the service; 0 if this one is not cold.
	ColdMS     int64                   `json:"coldMs,omitempty"`   // How long the endpoint remains cold.
}

// ColdRate is the rate that a cold endpoint sustains, and for how long. The zero value is an endpoint that is not cold.
type ColdRate struct {
	PerSecond float64
	Remaining time.Duration
}

// EndpointLimits counts the requests to endpoints that name a rate limit or are cold, over all routers. One
// router, the owner, counts the requests to an endpoint; the others call it before each one. It
// is safe for concurrent use.
type EndpointLimits struct {
	peers *Peers
	log   *logrus.Entry

	mu           sync.Mutex
	limiters     map[limiterKey]*endpointLimiter
	named        map[string]namedLimit // Endpoints that name a limit to this router, by endpoint key.
	refusedUntil map[string]time.Time  // Time before which a further take would be refused, by endpoint key.
}

// namedLimit is an endpoint that names a limit, and since when this router knows it.
type namedLimit struct {
	endpoint *catalog.Endpoint
	since    time.Time
}

type limiterKey struct{ endpoint, role string }

type endpointLimiter struct {
	*ratelimit.Limiter
	usedAt    time.Time
	coldUntil time.Time // Zero if no router has said that the endpoint is cold.
}

// observeCold sets the rate of a cold endpoint while the endpoint is cold, as the routers know it, and withdraws it
// afterwards.
func (l *endpointLimiter) observeCold(req takeEndpointRequest, now time.Time) {
	if until := now.Add(time.Duration(req.ColdMS) * time.Millisecond); req.ColdMS > 0 && until.After(l.coldUntil) {
		l.coldUntil = until
	}
	switch {
	case !l.coldUntil.After(now):
		l.Observe(ratelimit.FromCold, ratelimit.Observation{At: now})
	case req.ColdMS > 0:
		l.Observe(ratelimit.FromCold, ratelimit.Observation{Limit: ratelimit.Limit{Named: true, PerSecond: req.ColdPerS}, At: now})
	}
}

// NewEndpointLimits returns an EndpointLimits that counts no endpoint yet.
func NewEndpointLimits(peers *Peers, log *logrus.Entry) *EndpointLimits {
	return &EndpointLimits{
		peers: peers, log: log, limiters: make(map[limiterKey]*endpointLimiter),
		named: make(map[string]namedLimit), refusedUntil: make(map[string]time.Time),
	}
}

// endpointKey identifies an incarnation of an endpoint.
func endpointKey(e *catalog.Endpoint) string { return fmt.Sprintf("%s@%d", e.ID, e.Incarnation) }

// Take reports whether a request may be sent to an endpoint, given the last observation of its
// rate limit and its rate if it is cold; the lower one applies. If the router that counts the
// endpoint does not respond, the request may not be sent: that router may have counted it or not.
func (l *EndpointLimits) Take(ctx context.Context, e *catalog.Endpoint, o ratelimit.Observation, cold ColdRate) Decision {
	if !o.Limit.Named && cold.Remaining <= 0 {
		return Decision{Admitted: true}
	}
	key, now := endpointKey(e), time.Now()
	namedFor, wait := l.begin(key, now)
	if wait > 0 {
		return Decision{RetryAfter: wait}
	}
	req := takeEndpointRequest{Key: key, NamedForMS: namedFor.Milliseconds(), RateLimit: schedulerapi.EncodeRateLimit(o, now)}
	if cold.Remaining > 0 {
		req.ColdPerS, req.ColdMS = cold.PerSecond, max(cold.Remaining.Milliseconds(), 1)
	}
	d := l.takeShared(ctx, req, now)
	if !o.Limit.Named {
		d.RetryAfter = min(d.RetryAfter, cold.Remaining)
	}
	if !d.Admitted {
		l.mu.Lock()
		l.refusedUntil[key] = now.Add(d.RetryAfter)
		l.mu.Unlock()
	}
	return d
}

// begin returns how long this router has known a limit of the endpoint, and how long further
// takes would be refused.
func (l *EndpointLimits) begin(key string, now time.Time) (namedFor, wait time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit, ok := l.named[key]; ok {
		namedFor = now.Sub(limit.since)
	}
	return namedFor, l.refusedUntil[key].Sub(now)
}

// takeShared takes a request at the router that counts the endpoint.
func (l *EndpointLimits) takeShared(ctx context.Context, req takeEndpointRequest, now time.Time) Decision {
	counter := l.peers.endpointCounter(req.Key, now)
	req.Role = counter.role
	if counter.role == "" {
		return Decision{RetryAfter: unreachableDuration}
	}
	if counter.VM == "" {
		reply := l.takeLocal(req, now)
		return Decision{Admitted: reply.Taken, RetryAfter: time.Duration(reply.WaitMS) * time.Millisecond}
	}
	var reply takeReply
	if err := l.peers.Call(ctx, counter.Peer, PathTakeEndpoint, req, &reply); err != nil {
		if ctx.Err() == nil {
			l.log.WithError(err).WithFields(logrus.Fields{"event": "endpoint_limit_silent", "home": counter.VM, "endpoint": req.Key}).
				Warn("router that counts the endpoint's requests did not respond")
		}
		return Decision{RetryAfter: callTimeout, OwnerVM: counter.VM}
	}
	return Decision{Admitted: reply.Taken, RetryAfter: time.Duration(reply.WaitMS) * time.Millisecond, OwnerVM: counter.VM}
}

// takeLocal takes a request from a limiter of this router.
func (l *EndpointLimits) takeLocal(req takeEndpointRequest, now time.Time) takeReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := limiterKey{req.Key, req.Role}
	limiter := l.limiters[key]
	if limiter == nil {
		limiter = &endpointLimiter{Limiter: l.newLimiter(req, now)}
		l.limiters[key] = limiter
	}
	limiter.usedAt = now
	limiter.Observe(ratelimit.FromResponse, req.RateLimit.Decode(now))
	limiter.observeCold(req, now)
	if limiter.Take(now) {
		return takeReply{Taken: true}
	}
	return takeReply{WaitMS: limiter.Wait(0, now).Milliseconds() + 1}
}

// newLimiter returns the limiter for the role of a take.
func (l *EndpointLimits) newLimiter(req takeEndpointRequest, now time.Time) *ratelimit.Limiter {
	switch {
	case req.Role == roleStandby:
		return ratelimit.NewLimiter(standbyShare, now)
	case req.Role == roleIsolated:
		return ratelimit.NewLimiter(isolatedEndpointShare/float64(l.peers.Count()), now)
	case req.NamedForMS > freshLimit.Milliseconds():
		return ratelimit.NewLimiter(1, now.Add(ownerHandover))
	case req.ColdMS > 0:
		return ratelimit.NewLimiter(1, l.peers.ownsFrom(req.Key, now))
	default:
		return ratelimit.NewLimiter(1, l.peers.knownFrom(now))
	}
}

// SetNamed records that an endpoint has begun or ceased to name a limit in its responses to this
// router.
func (l *EndpointLimits) SetNamed(e *catalog.Endpoint, named bool, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := endpointKey(e)
	_, known := l.named[key]
	switch {
	case !named:
		delete(l.named, key)
		delete(l.refusedUntil, key)
	case !known:
		l.named[key] = namedLimit{e, now}
	}
}

// Prune drops the limiters and refusals that were not used for limiterRetention, and the limits
// of endpoints that are not in a view.
func (l *EndpointLimits) Prune(v *catalog.View, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, limiter := range l.limiters {
		if now.Sub(limiter.usedAt) > limiterRetention {
			delete(l.limiters, key)
		}
	}
	for key, until := range l.refusedUntil {
		if now.Sub(until) > limiterRetention {
			delete(l.refusedUntil, key)
		}
	}
	for key, limit := range l.named {
		if v.FindEndpoint(limit.endpoint.Service, limit.endpoint.ID) == nil {
			delete(l.named, key)
		}
	}
}

// Mount adds the handler for the calls of other routers to r.
func (l *EndpointLimits) Mount(r chi.Router) {
	r.Post(PathTakeEndpoint, func(w http.ResponseWriter, httpReq *http.Request) {
		var req takeEndpointRequest
		if schedulerapi.DecodeRequest(w, httpReq, schedulerapi.MaxPeerCallBytes, &req) {
			writeJSON(w, l.takeLocal(req, time.Now()))
		}
	})
}
