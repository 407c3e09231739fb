package quarantine

import (
	"fmt"
	"testing"
)

// BenchmarkRequest measures the ledger's cost for a request that ends without a
// crash, with a body of 4 KiB and a full ledger.
func BenchmarkRequest(b *testing.B) {
	l := NewCrashTracker(DefaultLimits())
	body := make([]byte, 4<<10)
	for i := 0; b.Loop(); i++ {
		id := NewFingerprint("smithy", fmt.Sprint(i), body)
		l.EndRun(id, l.BeginRun(id, start), OutcomeFinished, start)
	}
}
