package callers

import (
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const staleRetryAfter = 5 * time.Second

func badRequest(message string) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadRequest, Type: refusal.TypeInvalidRequest,
		Code: refusal.CodeBadRequest, Message: message, Ran: refusal.RanNo,
	}
}

func bodyTooLarge(limit int64) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusRequestEntityTooLarge, Type: refusal.TypeInvalidRequest, Code: refusal.CodeTooLarge,
		Message: fmt.Sprintf("the body is longer than %d bytes", limit), Ran: refusal.RanNo,
	}
}

func missingKey() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusUnauthorized, Type: refusal.TypeAuthentication, Code: refusal.CodeMissingKey,
		Message: "give the organisation's key in the header Authorization: Bearer KEY", Ran: refusal.RanNo,
	}
}

func unknownKey() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusUnauthorized, Type: refusal.TypeAuthentication, Code: refusal.CodeUnknownKey,
		Message: "the key is not granted or was withdrawn", Ran: refusal.RanNo,
	}
}

func keyWithdrawn(ran refusal.Ran) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusUnauthorized, Type: refusal.TypeAuthentication, Code: refusal.CodeKeyWithdrawn,
		Message: "the key was withdrawn while the request ran", Ran: ran,
	}
}

func noPlan() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusForbidden, Type: refusal.TypePermission, Code: refusal.CodeUnknownKey,
		Message: "the key's organisation has no plan", Ran: refusal.RanNo,
	}
}

func stale() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeStale,
		Message: "this entry cannot confirm which keys are granted now", Ran: refusal.RanNo,
		RetryAfter: staleRetryAfter,
	}
}

func staleWhileRunning(ran refusal.Ran) *refusal.Refusal {
	r := stale()
	r.Message = "this entry lost touch while the request ran and cannot confirm its key"
	r.Ran = ran
	return r
}

func unknownModel(model string) *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusNotFound, Type: refusal.TypeInvalidRequest, Code: refusal.CodeUnknownModel,
		Message: fmt.Sprintf("the organisation's plan names no model %.64q", model), Ran: refusal.RanNo,
	}
}

func unknownRoute() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusNotFound, Type: refusal.TypeInvalidRequest, Code: refusal.CodeUnknownRoute,
		Message: "no such route for this organisation", Ran: refusal.RanNo,
	}
}

func brokenAnswer() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusBadGateway, Type: refusal.TypeEndpoint, Code: refusal.CodeBrokenAnswer,
		Message: "the answer ended before it was whole", Ran: refusal.RanYes,
	}
}

// limited turns a limiter's error into a refusal.
func limited(err error) *refusal.Refusal {
	r := &refusal.Refusal{
		Status: http.StatusTooManyRequests, Type: refusal.TypeRateLimit, Code: refusal.CodeRateLimited,
		Message: "the organisation's rate and burst are used up", Ran: refusal.RanNo,
	}
	var l *admission.Limited
	if !errors.As(err, &l) {
		r.Status = http.StatusServiceUnavailable
		r.Type = refusal.TypeUnavailable
		r.Code = refusal.CodeNotReady
		r.Message = "the organisation's rate cannot be counted now"
		return r
	}
	r.RetryAfter = l.RetryAfter
	if l.ExceedsBurst {
		r.Status = http.StatusBadRequest
		r.Type = refusal.TypeInvalidRequest
		r.Code = refusal.CodeExceedsBurst
		r.Message = "the request is larger than the organisation's burst; lower max_tokens"
	}
	return r
}
