package claims

import (
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const storeRetryAfter = 5 * time.Second

// unavailable refuses a request whose claim could not be taken.
func unavailable() *refusal.Refusal {
	return &refusal.Refusal{
		Status: http.StatusServiceUnavailable, Type: refusal.TypeUnavailable, Code: refusal.CodeClaimsUnavailable,
		Message: "the key-value service did not take the Idempotency-Key's claim; the request did not run",
		Ran:     refusal.RanNo, RetryAfter: storeRetryAfter,
	}
}

// refusalOf refuses a repeat that gets no stored answer.
func refusalOf(v claim.Verdict, found claim.Record, now time.Time) *refusal.Refusal {
	r := &refusal.Refusal{Status: http.StatusConflict, Type: refusal.TypeConflict}
	switch v {
	case claim.VerdictInUse:
		r.Code = refusal.CodeClaimed
		r.Message = "a request with this Idempotency-Key still runs; this repeat did not run"
		r.Ran = refusal.RanNo
		r.RetryAfter = max(time.Second, min(found.Deadline.Sub(now), storeRetryAfter))
	case claim.VerdictReused:
		r.Status = http.StatusUnprocessableEntity
		r.Type = refusal.TypeInvalidRequest
		r.Code = refusal.CodeKeyReused
		r.Message = "the Idempotency-Key was used for another request; this one did not run"
		r.Ran = refusal.RanNo
	case claim.VerdictUnstored:
		r.Code = refusal.CodeAnswerNotKept
		r.Message = "the request with this Idempotency-Key ran; its answer was too long to keep"
		r.Ran = refusal.RanYes
	default:
		r.Code = refusal.CodeOutcomeUnknown
		r.Message = "a request with this Idempotency-Key was begun and its outcome is not known"
		r.Ran = refusal.RanUnknown
	}
	return r
}
