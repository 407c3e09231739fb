package dispatch

import (
	"context"
	"net/http"
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
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeNoEndpoint,
		Message: "no endpoint can take the request now", Ran: refusal.RanNo, RetryAfter: failedRetryAfter,
	}
}

func unsent() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint was not reached", Ran: refusal.RanNo, RetryAfter: busyRetryAfter,
	}
}

func crossed() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeBrokenAnswer,
		Message: "the endpoint's answer did not belong to the request", Ran: refusal.RanUnknown,
	}
}

// unanswered refuses a request that was sent and got no answer.
func unanswered(ctx context.Context) *refusal.Refusal {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return &refusal.Refusal{
			Status: http.StatusGatewayTimeout, Type: refusal.TypeEndpoint, Code: refusal.CodeDeadline,
			Message: "the endpoint did not answer before the deadline", Ran: refusal.RanUnknown,
		}
	}
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint failed before it answered", Ran: refusal.RanUnknown,
	}
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
	return &refusal.Refusal{
		Status: http.StatusUnprocessableEntity, Type: refusal.TypeInvalidRequest, Code: refusal.CodeQuarantined,
		Message: "each endpoint that ran this request crashed, so it is not run for now",
		Ran:     refusal.RanNo, RetryAfter: max(time.Until(until), time.Second),
	}
}

func onTrial() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeEndpointBusy,
		Message: "the same request runs alone, since an endpoint crashed under it",
		Ran:     refusal.RanNo, RetryAfter: busyRetryAfter,
	}
}
