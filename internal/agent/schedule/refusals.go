package schedule

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// busyRetryAfter is the time to come back after where no better one is known.
const busyRetryAfter = time.Second

func queueFull(retryAfter time.Duration) *refusal.Refusal {
	return busy("the endpoint cannot begin the request in time", max(retryAfter, busyRetryAfter))
}

func slotsInUse() *refusal.Refusal {
	return busy("every adapter slot of the endpoint is in use", busyRetryAfter)
}

func busy(message string, retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeEndpointBusy, refusal.RanNo, message).After(retryAfter)
}

func loadFailed(retryAfter time.Duration) *refusal.Refusal {
	return refusal.New(refusal.CodeAdapterLoadFailed, refusal.RanNo,
		"the endpoint could not load the adapter").After(retryAfter)
}

func noFence() *refusal.Refusal {
	return refusal.New(refusal.CodeAdapterLoadFailed, refusal.RanNo,
		"the endpoint takes no load orders now").After(busyRetryAfter)
}
