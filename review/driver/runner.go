//go:build review

package main

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// runner is a stand-in for a runner: a model engine, or an instance of a plain service. It may start again
// under its id or under a new one.
type runner struct {
	f       *fleet
	name    string // Does not change when the runner starts again.
	address string
	service string
	zone    string
	engine  bool
	slots   int
	// crashes reports whether the runner crashes when it begins to run a request. It may be nil.
	crashes func(r *http.Request, body string) bool
	// spoil returns the bytes of a response in place of the right ones. It may be nil.
	spoil     func(response []byte) []byte
	downtime  time.Duration // After a crash.
	keepID    bool          // The runner starts again under its id.
	work      time.Duration // Of a request to a plain service, or before the first event of a stream.
	eventGap  time.Duration
	events    int
	newest    func(adapter string) int64 // Newest version of an adapter in the weight store.
	preloaded []string
	// preemptAfter is the event after which the engine preempts a stream for a time, once; 0 for none.
	preemptAfter int
	preemption   time.Duration
	software     string // Version of the software; "" stands for v1.

	mu       sync.Mutex
	life     *life
	lives    int
	arrivals []arrival
	crashAt  []time.Time
}

// arrival is a request that reached a runner.
type arrival struct {
	id, runner, path, body, adapter string
	header                          http.Header
	at                              time.Time
	ran                             bool
	beganAt                         time.Time // When the first event was made.
	version                         int64     // Of the adapter when the request began.
}

// life is one lifetime of a runner.
type life struct {
	id       string
	born     int64
	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	beats    int64
	sequence int64
	fence    int64
	resident map[string]int64
	loading  map[string]int64
	inUse    map[string]int
	running  int
	model    bool
}

// addRunner starts a runner at the given last byte of the network.
func (f *fleet) addRunner(lastByte int, r *runner) *runner {
	r.f = f
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8228", f.network, lastByte))
	if err != nil {
		panic(err)
	}
	r.address = l.Addr().String()
	r.begin(l, "i-"+newID()[:10], true)
	return r
}

// begin starts a lifetime.
func (r *runner) begin(l net.Listener, id string, first bool) {
	ctx, cancel := context.WithCancel(context.Background())
	lf := &life{
		id: id, born: time.Now().UnixMilli(), listener: l, cancel: cancel,
		resident: map[string]int64{}, loading: map[string]int64{}, inUse: map[string]int{},
	}
	if first && r.engine { // At the start of the whole system the models are placed.
		lf.model = true
		for _, name := range r.preloaded {
			lf.resident[name] = r.newest(name)
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/report", func(w http.ResponseWriter, _ *http.Request) { r.serveReport(lf, w) })
	mux.HandleFunc("POST /v1/order", func(w http.ResponseWriter, req *http.Request) { r.serveOrder(lf, w, req) })
	mux.HandleFunc("/", func(w http.ResponseWriter, req *http.Request) { r.serve(lf, w, req) })
	lf.server = &http.Server{Handler: mux, IdleTimeout: 5 * time.Second, BaseContext: func(net.Listener) context.Context { return ctx }}
	r.mu.Lock()
	r.life = lf
	r.lives++
	r.mu.Unlock()
	go func() { _ = lf.server.Serve(l) }()
	r.f.record("runner %s (%s) begins a lifetime at %s, id %s, born %d", r.name, r.service, r.address, id, lf.born)
	go r.beat(ctx, lf)
}

// beat writes the registry entry each heartbeat.
func (r *runner) beat(ctx context.Context, lf *life) {
	for {
		r.mu.Lock()
		lf.beats++
		entry := map[string]any{
			"service": r.service, "address": r.address, "zone": r.zone, "version": cmp.Or(r.software, "v1"), "slots": r.slots, "state": "ready",
			"cold-ms": 0, "sequence": lf.beats, "born": lf.born,
		}
		r.mu.Unlock()
		r.f.store.Put("servers/"+lf.id, entry)
		select {
		case <-ctx.Done():
			return
		case <-time.After(heartbeat):
		}
	}
}

// crash ends the lifetime at once and starts the next one after the downtime.
func (r *runner) crash(lf *life) {
	r.mu.Lock()
	if r.life != lf {
		r.mu.Unlock()
		return
	}
	r.life = nil
	r.crashAt = append(r.crashAt, time.Now())
	r.mu.Unlock()
	lf.cancel()
	_ = lf.server.Close()
	r.f.record("runner %s crashes, id %s", r.name, lf.id)
	id := lf.id
	if !r.keepID {
		id = "i-" + newID()[:10]
		// The entry of the former lifetime goes after three check-in intervals of silence.
		time.AfterFunc(3*heartbeat, func() { r.f.store.Delete("servers/" + lf.id) })
	}
	time.AfterFunc(r.downtime, func() {
		l, err := net.Listen("tcp", r.address)
		if err != nil {
			r.f.record("runner %s does not start again: %v", r.name, err)
			return
		}
		r.begin(l, id, false)
	})
}

// serve serves a request.
func (r *runner) serve(lf *life, w http.ResponseWriter, req *http.Request) {
	body, err := io.ReadAll(req.Body)
	if err != nil {
		return
	}
	a := arrival{
		id: req.Header.Get("Request-Id"), runner: lf.id, path: req.URL.Path, body: string(body), header: req.Header.Clone(), at: time.Now(),
	}
	_, a.adapter, _ = strings.Cut(req.Header.Get("Model"), "/")
	status := r.admit(lf, req, a.adapter)
	w.Header().Set("Request-Id", a.id)
	if status != 0 {
		r.addArrival(a)
		r.f.record("runner %s gets id %s %s: not run, status %d", r.name, a.id, a.path, status)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	a.ran = true
	n := r.addArrival(a)
	defer r.finish(lf, a.adapter)
	if r.crashes != nil && r.crashes(req, string(body)) {
		r.f.record("runner %s gets id %s %s and crashes on it", r.name, a.id, a.path)
		if r.engine {
			time.Sleep(r.work)
		}
		r.crash(lf)
		panic(http.ErrAbortHandler)
	}
	seal := fmt.Sprintf("3e1b.%s.%s", lf.id, a.id)
	if r.engine {
		r.stream(lf, w, req, n, seal)
		return
	}
	if !wait(req.Context(), r.work) {
		panic(http.ErrAbortHandler)
	}
	text := "done " + a.id
	r.f.record("runner %s runs id %s %s to its end", r.name, a.id, a.path)
	if r.spoil == nil {
		w.Header().Set("Response-Seal", seal)
		w.Header().Set("Keep-Alive", "timeout=5")
		_, _ = io.WriteString(w, text)
		return
	}
	r.writeRaw(w, a.id, seal, text)
}

// writeRaw writes a response byte by byte as r.spoil makes it.
func (r *runner) writeRaw(w http.ResponseWriter, id, seal, text string) {
	var b bytes.Buffer
	_, _ = fmt.Fprintf(&b, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: %d\r\n\r\n%s", id, seal, len(text), text)
	spoiled := r.spoil(b.Bytes())
	if bytes.Equal(spoiled, b.Bytes()) {
		w.Header().Set("Response-Seal", seal)
		w.Header().Set("Keep-Alive", "timeout=5")
		_, _ = io.WriteString(w, text)
		return
	}
	r.f.record("runner %s spoils its answer to id %s: %q", r.name, id, spoiled)
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = conn.Write(spoiled)
	_ = conn.Close()
}

// wait waits for d. It returns false if ctx ends before.
func wait(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func (r *runner) addArrival(a arrival) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
	return len(r.arrivals) - 1
}

// admit returns 0 if a request may run, else the status with which it is turned away.
func (r *runner) admit(lf *life, req *http.Request, adapter string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if want := req.Header.Get("Expect-Instance"); want != "" && want != lf.id {
		return http.StatusMisdirectedRequest
	}
	if r.engine {
		version, ok := lf.resident[adapter]
		if !lf.model || adapter != "" && !ok {
			return http.StatusMisdirectedRequest
		}
		if want := req.Header.Get("Expect-Version"); want != "" && want != strconv.FormatInt(version, 10) {
			return http.StatusMisdirectedRequest
		}
	}
	if lf.running >= 4*r.slots {
		return http.StatusServiceUnavailable
	}
	lf.running++
	lf.inUse[adapter]++
	return 0
}

func (r *runner) finish(lf *life, adapter string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	lf.running--
	lf.inUse[adapter]--
}

// stream writes the events of a stream.
func (r *runner) stream(lf *life, w http.ResponseWriter, req *http.Request, n int, seal string) {
	if !wait(req.Context(), r.work) {
		panic(http.ErrAbortHandler)
	}
	r.mu.Lock()
	a := &r.arrivals[n]
	a.beganAt, a.version = time.Now(), lf.resident[a.adapter]
	id, adapter, version := a.id, a.adapter, a.version
	r.mu.Unlock()
	r.f.record("runner %s begins id %s adapter %s on version %d, Expect-Version %q", r.name, id, adapter, version, req.Header.Get("Expect-Version"))
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", seal)
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	first := 1
	if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for i := first; i <= r.events; i++ {
		if i > first && !wait(req.Context(), r.eventGap) {
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of software %s\n\n", i, i, cmp.Or(r.software, "v1")); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		if i == r.preemptAfter {
			r.f.record("runner %s preempts id %s for %s", r.name, id, r.preemption)
			if !wait(req.Context(), r.preemption) {
				r.f.record("runner %s: the connection of id %s was closed", r.name, id)
				panic(http.ErrAbortHandler)
			}
		}
	}
	r.f.record("runner %s has made all events of id %s", r.name, id)
}

func (r *runner) serveReport(lf *life, w http.ResponseWriter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	models, coming := []any{}, []string{}
	if lf.model {
		adapters := []string{}
		for name, version := range lf.resident {
			adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
		}
		models = append(models, map[string]any{"name": modelName, "version": 1, "adapters": adapters})
	}
	for name, version := range lf.loading {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", modelName, name, version))
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"stage": "both", "models": models, "coming": coming, "busy": false, "sequence": lf.sequence, "queued": 0, "running": lf.running,
		"kv-used": 0, "kv-total": 254706, "handles": 0, "born": lf.born, "runs": []any{},
	})
}

// serveOrder carries out an order.
func (r *runner) serveOrder(lf *life, w http.ResponseWriter, req *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Model     string `json:"model"`
		Adapter   string `json:"adapter"`
		Version   int64  `json:"version"`
		Expected  *int64 `json:"expected-rev"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fence"`
	}
	status := http.StatusBadRequest
	if err := json.NewDecoder(req.Body).Decode(&o); err == nil && o.Holder != "" && o.Fence > 0 {
		r.mu.Lock()
		status = r.carryOut(lf, req.Header.Get("Expect-Instance"), o.Operation, o.Adapter, o.Version, o.Expected, o.Fence)
		r.mu.Unlock()
	}
	r.f.record("runner %s gets order %s %s/%s version %d from %s: status %d", r.name, o.Operation, o.Model, o.Adapter, o.Version, o.Holder, status)
	w.WriteHeader(status)
}

// carryOut returns the status of an order. The caller holds r.mu.
func (r *runner) carryOut(lf *life, instance, operation, adapter string, version int64, expected *int64, fence int64) int {
	switch {
	case instance != "" && instance != lf.id:
		return http.StatusMisdirectedRequest
	case fence < lf.fence:
		return http.StatusPreconditionFailed
	case expected != nil && *expected != lf.sequence:
		return http.StatusConflict
	}
	lf.fence = fence
	_, resident := lf.resident[adapter]
	_, loading := lf.loading[adapter]
	switch {
	case operation == "load" && adapter == "":
		if lf.model {
			return http.StatusOK
		}
		lf.sequence++
		time.AfterFunc(400*time.Millisecond, func() { r.change(func() { lf.model = true }) })
		return http.StatusAccepted
	case operation == "load":
		if version == 0 {
			version = r.newest(adapter)
		}
		if loading || resident && lf.resident[adapter] == version {
			return http.StatusOK
		}
		lf.sequence++
		lf.loading[adapter] = version
		time.AfterFunc(250*time.Millisecond, func() {
			r.change(func() {
				delete(lf.loading, adapter)
				lf.resident[adapter] = version
			})
		})
		return http.StatusAccepted
	case operation == "unload" && !resident:
		return http.StatusOK
	case operation == "unload":
		lf.sequence++
		if lf.inUse[adapter] == 0 {
			delete(lf.resident, adapter)
			return http.StatusOK
		}
		go func() {
			for done := false; !done; time.Sleep(10 * time.Millisecond) {
				r.change(func() {
					if done = lf.inUse[adapter] == 0; done {
						delete(lf.resident, adapter)
					}
				})
			}
		}()
		return http.StatusAccepted
	}
	return http.StatusBadRequest
}

func (r *runner) change(apply func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	apply()
}

// allArrivals returns the requests that reached the runner.
func (r *runner) allArrivals() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// crashTimes returns when the runner crashed.
func (r *runner) crashTimes() []time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]time.Time(nil), r.crashAt...)
}
