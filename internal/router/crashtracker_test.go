package router

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/crashrecords"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
)

func newTestCrashTracker() *crashTracker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	entry := logrus.NewEntry(log)
	return newCrashTracker(quota.NewPeers("r1", &http.Transport{}, entry), entry)
}

func isQuarantined(tracker *crashTracker, fp quarantine.Fingerprint) bool {
	return tracker.quarantined(func() quarantine.Fingerprint { return fp }, time.Now())
}

// A request is quarantined after three endpoints crashed while they ran it. It does not matter
// which routers observed the crashes, and other requests are not affected.
func TestRequestIsQuarantinedAfterThreeCrashes(t *testing.T) {
	tracker := newTestCrashTracker()
	bad := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("bad"))
	for i, id := range []catalog.EndpointID{"e1", "e2", "e3"} {
		if isQuarantined(tracker, bad) {
			t.Errorf("request quarantined after %d crashes, want 3", i)
		}
		tracker.recordCrash(crash{Fingerprint: bad, Endpoint: id})
	}
	if !isQuarantined(tracker, bad) {
		t.Error("request not quarantined after 3 crashes")
	}
	for _, other := range []quarantine.Fingerprint{
		fingerprint("smithy", http.MethodPost, "/chat/x", []byte("good")),
		fingerprint("other", http.MethodPost, "/chat/x", []byte("bad")),
	} {
		if isQuarantined(tracker, other) {
			t.Error("a request that crashed nothing is quarantined")
		}
	}
}

// Many equal requests may run on an endpoint when it crashes. They count as one crash, and a
// successful run clears the count because the requests did not cause the crash.
func TestEqualRequestsCountOneCrashOnce(t *testing.T) {
	tracker := newTestCrashTracker()
	usual := fingerprint("smithy", http.MethodGet, "/hours/x", nil)
	for range 5 {
		tracker.recordCrash(crash{Fingerprint: usual, Endpoint: "e1"})
	}
	if isQuarantined(tracker, usual) {
		t.Error("request quarantined after the crash of one endpoint, counted 5 times")
	}
	tracker.recordCrash(crash{Fingerprint: usual, Endpoint: "e2"})
	tracker.recordSuccess(func() quarantine.Fingerprint { return usual })
	tracker.recordCrash(crash{Fingerprint: usual, Endpoint: "e3"})
	if isQuarantined(tracker, usual) {
		t.Error("request quarantined although it finished between the crashes")
	}
}

// A broken connection counts as a crash only if the endpoint accepts no connection afterwards.
// A lost response of a running endpoint does not count.
func TestOnlyUnreachableEndpointCountsAsCrash(t *testing.T) {
	tracker := newTestCrashTracker()
	bad := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("bad"))
	lost := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("lost"))
	for _, id := range []catalog.EndpointID{"e1", "e2", "e3"} {
		alive, dead := httptest.NewServer(http.NotFoundHandler()), httptest.NewServer(http.NotFoundHandler())
		defer alive.Close()
		dead.Close()
		tracker.checkCrash(lost, &catalog.Endpoint{ID: id, Address: alive.Listener.Addr().String()}, partCrash{}, nil)
		tracker.checkCrash(bad, &catalog.Endpoint{ID: id, Address: dead.Listener.Addr().String()}, partCrash{}, nil)
	}
	for end := time.Now().Add(5 * time.Second); !isQuarantined(tracker, bad); {
		if time.Now().After(end) {
			t.Fatal("request not quarantined within 5 s of 3 crashes")
		}
		runtime.Gosched()
	}
	if isQuarantined(tracker, lost) {
		t.Error("request quarantined although its endpoints accept connections")
	}
}

// countingTransport counts the calls to routers and the reports in them.
type countingTransport struct {
	mu             sync.Mutex
	calls, reports int
}

func (c *countingTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	var in crashReports
	if err := json.NewDecoder(req.Body).Decode(&in); err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	c.reports += len(in.Reports)
	return &http.Response{StatusCode: http.StatusOK, Body: http.NoBody, Request: req}, nil
}

// Pattern: a quarter of 120 engines crashes at once. Each of 68 routers has requests on all of them. It
// must not call each other router once for each of its requests: before, 30 calls to each, 136,680 over
// the fleet. Each report still reaches each router.
func TestCrashesOfManyEnginesAreReportedTogether(t *testing.T) {
	const routers, crashes = 68, 30
	synctest.Test(t, func(t *testing.T) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		entry := logrus.NewEntry(log)
		transport := &countingTransport{}
		peers := quota.NewPeers("r0", transport, entry)
		for i := 1; i < routers; i++ {
			peers.Add(quota.Peer{VM: fmt.Sprint("r", i), Address: fmt.Sprint("r", i, ":1")})
		}
		tracker := newCrashTracker(peers, entry)
		for i := range crashes {
			request := fingerprint("smithy", http.MethodPost, "/chat/x", []byte(fmt.Sprint(i)))
			tracker.broadcast(crashReport{crash: crash{Fingerprint: request, Endpoint: catalog.EndpointID(fmt.Sprint("e", i))}})
			time.Sleep(2 * time.Millisecond)
		}
		time.Sleep(time.Second)
		transport.mu.Lock()
		defer transport.mu.Unlock()
		if want := (routers - 1) * crashes; transport.reports != want {
			t.Errorf("reports that reached the %d other routers = %d, want %d", routers-1, transport.reports, want)
		}
		if most := 3 * (routers - 1); transport.calls > most {
			t.Errorf("calls for %d crashes = %d, want at most %d", crashes, transport.calls, most)
		}
	})
}

// The retries of all routers together stay within the fleet's retry budget.
func TestRoutersTogetherStayWithinRetryBudget(t *testing.T) {
	const routers, requests = 5, 40
	now := time.Unix(1000, 0)
	taken := 0
	for range routers {
		b := newRetryBudgets(0.2, 58, func() int { return routers })
		for range requests {
			b.recordRequest("s", now)
			for b.takeRetry("s", now) {
				taken++
			}
		}
	}
	if limit := 0.2*routers*requests + 58; float64(taken) > limit || taken == 0 {
		t.Errorf("all routers took %d retries, want 1 to %.0f", taken, limit)
	}
}

// An endpoint that comes back under its id and crashes again counts again, but a crash that two routers noticed, one of them with the
// registration of the former incarnation, counts once.
func TestCrashesOfEndpointThatComesBackCountAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := newTestCrashTracker()
		bad := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("bad"))
		for born := int64(1); born <= 3; born++ {
			if isQuarantined(tracker, bad) {
				t.Errorf("request quarantined after %d crashes, want 3", born-1)
			}
			for _, seen := range []int64{born, born, born - 1, 0} {
				tracker.recordCrash(crash{bad, "e1", seen})
			}
			time.Sleep(3 * time.Second)
		}
		if !isQuarantined(tracker, bad) {
			t.Error("request not quarantined after 3 crashes of one endpoint")
		}
	})
}

// A router that starts adopts the crashes of requests from the others, so that a restart of all routers in turn releases no
// quarantined request. A crash that both counted counts once.
func TestRouterThatStartsAdoptsCrashRecords(t *testing.T) {
	former, next := newTestCrashTracker(), newTestCrashTracker()
	bad := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("bad"))
	suspect := fingerprint("smithy", http.MethodPost, "/chat/x", []byte("suspect"))
	for _, id := range []catalog.EndpointID{"e1", "e2", "e3"} {
		former.recordCrash(crash{Fingerprint: bad, Endpoint: id})
	}
	former.recordCrash(crash{Fingerprint: suspect, Endpoint: "e1"})
	for range 2 {
		next.apply(former.records(1), "former")
	}
	if !isQuarantined(next, bad) {
		t.Error("request in quarantine at one router runs at the next one")
	}
	next.recordCrash(crash{Fingerprint: suspect, Endpoint: "e2"})
	if isQuarantined(next, suspect) {
		t.Error("request quarantined after 2 crashes, of which one was adopted twice")
	}
	next.recordCrash(crash{Fingerprint: suspect, Endpoint: "e3"})
	if !isQuarantined(next, suspect) {
		t.Error("request not quarantined after 3 crashes, of which one was adopted")
	}
	for _, odd := range []crashrecords.Request{{}, {Fingerprint: "x", Crashes: -1, LifetimeMS: 1000}, {Fingerprint: "y", Crashes: 1 << 40, LifetimeMS: -5}} {
		next.apply(crashrecords.Records{Requests: []crashrecords.Request{odd}}, "odd")
	}
	if n := len(next.records(1).Requests); n != 2 {
		t.Errorf("records = %d, want 2 without the odd ones", n)
	}
}
