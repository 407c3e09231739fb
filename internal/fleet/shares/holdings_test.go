package shares

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

func TestHoldingsAddUpToBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		f.reserveFor(time.Second, 10)
		var burst float64
		holders := make(map[ident.VM]bool)
		for _, h := range f.nodes["entry-1"].shareHolder.Holdings(t.Context()) {
			if h.Account != account {
				continue
			}
			burst += h.Burst
			holders[h.VM] = true
			if h.Balance+h.Outstanding > h.Burst {
				t.Errorf("share %d: balance %g + outstanding %g exceeds burst %g", h.Index, h.Balance, h.Outstanding, h.Burst)
			}
		}
		if burst != testBurst || len(holders) < 2 {
			t.Errorf("Holdings() have burst %g over %d holders, want %d over at least 2", burst, len(holders), testBurst)
		}
	})
}

// TestRefusedChangeIsRetriedOncePerRound guards against a change that is
// retried in a busy loop. The only member has crashed and answers no call, so that
// the change of generation by which another entry joins is impossible.
func TestRefusedChangeIsRetriedOncePerRound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.close()
		f.kill("entry-1") // entry-1 stays on the VM list.
		f.start("entry-2")
		time.Sleep(5 * time.Second)
		before := f.memory.Calls().Reads
		const seconds = 10
		time.Sleep(seconds * time.Second)
		reads := f.memory.Calls().Reads - before
		const maxReadsPerRound = 3
		limit := maxReadsPerRound * int(seconds*time.Second/startRoundInterval)
		if reads > limit {
			t.Errorf("%d store reads in %d s, want at most %d", reads, seconds, limit)
		}
	})
}
