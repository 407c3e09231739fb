//go:build review

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() {
	cases["crash-same-id"] = playSameID
	cases["crash-restart"] = playRollingRestart
	cases["crash-part"] = playPartAndKill
}

const (
	harmfulBody    = "deposit that crashes the application"
	maxLateRetries = 3
	badPart        = "bad0c0de"
)

func crashesOnBody(_ *http.Request, body string) bool { return body == harmfulBody }

// addApps starts instances of the plain service that crash on the harmful request.
func (f *fleet) addApps(n int, keepID bool) []*runner {
	var out []*runner
	for i := range n {
		out = append(out, f.addRunner(31+i, &runner{
			name: fmt.Sprintf("app-%d", i+1), service: "kowal-app", zone: []string{"pl-south-a", "pl-south-b"}[i%2], slots: 6,
			crashes: crashesOnBody, downtime: 2 * time.Second, keepID: keepID, work: 60 * time.Millisecond,
		}))
	}
	return out
}

// payments sends sound requests until the returned function is called.
func (f *fleet) payments() (stop func()) {
	end := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-end:
				return
			case <-time.After(200 * time.Millisecond):
			}
			clients.Go(func() {
				f.send(f.routers[n%len(f.routers)], "POST", "/pay/x", fmt.Sprintf("deposit %d", n), 4*time.Second, nil)
			})
		}
	})
	return func() {
		close(end)
		clients.Wait()
	}
}

// lateRetries returns how many arrivals that match came later than contactTime after crash number limit.
func (f *fleet) lateRetries(runners []*runner, limit int, match func(arrival) bool) int {
	var crashes []time.Time
	for _, r := range runners {
		crashes = append(crashes, r.crashTimes()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	if len(crashes) < limit {
		panic(fmt.Sprintf("only %d crashes", len(crashes)))
	}
	from := crashes[limit-1].Add(contactTime)
	late := 0
	for _, r := range runners {
		for _, a := range r.allArrivals() {
			if match(a) && a.at.After(from) {
				late++
				f.record("LATE: id %s reached runner %s (id %s) %.3f s after crash %d", a.id, r.name, a.runner, a.at.Sub(crashes[limit-1]).Seconds(), limit)
			}
		}
	}
	f.record("BUDGET: %d crashes in all; %d requests reached runners later than %s after crash %d; allowed: %d",
		len(crashes), late, contactTime, limit, maxLateRetries)
	return late
}

func isHarmful(a arrival) bool { return a.body == harmfulBody }

// playSameID sends one harmful request again and again. The runners come back under the ids that they had.
func playSameID(f *fleet) bool {
	f.startStore(config(route("/pay/", "unsafe", "kowal-app", 1, 2000, 300)))
	apps := f.addApps(2, f.trouble)
	f.addRouter("pl-south-a")
	f.addRouter("pl-south-b")
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)
	stop := f.payments()
	for n := range 14 {
		f.send(f.routers[n%2], "POST", "/pay/x", harmfulBody, 4*time.Second, nil)
		time.Sleep(4 * time.Second)
	}
	stop()
	return f.lateRetries(apps, 3, isHarmful) > maxLateRetries
}

// playRollingRestart sends a harmful request until it is held back, then stops and starts the routers in turn.
func playRollingRestart(f *fleet) bool {
	f.startStore(config(route("/pay/", "unsafe", "kowal-app", 1, 2000, 300)))
	apps := f.addApps(4, false)
	f.addRouter("pl-south-a")
	f.addRouter("pl-south-b")
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)
	stop := f.payments()
	for n := range 6 {
		f.send(f.routers[n%2], "POST", "/pay/x", harmfulBody, 4*time.Second, nil)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(contactTime)
	for _, p := range f.routers {
		if f.trouble {
			p.signal(syscall.SIGTERM)
			p.wait(8 * time.Second)
			time.Sleep(time.Second)
			p.start()
		}
		f.waitReady(p)
		time.Sleep(contactTime + 500*time.Millisecond) // In touch again.
		for range 6 {
			f.send(p, "POST", "/pay/x", harmfulBody, 4*time.Second, nil)
			time.Sleep(1500 * time.Millisecond)
		}
	}
	stop()
	return f.lateRetries(apps, 3, isHarmful) > maxLateRetries
}

// playPartAndKill sends requests with a prompt part that crashes engines until they are held back. Then all routers
// are killed at the same moment.
func playPartAndKill(f *fleet) bool {
	f.startStore(config(route("/digest/", "stream", "kowal-llm", 1, 5000, 1000)))
	crashes := func(r *http.Request, _ string) bool {
		return strings.Contains(r.Header.Get("Prompt-Prefix"), badPart+":")
	}
	zones := []string{"pl-south-a", "pl-south-b"}
	var engines []*runner
	for i := range 8 {
		engines = append(engines, f.addRunner(11+i, &runner{
			name: fmt.Sprintf("llm-%d", i+1), service: "kowal-llm", zone: zones[i%2], engine: true, slots: 64, downtime: 2 * time.Second,
			crashes: crashes, work: 100 * time.Millisecond, eventGap: 20 * time.Millisecond, events: 10,
			newest: func(string) int64 { return 1 }, preloaded: []string{"a1", "a2", "a3"},
		}))
	}
	for _, e := range engines {
		f.addScheduler(e)
	}
	for _, zone := range zones {
		f.addRouter(zone)
	}
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)
	var serial int
	var mu sync.Mutex
	headers := func(part string) (map[string]string, string) {
		mu.Lock()
		defer mu.Unlock()
		serial++
		return map[string]string{
			"Model": fmt.Sprintf("%s/a%d", modelName, serial%3+1), "Token-Count": "826,50",
			"Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,%s:79,e4%010x:628", part, serial),
		}, fmt.Sprintf("notes %d", serial)
	}
	stopSound := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 0; ; n++ {
			select {
			case <-stopSound:
				return
			case <-time.After(200 * time.Millisecond):
			}
			clients.Go(func() {
				h, body := headers(fmt.Sprintf("91bd%04x", n%20))
				f.send(f.routers[n%2], "POST", "/digest/x", body, 5*time.Second, h)
			})
		}
	})
	bad := func(times int) {
		for n := range times {
			clients.Go(func() {
				h, body := headers(badPart)
				f.record("a request with the part %s follows", badPart)
				f.send(f.routers[n%2], "POST", "/digest/x", body, 5*time.Second, h)
			})
			time.Sleep(time.Second)
		}
	}
	time.Sleep(2 * time.Second)
	bad(14)
	time.Sleep(contactTime)
	if f.trouble {
		for _, p := range f.routers {
			p.signal(syscall.SIGKILL)
		}
		for _, p := range f.routers {
			p.wait(time.Second)
		}
		time.Sleep(time.Second)
		for _, p := range f.routers {
			p.start()
		}
	}
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime + 500*time.Millisecond)
	bad(16)
	time.Sleep(time.Second)
	close(stopSound)
	clients.Wait()
	return f.lateRetries(engines, 5, func(a arrival) bool { return strings.Contains(a.header.Get("Prompt-Prefix"), badPart+":") }) > maxLateRetries
}
