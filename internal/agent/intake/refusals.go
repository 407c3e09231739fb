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

// grantRefusal returns the refusal of an attempt that got no grant and did not
// run. err is the error of the wait for the grant.
func (a *attempt) grantRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	if refused := a.h.opts.Gate.Check(); refused != nil {
		return refused
	}
	if errors.Is(err, context.Canceled) {
		return cancelled()
	}
	return deadlineExceeded()
}

// claimRefusal returns err if it is a refusal, and otherwise a refusal for a
// claim that could not be acquired.
func claimRefusal(err error) *refusal.Refusal {
	var r *refusal.Refusal
	if errors.As(err, &r) {
		return r
	}
	return refusal.New(refusal.CodeClaimsUnavailable, refusal.RanNo,
		"the claim of the Idempotency-Key failed; the request did not run").WithRetryAfter(retryAfter)
}

func cancelled() *refusal.Refusal {
	return refusal.New(refusal.CodeCancelled, refusal.RanNo,
		"the request was withdrawn while it waited").WithRetryAfter(retryAfter)
}

func deadlineExceeded() *refusal.Refusal {
	return refusal.New(refusal.CodeDeadlineExceeded, refusal.RanNo,
		"the request's time ran out before it could run").WithRetryAfter(retryAfter)
}

func endpointUnreachable() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo,
		"the endpoint accepted no connection").WithRetryAfter(retryAfter)
}

func notResident() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanNo,
		"the endpoint does not hold the adapter").WithRetryAfter(retryAfter)
}

func noResponse() *refusal.Refusal {
	return refusal.New(refusal.CodeDeadlineExceeded, refusal.RanUnknown,
		"the endpoint did not answer before the deadline")
}

func endpointFailed() *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointFailed, refusal.RanUnknown,
		"the endpoint failed before it answered")
}

func mismatchedResponse() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenResponse, refusal.RanUnknown,
		"the endpoint's answer belonged to another request")
}

func deadlineExceededMidway() *refusal.Refusal {
	return refusal.New(refusal.CodeDeadlineExceeded, refusal.RanYes,
		"the deadline passed before the endpoint's answer was whole")
}

func brokenResponse() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenResponse, refusal.RanYes,
		"the endpoint's answer ended before it was whole")
}
