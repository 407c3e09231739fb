package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Speeds of an engine of the users' booking deployment.
const (
	prefillTokensPerMS = 38.1
	stepMS             = 4.43
	tokensPerEvent     = 5
	adapterLoad        = 250 * time.Millisecond
	adapterSlots       = 7
	engineSlots        = 64
	engineQueue        = 192
	plainSlots         = 6
	plainQueue         = 24
	plainWork          = 60 * time.Millisecond
	hoursWork          = 400 * time.Millisecond
)

// runner is a stand-in of a runner: a model engine or an instance of a plain service.
type runner struct {
	fleet   *fleet
	name    string // Of the machine, for the record.
	service string
	zone    string
	address string
	engine  bool

	mu         sync.Mutex
	server     *http.Server
	id         string
	born       int64
	up         bool
	starts     int
	beats      int64
	sequence   int64
	fence      int64
	adapters   map[string]int64
	coming     map[string]int64
	unloading  map[string]bool
	newest     map[string]int64
	running    map[string]int // Requests that run or wait, by adapter.
	inFlight   int
	runs       map[string]int // Events by request id.
	slow       float64        // How many times as long work takes; below 1 counts as 1.
	crashPart  string
	backAfter  time.Duration
	crashes    int
	cutStreams int
	endless    bool // Answers of requests are a head without end.

	onArrival func(q *http.Request, at time.Time)
	onBegin   func(q *http.Request, version int64, at time.Time)
	onCrash   func(q *http.Request, at time.Time)
}

// addRunner adds a runner on a machine.
func (f *fleet) addRunner(name, service, zone string, n int, engine bool) *runner {
	r := &runner{
		fleet: f, name: name, service: service, zone: zone, address: fmt.Sprintf("%s:%d", f.ip(n), appPort), engine: engine,
		newest: make(map[string]int64), backAfter: 3 * time.Second,
	}
	f.mu.Lock()
	f.runners = append(f.runners, r)
	f.mu.Unlock()
	r.start()
	go r.beat()
	return r
}

// start starts a new lifetime with a new id. The runner holds the model and no adapters.
func (r *runner) start() {
	var l net.Listener
	var err error
	for range 40 {
		if l, err = net.Listen("tcp", r.address); err == nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err != nil {
		r.fleet.end(exitCannotRun, "runner %s: %v", r.name, err)
	}
	r.mu.Lock()
	r.starts++
	r.id, r.born, r.up, r.beats, r.sequence, r.fence = fmt.Sprintf("i-%s-%d", r.name, r.starts), time.Now().UnixMilli(), true, 0, 0, 0
	r.adapters, r.coming, r.unloading = make(map[string]int64), make(map[string]int64), make(map[string]bool)
	r.running, r.runs, r.inFlight = make(map[string]int), make(map[string]int), 0
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/report", r.serveReport)
	mux.HandleFunc("/v1/order", r.serveOrder)
	mux.HandleFunc("/", r.serveRequest)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	r.server = server
	r.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	r.register()
}

// register writes the registry entry.
func (r *runner) register() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.beats++
	slots := plainSlots
	if r.engine {
		slots = engineSlots
	}
	entry := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": slots, "state": "ready", "cold-ms": 0,
		"sequence": r.beats, "born": r.born,
	}
	id := r.id
	r.mu.Unlock()
	r.fleet.store.Put("servers/"+id, entry)
}

// beat writes the registry entry every heartbeat while the runner is up.
func (r *runner) beat() {
	for {
		time.Sleep(heartbeat)
		r.register()
	}
}

// crash ends the lifetime with all connections. The runner is back after backAfter. Its entry lapses after three heartbeats.
func (r *runner) crash() {
	r.mu.Lock()
	if !r.up {
		r.mu.Unlock()
		return
	}
	r.up = false
	r.crashes++
	id, server := r.id, r.server
	r.cutStreams += len(r.runs)
	r.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(3*heartbeat, func() { r.fleet.store.Delete("servers/" + id) })
	time.AfterFunc(r.backAfter, r.start)
}

func (r *runner) serveReport(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()

	defer r.mu.Unlock()
	adapters, coming, runs := []string{}, []string{}, [][]any{}
	for name, version := range r.adapters {
		adapters = append(adapters, fmt.Sprintf("%s@%d", name, version))
	}
	for name, version := range r.coming {
		coming = append(coming, fmt.Sprintf("%s/%s@%d", model, name, version))
	}
	for id, events := range r.runs {
		if events > 0 {
			runs = append(runs, []any{id, 1000, events, 5})
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"stage": "both", "models": []any{map[string]any{"name": model, "version": 1, "adapters": adapters}}, "coming": coming,
		"busy": false, "sequence": r.sequence, "queued": 0, "running": r.inFlight, "kv-used": 0, "kv-total": 254706, "handles": 0,
		"born": r.born, "runs": runs,
	})
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v) // Fails only if the caller has left.
}

func (r *runner) serveOrder(w http.ResponseWriter, q *http.Request) {
	var o struct {
		Operation string `json:"operation"`
		Adapter   string `json:"adapter"`
		Version   int64  `json:"version"`
		Expected  *int64 `json:"expected-rev"`
		Holder    string `json:"holder"`
		Fence     int64  `json:"fence"`
	}
	if json.NewDecoder(q.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if id := q.Header.Get("Expect-Instance"); id != "" && id != r.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if o.Fence < r.fence {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	r.fence = o.Fence
	if o.Expected != nil && *o.Expected != r.sequence {
		w.WriteHeader(http.StatusConflict)
		return
	}
	version := max(o.Version, r.newest[o.Adapter], 1)
	r.fleet.log("order at %s: %s %s, version %d", r.name, o.Operation, o.Adapter, version)
	switch {
	case o.Adapter == "": // The model is held from the start.
		w.WriteHeader(http.StatusOK)
	case o.Operation == "unload":
		r.sequence++
		if r.running[o.Adapter] == 0 {
			delete(r.adapters, o.Adapter)
			w.WriteHeader(http.StatusOK)
			return
		}
		r.unloading[o.Adapter] = true
		w.WriteHeader(http.StatusAccepted)
	case r.adapters[o.Adapter] == version:
		w.WriteHeader(http.StatusOK)
	default:
		r.sequence++
		r.coming[o.Adapter] = version
		born := r.born
		time.AfterFunc(adapterLoad, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.born == born && r.up {
				delete(r.coming, o.Adapter)
				r.adapters[o.Adapter] = version
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

// admit decides whether a request may run. Otherwise it returns the status of the refusal.
func (r *runner) admit(q *http.Request, adapter string) (version int64, status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	version, resident := r.adapters[adapter]
	want := q.Header.Get("Expect-Version")
	limit := plainSlots + plainQueue
	if r.engine {
		limit = engineSlots + engineQueue
	}
	switch {
	case q.Header.Get("Expect-Instance") != "" && q.Header.Get("Expect-Instance") != r.id,
		r.engine && adapter != "" && !resident,
		r.engine && want != "" && want != strconv.FormatInt(version, 10):
		return 0, http.StatusMisdirectedRequest
	case r.unloading[adapter], r.inFlight >= limit:
		return 0, http.StatusServiceUnavailable
	}
	r.inFlight++
	r.running[adapter]++
	return version, 0
}

// finish ends a run, and with it an unload that waits for it.
func (r *runner) finish(id, adapter string, born int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.born != born {
		return
	}
	r.inFlight--
	delete(r.runs, id)
	if r.running[adapter]--; r.running[adapter] == 0 && r.unloading[adapter] {
		delete(r.unloading, adapter)
		delete(r.adapters, adapter)
	}
}

// work waits until work of a duration at normal speed is done. It returns false if the caller leaves or the runner ends.
func (r *runner) work(q *http.Request, d time.Duration, born int64) bool {
	const tick = 5 * time.Millisecond
	for d > 0 {
		r.mu.Lock()
		slow, alive := max(r.slow, 1), r.up && r.born == born
		r.mu.Unlock()
		if !alive {
			return false
		}
		step := min(tick, time.Duration(slow*float64(d)))
		began := time.Now()
		select {
		case <-q.Context().Done():
			return false
		case <-time.After(step):
		}
		d -= time.Duration(float64(time.Since(began)) / slow)
	}
	return true
}

// serveRequest refuses a request or runs it.
func (r *runner) serveRequest(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/health" {
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if _, err := io.Copy(io.Discard, q.Body); err != nil {
		return
	}
	if r.onArrival != nil {
		r.onArrival(q, time.Now())
	}
	id := q.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, adapter, _ := strings.Cut(q.Header.Get("Model"), "/")
	version, status := r.admit(q, adapter)
	if status != 0 {
		w.Header().Set("Not-Executed", "1")
		w.Header().Set("Instance-Id", r.id)
		w.WriteHeader(status)
		return
	}
	r.mu.Lock()
	born, endless := r.born, r.endless
	r.mu.Unlock()
	defer r.finish(id, adapter, born)
	if endless {
		r.sendEndlessHead(w, q)
		return
	}
	if !r.engine {
		work := plainWork
		if r.service == hours {
			work = hoursWork
		}
		if !r.work(q, work, born) {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Response-Seal", "seal-"+id)
		_, _ = w.Write(bytes.Repeat([]byte("b"), 800))
		return
	}
	r.stream(w, q, id, version, born)
}

// stream reads the prompt and sends the events of a stream.
func (r *runner) stream(w http.ResponseWriter, q *http.Request, id string, version, born int64) {
	prompt, output, _ := strings.Cut(q.Header.Get("Token-Count"), ",")
	promptTokens, _ := strconv.Atoi(prompt)
	outputTokens, _ := strconv.Atoi(output)
	r.mu.Lock()
	r.runs[id] = 0
	r.mu.Unlock()
	if !r.work(q, time.Duration(float64(promptTokens)/prefillTokensPerMS*float64(time.Millisecond)), born) {
		panic(http.ErrAbortHandler)
	}
	if r.onBegin != nil {
		r.onBegin(q, version, time.Now())
	}
	if r.crashPart != "" && slices.Contains(parts(q), r.crashPart) {
		if r.onCrash != nil {
			r.onCrash(q, time.Now())
		}
		r.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Response-Seal", "seal-"+id)
	w.Header().Set("Weight-Versions", strconv.FormatInt(version, 10))
	w.WriteHeader(http.StatusOK)
	first := 1
	if last, err := strconv.Atoi(q.Header.Get("Last-Event-Id")); err == nil {
		first = last + 1
	}
	for n := first; n <= outputTokens/tokensPerEvent; n++ {
		if !r.work(q, time.Duration(stepMS*tokensPerEvent*float64(time.Millisecond)), born) {
			panic(http.ErrAbortHandler)
		}
		r.mu.Lock()
		r.runs[id] = n
		r.mu.Unlock()
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", n, n, id); err != nil || http.NewResponseController(w).Flush() != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

// parts returns the ids of the prompt parts of a request.
func parts(q *http.Request) []string {
	var out []string
	for _, field := range strings.Split(q.Header.Get("Prompt-Prefix"), ",") {
		id, _, _ := strings.Cut(field, ":")
		out = append(out, id)
	}
	return out
}

// sendEndlessHead sends a status line and header lines without end, until the caller closes.
func (r *runner) sendEndlessHead(w http.ResponseWriter, _ *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	lines := bytes.NewBufferString("HTTP/1.1 200 OK\r\n")
	for n := 0; ; {
		for ; lines.Len() < endlessPiece; n++ {
			fmt.Fprintf(lines, "x%x:\n", n)
		}
		if _, err := conn.Write(lines.Bytes()); err != nil {
			return
		}
		lines.Reset()
		time.Sleep(endlessPause)
	}
}
