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
	// maxHeldBytes is the longest plain answer that is received whole before
	// its first byte is passed on.
	maxHeldBytes = 1 << 20
	keptBytes    = 64 << 10 // Of a plain answer, for its usage field.
	trailerTrue  = "true"
)

// pass copies an agent's answer to the caller. Nothing is written before the
// first event of a stream or the end of a plain answer, so that a request
// whose answer breaks before can be tried elsewhere.
func (a *attempt) pass(ctx context.Context, resp *http.Response) ended {
	if !wire.IsEventStream(resp.Header) {
		return a.passPlain(ctx, resp)
	}
	if a.job.Service != "" {
		a.begin(resp, -1)
		return a.passRaw(resp, nil)
	}
	return a.passEvents(ctx, resp)
}

// passEvents passes whole events on. The end mark is held back until the agent
// has said that the answer was whole.
func (a *attempt) passEvents(ctx context.Context, resp *http.Response) ended {
	flush := http.NewResponseController(a.w)
	events := wire.NewEventReader(resp.Body)
	passed := int64(0)
	for {
		event, err := events.Next()
		if err != nil {
			return a.brokenStream(ctx, resp, passed)
		}
		if event.End() {
			return a.endStream(ctx, resp, event, passed)
		}
		if passed == 0 {
			a.begin(resp, -1)
		}
		passed++
		if _, err := a.w.Write(event); err != nil {
			return ended{result: Result{Ran: refusal.RanYes, Broken: true, Events: passed}}
		}
		_ = flush.Flush()
	}
}

func (a *attempt) endStream(ctx context.Context, resp *http.Response, mark wire.Event, passed int64) ended {
	_, _ = io.Copy(io.Discard, resp.Body) // The trailers come after the body.
	if resp.Trailer.Get(wire.TrailerComplete) != trailerTrue {
		return a.brokenStream(ctx, resp, passed)
	}
	if passed == 0 {
		a.begin(resp, -1)
	}
	_, err := a.w.Write(mark)
	_ = http.NewResponseController(a.w).Flush()
	return ended{result: Result{Ran: refusal.RanYes, Broken: err != nil, Events: passed}}
}

func (a *attempt) brokenStream(ctx context.Context, resp *http.Response, passed int64) ended {
	a.d.metrics.broken.Inc(1)
	crashed := resp.Trailer.Get(wire.TrailerCrashed) == trailerTrue
	if passed > 0 {
		return ended{result: Result{Ran: refusal.RanYes, Broken: true, Events: passed}, kind: retry.KindFailed, crashed: crashed}
	}
	return ended{result: refused(broken(ctx)), kind: retry.KindFailed, crashed: crashed}
}

func (a *attempt) passPlain(ctx context.Context, resp *http.Response) ended {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxHeldBytes))
	if err == nil && len(body) == maxHeldBytes {
		a.begin(resp, -1)
		return a.passRaw(resp, body)
	}
	if err != nil || resp.Trailer.Get(wire.TrailerComplete) != trailerTrue {
		a.d.metrics.broken.Inc(1)
		crashed := resp.Trailer.Get(wire.TrailerCrashed) == trailerTrue
		return ended{result: refused(broken(ctx)), kind: retry.KindFailed, crashed: crashed}
	}
	a.begin(resp, len(body))
	_, err = a.w.Write(body)
	return ended{result: Result{Ran: refusal.RanYes, Broken: err != nil, Body: body[:min(len(body), keptBytes)]}}
}

// passRaw passes head and the rest of the answer on as it arrives.
func (a *attempt) passRaw(resp *http.Response, head []byte) ended {
	out := wire.NewFlusher(a.w)
	_, err := out.Write(head)
	if err == nil {
		_, err = io.CopyBuffer(out, resp.Body, make([]byte, copyBufferBytes))
	}
	whole := err == nil && resp.Trailer.Get(wire.TrailerComplete) == trailerTrue
	if !whole {
		a.d.metrics.broken.Inc(1)
	}
	crashed := resp.Trailer.Get(wire.TrailerCrashed) == trailerTrue
	kept := head[:min(len(head), keptBytes)]
	return ended{result: Result{Ran: refusal.RanYes, Broken: !whole, Body: kept}, kind: retry.KindFailed, crashed: crashed}
}

// begin writes the status and the headers that reach the caller. The length
// is left out where it is negative.
func (a *attempt) begin(resp *http.Response, length int) {
	header := a.w.Header()
	wire.CopyAnswerHeaders(header, resp.Header)
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

// isLocalPath reports whether a redirect leads to a path of the same service.
func isLocalPath(location string) bool {
	return strings.HasPrefix(location, "/") && !strings.HasPrefix(location, "//")
}
