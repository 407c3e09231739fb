package shares

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

func TestHoldingsOfAllEntriesMakeUpTheBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		f.flood(time.Second, 10)
		var burst float64
		holders := make(map[ident.VM]bool)
		for _, h := range f.nodes["entry-1"].keeper.Holdings(t.Context()) {
			if h.Account != account {
				continue
			}
			burst += h.Burst
			holders[h.VM] = true
			if h.Balance+h.Outstanding > h.Burst {
				t.Errorf("share %d: balance %g and outstanding %g above burst %g", h.Index, h.Balance, h.Outstanding, h.Burst)
			}
		}
		if burst != testBurst || len(holders) < 2 {
			t.Errorf("burst %g over %d holders, want %d over several", burst, len(holders), testBurst)
		}
	})
}

// TestRefusedChangeIsTriedAtThePaceOfTheRounds lets an entry join while the
// only member refuses its calls, so that the change cannot be made.
func TestRefusedChangeIsTriedAtThePaceOfTheRounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		defer f.close()
		f.kill("entry-1") // It stays on the VM list.
		f.start("entry-2")
		time.Sleep(5 * time.Second)
		before := f.memory.Calls().Reads
		const seconds = 10
		time.Sleep(seconds * time.Second)
		reads := f.memory.Calls().Reads - before
		const readsEachRound = 3
		limit := readsEachRound * int(seconds*time.Second/startInterval)
		if reads > limit {
			t.Errorf("%d reads of the store in %d s, want at most %d", reads, seconds, limit)
		}
	})
}
