package intake

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// run sends the attempt to the endpoint and forwards the response. If no
// connection was established, the attempt did not run and its claim is released.
func (a *attempt) run(ctx context.Context) {
	a.record(timeline.KindRequestRunning)
	a.startBoot = a.h.opts.Watch.Boot()
	var connected, reused atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			connected.Store(true)
			reused.Store(info.Reused)
		},
	})
	resp, err := a.h.opts.Endpoint.Run(traced, a.newEndpointRequest(ctx))
	if err != nil && !connected.Load() {
		a.releaseClaim(ctx)
		a.refuse(endpointUnreachable())
		return
	}
	a.usedTokens = a.job.Cost
	if err != nil {
		a.refuseFailed(ctx, err)
		return
	}
	defer resp.Body.Close()
	if refused := a.checkResponse(resp, reused.Load()); refused != nil {
		a.refuse(refused)
		return
	}
	a.forward(ctx, resp)
}

// refuseFailed refuses an attempt that was sent to the endpoint and got no
// response.
func (a *attempt) refuseFailed(ctx context.Context, err error) {
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		a.refuse(noResponse())
		return
	}
	if a.endpointCrashed(ctx) {
		a.w.Header().Set(wire.HeaderCrashed, "true")
	}
	a.refuse(endpointFailed())
}

// endpointCrashed reports whether the endpoint crashed during the attempt.
func (a *attempt) endpointCrashed(ctx context.Context) bool {
	if !a.h.opts.Watch.IncarnationEnded(ctx, a.startBoot) {
		return false
	}
	a.h.crashed.Inc(1)
	return true
}

// checkResponse returns a refusal if the response must not reach the caller, or
// nil. reused means that its connection carried other requests before.
func (a *attempt) checkResponse(resp *http.Response, reused bool) *refusal.Refusal {
	a.h.opts.Watch.ObserveBoot(ident.BootID(resp.Header.Get(engine.HeaderBootID)))
	echo := resp.Header.Get(engine.HeaderRequestID)
	a.h.reuse.observe(echo != "", time.Now())
	if echo == "" && reused || echo != "" && echo != string(a.job.AttemptID) {
		a.h.mismatched.Inc(1)
		a.record(timeline.KindResponseDropped)
		return mismatchedResponse()
	}
	if a.job.Service != "" {
		return nil // A plain service's response is forwarded whatever its status.
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		return notResident()
	case resp.StatusCode >= http.StatusInternalServerError:
		return endpointFailed()
	case resp.StatusCode == http.StatusTooManyRequests:
		return endpointFailed()
	default:
		return nil
	}
}

// newEndpointRequest returns the request to the endpoint. Of the caller's request
// it carries only the method, the path, the body, the content type and the
// organisation. The engine's request id is the id of the attempt, by which
// checkResponse detects the response of another attempt.
//
// The body has a type that net/http cannot rewind, so that net/http never sends
// the request a second time, not even with an empty body. A request that is not
// idempotent gets a connection of its own.
func (a *attempt) newEndpointRequest(ctx context.Context) *http.Request {
	req := (&http.Request{
		Method:        a.job.Method,
		URL:           parsePath(a.job.Path),
		Header:        make(http.Header),
		Body:          io.NopCloser(bytes.NewReader(a.body)),
		ContentLength: int64(len(a.body)),
		Close:         !a.job.Idempotent || !a.h.reuse.permitted(time.Now()),
	}).WithContext(ctx)
	if a.job.ContentType != "" {
		req.Header.Set("Content-Type", a.job.ContentType)
	}
	if a.job.Organisation != "" {
		req.Header.Set(wire.HeaderOrganisation, string(a.job.Organisation))
	}
	req.Header.Set(engine.HeaderRequestID, string(a.job.AttemptID))
	return req
}

// parsePath parses a request path. It returns "/" for an invalid one.
func parsePath(path string) *url.URL {
	u, err := url.ParseRequestURI(path)
	if err != nil {
		return &url.URL{Path: "/"}
	}
	return u
}
