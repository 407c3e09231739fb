package sessions

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
)

const (
	settleTime   = 5 * time.Second  // For a change to take effect in the whole fleet.
	partInterval = 30 * time.Second // Each part of a session starts at a multiple of it.
	// floodMarker begins the markers of requests that are counted but not listed
	// in the transcript.
	floodMarker = "flood-"
)

// session is a fleet with the transcript of what happens in it.
type session struct {
	t     *testing.T
	fleet *harness.Fleet
	start time.Time
	keys  map[string]string // Keys by key name.

	transcript strings.Builder // Written by the test's goroutine only.

	mu        sync.Mutex
	sentCount int
}

func newSession(t *testing.T, opts harness.Options) *session {
	return &session{t: t, fleet: harness.Start(t, opts), start: time.Now(), keys: make(map[string]string)}
}

// writeLine adds a line to the transcript. Lines carry no time, because the
// processes' random choices shift responses by some milliseconds.
func (s *session) writeLine(format string, args ...any) {
	fmt.Fprintf(&s.transcript, format+"\n", args...)
}

// startPart sleeps until the next multiple of partInterval and adds a heading
// with the time since the start.
func (s *session) startPart(title string) {
	passed := time.Since(s.start)
	time.Sleep(passed.Truncate(partInterval) + partInterval - passed)
	if s.transcript.Len() > 0 {
		s.transcript.WriteString("\n")
	}
	clock := time.Time{}.Add(time.Since(s.start)).Format(time.TimeOnly)
	fmt.Fprintf(&s.transcript, "== %s %s\n", clock, title)
}

// waitForHold waits until a run is held and fails the test if none is.
func (s *session) waitForHold(h *harness.Hold) {
	s.t.Helper()
	if !h.WaitReached() {
		s.t.Error("no run reached its hold point")
	}
}

// recordOperator adds an operator's action and the status of the response.
func (s *session) recordOperator(action string, resp harness.Response) {
	s.writeLine("operator      %-58s -> %s", action, operatorResult(resp))
}

func operatorResult(resp harness.Response) string {
	if resp.Err != nil {
		return "no answer"
	}
	return fmt.Sprint(resp.Status)
}

// request is one request of a caller.
type request struct {
	caller         string // Name of the caller in the transcript.
	keyName        string // Name of the key in session.keys; empty to send none.
	action         string // Description in the transcript.
	marker         string // Identifies the runs of the request at the endpoints.
	entry          string
	method         string
	path           string
	body           string
	idempotencyKey string // Idempotency-Key header; empty to send none.
}

// newCompletion returns a completion request through entry-1.
func newCompletion(caller, keyName, adapter, marker, action string, tokens int, stream bool) request {
	return request{
		caller: caller, keyName: keyName, action: action, marker: marker, entry: "entry-1",
		method: http.MethodPost, path: "/v1/completions",
		body: fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":%q}`, adapter, tokens, stream, marker),
	}
}

// newPost returns a POST request to a service through entry-1.
func newPost(caller, keyName, service, path, marker, action, idempotencyKey string) request {
	return request{
		caller: caller, keyName: keyName, action: action, marker: marker, entry: "entry-1", method: http.MethodPost,
		path: "/services/" + service + path, body: fmt.Sprintf(`{"marker":%q}`, marker), idempotencyKey: idempotencyKey,
	}
}

// newGet returns a GET request to a service through entry-1.
func newGet(caller, keyName, service, path, marker, action string) request {
	return request{
		caller: caller, keyName: keyName, action: action, marker: marker, entry: "entry-1", method: http.MethodGet,
		path: "/services/" + service + path + "?marker=" + marker,
	}
}

// via returns the request with another entry.
func (r request) via(entry string) request {
	r.entry = entry
	return r
}

// sendAndRecord sends a request and adds the response and the runs to the
// transcript.
func (s *session) sendAndRecord(r request) harness.Response {
	return s.sendAsync(r)()
}

// sendAsync sends a request. The returned function waits for the response and
// adds it and the runs to the transcript.
func (s *session) sendAsync(r request) func() harness.Response {
	runsBefore := len(s.fleet.Runs(r.marker))
	done := make(chan harness.Response, 1)
	go func() { done <- s.send(r) }()
	return func() harness.Response {
		resp := <-done
		s.recordResponse(r, resp, runsBefore)
		return resp
	}
}

// send sends a request under a new request id. It is safe for concurrent use.
func (s *session) send(r request) harness.Response {
	s.mu.Lock()
	s.sentCount++
	id := fmt.Sprintf("r-%s-%d", r.marker, s.sentCount)
	s.mu.Unlock()
	return s.fleet.Do(context.Background(), harness.Call{
		Entry: r.entry, Method: r.method, Path: r.path, Body: r.body, Key: s.keys[r.keyName],
		RequestID: id, IdempotencyKey: r.idempotencyKey,
	})
}

// recordResponse adds the response to r. The first runsBefore runs with r's
// marker belong to earlier requests.
func (s *session) recordResponse(r request, resp harness.Response, runsBefore int) {
	s.writeLine("%-13s %-58s -> %s; %s", r.caller, r.action+" at "+r.entry, describeResponse(resp), s.describeRuns(r, runsBefore))
}

func describeResponse(resp harness.Response) string {
	switch {
	case resp.IsComplete():
		return fmt.Sprintf("%d whole", resp.Status)
	case resp.RanHeader() != "":
		text := fmt.Sprintf("%d %s, ran %s", resp.Status, resp.ErrorCode(), resp.RanHeader())
		if wait := resp.Header.Get("Retry-After"); wait != "" {
			text += ", come back in " + wait + " s"
		}
		return text
	case resp.Err != nil:
		return "connection lost"
	default:
		return fmt.Sprintf("%d begun, then an error event", resp.Status)
	}
}

// describeRuns lists the runs with r's marker after the first runsBefore.
func (s *session) describeRuns(r request, runsBefore int) string {
	runs := s.fleet.Runs(r.marker)[runsBefore:]
	if len(runs) == 0 {
		return "nothing ran"
	}
	var parts []string
	for _, run := range runs {
		parts = append(parts, "ran "+describeRun(run))
	}
	return strings.Join(parts, ", ")
}

// describeRun names the adapter build, or the method and path, and the
// organisation of a run.
func describeRun(r harness.Run) string {
	org := cmp.Or(r.Header.Get(wire.HeaderOrganisation), "everybody")
	var body struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal([]byte(r.Body), &body)
	if body.Model != "" {
		return fmt.Sprintf("%s for %s", body.Model, org)
	}
	path, _, _ := strings.Cut(r.Path, "?")
	return fmt.Sprintf("%s %s for %s", r.Method, path, org)
}

// recordTimeline adds the timeline events of the requests with a marker. Events
// are grouped by VM, because concurrent events of two processes have no defined
// order.
func (s *session) recordTimeline(title, marker string) {
	resp := s.fleet.CallOperators(context.Background(), "entry-1", http.MethodGet, "/timeline?limit=2000", "", 0)
	var merged timeline.Merged
	if err := json.Unmarshal([]byte(resp.Body), &merged); err != nil {
		s.t.Errorf("parse /timeline response (status %d): %v", resp.Status, err)
		return
	}
	var order []ident.VM
	kinds := make(map[ident.VM][]string)
	for _, e := range merged.Events {
		if !strings.HasPrefix(string(e.Request), "r-"+marker+"-") {
			continue
		}
		if kinds[e.VM] == nil {
			order = append(order, e.VM)
		}
		kinds[e.VM] = append(kinds[e.VM], strings.TrimSpace(fmt.Sprintf("%s %s", e.Kind, e.Detail)))
	}
	s.writeLine("time line     %s", title)
	for _, vm := range order {
		role, _, _ := strings.Cut(string(vm), "-")
		s.writeLine("              %s: %s", role, strings.Join(kinds[vm], " > "))
	}
}

// recordTotals adds the number of runs of each kind, as recorded by the
// endpoints, except the runs of the flood.
func (s *session) recordTotals() {
	counts := make(map[string]int)
	for _, r := range s.fleet.Runs("") {
		if !r.Contains(floodMarker) {
			counts[describeRun(r)]++
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		s.writeLine("ran in all    %-40s %d", name, counts[name])
	}
	s.writeLine("seen          keys at endpoints: %d, adapters dropped in use: %d", s.countKeysAtEndpoints(), s.countEvictedInUse())
}

// countKeysAtEndpoints counts the keys and key hashes in the requests that
// reached the endpoints.
func (s *session) countKeysAtEndpoints() int {
	n := 0
	for _, r := range s.fleet.Runs("") {
		text := fmt.Sprint(r.Header, r.Path, r.Body)
		for _, key := range s.keys {
			if strings.Contains(text, key) || strings.Contains(text, string(ident.HashKey(key))) {
				n++
			}
		}
	}
	return n
}

// countEvictedInUse counts the adapters that engines evicted while in use.
func (s *session) countEvictedInUse() int {
	n := 0
	for _, vm := range s.fleet.VMNames("engine-") {
		n += len(s.fleet.Endpoints[vm].Engine.UnloadedInUse())
	}
	return n
}

func (s *session) compareWithGolden(t *testing.T, name string) {
	goldie.New(t, goldie.WithNameSuffix(".txt"), goldie.WithFixtureDir("testdata")).Assert(t, name, []byte(s.transcript.String()))
}

// newNumberingService returns a stand-in for plain services. It responds to GET
// with the path and to any other method with 201 and a sequence number.
func newNumberingService() http.Handler {
	var mu sync.Mutex
	number := 0
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		if r.Method == http.MethodGet {
			_, _ = fmt.Fprintf(w, `{"path":%q}`, r.URL.Path)
			return
		}
		mu.Lock()
		defer mu.Unlock()
		number++
		w.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(w, `{"number":%d}`, number)
	})
}
