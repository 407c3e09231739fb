//go:build review

package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["silence"] = playSilence }

const (
	// preemption is how long an engine holds back a stream that it has preempted. Clients with an objective of
	// 1,000 ms wait for 4 s.
	preemption   = 2600 * time.Millisecond
	briefEvents  = 16
	chatEvents   = 40
	briefStreams = 5
)

// playSilence stops a router in an orderly way while it forwards streams, of which the engine preempts some for a while.
// The other engine has no place for their adapters. All streams must reach their end.
func playSilence(f *fleet) bool {
	brief := route("/brief/", "stream", "kowal-llm", 2, 10000, 1000)
	brief["resumable"] = true
	f.startStore(config(brief, route("/chat/", "stream", "kowal-llm", 1, 15000, 600)))
	newest := func(string) int64 { return 1 }
	first := &runner{
		name: "llm-1", service: "kowal-llm", zone: "pl-south-a", engine: true, slots: 64, work: 100 * time.Millisecond,
		eventGap: 200 * time.Millisecond, events: briefEvents, newest: newest, preloaded: []string{"a1", "a2", "a3", "a4", "a5"},
	}
	if f.trouble {
		first.preemptAfter, first.preemption = 6, preemption
	}
	second := &runner{
		name: "llm-2", service: "kowal-llm", zone: "pl-south-b", engine: true, slots: 64, work: 100 * time.Millisecond,
		eventGap: 250 * time.Millisecond, events: chatEvents, newest: newest, preloaded: []string{"a11", "a12", "a13", "a14", "a15", "a16", "a17"},
	}
	for i, e := range []*runner{first, second} {
		f.addRunner(11+i, e)
		f.addScheduler(e)
	}
	f.addRouter("pl-south-a")
	f.addRouter("pl-south-b")
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)

	headers := func(adapter string) map[string]string {
		return map[string]string{
			"Model": modelName + "/" + adapter, "Token-Count": "826,210", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:119,91bd%s:79,e4%s:628", adapter[1:], adapter[1:]),
		}
	}
	var clients sync.WaitGroup
	for _, adapter := range second.preloaded { // The places of the second engine are in use.
		s := &stream{path: "/chat/x", events: chatEvents, headers: headers(adapter)}
		clients.Go(func() { s.read(context.Background(), f, f.routers[1]) })
	}
	time.Sleep(500 * time.Millisecond)
	var list []*stream
	for _, adapter := range first.preloaded {
		s := &stream{path: "/brief/x", events: briefEvents, headers: headers(adapter)}
		list = append(list, s)
		clients.Go(func() { s.read(context.Background(), f, f.routers[0]) })
	}
	time.Sleep(800 * time.Millisecond)
	stopped := time.Now()
	f.routers[0].signal(syscall.SIGTERM)
	clients.Wait()
	f.routers[0].wait(8*time.Second - time.Since(stopped))

	cut := 0
	for _, s := range list {
		switch {
		case s.first == "":
			panic("a stream did not begin")
		case !s.complete:
			cut++
			f.record("CUT: stream %s ended after event %d of %d, %.3f s after the SIGTERM", s.first, s.last, briefEvents, s.endedAt.Sub(stopped).Seconds())
		}
	}
	f.record("LOST: %d of %d streams that were passed on to a runner ended without a complete answer; allowed: 0", cut, len(list))
	return cut > 0
}
