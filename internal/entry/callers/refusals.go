package callers

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	staleRetryAfter    = 5 * time.Second
	uncountedRetryTime = time.Second
)

func badRequest(message string) *refusal.Refusal {
	return refusal.New(refusal.CodeBadRequest, refusal.RanNo, message)
}

func bodyTooLarge(limit int64) *refusal.Refusal {
	return refusal.Newf(refusal.CodeTooLarge, refusal.RanNo, "the body is longer than %d bytes", limit)
}

func missingKey() *refusal.Refusal {
	return refusal.New(refusal.CodeMissingKey, refusal.RanNo,
		"give the organisation's key in the header Authorization: Bearer KEY")
}

func unknownKey() *refusal.Refusal {
	return refusal.New(refusal.CodeUnknownKey, refusal.RanNo, "the key is not granted or was withdrawn")
}

func keyWithdrawn(ran refusal.Ran) *refusal.Refusal {
	return refusal.New(refusal.CodeKeyWithdrawn, ran, "the key was withdrawn while the request ran")
}

func noPlan() *refusal.Refusal {
	return refusal.New(refusal.CodeNoPlan, refusal.RanNo, "the key's organisation has no plan")
}

func stale() *refusal.Refusal {
	return refusal.New(refusal.CodeStale, refusal.RanNo,
		"this entry cannot confirm which keys are granted now").After(staleRetryAfter)
}

func staleWhileRunning(ran refusal.Ran) *refusal.Refusal {
	r := stale()
	r.Message = "this entry lost touch while the request ran and cannot confirm its key"
	r.Ran = ran
	return r
}

func unknownModel(model string) *refusal.Refusal {
	return refusal.Newf(refusal.CodeUnknownModel, refusal.RanNo,
		"the organisation's plan names no model %.64q", model)
}

func unknownRoute() *refusal.Refusal {
	return refusal.New(refusal.CodeUnknownRoute, refusal.RanNo, "no such route for this organisation")
}

func brokenAnswer() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenAnswer, refusal.RanYes, "the answer ended before it was whole")
}

// limited turns a limiter's error into a refusal.
func limited(err error) *refusal.Refusal {
	var l *admission.Limited
	switch {
	case !errors.As(err, &l):
		return refusal.New(refusal.CodeNotReady, refusal.RanNo,
			"the organisation's rate cannot be counted now").After(uncountedRetryTime)
	case l.ExceedsBurst:
		return refusal.New(refusal.CodeExceedsBurst, refusal.RanNo,
			"the request is larger than the organisation's burst; lower max_tokens")
	default:
		return refusal.New(refusal.CodeRateLimited, refusal.RanNo,
			"the organisation's rate and burst are used up").After(l.RetryAfter)
	}
}
