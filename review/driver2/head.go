package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Runners send a head without end in pieces, 300 KB a second.
const (
	endlessPiece = 16 << 10
	endlessPause = 54 * time.Millisecond
)

// residentMB returns the memory of a process, 0 if it has ended.
func residentMB(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(data)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
			return kb / 1024
		}
	}
	return 0
}

// maxCut is the number of requests from kept connections that may be passed on to a sound runner and closed without an answer.
const maxCut = 3

// endlessHead: the runners of one service answer with heads without end. The platform ends a process that exceeds its memory.
func endlessHead(f *fleet) {
	f.putConfig(1)
	var bad []*runner
	for i := range 4 {
		bad = append(bad, f.addRunner(fmt.Sprintf("app-%d", i+1), app, zoneOf(i), 51+i, false))
	}
	sound := f.addRunner("hours-1", hours, zoneOf(0), 61, false)
	var mu sync.Mutex
	reached, kept := make(map[string]bool), make(map[string]bool)
	var cut []string
	sound.onArrival = func(q *http.Request, _ time.Time) {
		mu.Lock()
		defer mu.Unlock()
		reached[q.Header.Get("Request-Id")] = true
	}
	front := f.addProc("front-1", "router", zoneOf(0), 11, f.storeAddress())
	f.wait("the router is ready", 15*time.Second, front.ready)
	stop := make(chan struct{})
	kills, peak := 0, 0.0
	go func() {
		for {
			mb := residentMB(front.pid())
			mu.Lock()
			peak = max(peak, mb)
			mu.Unlock()
			if mb > frontMemoryMB {
				f.log("front-1 holds %.0f MB, more than its %d MB: the platform kills it and starts it again", mb, frontMemoryMB)
				front.kill()
				mu.Lock()
				kills++
				mu.Unlock()
				time.Sleep(time.Second)
				front.start()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}()
	go f.traffic([]*proc{front}, 46*time.Millisecond, stop, func() call {
		return call{path: "/pay/x", body: strings.Repeat("p", 600), limit: 4 * time.Second}
	})
	go f.traffic([]*proc{front}, 86*time.Millisecond, stop, func() call {
		return call{path: "/lookup/x", method: http.MethodGet, limit: 4 * time.Second}
	})
	c := newClient()
	c.onConn = func(id string, reused bool) {
		mu.Lock()
		defer mu.Unlock()
		kept[id] = reused
	}
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(20 * time.Millisecond):
			}
			go func() {
				res := c.do(front.front(), call{path: "/hours/x", method: http.MethodGet, limit: 4 * time.Second})
				mu.Lock()
				defer mu.Unlock()
				if res.status == 0 && reached[res.id] && kept[res.id] {
					cut = append(cut, res.id)
					f.log("closed without an answer, on a kept connection, passed on to the sound runner: %s", res)
				}
			}()
		}
	}()
	time.Sleep(6 * time.Second)
	setEndless := func(on bool) {
		for _, r := range bad {
			r.mu.Lock()
			r.endless = on
			r.mu.Unlock()
		}
		f.log("the runners of %s answer with heads without end: %t", app, on)
	}
	if f.trouble {
		setEndless(true)
	}
	for i := range 8 {
		if i == 4 && f.trouble {
			setEndless(false)
		}
		time.Sleep(time.Second)
		mu.Lock()
		f.log("front-1 holds %.0f MB, at most %.0f MB so far", residentMB(front.pid()), peak)
		mu.Unlock()
	}
	close(stop)
	time.Sleep(4 * time.Second)
	mu.Lock()
	text := fmt.Sprintf("%d requests from kept connections were passed on to a sound runner and closed without an answer; "+
		"front-1 was killed %d times for its memory, which was at most %.0f MB", len(cut), kills, peak)
	mu.Unlock()
	if len(cut) > maxCut {
		f.end(exitBroken, "%s", text)
	}
	f.end(exitHeld, "%s", text)
}
