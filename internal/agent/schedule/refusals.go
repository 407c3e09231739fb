package schedule

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// minRetryAfter is the shortest Retry-After of a refusal, and the value used
// if there is no estimate.
const minRetryAfter = time.Second

func queueFull(retryAfter time.Duration) *refusal.Refusal {
	return busy("the endpoint cannot begin the request in time", max(retryAfter, minRetryAfter))
}

func slotsInUse() *refusal.Refusal {
	return busy("every adapter slot of the endpoint is in use", minRetryAfter)
}

func busy(message string, retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointBusy, refusal.RanNo, message).WithRetryAfter(retryAfter)
}

func loadFailed(retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeAdapterLoadFailed, refusal.RanNo,
		"the endpoint could not load the adapter").WithRetryAfter(retryAfter)
}

// noFencingToken refuses an attempt whose build would have to be loaded while
// this process may not send orders.
func noFencingToken() *refusal.Refusal {
	return refusal.New(refusal.CodeAdapterLoadFailed, refusal.RanNo,
		"the endpoint takes no load orders now").WithRetryAfter(minRetryAfter)
}
