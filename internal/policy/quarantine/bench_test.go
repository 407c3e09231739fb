package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures the cost of the fingerprint and the tracker for a
// request that ends without a crash. The body has 4 KiB. Each request has another
// fingerprint; the tracker starts empty and fills up.
func BenchmarkRequest(b *testing.B) {
	tracker := NewCrashTracker(DefaultLimits())
	body := make([]byte, 4<<10)
	for i := 0; b.Loop(); i++ {
		id := NewFingerprint("smithy", fmt.Sprint(i), body)
		tracker.EndRun(id, tracker.BeginRun(id, start), OutcomeFinished, start)
	}
}
