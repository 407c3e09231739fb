package callers

import (
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	staleRetryAfter            = 5 * time.Second
	quotaUnavailableRetryAfter = time.Second
	noMemoryRetryAfter         = time.Second
)

func badRequest(message string) *refusal.Refusal {
	return refusal.New(refusal.CodeBadRequest, refusal.RanNo, message)
}

func bodyTooLarge(limit int64) *refusal.Refusal {
	return refusal.Newf(refusal.CodeRequestTooLarge, refusal.RanNo, "the body is longer than %d bytes", limit)
}

func noMemory() *refusal.Refusal {
	return refusal.New(refusal.CodeNoMemory, refusal.RanNo, "this entry has no memory for the request now").WithRetryAfter(noMemoryRetryAfter)
}

func missingKey() *refusal.Refusal {
	return refusal.New(refusal.CodeMissingKey, refusal.RanNo,
		"give the organisation's key in the header Authorization: Bearer KEY")
}

func unknownKey() *refusal.Refusal {
	return refusal.New(refusal.CodeUnknownKey, refusal.RanNo, "the key is not granted or was withdrawn")
}

// keyWithdrawn refuses a request that had started when its key was withdrawn.
func keyWithdrawn(ran refusal.Ran) *refusal.Refusal {
	return refusal.New(refusal.CodeKeyWithdrawn, ran, "the key was withdrawn while the request ran")
}

func noPlan() *refusal.Refusal {
	return refusal.New(refusal.CodeNoPlan, refusal.RanNo, "the key's organisation has no plan")
}

// staleConfiguration refuses a request because this entry's configuration is too
// old to authenticate keys against it.
func staleConfiguration() *refusal.Refusal {
	return refusal.New(refusal.CodeStaleConfiguration, refusal.RanNo,
		"this entry cannot confirm which keys are granted now").WithRetryAfter(staleRetryAfter)
}

// staleWhileRunning refuses a request that had started when this entry's
// configuration became stale.
func staleWhileRunning(ran refusal.Ran) *refusal.Refusal {
	r := staleConfiguration()
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

// brokenResponse refuses a request whose response ended before it was whole.
func brokenResponse() *refusal.Refusal {
	return refusal.New(refusal.CodeBrokenResponse, refusal.RanYes, "the answer ended before it was whole")
}

// limitRefusal returns the refusal for an error of admission.Limiter.Reserve. An
// error that is not *admission.Limited means that the quota cannot be counted now.
func limitRefusal(err error) *refusal.Refusal {
	var limited *admission.Limited
	switch {
	case !errors.As(err, &limited):
		return refusal.New(refusal.CodeNotReady, refusal.RanNo,
			"the organisation's rate cannot be counted now").WithRetryAfter(quotaUnavailableRetryAfter)
	case limited.ExceedsBurst:
		return refusal.New(refusal.CodeExceedsBurst, refusal.RanNo,
			"the request is larger than the organisation's burst; lower max_tokens")
	default:
		return refusal.New(refusal.CodeRateLimited, refusal.RanNo,
			"the organisation's rate and burst are used up").WithRetryAfter(limited.RetryAfter)
	}
}
