package intake

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const retryAfter = time.Second

func malformed(err error) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadRequest, Type: refusal.TypeInvalidRequest, Code: refusal.CodeBadRequest,
		Message: err.Error(), Ran: refusal.RanNo,
	}
}

// noTurn turns an error of the wait for a turn into a refusal: nothing ran.
func (a *attempt) noTurn(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	if refused := a.h.opts.Gate.Refuse(); refused != nil {
		return refused
	}
	if errors.Is(err, context.Canceled) {
		return cancelled()
	}
	return late()
}

// refusalOf returns the refusal that err is, or one for a failed claim.
func refusalOf(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeClaimsUnavailable,
		Message: "the claim of the Idempotency-Key failed; the request did not run",
		Ran:     refusal.RanNo, RetryAfter: retryAfter,
	}
}

func cancelled() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeCancelled,
		Message: "the request was withdrawn while it waited", Ran: refusal.RanNo, RetryAfter: retryAfter,
	}
}

func late() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusGatewayTimeout, Type: refusal.TypeUnavailable, Code: refusal.CodeDeadline,
		Message: "the request's time ran out before it could run", Ran: refusal.RanNo, RetryAfter: retryAfter,
	}
}

func notReached() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint accepted no connection", Ran: refusal.RanNo, RetryAfter: retryAfter,
	}
}

func notResident() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeEndpoint, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint does not hold the adapter", Ran: refusal.RanNo, RetryAfter: retryAfter,
	}
}

func unanswered() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusGatewayTimeout, Type: refusal.TypeEndpoint, Code: refusal.CodeDeadline,
		Message: "the endpoint did not answer before the deadline", Ran: refusal.RanUnknown,
	}
}

func endpointFailed() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeEndpointFailed,
		Message: "the endpoint failed before it answered", Ran: refusal.RanUnknown,
	}
}

func crossed() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeBrokenAnswer,
		Message: "the endpoint's answer belonged to another request", Ran: refusal.RanUnknown,
	}
}

func brokenAnswer() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeBrokenAnswer,
		Message: "the endpoint's answer ended before it was whole", Ran: refusal.RanYes,
	}
}
