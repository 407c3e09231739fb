package intake

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
)

const (
	copyBufferBytes = 32 << 10
	// maxBufferedBytes is the size below which a response that is not an event
	// stream is read completely before its first byte is forwarded.
	maxBufferedBytes    = 1 << 20
	promptBytesPerToken = 4 // Estimate for the prompt of a streamed response.
)

// forward sends the endpoint's response to the entry. A trailer marks the response
// as complete if all of it was forwarded.
func (a *attempt) forward(ctx context.Context, resp *http.Response) {
	if !wire.IsEventStream(resp.Header) {
		a.forwardNonStream(ctx, resp)
		return
	}
	a.writeHeader(resp)
	var err error
	if a.job.Service == "" {
		err = a.forwardEvents(resp.Body)
	} else {
		err = a.forwardRaw(resp.Body)
		if err == nil {
			a.storeOutcome(ctx, resp, nil, true)
		}
	}
	a.finish(ctx, err)
}

// forwardNonStream forwards a response that is not an event stream. A response
// shorter than maxBufferedBytes is read completely first, so that a broken one
// can be refused and the request tried on another endpoint. A longer response is
// forwarded as it arrives.
func (a *attempt) forwardNonStream(ctx context.Context, resp *http.Response) {
	head, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBytes))
	if err == nil && len(head) < maxBufferedBytes {
		a.forwardBody(ctx, resp, head)
		return
	}
	if err != nil {
		a.refuseBroken(ctx)
		return
	}
	a.writeHeader(resp)
	if _, err = a.w.Write(head); err == nil {
		err = a.forwardRaw(resp.Body)
	}
	if err == nil {
		a.storeOutcome(ctx, resp, nil, true)
	}
	a.finish(ctx, err)
}

// forwardBody forwards a response whose body has been read completely. A
// model's response that is not valid JSON is refused as broken.
func (a *attempt) forwardBody(ctx context.Context, resp *http.Response, body []byte) {
	if a.job.Service == "" && !json.Valid(body) {
		a.refuseBroken(ctx)
		return
	}
	a.countTokens(body)
	a.storeOutcome(ctx, resp, body, false)
	a.writeHeader(resp)
	_, err := a.w.Write(body)
	a.finish(ctx, err)
}

// refuseBroken refuses the attempt because the response body was incomplete or,
// for a model, is not valid JSON.
func (a *attempt) refuseBroken(ctx context.Context) {
	a.h.broken.Inc(1)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.refuse(deadlineExceededMidway())
		return
	}
	if ctx.Err() == nil && a.endpointCrashed(ctx) {
		a.w.Header().Set(wire.HeaderCrashed, "true")
	}
	a.refuse(brokenResponse())
}

// writeHeader writes the status and the headers that reach the caller.
func (a *attempt) writeHeader(resp *http.Response) {
	header := a.w.Header()
	wire.CopyResponseHeaders(header, resp.Header)
	a.stripEndpointAddress(header, resp)
	a.setAttemptHeaders(resp.Header.Get(engine.HeaderBootID))
	a.w.WriteHeader(resp.StatusCode)
}

// setAttemptHeaders announces the trailers and sets the headers with the
// attempt's id, the endpoint's load and its boot id.
func (a *attempt) setAttemptHeaders(boot string) {
	header := a.w.Header()
	header.Add("Trailer", wire.TrailerComplete)
	header.Add("Trailer", wire.TrailerCrashed)
	header.Set(wire.HeaderAttempt, string(a.job.AttemptID))
	header.Set(wire.HeaderLoad, a.h.opts.Scheduler.Load(a.job).String())
	header.Set(wire.HeaderBoot, boot)
}

// stripEndpointAddress removes the endpoint's own address from a redirect.
func (a *attempt) stripEndpointAddress(header http.Header, resp *http.Response) {
	target, err := url.Parse(header.Get("Location"))
	if err != nil || target.Host == "" || resp.Request == nil || target.Host != resp.Request.URL.Host {
		return
	}
	header.Set("Location", target.RequestURI())
}

// finish marks the response as complete if err is nil. Otherwise it counts the
// response as broken and marks it if the endpoint crashed.
func (a *attempt) finish(ctx context.Context, err error) {
	if err == nil {
		a.w.Header().Set(wire.TrailerComplete, "true")
		a.record(timeline.KindRequestFinished)
		return
	}
	a.h.broken.Inc(1)
	if ctx.Err() != nil {
		a.record(timeline.KindRequestAborted)
		return
	}
	if a.endpointCrashed(ctx) {
		a.w.Header().Set(wire.TrailerCrashed, "true")
	}
}

// forwardEvents forwards complete events up to the end mark. It returns an error
// if the stream ends without one. It counts one token per event plus an estimate
// for the prompt.
func (a *attempt) forwardEvents(body io.Reader) error {
	flush := http.NewResponseController(a.w)
	events := wire.NewEventReader(body)
	promptTokens := int64(len(a.body)/promptBytesPerToken) + 1
	a.usedTokens = min(promptTokens, a.job.Cost)
	for {
		event, err := events.Next()
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		if err != nil {
			return err
		}
		if _, err := a.w.Write(event); err != nil {
			return err
		}
		_ = flush.Flush()
		if event.IsEndMark() {
			return nil
		}
		a.usedTokens = min(a.usedTokens+1, a.job.Cost)
	}
}

// forwardRaw forwards bytes as they arrive.
func (a *attempt) forwardRaw(body io.Reader) error {
	out := wire.NewFlushWriter(a.w)
	_, err := io.CopyBuffer(out, body, make([]byte, copyBufferBytes))
	return err
}

// countTokens sets usedTokens to the total that the engine reports in the body, up
// to the job's cost. Without a total, usedTokens stays at the cost.
func (a *attempt) countTokens(body []byte) {
	var response struct {
		Usage struct {
			TotalTokens int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	if a.job.Service != "" || json.Unmarshal(body, &response) != nil {
		return
	}
	if response.Usage.TotalTokens > 0 {
		a.usedTokens = min(response.Usage.TotalTokens, a.job.Cost)
	}
}

// storeOutcome completes the attempt's claim, if it has one, with the response.
// bodyNotStored is set if the response's body was too long or streamed; body is then
// nil.
func (a *attempt) storeOutcome(ctx context.Context, resp *http.Response, body []byte, bodyNotStored bool) {
	if a.held == nil {
		return
	}
	header := make(http.Header)
	wire.CopyResponseHeaders(header, resp.Header)
	a.stripEndpointAddress(header, resp)
	a.held.Finish(ctx, claim.Outcome{Status: resp.StatusCode, Header: header, Body: body, BodyNotStored: bodyNotStored})
}

// replayOutcome responds to a repeat with the stored outcome.
func (a *attempt) replayOutcome(outcome claim.Outcome) {
	wire.CopyResponseHeaders(a.w.Header(), outcome.Header)
	a.w.Header().Set(wire.HeaderReplayed, "true")
	a.setAttemptHeaders("")
	a.w.WriteHeader(outcome.Status)
	if _, err := io.Copy(a.w, bytes.NewReader(outcome.Body)); err != nil {
		return
	}
	a.w.Header().Set(wire.TrailerComplete, "true")
}
