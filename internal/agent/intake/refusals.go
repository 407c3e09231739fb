package intake

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const retryAfter = time.Second

func malformed(err error) *refusal.Refusal {
	return refusal.New(refusal.CodeBadRequest, refusal.RanNo, err.Error())
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
	return refusal.New(refusal.CodeClaimsUnavailable, refusal.RanNo,
		"the claim of the Idempotency-Key failed; the request did not run").After(retryAfter)
}

func cancelled() *refusal.Refusal {
	return refusal.New(refusal.CodeCancelled, refusal.RanNo,
		"the request was withdrawn while it waited").After(retryAfter)
}

func late() *refusal.Refusal {
	return refusal.New(refusal.CodeDeadline, refusal.RanNo,
		"the request's time ran out before it could run").After(retryAfter)
}

func notReached() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo,
		"the endpoint accepted no connection").After(retryAfter)
}

func notResident() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo,
		"the endpoint does not hold the adapter").After(retryAfter)
}

func unanswered() *refusal.Refusal {
	return refusal.New(refusal.CodeDeadline, refusal.RanUnknown,
		"the endpoint did not answer before the deadline")
}

func endpointFailed() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanUnknown,
		"the endpoint failed before it answered")
}

func crossed() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenAnswer, refusal.RanUnknown,
		"the endpoint's answer belonged to another request")
}

func brokenAnswer() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenAnswer, refusal.RanYes,
		"the endpoint's answer ended before it was whole")
}
