package router

import (
	"context"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/streamorigin"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	"github.com/hyssoptiller/hyssoptiller/internal/streamrecords"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// recordMargin is how long a record is kept beyond the deadline of its caller, whose clock and network
	// add to it.
	recordMargin = 5 * time.Second
	// minStreamHorizon and streamHorizonFactor bound how long ago a stream can have begun that a caller takes up
	// again: a caller waits for about the timeout of the route.
	minStreamHorizon    = 30 * time.Second
	streamHorizonFactor = 2
	// confirmWait is how long the first event of an attempt waits for the engine's incarnation. It is part of the
	// time within which an event must be forwarded, 120 ms.
	confirmWait = 50 * time.Millisecond
	// maxAttemptIDBytes bounds the ids of attempts that are recorded. Callers use 16 hexadecimal digits.
	maxAttemptIDBytes = 256
)

// streamOrigins stores and looks up where streams began. The records are held by schedulers,
// which outlive a loss of all routers, and by routers, which outlive one of all schedulers.
type streamOrigins struct {
	client        *streamrecords.Client
	server        *streamrecords.Server
	schedulerPort int

	mu      sync.Mutex
	routers map[string]streamorigin.Holder // By VM.
}

func newStreamOrigins(schedulerPort int, transport http.RoundTripper, log *logrus.Entry) *streamOrigins {
	return &streamOrigins{
		client: streamrecords.NewClient(transport), server: streamrecords.NewServer(log), schedulerPort: schedulerPort,
		routers: make(map[string]streamorigin.Holder),
	}
}

// updateRouter adds or removes a router that appeared in or left the store.
func (o *streamOrigins) updateRouter(found platform.RouterRegistration, present bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !present {
		delete(o.routers, found.VM)
		return
	}
	o.routers[found.VM] = streamorigin.Holder{Address: found.Address, FailureDomain: found.FailureDomain}
}

// holders returns all processes that can hold records.
func (o *streamOrigins) holders(v *catalog.View) streamorigin.Holders {
	byAddress := make(map[string]streamorigin.Holder)
	for name, endpoints := range v.Endpoints {
		if service := v.Config.Services[name]; service == nil || service.Engine == nil {
			continue
		}
		for _, e := range endpoints {
			host, _, err := net.SplitHostPort(e.Address)
			if err != nil {
				continue // The decoder of the registry rejects such addresses.
			}
			address := net.JoinHostPort(host, strconv.Itoa(o.schedulerPort))
			h := streamorigin.Holder{Address: address, FailureDomain: e.FailureDomain, Leaving: e.Draining}
			if known, ok := byAddress[address]; ok {
				h.Leaving = h.Leaving && known.Leaving
			}
			byAddress[address] = h
		}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return streamorigin.Holders{
		Schedulers: slices.Collect(maps.Values(byAddress)), Routers: slices.Collect(maps.Values(o.routers)),
	}
}

// lookup returns what this router and the holders know of a stream.
func (o *streamOrigins) lookup(ctx context.Context, key streamorigin.Key, v *catalog.View) streamorigin.Lookup {
	own := streamorigin.Lookup{}
	if own.Add(o.server.Lookup(key)); own.Conflict || own.Found() {
		return own
	}
	return o.client.Lookup(ctx, key, o.holders(v).ForLookup(key.RequestID))
}

// softwareOf returns the software version of an endpoint's incarnation, or "" if the registration is that of
// another one.
func softwareOf(e *catalog.Endpoint, incarnation int64) string {
	if incarnation == 0 || incarnation != e.Incarnation {
		return ""
	}
	return e.SoftwareVersion
}

// permitted returns the endpoints that the request's stream may begin or go on at.
func (q *request) permitted(list []*catalog.Endpoint) []*catalog.Endpoint {
	if !q.binding.Bound {
		return list
	}
	var out []*catalog.Endpoint
	for _, e := range list {
		if q.binding.Permits(e.SoftwareVersion) {
			out = append(out, e)
		}
	}
	return out
}

// streamKey returns the key of the record of an attempt of the request's organisation.
func (q *request) streamKey(attempt string) streamorigin.Key {
	key := streamorigin.Key{RequestID: attempt}
	if q.org != nil {
		key.Organisation = q.org.Name
	}
	return key
}

// awaitRegistry waits until the router knows all endpoints that were registered at a time. It returns false if it
// does not within the time in which a change of the registry must be in force, or before ctx ends.
func (r *Router) awaitRegistry(ctx context.Context, at time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, r.settings.EndpointDrainBound)
	defer cancel()
	return r.registryLog().AwaitConfirmation(ctx, at)
}

// soleOrigin returns the only origin that streams of the request's route can have since a time. Its version is ""
// if there were several, or the registry is not known well enough.
func (r *Router) soleOrigin(q *request, since time.Time) streamorigin.Origin {
	service := r.state.SoleService(q.route.Name, since)
	if service == "" || time.Since(r.registryLog().ConfirmedAt()) > r.settings.EndpointDrainBound {
		return streamorigin.Origin{}
	}
	return streamorigin.Origin{Service: service, Software: r.state.SoleSoftware(service, since)}
}

// bindResumedStream binds a stream that the caller takes up again to the service and the software version that
// began it. It returns false if it has refused the request.
func (r *Router) bindResumedStream(q *request) bool {
	if q.route.Kind != catalog.KindStream || !q.call.IsResumption() {
		return true
	}
	if q.call.ResumesSeveral {
		r.refuse(q, refusal.CodeBadRequest, "The request names several attempts that the stream goes on from.", noRetryAfter)
		return false
	}
	v := r.state.View()
	if !v.Synced {
		return r.refuseResumption(q, "registry_unread", "It is not known yet which endpoints serve.", notReadyRetryAfter)
	}
	var found streamorigin.Lookup
	if id := q.call.ResumedRequestID; id != "" && len(id) <= maxAttemptIDBytes {
		found = r.streamOrigins.lookup(q.ctx, q.streamKey(id), v)
	}
	sole := streamorigin.Origin{}
	if !found.Found() && !found.Conflict {
		// Other routers may have begun the stream at endpoints that this one does not know yet.
		if !r.awaitRegistry(q.ctx, q.arrived) {
			return r.refuseResumption(q, "registry_late", "It is not known yet which endpoints serve.", minRetryAfter)
		}
		horizon := max(minStreamHorizon, streamHorizonFactor*q.route.Timeout)
		sole = r.soleOrigin(q, q.arrived.Add(-horizon))
	}
	origin, verdict := streamorigin.Resolve(found, sole)
	if verdict == streamorigin.VerdictUnclear {
		return r.refuseResumption(q, "holders_silent", "It is not known yet where the stream began.", minRetryAfter)
	}
	if verdict == streamorigin.VerdictRefuse {
		return r.refuseResumption(q, "version_unknown", "It is not known where the stream began.", noRetryAfter)
	}
	service := q.config.Services[origin.Service]
	if service == nil || !q.route.HasService(origin.Service) {
		return r.refuseResumption(q, "service_left", "The service that began the stream does not serve the route any more.", noRetryAfter)
	}
	q.trace.service, q.service = origin.Service, service
	q.binding = streamorigin.BindTo(origin.Software)
	if !r.endpointTracker.anyStays(q.permitted(v.Endpoints[origin.Service])) {
		return r.refuseResumption(q, "version_gone", "No endpoint of the software version that began the stream is left.", noRetryAfter)
	}
	return true
}

// refuseResumption refuses a stream that the caller takes up again, and returns false.
func (r *Router) refuseResumption(q *request, step, message string, after time.Duration) bool {
	q.addStep("stream", step)
	r.refuse(q, refusal.CodeStreamNotResumable, message, after)
	return false
}

// beginStream is called before the first event of an attempt is forwarded. It binds the stream to the software
// version of that event and, if the caller may come back for the rest, records the version. It returns false if
// the event must not be forwarded because the engine has started again since the grant.
func (r *Router) beginStream(q *request, from *placement) bool {
	if !q.route.Resumable {
		q.binding = streamorigin.BindTo(from.software)
		return true
	}
	confirmed := make(chan bool, 1)
	go func() { confirmed <- r.confirmIncarnation(q.ctx, from) }()
	if q.events == 0 {
		r.recordOrigin(q, from.software)
	}
	if !<-confirmed {
		return false
	}
	q.binding = streamorigin.BindTo(from.software)
	return true
}

// confirmIncarnation returns false if the engine reports another incarnation than that of the grant. If no report
// is read, the event is of the granted one: an engine that starts again holds no adapters until its scheduler has
// noticed it.
func (r *Router) confirmIncarnation(ctx context.Context, from *placement) bool {
	conn := r.schedulerConns.conn(from.endpoint.Address)
	if from.grant == nil || conn == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	incarnation, err := conn.incarnation(ctx)
	return err != nil || incarnation == from.grant.reply.Incarnation
}

// recordOrigin records the service and the software version of the request's first event at several holders and
// waits for enough of them.
func (r *Router) recordOrigin(q *request, software string) {
	id := q.call.RequestID
	if software == "" || id == "" || len(id) > maxAttemptIDBytes {
		return
	}
	deadline := q.deadline
	if q.call.Deadline > 0 {
		deadline = q.arrived.Add(q.call.Deadline)
	}
	origin := streamorigin.Origin{Service: q.trace.service, Software: software}
	ttl := time.Until(deadline) + recordMargin
	r.streamOrigins.server.Record(q.streamKey(id), origin, ttl)
	holders := r.streamOrigins.holders(r.state.View()).ForRecord(id)
	q.trace.recordCopies = r.streamOrigins.client.Store(
		q.ctx, q.streamKey(id), origin, ttl, holders)
	if q.trace.recordCopies == 0 {
		r.counters.streamsUnrecorded.Inc(1)
	}
}
