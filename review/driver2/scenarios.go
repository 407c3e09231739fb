package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// deployment starts routers, and engines with their schedulers, and waits until all routers serve a request.
func (f *fleet) deployment(routers, engines int) (fronts, sides []*proc, llms []*runner) {
	f.putConfig(1)
	for i := range engines {
		llms = append(llms, f.addRunner(fmt.Sprintf("engine-%d", i+1), llm, zoneOf(i), 31+i, true))
	}
	for i := range routers {
		fronts = append(fronts, f.addProc(fmt.Sprintf("front-%d", i+1), "router", zoneOf(i), 11+i, f.storeAddress()))
	}
	for i := range engines {
		sides = append(sides, f.addProc(fmt.Sprintf("side-%d", i+1), "scheduler", zoneOf(i), 31+i, f.storeAddress()))
	}
	f.awaitService(fronts)
	return fronts, sides, llms
}

func zoneOf(i int) string { return []string{"pl-south-a", "pl-south-b"}[i%2] }

// awaitService waits until all routers are ready and serve a stream.
func (f *fleet) awaitService(fronts []*proc) {
	for i, p := range fronts {
		f.wait(p.name+" is ready", 15*time.Second, p.ready)
		f.wait(p.name+" serves", 15*time.Second, func() bool {
			return newClient().do(p.front(), call{path: "/digest/w", adapter: fmt.Sprintf("warm%d", i), prompt: 100, output: 5, limit: 3 * time.Second}).whole
		})
	}
}

// begin is the begin of a run.
type begin struct {
	id      string
	version int64
	at      time.Time
}

// observeBegins records the runs of an adapter at all engines.
func (f *fleet) observeBegins(llms []*runner, adapter string, announced *time.Time) (begins func() []begin) {
	var mu sync.Mutex
	var all []begin
	for _, r := range llms {
		r.onBegin = func(q *http.Request, version int64, at time.Time) {
			if q.Header.Get("Model") != model+"/"+adapter {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			all = append(all, begin{q.Header.Get("Request-Id"), version, at})
			text := ""
			if !announced.IsZero() {
				text = fmt.Sprintf(", %.3f s after the ack of version 2", at.Sub(*announced).Seconds())
			}
			f.log("request %s begins at %s on version %d%s", q.Header.Get("Request-Id"), r.name, version, text)
		}
	}
	return func() []begin {
		mu.Lock()
		defer mu.Unlock()
		return append([]begin(nil), all...)
	}
}

// announce names version 2 of an adapter and returns the time of the ack.
func (f *fleet) announce(llms []*runner, adapter string) time.Time {
	for _, r := range llms {
		r.mu.Lock()
		r.newest[adapter] = 2
		r.mu.Unlock()
	}
	f.store.Put("op/version/"+model+"."+adapter, map[string]any{"model": model, "adapter": adapter, "version": 2})
	f.log("the store acknowledges version 2 of %s", adapter)
	return time.Now()
}

// holder returns the only engine that holds an adapter.
func holder(llms []*runner, adapter string) *runner {
	var out *runner
	for _, r := range llms {
		r.mu.Lock()
		_, held := r.adapters[adapter]
		r.mu.Unlock()
		if held && out != nil {
			return nil
		}
		if held {
			out = r
		}
	}
	return out
}

// traffic sends a call every interval, to the routers in turn, until stop is closed.
func (f *fleet) traffic(fronts []*proc, interval time.Duration, stop <-chan struct{}, next func() call) {
	c := newClient()
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		go func() { f.log("%s", c.do(fronts[i%len(fronts)].front(), next())) }()
	}
}

// versionSlow: a runner is slow while a new version of an adapter is announced.
func versionSlow(f *fleet) {
	fronts, _, llms := f.deployment(2, 7)
	const adapter = "a1"
	var announced time.Time
	begins := f.observeBegins(llms, adapter, &announced)
	c := newClient()
	f.wait("the adapter is loaded", 10*time.Second, func() bool {
		return c.do(fronts[0].front(), call{path: "/chat/x", adapter: adapter, prompt: 628, output: 50, limit: 15 * time.Second}).whole
	})
	stop := make(chan struct{})
	go f.traffic(fronts, 400*time.Millisecond, stop, func() call {
		return call{path: "/chat/x", adapter: adapter, prompt: 628, output: 290, limit: 15 * time.Second}
	})
	time.Sleep(4 * time.Second) // All machines have been in touch for longer than contact-ms.
	slow := holder(llms, adapter)
	if slow == nil {
		f.end(exitCannotRun, "not one engine holds the adapter")
	}
	f.log("the adapter is held by %s", slow.name)
	if f.trouble {
		slow.mu.Lock()
		slow.slow = 5
		slow.mu.Unlock()
		f.log("%s turns slow, 5 times, for 6.5 s", slow.name)
		time.AfterFunc(6500*time.Millisecond, func() {
			slow.mu.Lock()
			slow.slow = 1
			slow.mu.Unlock()
			f.log("%s is no longer slow", slow.name)
		})
	}
	time.Sleep(700 * time.Millisecond)
	announced = f.announce(llms, adapter)
	var calls sync.WaitGroup
	for i, at := range []time.Duration{2000, 2200} {
		time.Sleep(time.Until(announced.Add(at * time.Millisecond)))
		calls.Go(func() {
			f.log("large %s", c.do(fronts[i%2].front(), call{path: "/brief/x", adapter: adapter, prompt: 39600, output: 50, limit: 10 * time.Second}))
		})
	}
	calls.Wait()
	close(stop)
	time.Sleep(time.Second)
	f.judgeVersion(begins(), announced)
}

// judgeVersion ends the case by the rule VERSION.
func (f *fleet) judgeVersion(begins []begin, announced time.Time) {
	late, newer := 0, 0
	for _, b := range begins {
		if b.version < 2 && b.at.Sub(announced) > versionBound {
			late++
		}
		if b.version == 2 {
			newer++
		}
	}
	if late > 0 {
		f.end(exitBroken, "%d requests began on version 1 later than 5 s after the ack of version 2; %d began on version 2", late, newer)
	}
	if newer == 0 {
		f.end(exitCannotRun, "no request began on version 2")
	}
	f.end(exitHeld, "no request began on version 1 later than 5 s after the ack of version 2; %d began on version 2", newer)
}
