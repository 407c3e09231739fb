package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	enginestandin "github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

// crashingPrompt makes a crashingEngine crash while it runs a request with it.
const crashingPrompt = "poison"

var crashingEngine = enginestandin.Options{
	Slots: 2, LoadTime: 10 * time.Millisecond, TokenTime: 100 * time.Millisecond, CrashMarker: crashingPrompt,
}

// restartedSince returns the number of engines whose boot ID differs from
// before.
func (f *fleet) restartedSince(before []string) int {
	n := 0
	for i, boot := range f.bootIDs() {
		if boot != before[i] {
			n++
		}
	}
	return n
}

// bootIDs returns the boot ID of each engine.
func (f *fleet) bootIDs() []string {
	var out []string
	for _, e := range f.engines {
		out = append(out, string(e.Boot()))
	}
	return out
}

func TestRequestThatCrashesEndpointsIsQuarantined(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(4, crashingEngine)
		before := f.bootIDs()
		checkRefusal(f.t, f.complete(false, crashingPrompt), refusal.CodeQuarantined, refusal.RanUnknown)
		for range 3 {
			again := f.complete(false, crashingPrompt)
			checkRefusal(f.t, again, refusal.CodeQuarantined, refusal.RanNo)
			if again.header.Get("Retry-After") == "" {
				f.t.Error("the quarantine refusal has no Retry-After")
			}
		}
		if n := f.restartedSince(before); n != 2 {
			f.t.Errorf("%d endpoints crashed, want 2", n)
		}
	})
}

func TestQuarantineAppliesToOtherEntries(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(4, crashingEngine)
		f.complete(false, crashingPrompt)
		before := f.bootIDs()
		f.dispatcher = f.newDispatcher() // Another entry, which shares only the notices.
		checkRefusal(f.t, f.complete(false, crashingPrompt), refusal.CodeQuarantined, refusal.RanNo)
		if n := f.restartedSince(before); n != 0 {
			f.t.Errorf("%d endpoints crashed after the quarantine began, want 0", n)
		}
	})
}

func TestQuarantineExpires(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(4, crashingEngine)
		f.complete(false, crashingPrompt)
		time.Sleep(10 * time.Minute)
		f.dispatcher = f.newDispatcher() // Another entry.
		before := f.bootIDs()
		checkRefusal(f.t, f.complete(false, crashingPrompt), refusal.CodeQuarantined, refusal.RanUnknown)
		if n := f.restartedSince(before); n != 1 {
			f.t.Errorf("%d endpoints crashed after the quarantine expired, want 1", n)
		}
	})
}

// TestOtherRequestsSurviveACrash guards against quarantining requests that ran
// on an endpoint while another request crashed it.
func TestOtherRequestsSurviveACrash(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(4, crashingEngine)
		done := make(chan callerResponse)
		const others = 6
		for i := range others {
			go func() { done <- f.complete(false, fmt.Sprintf("other %d", i)) }()
			time.Sleep(loadTime)
		}
		time.Sleep(200 * time.Millisecond)
		f.complete(false, crashingPrompt)
		for range others {
			checkCompletion(f.t, <-done, false)
		}
		for i := range others {
			checkCompletion(f.t, f.complete(false, fmt.Sprintf("other %d", i)), false)
		}
	})
}

// TestRestartsDoNotQuarantineRequestsThatSucceeded guards against quarantining
// a request because engines restarted for another reason while it ran.
func TestRestartsDoNotQuarantineRequestsThatSucceeded(t *testing.T) {
	runFleetTest(t, func(f *fleet) {
		f.addEngines(3, crashingEngine)
		checkCompletion(f.t, f.complete(false, "alike"), false)
		for range 3 {
			for _, e := range f.engines {
				time.AfterFunc(200*time.Millisecond, e.Restart)
			}
			f.complete(false, "alike")
			f.settle()
		}
		checkCompletion(f.t, f.complete(false, "alike"), false)
	})
}
