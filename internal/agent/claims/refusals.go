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
		"the claim of the Idempotency-Key could not be stored; the request did not run").WithRetryAfter(maxRetryAfter)
}

// refusalFor returns the refusal of a request that found a record at its key and
// gets no stored response.
func refusalFor(v claim.Verdict, found claim.Record, now time.Time) *refusal.Refusal {
	switch v {
	case claim.VerdictKeyInUse:
		left := max(time.Second, min(found.Deadline.Sub(now), maxRetryAfter))
		return refusal.New(refusal.CodeIdempotencyKeyInUse, refusal.RanUnknown,
			"a request with this Idempotency-Key may still be running; retry with the same key").WithRetryAfter(left)
	case claim.VerdictKeyReused:
		return refusal.New(refusal.CodeIdempotencyKeyReused, refusal.RanNo,
			"the Idempotency-Key was used for a different request; this request did not run")
	case claim.VerdictResponseNotStored:
		return refusal.New(refusal.CodeResponseNotStored, refusal.RanYes,
			"the request with this Idempotency-Key ran, but its response was too long to store")
	default:
		return refusal.New(refusal.CodeOutcomeUnknown, refusal.RanUnknown,
			"a request with this Idempotency-Key was started and its outcome is unknown")
	}
}
