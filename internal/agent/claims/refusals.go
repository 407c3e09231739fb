package claims

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const storeRetryAfter = 5 * time.Second

// unavailable refuses a request whose claim could not be taken.
func unavailable() *refusal.Refusal {
	return refusal.New(refusal.CodeClaimsUnavailable, refusal.RanNo,
		"the key-value service did not take the Idempotency-Key's claim; the request did not run").After(storeRetryAfter)
}

// refusalOf refuses a repeat that gets no stored answer.
func refusalOf(v claim.Verdict, found claim.Record, now time.Time) *refusal.Refusal {
	switch v {
	case claim.VerdictInUse:
		left := max(time.Second, min(found.Deadline.Sub(now), storeRetryAfter))
		return refusal.New(refusal.CodeClaimed, refusal.RanNo,
			"a request with this Idempotency-Key still runs; this repeat did not run").After(left)
	case claim.VerdictReused:
		return refusal.New(refusal.CodeKeyReused, refusal.RanNo,
			"the Idempotency-Key was used for another request; this one did not run")
	case claim.VerdictUnstored:
		return refusal.New(refusal.CodeAnswerNotKept, refusal.RanYes,
			"the request with this Idempotency-Key ran; its answer was too long to keep")
	default:
		return refusal.New(refusal.CodeOutcomeUnknown, refusal.RanUnknown,
			"a request with this Idempotency-Key was begun and its outcome is not known")
	}
}
