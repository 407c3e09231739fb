package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// forwarder passes the connections of other machines on to a router's port for them, so that the path can be cut. A cut is
// silent: open connections carry nothing while it lasts and what they hold arrives after it; new ones are not established.
type forwarder struct {
	target string

	mu      sync.Mutex
	cut     bool
	cond    *sync.Cond
	hanging []net.Conn // Connections that were opened during the cut.
}

// newForwarder starts a forwarder at an address.
func newForwarder(f *fleet, address, target string) *forwarder {
	fw := &forwarder{target: target}
	fw.cond = sync.NewCond(&fw.mu)
	l, err := net.Listen("tcp", address)
	if err != nil {
		f.end(exitCannotRun, "forwarder: %v", err)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go fw.forward(c)
		}
	}()
	return fw
}

// setCut begins or ends a cut.
func (fw *forwarder) setCut(cut bool) {
	fw.mu.Lock()
	defer fw.mu.Unlock()
	fw.cut = cut
	fw.cond.Broadcast()
	if !cut {
		for _, c := range fw.hanging {
			reset(c)
		}
		fw.hanging = nil
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (fw *forwarder) forward(c net.Conn) {
	fw.mu.Lock()
	if fw.cut {
		fw.hanging = append(fw.hanging, c)
		fw.mu.Unlock()
		return
	}
	fw.mu.Unlock()
	up, err := net.DialTimeout("tcp", fw.target, time.Second)
	if err != nil {
		reset(c)
		return
	}
	go fw.copy(c, up)
	fw.copy(up, c)
}

// copy copies one direction. Nothing passes during a cut.
func (fw *forwarder) copy(to, from net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		fw.mu.Lock()
		for fw.cut {
			fw.cond.Wait()
		}
		fw.mu.Unlock()
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		if err == io.EOF {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// addRouterBehindForwarder starts a router whose port for other machines is reached through a forwarder: its registration in the
// store names the forwarder's address, as with network address translation.
func (f *fleet) addRouterBehindForwarder(i int) (*proc, *forwarder) {
	own, public := fmt.Sprintf("%s:%d", f.ip(11+i), firstPort), fmt.Sprintf("%s:%d", f.ip(111+i), firstPort)
	path := fmt.Sprintf("%s:%d", f.ip(211+i), storePort)
	l, err := net.Listen("tcp", path)
	if err != nil {
		f.end(exitCannotRun, "path to the store: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		translate(q, own, public)
		f.store.ServeHTTP(w, q)
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	fw := newForwarder(f, public, own)
	return f.addProc(fmt.Sprintf("front-%d", i+1), "router", zoneOf(i), 11+i, path), fw
}

// translate replaces the router's address in the values that it writes.
func translate(q *http.Request, own, public string) {
	if !strings.HasSuffix(q.URL.Path, "/kv-txn") {
		return
	}
	data, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	var txn struct {
		Expected json.RawMessage `json:"expected-rev,omitempty"`
		Set      []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"set-keys,omitempty"`
		Remove json.RawMessage `json:"remove,omitempty"`
	}
	if json.Unmarshal(data, &txn) == nil {
		for i := range txn.Set {
			txn.Set[i].Value = bytes.ReplaceAll(txn.Set[i].Value, []byte(own), []byte(public))
		}
		if encoded, err := json.Marshal(txn); err == nil {
			data = encoded
		}
	}
	q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
}

// partsCut: a router is cut off from the other machines of the system while another one finds a part that crashes runners.
func partsCut(f *fleet) {
	f.putConfig(1)
	var llms []*runner
	for i := range 12 {
		llms = append(llms, f.addRunner(fmt.Sprintf("engine-%d", i+1), llm, zoneOf(i), 31+i, true))
	}
	var fronts []*proc
	var paths []*forwarder
	for i := range 2 {
		p, fw := f.addRouterBehindForwarder(i)
		fronts, paths = append(fronts, p), append(paths, fw)
	}
	for i := range llms {
		f.addProc(fmt.Sprintf("side-%d", i+1), "scheduler", zoneOf(i), 31+i, f.storeAddress())
	}
	f.awaitService(fronts)
	set := func(cut bool) {
		for _, fw := range paths {
			fw.setCut(cut)
		}
	}
	f.missedPart(fronts, llms, func() {
		f.log("the path between front-1 and front-2 is cut")
		set(true)
	}, func() {
		set(false)
		f.log("the path between front-1 and front-2 is whole again")
	})
}
