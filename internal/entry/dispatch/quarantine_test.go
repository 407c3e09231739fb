package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

const poison = "poison"

var fragileEngine = enginestandin.Options{
	Slots: 2, LoadTime: 10 * time.Millisecond, TokenTime: 100 * time.Millisecond, CrashMarker: poison,
}

// crashes returns how many lives of engines have ended.
func (f *fleet) crashes(before []string) int {
	n := 0
	for i, boot := range f.boots() {
		if boot != before[i] {
			n++
		}
	}
	return n
}

func (f *fleet) boots() []string {
	var out []string
	for _, e := range f.engines {
		out = append(out, string(e.Boot()))
	}
	return out
}

func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(4, fragileEngine)
		before := f.boots()
		wantRefusal(f.t, f.complete(false, poison), refusal.CodeQuarantined, refusal.RanUnknown)
		for range 3 {
			again := f.complete(false, poison)
			wantRefusal(f.t, again, refusal.CodeQuarantined, refusal.RanNo)
			if again.header.Get("Retry-After") == "" {
				f.t.Error("the caller is not told when to come back")
			}
		}
		if n := f.crashes(before); n != 2 {
			f.t.Errorf("%d endpoints lost, want 2", n)
		}
	})
}

func TestQuarantineHoldsAtTheOtherEntries(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(4, fragileEngine)
		f.complete(false, poison)
		before := f.boots()
		f.dispatcher = f.newDispatcher() // Shares the notices only.
		wantRefusal(f.t, f.complete(false, poison), refusal.CodeQuarantined, refusal.RanNo)
		if n := f.crashes(before); n != 0 {
			f.t.Errorf("%d more endpoints lost", n)
		}
	})
}

func TestQuarantineEnds(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(4, fragileEngine)
		f.complete(false, poison)
		time.Sleep(10 * time.Minute)
		f.dispatcher = f.newDispatcher() // Another entry.
		before := f.boots()
		wantRefusal(f.t, f.complete(false, poison), refusal.CodeQuarantined, refusal.RanUnknown)
		if n := f.crashes(before); n != 1 {
			f.t.Errorf("%d endpoints lost after the quarantine, want 1", n)
		}
	})
}

func TestInnocentsBesideACrashGoOn(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(4, fragileEngine)
		done := make(chan answer)
		const innocents = 6
		for i := range innocents {
			go func() { done <- f.complete(false, fmt.Sprintf("innocent %d", i)) }()
			time.Sleep(loadTime)
		}
		time.Sleep(200 * time.Millisecond)
		f.complete(false, poison)
		for range innocents {
			wantWhole(f.t, <-done, false)
		}
		for i := range innocents {
			wantWhole(f.t, f.complete(false, fmt.Sprintf("innocent %d", i)), false)
		}
	})
}

func TestRestartIsNoFaultOfRequestsThatEndedWell(t *testing.T) {
	run(t, func(f *fleet) {
		f.addEngines(3, fragileEngine)
		wantWhole(f.t, f.complete(false, "alike"), false)
		for range 3 {
			for _, e := range f.engines {
				time.AfterFunc(200*time.Millisecond, e.Restart)
			}
			f.complete(false, "alike")
			f.settle()
		}
		wantWhole(f.t, f.complete(false, "alike"), false)
	})
}
