package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	shortRetryAfter = time.Second     // One endpoint was not reached, or an identical request runs alone.
	longRetryAfter  = 2 * time.Second // No endpoint can take the request, or an idempotent request may have run.
)

func refusedResult(r *refusal.Refusal) Result {
	return Result{Ran: r.Ran, Refusal: r}
}

func refuseNoEndpoint() *refusal.Refusal {
	return refusal.New(refusal.CodeNoEndpoint, refusal.RanNo,
		"no endpoint can take the request now").WithRetryAfter(longRetryAfter)
}

func refuseUnreachable() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo,
		"the endpoint was not reached").WithRetryAfter(shortRetryAfter)
}

// refuseInvalidResponse refuses a request whose response has another attempt's ID
// or is a malformed refusal.
func refuseInvalidResponse() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenResponse, refusal.RanUnknown,
		"the endpoint's answer did not belong to the request")
}

// refuseNoResponse refuses a request that was sent and got no response.
func refuseNoResponse(ctx context.Context) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.CodeDeadlineExceeded, refusal.RanUnknown,
			"the endpoint did not answer before the deadline")
	}
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanUnknown,
		"the endpoint failed before it answered")
}

// refuseBroken refuses a request whose response was truncated before any of it
// was forwarded.
func refuseBroken(ctx context.Context) *refusal.Refusal {
	r := refuseNoResponse(ctx)
	r.Ran = refusal.RanYes
	if r.Code != refusal.CodeDeadlineExceeded {
		r.Code = refusal.CodeBrokenResponse
		r.Message = "the answer ended before it was whole"
	}
	return r
}

func refuseQuarantined(until time.Time) *refusal.Refusal {
	return refusal.New(refusal.CodeQuarantined, refusal.RanNo,
		"each endpoint that ran this request crashed, so it is not run for now").
		WithRetryAfter(max(time.Until(until), time.Second))
}

// refuseDuringIsolatedRun refuses a request while an identical one that is suspected
// of crashing endpoints runs alone.
func refuseDuringIsolatedRun() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointBusy, refusal.RanNo,
		"the same request runs alone, since an endpoint crashed under it").WithRetryAfter(shortRetryAfter)
}
