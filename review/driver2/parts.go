package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	badPart    = "badc0de0"
	sharedPart = "5c1e07a2"
	// maxAfterCrashes is the number of requests with the part that may reach runners later than contact-ms after the fifth crash.
	maxAfterCrashes = 3
)

// partWatch records the requests with the part that crashes runners.
type partWatch struct {
	mu       sync.Mutex
	arrivals []partArrival
	crashes  []time.Time
	cut      int // Streams of other requests that the crashes cut.
}

type partArrival struct {
	id string
	at time.Time
}

// watchPart makes all engines crash on the part.
func (f *fleet) watchPart(llms []*runner) *partWatch {
	w := &partWatch{}
	for _, r := range llms {
		r.crashPart = badPart
		r.onArrival = func(q *http.Request, at time.Time) {
			for _, part := range parts(q) {
				if part == badPart {
					w.mu.Lock()
					w.arrivals = append(w.arrivals, partArrival{q.Header.Get("Request-Id"), at})
					w.mu.Unlock()
					f.log("request %s with the part reaches %s", q.Header.Get("Request-Id"), r.name)
				}
			}
		}
		r.onCrash = func(q *http.Request, at time.Time) {
			r.mu.Lock()
			others := len(r.runs) - 1
			r.mu.Unlock()
			w.mu.Lock()
			w.crashes = append(w.crashes, at)
			w.cut += others
			n := len(w.crashes)
			w.mu.Unlock()
			f.log("crash %d: %s crashes on request %s and cuts %d other streams", n, r.name, q.Header.Get("Request-Id"), others)
		}
	}
	return w
}

func (w *partWatch) crashed() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.crashes)
}

// bad returns a request with the part, unlike all others.
func bad() call {
	own := newID()[:8]
	return call{
		path: "/brief/x", adapter: "a1", prompt: 900, output: 50, limit: 10 * time.Second,
		parts: fmt.Sprintf("%s:500,%s:200,%s:200", sharedPart, badPart, own), body: own,
	}
}

// sound returns a request that shares its caller and its other parts.
func sound() call {
	own := newID()[:8]
	return call{
		path: "/chat/x", adapter: "a1", prompt: 700, output: 290, limit: 15 * time.Second,
		parts: fmt.Sprintf("%s:500,%s:200", sharedPart, own), body: own,
	}
}

// sendBad sends requests with the part, one after the other and one each interval, to the routers in turn until done returns true.
func (f *fleet) sendBad(c *client, fronts []*proc, interval, limit time.Duration, sent map[string]time.Time, done func() bool) {
	end := time.Now().Add(limit)
	for i := 0; !done() && time.Now().Before(end); i++ {
		began := time.Now()
		a := bad()
		a.requestID = newID()
		sent[a.requestID] = began
		front := fronts[i%len(fronts)]
		f.log("with the part, to %s: %s", front.name, c.do(front.front(), a))
		time.Sleep(time.Until(began.Add(interval)))
	}
}

// judgeParts ends the case by the rule BUDGET for prompt parts. from is the time from which requests count besides.
func (f *fleet) judgeParts(w *partWatch, from time.Time, counted func(id string) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.crashes) < 5 {
		f.end(exitCannotRun, "only %d crashes", len(w.crashes))
	}
	if fifth := w.crashes[4].Add(contact); fifth.After(from) {
		from = fifth
	}
	n := 0
	for _, a := range w.arrivals {
		if a.at.After(from) && counted(a.id) {
			n++
		}
	}
	text := fmt.Sprintf("%d requests with the part reached runners later than contact-ms after the fifth crash, sent by machines in touch; %d crashes in all", n, len(w.crashes))
	if n > maxAfterCrashes {
		f.end(exitBroken, "%s", text)
	}
	f.end(exitHeld, "%s", text)
}

// partsKill: all processes of the system are killed at the same moment after a part was found to crash runners.
func partsKill(f *fleet) {
	fronts, sides, llms := f.deployment(2, 8)
	w := f.watchPart(llms)
	c := newClient()
	f.wait("the adapter is loaded", 10*time.Second, func() bool { return c.do(fronts[0].front(), sound()).whole })
	stop := make(chan struct{})
	go f.traffic(fronts, 500*time.Millisecond, stop, sound)
	time.Sleep(4 * time.Second)
	sent := make(map[string]time.Time)
	f.sendBad(c, fronts, 700*time.Millisecond, 30*time.Second, sent, func() bool { return w.crashed() >= 5 })
	f.log("the part goes on to be sent")
	f.sendBad(c, fronts, 700*time.Millisecond, 6*time.Second, sent, func() bool { return false })
	known := w.crashed()
	if f.trouble {
		f.log("all processes of the system are killed")
		for _, p := range append(append([]*proc{}, fronts...), sides...) {
			p.signal(syscall.SIGKILL)
		}
		time.Sleep(time.Second)
		for _, p := range append(append([]*proc{}, fronts...), sides...) {
			p.kill()
			p.start()
		}
		for _, p := range fronts {
			f.wait(p.name+" is ready", 15*time.Second, p.ready)
		}
	}
	time.Sleep(contact + 2*time.Second) // All machines are in touch again.
	f.log("%d crashes before; the part is sent again", known)
	f.sendBad(c, fronts, 700*time.Millisecond, 14*time.Second, sent, func() bool { return false })
	close(stop)
	f.judgeParts(w, time.Time{}, func(string) bool { return true })
}

// missedPart disrupts a router while the others find a part that crashes runners, ends the disruption, and sends requests with the
// part to that router once it is in touch again.
func (f *fleet) missedPart(disrupted *proc, others []*proc, llms []*runner, disrupt, heal func()) {
	w := f.watchPart(llms)
	c := newClient()
	f.wait("the adapter is loaded", 10*time.Second, func() bool { return c.do(others[0].front(), sound()).whole })
	stop := make(chan struct{})
	go f.traffic(others, 500*time.Millisecond, stop, sound)
	time.Sleep(4 * time.Second)
	sent := make(map[string]time.Time)
	if f.trouble {
		disrupt()
	}
	began := time.Now()
	time.Sleep(2300 * time.Millisecond)
	f.sendBad(c, others, 300*time.Millisecond, 9500*time.Millisecond, sent, func() bool { return false })
	time.Sleep(time.Until(began.Add(12 * time.Second)))
	if f.trouble {
		heal()
	}
	f.log("%d crashes; the part goes on to be sent to the others", w.crashed())
	f.sendBad(c, others, 700*time.Millisecond, contact+3*time.Second, sent, func() bool { return false })
	f.log("the part is sent to %s", disrupted.name)
	f.sendBad(c, []*proc{disrupted}, 700*time.Millisecond, 16*time.Second, sent, func() bool { return false })
	close(stop)
	f.judgeParts(w, time.Time{}, func(string) bool { return true })
}
