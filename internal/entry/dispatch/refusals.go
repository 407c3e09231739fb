package dispatch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	busyRetryAfter   = time.Second
	failedRetryAfter = 2 * time.Second
)

func refused(r *refusal.Refusal) Result {
	return Result{Ran: r.Ran, Refusal: r}
}

func noEndpoint() *refusal.Refusal {
	return refusal.New(refusal.CodeNoEndpoint, refusal.RanNo,
		"no endpoint can take the request now").After(failedRetryAfter)
}

func unsent() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo,
		"the endpoint was not reached").After(busyRetryAfter)
}

func crossed() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenAnswer, refusal.RanUnknown,
		"the endpoint's answer did not belong to the request")
}

// unanswered refuses a request that was sent and got no answer.
func unanswered(ctx context.Context) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return refusal.New(refusal.CodeDeadline, refusal.RanUnknown,
			"the endpoint did not answer before the deadline")
	}
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanUnknown,
		"the endpoint failed before it answered")
}

// broken refuses a request whose answer ended before its first byte could be
// passed on.
func broken(ctx context.Context) *refusal.Refusal {
	r := unanswered(ctx)
	r.Ran = refusal.RanYes
	if r.Code != refusal.CodeDeadline {
		r.Code = refusal.CodeBrokenAnswer
		r.Message = "the answer ended before it was whole"
	}
	return r
}

func quarantined(until time.Time) *refusal.Refusal {
	return refusal.New(refusal.CodeQuarantined, refusal.RanNo,
		"each endpoint that ran this request crashed, so it is not run for now").After(max(time.Until(until), time.Second))
}

func onTrial() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointBusy, refusal.RanNo,
		"the same request runs alone, since an endpoint crashed under it").After(busyRetryAfter)
}
