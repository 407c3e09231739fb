package dispatch

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/retry"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	copyBufferBytes = 32 << 10
	maxRefusalBytes = 64 << 10
	// maxBufferedBytes bounds a non-streaming response that is buffered whole
	// before its first byte is forwarded.
	maxBufferedBytes = 1 << 20
	maxResultBytes   = 64 << 10 // Bound of Result.Body.
	trailerTrue      = "true"
)

// forward copies an agent's response to the caller. Nothing is written before
// the first event of a completion's stream or the end of a buffered response,
// so a request whose response breaks earlier can be retried. The stream of a
// service is forwarded as it arrives.
func (a *attempt) forward(ctx context.Context, resp *http.Response) attemptResult {
	if !wire.IsEventStream(resp.Header) {
		return a.forwardBuffered(ctx, resp)
	}
	if a.job.Service != "" {
		a.writeHead(resp, -1)
		return a.forwardUnbuffered(resp, nil)
	}
	return a.forwardEvents(ctx, resp)
}

// forwardEvents forwards whole events. It withholds the end mark until the
// agent's trailer confirms that the response is complete.
func (a *attempt) forwardEvents(ctx context.Context, resp *http.Response) attemptResult {
	flush := http.NewResponseController(a.w)
	events := wire.NewEventReader(resp.Body)
	forwarded := int64(0)
	for {
		event, err := events.Next()
		if err != nil {
			return a.endBrokenStream(ctx, resp, forwarded)
		}
		if event.IsEndMark() {
			return a.endStream(ctx, resp, event, forwarded)
		}
		if forwarded == 0 {
			a.writeHead(resp, -1)
		}
		forwarded++
		if _, err := a.w.Write(event); err != nil {
			return attemptResult{result: Result{Ran: refusal.RanYes, Incomplete: true, Events: forwarded}}
		}
		_ = flush.Flush()
	}
}

// endStream writes the end mark if the agent's trailer confirms that the
// response is complete.
func (a *attempt) endStream(ctx context.Context, resp *http.Response, mark wire.Event, forwarded int64) attemptResult {
	_, _ = io.Copy(io.Discard, resp.Body) // The trailers follow the body.
	if resp.Trailer.Get(wire.TrailerComplete) != trailerTrue {
		return a.endBrokenStream(ctx, resp, forwarded)
	}
	if forwarded == 0 {
		a.writeHead(resp, -1)
	}
	_, err := a.w.Write(mark)
	_ = http.NewResponseController(a.w).Flush()
	return attemptResult{result: Result{Ran: refusal.RanYes, Incomplete: err != nil, Events: forwarded}}
}

// endBrokenStream ends an attempt whose stream was truncated. It refuses the
// request if no event was forwarded yet.
func (a *attempt) endBrokenStream(ctx context.Context, resp *http.Response, forwarded int64) attemptResult {
	a.d.metrics.brokenResponses.Inc(1)
	crashed := resp.Trailer.Get(wire.TrailerCrashed) == trailerTrue
	if forwarded > 0 {
		return attemptResult{
			result: Result{Ran: refusal.RanYes, Incomplete: true, Events: forwarded},
			kind:   retry.KindFailed, crashed: crashed,
		}
	}
	return attemptResult{result: refusedResult(refuseBroken(ctx)), kind: retry.KindFailed, crashed: crashed}
}

// forwardBuffered reads a non-streaming response whole and then writes it. A
// response of maxBufferedBytes or more is written as it arrives.
func (a *attempt) forwardBuffered(ctx context.Context, resp *http.Response) attemptResult {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil && len(body) == maxBufferedBytes {
		a.writeHead(resp, -1)
		return a.forwardUnbuffered(resp, body)
	}
	if err != nil || resp.Trailer.Get(wire.TrailerComplete) != trailerTrue {
		a.d.metrics.brokenResponses.Inc(1)
		crashed := resp.Trailer.Get(wire.TrailerCrashed) == trailerTrue
		return attemptResult{result: refusedResult(refuseBroken(ctx)), kind: retry.KindFailed, crashed: crashed}
	}
	a.writeHead(resp, len(body))
	_, err = a.w.Write(body)
	return attemptResult{result: Result{Ran: refusal.RanYes, Incomplete: err != nil, Body: body[:min(len(body), maxResultBytes)]}}
}

// forwardUnbuffered writes bodyStart, the part of the body that was already read,
// and then the remaining body as it arrives.
func (a *attempt) forwardUnbuffered(resp *http.Response, bodyStart []byte) attemptResult {
	out := wire.NewFlushWriter(a.w)
	_, err := out.Write(bodyStart)
	if err == nil {
		_, err = io.CopyBuffer(out, resp.Body, make([]byte, copyBufferBytes))
	}
	complete := err == nil && resp.Trailer.Get(wire.TrailerComplete) == trailerTrue
	if !complete {
		a.d.metrics.brokenResponses.Inc(1)
	}
	crashed := resp.Trailer.Get(wire.TrailerCrashed) == trailerTrue
	kept := bodyStart[:min(len(bodyStart), maxResultBytes)]
	// kind has no effect here: a result without a refusal is not retried.
	return attemptResult{
		result: Result{Ran: refusal.RanYes, Incomplete: !complete, Body: kept},
		kind:   retry.KindFailed, crashed: crashed,
	}
}

// writeHead writes the status and the headers that callers receive. It sets
// Content-Length if length is positive. A local redirect of a service gets the
// service's path prefix.
func (a *attempt) writeHead(resp *http.Response, length int) {
	header := a.w.Header()
	wire.CopyResponseHeaders(header, resp.Header)
	if location := header.Get("Location"); a.job.Service != "" && isLocalPath(location) {
		header.Set("Location", "/services/"+string(a.job.Service)+location)
	}
	if resp.Header.Get(wire.HeaderReplayed) != "" {
		header.Set(wire.HeaderReplayed, trailerTrue)
	}
	if length > 0 {
		header.Set("Content-Length", strconv.Itoa(length))
	}
	a.w.WriteHeader(resp.StatusCode)
}

// isLocalPath reports whether a redirect's location is a path on the same
// host.
func isLocalPath(location string) bool {
	return strings.HasPrefix(location, "/") && !strings.HasPrefix(location, "//")
}
