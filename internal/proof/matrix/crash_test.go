package matrix_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

// maxCrashes is how many engines one bad request may cost: the second crash
// quarantines it in the whole fleet.
const maxCrashes = 2

// TestRequestThatCrashesEndpoints has a caller send a request that crashes
// each engine that runs it, again and again at both entries, while a neighbour
// works beside it.
func TestRequestThatCrashesEndpoints(t *testing.T) {
	for _, k := range kinds[:2] {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { crashAgainAndAgain(t, k) })
		})
	}
}

func crashAgainAndAgain(t *testing.T, k kind) {
	w := newWorld(t, k)
	w.warm()
	for i, entry := range []string{"entry-1", "entry-2", "entry-1", "entry-2"} {
		c := w.call(k, subjectOrg, entry, subjectMarker)
		c.Body = strings.Replace(c.Body, subjectMarker, subjectMarker+" "+crashMarker, 1)
		neighbour := make(chan harness.Response, 1)
		go func() {
			neighbour <- w.send(t.Context(), kinds[0], neighbourOrg, "entry-1", "beside-"+string(rune('a'+i)))
		}()
		if a := w.sendCall(t.Context(), k, subjectOrg, subjectMarker, c); a.IsComplete() {
			t.Errorf("call %d was answered", i)
		}
		if a := <-neighbour; !a.IsComplete() {
			t.Errorf("the neighbour beside call %d: %s", i, outcomeOf(a))
		}
		time.Sleep(inForceWithin)
	}
	if crashes := len(w.f.Runs(subjectMarker)); crashes > maxCrashes {
		t.Errorf("one request cost %d engines, at most %d are allowed", crashes, maxCrashes)
	}
	for _, p := range promises {
		if broken := p.check(w); broken != "" {
			t.Errorf("promise %q: %s", p.name, broken)
		}
	}
}
