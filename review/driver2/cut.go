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

	"github.com/hyssoptiller/hyssoptiller/platform/standin"
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

const (
	routers = 3
	cutOff  = 1 // Index of the router that is cut off.
)

// ownAddress is where a router listens for other machines, publicAddress where its forwarder does, and addressForCutOff where the
// forwarder of the router that is cut off does for it.
func (f *fleet) ownAddress(i int) string { return fmt.Sprintf("%s:%d", f.ip(11+i), firstPort) }

func (f *fleet) publicAddress(i int) string { return fmt.Sprintf("%s:%d", f.ip(111+i), firstPort) }

func (f *fleet) addressForCutOff(i int) string { return fmt.Sprintf("%s:%d", f.ip(151+i), firstPort) }

// addRouterBehindForwarder starts a router whose port for other machines is reached through a forwarder: its registration in the
// store names the forwarder's address, as with network address translation. For the router that is to be cut off, the addresses of
// the others are translated too, so that its paths can be cut and no other.
func (f *fleet) addRouterBehindForwarder(i int) *proc {
	path := fmt.Sprintf("%s:%d", f.ip(211+i), storePort)
	l, err := net.Listen("tcp", path)
	if err != nil {
		f.end(exitCannotRun, "path to the store: %v", err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.translateWrites(q, i)
		if i != cutOff || q.Method != http.MethodGet {
			f.store.ServeHTTP(w, q)
			return
		}
		b := &buffered{header: w.Header(), status: http.StatusOK}
		f.store.ServeHTTP(b, q)
		data := f.translateReads(b.body.Bytes())
		w.WriteHeader(b.status)
		_, _ = w.Write(data) // Fails only if the router has left.
	}), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	return f.addProc(fmt.Sprintf("front-%d", i+1), "router", zoneOf(i), 11+i, path)
}

// buffered holds an answer of the store back until it is complete.
type buffered struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (b *buffered) Header() http.Header         { return b.header }
func (b *buffered) WriteHeader(status int)      { b.status = status }
func (b *buffered) Write(p []byte) (int, error) { return b.body.Write(p) }

// translateWrites replaces the router's address in the values that it writes.
func (f *fleet) translateWrites(q *http.Request, i int) {
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
		for k := range txn.Set {
			txn.Set[k].Value = bytes.ReplaceAll(txn.Set[k].Value, []byte(f.ownAddress(i)), []byte(f.publicAddress(i)))
		}
		if encoded, err := json.Marshal(txn); err == nil {
			data = encoded
		}
	}
	q.Body, q.ContentLength = io.NopCloser(bytes.NewReader(data)), int64(len(data))
}

// translateReads replaces the addresses of the other routers in an answer of the store.
func (f *fleet) translateReads(data []byte) []byte {
	var page struct {
		Items   []standin.Item `json:"items"`
		Events  []standin.Item `json:"events"`
		More    bool           `json:"has-more"`
		Current int64          `json:"current-rev"`
	}
	if json.Unmarshal(data, &page) != nil {
		return data
	}
	for _, list := range [][]standin.Item{page.Items, page.Events} {
		for k := range list {
			for i := range routers {
				if i != cutOff {
					list[k].Value = bytes.ReplaceAll(list[k].Value, []byte(f.publicAddress(i)), []byte(f.addressForCutOff(i)))
				}
			}
		}
	}
	encoded, err := json.Marshal(page)
	if err != nil {
		return data
	}
	return encoded
}

// partsCut: a router is cut off from the other machines of the system while the others find a part that crashes runners.
func partsCut(f *fleet) {
	f.putConfig(1)
	var llms []*runner
	for i := range 14 {
		llms = append(llms, f.addRunner(fmt.Sprintf("engine-%d", i+1), llm, zoneOf(i), 31+i, true))
	}
	var fronts []*proc
	var paths []*forwarder // To and from the router that is cut off.
	for i := range routers {
		public := newForwarder(f, f.publicAddress(i), f.ownAddress(i))
		if i == cutOff {
			paths = append(paths, public)
		} else {
			paths = append(paths, newForwarder(f, f.addressForCutOff(i), f.ownAddress(i)))
		}
		fronts = append(fronts, f.addRouterBehindForwarder(i))
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
	f.missedPart(fronts[cutOff], []*proc{fronts[0], fronts[2]}, llms, func() {
		f.log("front-2 is cut off from the other machines of the system; it reaches the store, the engines and the schedulers")
		set(true)
	}, func() {
		set(false)
		f.log("front-2 is no longer cut off")
	})
}
