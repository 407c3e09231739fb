package matrix_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

// maxCrashes is the number of engines that one request may crash. The second
// crash quarantines the request in the whole fleet.
const maxCrashes = 2

// TestCrashingRequestIsQuarantined sends one request four times, through alternating
// entries. Each engine that runs it crashes. The test guards against a request
// that crashes engine after engine, and against failures of a neighbour's
// concurrent requests.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	for _, k := range routeKinds[:2] {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { sendCrashingRequests(t, k) })
		})
	}
}

func sendCrashingRequests(t *testing.T, k routeKind) {
	sim := newSimulation(t, k)
	sim.warmUp()
	for i, entry := range []string{"entry-1", "entry-2", "entry-1", "entry-2"} {
		c := sim.newCall(k, subjectOrg, entry, subjectMarker)
		c.Body = strings.Replace(c.Body, subjectMarker, subjectMarker+" "+crashMarker, 1)
		neighbour := make(chan harness.Response, 1)
		go func() {
			neighbour <- sim.send(t.Context(), routeKinds[0], neighbourOrg, "entry-1", "beside-"+string(rune('a'+i)))
		}()
		if resp := sim.sendCall(t.Context(), k, subjectOrg, subjectMarker, c); resp.IsComplete() {
			t.Errorf("call %d of the crashing request received a complete response, want a failure", i)
		}
		if resp := <-neighbour; !resp.IsComplete() {
			t.Errorf("neighbour during call %d: outcome %q, want \"answered\"", i, describeOutcome(resp))
		}
		time.Sleep(maxPropagation)
	}
	if crashes := len(sim.fleet.Runs(subjectMarker)); crashes > maxCrashes {
		t.Errorf("one request crashed engines %d times, want at most %d", crashes, maxCrashes)
	}
	for _, p := range promises {
		if broken := p.check(sim); broken != "" {
			t.Errorf("promise %q broken: %s", p.name, broken)
		}
	}
}
