package claims

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// maxRetryAfter is the Retry-After while the store does not respond, and the
// longest one while the first request may still run.
const maxRetryAfter = 5 * time.Second

// claimUnavailable refuses a request whose claim could not be stored.
func claimUnavailable() *refusal.Refusal {
	return refusal.New(refusal.CodeClaimsUnavailable, refusal.RanNo,
		"the Idempotency-Key's claim could not be kept; this sending did not run").WithRetryAfter(maxRetryAfter)
}

// refusalFor returns the refusal of a request that found a record at its key and
// gets no stored response.
func refusalFor(v claim.Verdict, found claim.Record, now time.Time) *refusal.Refusal {
	switch v {
	case claim.VerdictKeyInUse:
		retryAfter := max(time.Second, min(found.Deadline.Sub(now), maxRetryAfter))
		return refusal.New(refusal.CodeIdempotencyKeyInUse, refusal.RanUnknown,
			"a request with this Idempotency-Key may still run; send it again with the same key").WithRetryAfter(retryAfter)
	case claim.VerdictKeyReused:
		return refusal.New(refusal.CodeIdempotencyKeyReused, refusal.RanNo,
			"the Idempotency-Key was used for another request; this one did not run")
	case claim.VerdictResponseNotStored:
		return refusal.New(refusal.CodeResponseNotStored, refusal.RanYes,
			"the request with this Idempotency-Key ran; its answer was too long to keep")
	default:
		return refusal.New(refusal.CodeOutcomeUnknown, refusal.RanUnknown,
			"a request with this Idempotency-Key was begun and its outcome is not known")
	}
}
