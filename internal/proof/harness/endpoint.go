package harness

import (
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing/synctest"
	"time"

	engineapi "github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/standin/engine"
)

// Run is one request as an endpoint received it.
type Run struct {
	Endpoint       string
	Start          time.Time
	Method         string
	Path           string // Includes the query.
	Header         http.Header
	Body           string
	Response       string // Response body that the stand-in has written so far.
	Finished       bool   // Whether the stand-in's handler returned.
	AdapterMissing bool   // Whether an engine rejected it with 404 because the build is not loaded.
}

// Contains reports whether the path or the body contains marker.
func (r Run) Contains(marker string) bool {
	return strings.Contains(r.Body, marker) || strings.Contains(r.Path, marker)
}

// HoldPoint is a stage at which a run can be held.
type HoldPoint int

// Values of HoldPoint.
const (
	// HoldOnArrival is the point before the stand-in handles the request.
	HoldOnArrival HoldPoint = iota
	// HoldMidResponse is halfway through one write of the response: write
	// streamHoldWrite of an event stream, otherwise the first write.
	HoldMidResponse
)

// maxHoldWait bounds the wait for a run to reach its hold point.
const maxHoldWait = 30 * time.Second

// Hold blocks the runs that carry a marker at a hold point until Release.
type Hold struct {
	marker      string
	point       HoldPoint
	reachedOnce sync.Once
	Reached     chan struct{} // Closed when the first run is held.
	released    chan struct{}
	releaseOnce sync.Once
}

// WaitReached waits until a run is held and every other goroutine of the bubble
// is blocked. It returns false if no run is held within maxHoldWait.
func (h *Hold) WaitReached() bool {
	timer := time.NewTimer(maxHoldWait)
	defer timer.Stop()
	select {
	case <-h.Reached:
		synctest.Wait()
		return true
	case <-timer.C:
		return false
	}
}

// Release lets held and later runs continue.
func (h *Hold) Release() {
	h.releaseOnce.Do(func() { close(h.released) })
}

// Endpoint wraps one stand-in. It records the requests that arrive and can hold
// runs and rewrite responses.
type Endpoint struct {
	Host   *Host
	Engine *engine.Server // Nil if the stand-in is a plain service.

	handler      http.Handler
	mu           sync.Mutex
	runs         []*Run
	orders       []*Run
	holds        []*Hold
	rewritesLeft int
	rewrite      func(http.Header, []byte) []byte
	orderHooks   []func(Run)
}

// Runs returns copies of the requests that arrived, except orders and requests
// that an engine rejected because the build was not loaded.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.DeleteFunc(copyRuns(e.runs), func(r Run) bool { return r.AdapterMissing })
}

// Orders returns copies of the load and unload orders that arrived.
func (e *Endpoint) Orders() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return copyRuns(e.orders)
}

// OnOrder registers f, which is called for each order before the stand-in
// handles it.
func (e *Endpoint) OnOrder(f func(Run)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orderHooks = append(e.orderHooks, f)
}

// RewriteResponses passes the next n responses through rewrite, which may change
// the header and returns the body to send instead of the one it receives.
func (e *Endpoint) RewriteResponses(n int, rewrite func(http.Header, []byte) []byte) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rewritesLeft, e.rewrite = n, rewrite
}

// Restart starts a new incarnation of the stand-in: its connections are reset
// and an engine loses its loaded adapters.
func (e *Endpoint) Restart() {
	if e.Engine != nil {
		e.Engine.Restart()
	}
	e.Host.ResetConnections()
}

// ServeHTTP implements http.Handler. Health checks and model listings are
// neither recorded nor held.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" || r.URL.Path == "/v1/models" {
		e.handler.ServeHTTP(w, r)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	run := &Run{
		Endpoint: e.Host.Name, Start: time.Now(), Method: r.Method, Path: r.URL.RequestURI(),
		Header: r.Header.Clone(), Body: string(body),
	}
	if strings.HasSuffix(r.URL.Path, "_lora_adapter") {
		e.serveOrder(w, r, run)
		return
	}
	e.serveRun(w, r, run)
}

func (e *Endpoint) serveOrder(w http.ResponseWriter, r *http.Request, run *Run) {
	e.mu.Lock()
	e.orders = append(e.orders, run)
	hooks := e.orderHooks
	e.mu.Unlock()
	for _, hook := range hooks {
		hook(*run)
	}
	e.handler.ServeHTTP(w, r)
}

func (e *Endpoint) serveRun(w http.ResponseWriter, r *http.Request, run *Run) {
	e.mu.Lock()
	e.runs = append(e.runs, run)
	e.mu.Unlock()
	e.waitWhileHeld(r, run, HoldOnArrival)
	out := &recorder{ResponseWriter: w, endpoint: e, run: run, request: r, rewrite: e.takeRewrite()}
	e.handler.ServeHTTP(out, r)
	out.writeRewritten()
	e.mu.Lock()
	run.Finished = true
	e.mu.Unlock()
}

// takeRewrite returns the rewrite function for the next response, or nil if none
// is due.
func (e *Endpoint) takeRewrite() func(http.Header, []byte) []byte {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rewritesLeft == 0 {
		return nil
	}
	e.rewritesLeft--
	return e.rewrite
}

func (e *Endpoint) addHold(h *Hold) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.holds = append(e.holds, h)
}

// waitWhileHeld blocks a run while a Hold applies to it at the given point. It
// aborts the run if its connection breaks.
func (e *Endpoint) waitWhileHeld(r *http.Request, run *Run, point HoldPoint) {
	e.mu.Lock()
	var hold *Hold
	for _, h := range e.holds {
		if h.point == point && run.Contains(h.marker) {
			hold = h
		}
	}
	e.mu.Unlock()
	if hold == nil {
		return
	}
	hold.reachedOnce.Do(func() { close(hold.Reached) })
	select {
	case <-hold.released:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// recorder records the response of a stand-in. It splits one write into two
// halves and holds the run between them, or buffers the whole response if it is
// to be rewritten.
type recorder struct {
	http.ResponseWriter
	endpoint *Endpoint
	run      *Run
	request  *http.Request
	rewrite  func(http.Header, []byte) []byte
	split    bool
	writes   int
	status   int
	buffered []byte
}

// streamHoldWrite is the write of an event stream, counted from 1, that is split
// for HoldMidResponse.
const streamHoldWrite = 3

// WriteHeader implements http.ResponseWriter.
func (r *recorder) WriteHeader(status int) {
	r.status = status
	if status == http.StatusNotFound && r.endpoint.Engine != nil {
		r.endpoint.mu.Lock()
		r.run.AdapterMissing = true
		r.endpoint.mu.Unlock()
	}
	if r.rewrite == nil {
		r.ResponseWriter.WriteHeader(status)
	}
}

// Write implements io.Writer.
func (r *recorder) Write(p []byte) (int, error) {
	r.endpoint.mu.Lock()
	r.run.Response += string(p)
	r.endpoint.mu.Unlock()
	if r.rewrite != nil {
		r.buffered = append(r.buffered, p...)
		return len(p), nil
	}
	r.writes++
	if r.split || (r.isStream() && r.writes < streamHoldWrite) {
		return r.ResponseWriter.Write(p)
	}
	return r.writeHalves(p)
}

func (r *recorder) isStream() bool {
	return strings.HasPrefix(r.Header().Get("Content-Type"), "text/event-stream")
}

// writeHalves writes p in two halves and holds the run between them.
func (r *recorder) writeHalves(p []byte) (int, error) {
	r.split = true
	half := len(p) / 2
	if _, err := r.ResponseWriter.Write(p[:half]); err != nil {
		return 0, err
	}
	_ = http.NewResponseController(r.ResponseWriter).Flush()
	r.endpoint.waitWhileHeld(r.request, r.run, HoldMidResponse)
	n, err := r.ResponseWriter.Write(p[half:])
	return half + n, err
}

// Unwrap gives http.ResponseController access to the underlying writer.
func (r *recorder) Unwrap() http.ResponseWriter { return r.ResponseWriter }

// writeRewritten sends the rewritten response if a rewrite applies.
func (r *recorder) writeRewritten() {
	if r.rewrite == nil {
		return
	}
	data := r.rewrite(r.Header(), r.buffered)
	if r.status != 0 {
		r.ResponseWriter.WriteHeader(r.status)
	}
	_, _ = r.ResponseWriter.Write(data)
}

func copyRuns(runs []*Run) []Run {
	out := make([]Run, 0, len(runs))
	for _, r := range runs {
		out = append(out, *r)
	}
	return out
}

// AttemptID returns the attempt id in the request's header.
func (r Run) AttemptID() string {
	return r.Header.Get(engineapi.HeaderRequestID)
}
