package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures the tracker's cost for a request that ends without a
// crash, with a body of 4 KiB and a full tracker.
func BenchmarkRequest(b *testing.B) {
	tracker := NewCrashTracker(DefaultLimits())
	body := make([]byte, 4<<10)
	for i := 0; b.Loop(); i++ {
		id := NewFingerprint("smithy", fmt.Sprint(i), body)
		tracker.EndRun(id, tracker.BeginRun(id, start), OutcomeFinished, start)
	}
}
