package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
)

func newTestSuspects() *suspects {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	return newSuspects(quota.NewPeers("r1", &http.Transport{}, entry), entry)
}

func held(s *suspects, id quarantine.Fingerprint) bool {
	return s.quarantined(func() quarantine.Fingerprint { return id }, time.Now())
}

// A request is held after the third endpoint that died under it, whichever
// router saw that, and no other request is.
func TestRequestIsHeldAfterThreeCrashes(t *testing.T) {
	s := newTestSuspects()
	bad := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("bad"))
	for i, id := range []catalog.EndpointID{"e1", "e2", "e3"} {
		if held(s, bad) {
			t.Errorf("held after %d crashes", i)
		}
		s.count(crash{bad, id})
	}
	if !held(s, bad) {
		t.Error("not held after three crashes")
	}
	for _, other := range []quarantine.Fingerprint{
		fingerprint("smithy", http.MethodPost, "/chat/x", []byte("good")), fingerprint("other", http.MethodPost, "/chat/x", []byte("bad")),
	} {
		if held(s, other) {
			t.Error("another request is held")
		}
	}
}

// Many equal requests that run when one endpoint dies count as one crash, and a
// good run clears them: they did not cause it.
func TestOneCrashCountsOnce(t *testing.T) {
	s := newTestSuspects()
	usual := fingerprint("smithy", http.MethodGet, "/hours/x", nil)
	for range 5 {
		s.count(crash{usual, "e1"})
	}
	if held(s, usual) {
		t.Error("held after the death of one endpoint")
	}
	s.count(crash{usual, "e2"})
	s.finished(func() quarantine.Fingerprint { return usual })
	s.count(crash{usual, "e3"})
	if held(s, usual) {
		t.Error("held though it ran well in between")
	}
}

// A break counts as a crash where the endpoint accepts no connection afterwards;
// a lost answer of one that lives does not.
func TestProbeTellsACrashFromALostAnswer(t *testing.T) {
	s := newTestSuspects()
	bad := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("bad"))
	lost := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("lost"))
	for _, id := range []catalog.EndpointID{"e1", "e2", "e3"} {
		alive, dead := httptest.NewServer(http.NotFoundHandler()), httptest.NewServer(http.NotFoundHandler())
		defer alive.Close()
		dead.Close()
		s.broke(lost, &catalog.Endpoint{ID: id, Address: alive.Listener.Addr().String()})
		s.broke(bad, &catalog.Endpoint{ID: id, Address: dead.Listener.Addr().String()})
	}
	for end := time.Now().Add(5 * time.Second); !held(s, bad); {
		if time.Now().After(end) {
			t.Fatal("three endpoints died under a request that is not held")
		}
		runtime.Gosched()
	}
	if held(s, lost) {
		t.Error("a request is held though its endpoints live")
	}
}

// All routers together stay within the fleet's retry budget.
func TestRetryBudgetOfAllRouters(t *testing.T) {
	const routers, requests = 5, 40
	now := time.Unix(1000, 0)
	taken := 0
	for range routers {
		b := newBudgets(0.2, 58, func() int { return routers })
		for range requests {
			b.request("s", now)
			for b.take("s", now) {
				taken++
			}
		}
	}
	if most := 0.2*routers*requests + 58; float64(taken) > most || taken == 0 {
		t.Errorf("%d retries, at most %.0f", taken, most)
	}
}
