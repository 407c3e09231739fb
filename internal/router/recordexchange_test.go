package router

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/peerconn"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
	"github.com/hyssoptiller/hyssoptiller/internal/quota"
)

// contactTime is the time after the end of a cut within which a router must know what it has missed.
const contactTime = 3 * time.Second

// linkedRouters are routers that call each other over links that can be cut.
type linkedRouters struct {
	t       *testing.T
	routers []*Router
	links   map[[2]int]*link // By the calling and the called router.
}

// link is the path of the calls of one router to another one.
type link struct {
	cut       atomic.Bool
	pingBytes atomic.Int64 // Of bodies of pings and of their responses.
	exchanges atomic.Int64
	address   string
}

// newLinkedRouters returns n routers that know each other, except those whose number is late: they are found by meet.
func newLinkedRouters(t *testing.T, n int, late ...int) *linkedRouters {
	t.Helper()
	l := &linkedRouters{t: t, links: make(map[[2]int]*link)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range n {
		l.routers = append(l.routers, New(Settings{VM: fmt.Sprint("entry-", i), PeersAddress: "127.0.0.1:1"}, logrus.NewEntry(log)))
	}
	for from := range n {
		for to := range n {
			if from != to {
				l.links[[2]int{from, to}] = newLink(t, l.routers[to].peersHandler())
			}
		}
	}
	for i := range n {
		if len(late) == 0 || late[0] != i {
			l.meet(i)
		}
		go func() { _ = l.routers[i].peers.Serve(t.Context()) }() // Ends with the test.
	}
	return l
}

func newLink(t *testing.T, handler http.Handler) *link {
	k := &link{}
	server := peerconn.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if k.cut.Load() {
			panic(http.ErrAbortHandler)
		}
		if strings.HasSuffix(req.URL.Path, "/exchange") {
			k.exchanges.Add(1)
		}
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, req)
		if req.URL.Path == quota.PathPing {
			k.pingBytes.Add(max(req.ContentLength-int64(len("null")), 0) + int64(recorder.Body.Len()))
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes()) // Fails only if the caller has given up.
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(listener) }() // Ends with the test.
	t.Cleanup(func() { _ = server.Close() })
	k.address = listener.Addr().String()
	return k
}

// meet makes a router and those that have met already find each other.
func (l *linkedRouters) meet(i int) {
	for other := range i {
		l.routers[i].peers.Add(quota.Peer{VM: l.routers[other].settings.VM, Address: l.links[[2]int{i, other}].address})
		l.routers[other].peers.Add(quota.Peer{VM: l.routers[i].settings.VM, Address: l.links[[2]int{other, i}].address})
	}
}

// setCut cuts or restores the calls of a router (out) and those to it (in).
func (l *linkedRouters) setCut(router int, out, in, cut bool) {
	for ends, k := range l.links {
		if out && ends[0] == router || in && ends[1] == router {
			k.cut.Store(cut)
		}
	}
}

// crash reports the crash of an engine at a router, on a request with the part.
func (l *linkedRouters) crash(router, n int, part string, trial bool) {
	endpoint := catalog.EndpointID(fmt.Sprint("e", n))
	c := partCrash{Endpoint: endpoint, Incarnation: int64(n), Parts: []string{part}}
	if trial {
		c.Trial = c.Parts
	}
	report := crashReport{crash{quarantine.Fingerprint("request of " + part), endpoint, int64(n)}, &c}
	l.routers[router].crashTracker.broadcast(report)
	l.routers[router].crashTracker.recordReport(report)
}

// quarantine makes engines crash on a part at a router until the part and the request are in quarantine there.
func (l *linkedRouters) quarantine(router int, part string) {
	l.t.Helper()
	for n := range 3 {
		l.crash(router, n, part, false)
	}
	l.eventually("the part is a suspect", 2*contactTime, func() bool { return l.state(router, part) == quarantine.PartSuspect })
	for n := range 2 {
		l.crash(router, 3+n, part, true)
	}
	l.eventually("the part is in quarantine", 2*contactTime, func() bool { return l.isHeld(router, part) })
	time.Sleep(4 * reportDelay) // All reports were sent once.
}

func (l *linkedRouters) state(router int, part string) quarantine.PartState {
	p := l.routers[router].parts
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range p.tracker.Held(time.Now()) {
		if h.Part == part {
			return h.State
		}
	}
	return quarantine.PartCleared
}

// isHeld reports whether the part and the request are in quarantine at a router.
func (l *linkedRouters) isHeld(router int, part string) bool {
	return l.state(router, part) == quarantine.PartQuarantined &&
		isQuarantined(l.routers[router].crashTracker, quarantine.Fingerprint("request of "+part))
}

func (l *linkedRouters) eventually(condition string, limit time.Duration, holds func() bool) {
	l.t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	l.t.Fatalf("condition not met within %s: %s", limit, condition)
}

// Guards against a router that was cut off and missed for good which prompt parts and requests crash engines: what the
// other routers had found was reported once, during the cut.
func TestRouterThatWasCutOffLearnsWhatCrashesEngines(t *testing.T) {
	for _, c := range []struct {
		name    string
		out, in bool // Which calls are cut.
		finder  int  // The router that finds the part.
	}{
		{"cut off", true, true, 0},
		{"its calls fail", true, false, 0},
		{"calls to it fail", false, true, 0},
		{"it finds the part", true, true, 2},
		{"it finds the part while its calls fail", true, false, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l := newLinkedRouters(t, 3)
			l.setCut(2, c.out, c.in, true)
			l.quarantine(c.finder, "bad")
			l.setCut(2, c.out, c.in, false)
			l.eventually("all routers hold the part and the request back", contactTime, func() bool {
				return l.isHeld(0, "bad") && l.isHeld(1, "bad") && l.isHeld(2, "bad")
			})
		})
	}
}

// Guards against a router that started while it was cut off from the others and stayed without their records: it read them
// only when it found a router.
func TestRouterThatStartedWhileCutOffLearnsWhatCrashesEngines(t *testing.T) {
	t.Parallel()
	l := newLinkedRouters(t, 5, 4)
	l.quarantine(0, "bad")
	l.setCut(4, true, true, true)
	l.meet(4)
	time.Sleep(time.Second) // The calls to the routers that it has found fail.
	l.setCut(4, true, true, false)
	l.eventually("the router that started holds the part back", contactTime, func() bool { return l.isHeld(4, "bad") })
}

// Guards against an old record that undoes a newer clearing: a router that was cut off still suspects a part that the others
// have cleared.
func TestSuspicionOfRouterThatWasCutOffEnds(t *testing.T) {
	t.Parallel()
	l := newLinkedRouters(t, 3)
	for n := range 3 {
		l.crash(0, n, "sound", false)
	}
	for i := range 3 {
		l.eventually("the part is a suspect", 2*contactTime, func() bool { return l.state(i, "sound") == quarantine.PartSuspect })
	}
	l.setCut(2, true, true, true)
	l.routers[0].parts.recordFinish([]string{"sound"})
	l.eventually("the part is cleared", contactTime, func() bool { return l.state(1, "sound") == quarantine.PartCleared })
	l.setCut(2, true, true, false)
	l.eventually("the router that was cut off clears the part", contactTime, func() bool {
		return l.state(2, "sound") == quarantine.PartCleared
	})
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if l.state(0, "sound") != quarantine.PartCleared || l.state(1, "sound") != quarantine.PartCleared {
			t.Fatal("the part is a suspect again")
		}
	}
}

// Pings have no body while nothing is held. Routers whose records stay different, as one of them has run the request
// without a crash, exchange them once.
func TestComparedRecordsCostLittle(t *testing.T) {
	t.Parallel()
	l := newLinkedRouters(t, 2)
	time.Sleep(time.Second)
	for ends, k := range l.links {
		if n := k.pingBytes.Load(); n > 0 {
			t.Errorf("bytes of bodies of pings on link %v = %d, want none", ends, n)
		}
	}
	l.routers[1].crashTracker.recordSuccess(func() quarantine.Fingerprint { return "r" })
	tracker := l.routers[1].crashTracker
	tracker.mu.Lock()
	tracker.tracker.EndRun("r", quarantine.VerdictRun, quarantine.OutcomeFinished, time.Now())
	tracker.mu.Unlock()
	for n := range 3 {
		l.routers[0].crashTracker.recordCrash(crash{"r", catalog.EndpointID(fmt.Sprint("e", n)), 1})
	}
	time.Sleep(2 * time.Second)
	if isQuarantined(tracker, "r") {
		t.Error("a request that runs without a crash is in quarantine")
	}
	exchanges := l.links[[2]int{0, 1}].exchanges.Load() + l.links[[2]int{1, 0}].exchanges.Load()
	if exchanges == 0 || exchanges > 4 {
		t.Errorf("exchanges of routers whose records differ = %d, want 1 to 4", exchanges)
	}
}
