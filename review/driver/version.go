//go:build review

package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["version"] = playVersion }

// freezeTime is the longest freeze of a machine on the users' sheet of kowalnia-booking (trouble-2).
const freezeTime = 7600 * time.Millisecond

// playVersion freezes the machine beside one engine. While it stands still, the operator announces new versions of
// the adapters that the engine holds. No request may begin on an older version later than version_ms.
func playVersion(f *fleet) bool {
	versions := &versionTable{byName: map[string]int64{}}
	f.startStore(config(route("/digest/", "stream", "kowal-llm", 1, 5000, 1000)))
	var engines []*runner
	var schedulers []*process
	zones := []string{"pl-south-a", "pl-south-b", "pl-south-c", "pl-south-d"}
	const perEngine = 7 // All places of an engine are taken.
	for i, zone := range zones {
		r := &runner{
			name: fmt.Sprintf("llm-%d", i+1), service: "kowal-llm", zone: zone, engine: true, slots: 64,
			work: 150 * time.Millisecond, eventGap: 25 * time.Millisecond, events: 10, newest: versions.newest,
		}
		for n := range perEngine {
			r.preloaded = append(r.preloaded, fmt.Sprintf("a%d", n*len(zones)+i+1))
		}
		engines = append(engines, f.addRunner(11+i, r))
	}
	for _, e := range engines {
		schedulers = append(schedulers, f.addScheduler(e))
	}
	for _, zone := range zones[:2] {
		f.addRouter(zone)
	}
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)

	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() { // Each adapter is asked for once in 4 s.
		ticker := time.NewTicker(4 * time.Second / time.Duration(perEngine*len(zones)))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
			}
			adapter := n % (perEngine * len(zones))
			headers := map[string]string{
				"Model": fmt.Sprintf("%s/a%d", modelName, adapter+1), "Token-Count": "9190,50",
				"Prompt-Prefix": fmt.Sprintf("5c1e07a2:2520,91bd%04x:3780,e4%010x:2890", adapter, n),
			}
			clients.Go(func() {
				f.send(f.routers[n%len(f.routers)], "POST", "/digest/x", fmt.Sprintf("notes %d", n), 5*time.Second, headers)
			})
		}
	})
	time.Sleep(6 * time.Second)
	if f.trouble {
		schedulers[0].signal(syscall.SIGSTOP)
		time.AfterFunc(freezeTime, func() { schedulers[0].signal(syscall.SIGCONT) })
	}
	time.Sleep(100 * time.Millisecond)
	acked := map[string]time.Time{}
	for _, adapter := range engines[0].preloaded {
		versions.announce(adapter)
		f.store.Put("op/version/"+modelName+"."+adapter, map[string]any{"model": modelName, "adapter": adapter, "version": 2})
		acked[adapter] = time.Now()
		f.record("operator announces version 2 of adapter %s, acknowledged", adapter)
	}
	time.Sleep(freezeTime + 2*time.Second)
	close(stop)
	clients.Wait()

	late, begun := 0, 0
	for _, e := range engines {
		for _, a := range e.allArrivals() {
			if a.beganAt.IsZero() {
				continue
			}
			begun++
			at, ok := acked[a.adapter]
			if ok && a.version < 2 && a.beganAt.Sub(at) > versionBound {
				late++
				f.record("LATE: id %s began at runner %s on version %d of adapter %s, %.3f s after version 2 was acknowledged",
					a.id, e.name, a.version, a.adapter, a.beganAt.Sub(at).Seconds())
			}
		}
	}
	if begun < 20 {
		panic(fmt.Sprintf("only %d requests began", begun))
	}
	f.record("VERSION: %d of %d requests began on an older version later than %s after the newer one was acknowledged; allowed: 0",
		late, begun, versionBound)
	return late > 0
}

// versionTable holds the newest version of each adapter.
type versionTable struct {
	mu     sync.Mutex
	byName map[string]int64
}

func (t *versionTable) newest(adapter string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(t.byName[adapter], 1)
}

func (t *versionTable) announce(adapter string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byName[adapter] = 2
}
