//go:build review

package main

import (
	"bytes"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["spoiled-head"] = playSpoiledHead }

// spoiledShare is the share of the answers that the faulty runners spoil: 1 in 50.
const spoiledShare = 50

// playSpoiledHead lets one of two instances of a plain service spoil 2 in 100 of its answers: bytes of the head
// are wrong, so that it names neither the request nor the runner's proof.
func playSpoiledHead(f *fleet) bool {
	f.startStore(config(route("/pay/", "unsafe", "kowal-app", 1, 2000, 300)))
	for i := range 2 {
		r := &runner{name: fmt.Sprintf("app-%d", i+1), service: "kowal-app", zone: []string{"pl-south-a", "pl-south-b"}[i], slots: 6, work: 20 * time.Millisecond}
		if i == 0 && f.trouble {
			var answers atomic.Int64
			r.spoil = func(response []byte) []byte {
				if answers.Add(1)%spoiledShare != 0 {
					return response
				}
				out := bytes.Replace(response, []byte("Request-Id: "), []byte("Raquesd-Ld: "), 1)
				return bytes.Replace(out, []byte("Response-Seal: "), []byte("Rospunse-Ceal: "), 1)
			}
		}
		f.addRunner(31+i, r)
	}
	f.addRouter("pl-south-a")
	f.addRouter("pl-south-b")
	for _, p := range f.routers {
		f.waitReady(p)
	}
	time.Sleep(contactTime)
	var mu sync.Mutex
	wrong, served := 0, 0
	var clients sync.WaitGroup
	for c := range 4 {
		clients.Go(func() {
			for n := range 250 {
				a := f.send(f.routers[(n+c)%2], "POST", "/pay/x", fmt.Sprintf("deposit %d of client %d", n, c), 4*time.Second, nil)
				if a.err != nil || a.status < 200 || a.status > 299 {
					continue
				}
				mu.Lock()
				served++
				if a.header.Get("Response-Seal") == "" {
					wrong++
					f.record("WRONG: id %s got status %d without a Response-Seal", a.id, a.status)
				}
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	if served < 100 {
		panic(fmt.Sprintf("only %d requests were served", served))
	}
	f.record("MIXED: %d of %d successes had no Response-Seal; allowed: 0", wrong, served)
	return wrong > 0
}
