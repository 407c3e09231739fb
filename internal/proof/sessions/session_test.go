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
	settleTime = 5 * time.Second
	partTime   = 30 * time.Second
	// floodMarker is in the marker of requests that are counted, not listed.
	floodMarker = "flood-"
)

// day is one session with its transcript.
type day struct {
	t     *testing.T
	f     *harness.Fleet
	start time.Time
	keys  map[string]string // By name of the key.

	text strings.Builder // The transcript, written by the test's goroutine only.

	mu   sync.Mutex
	sent int
}

func newDay(t *testing.T, opts harness.Options) *day {
	return &day{t: t, f: harness.Start(t, opts), start: time.Now(), keys: make(map[string]string)}
}

// add writes a line. Lines bear no time of their own: the processes' random
// choices move answers by some milliseconds.
func (d *day) add(format string, args ...any) {
	fmt.Fprintf(&d.text, format+"\n", args...)
}

// part begins a part of the day at the next full half minute.
func (d *day) part(title string) {
	passed := time.Since(d.start)
	time.Sleep(passed.Truncate(partTime) + partTime - passed)
	if d.text.Len() > 0 {
		d.text.WriteString("\n")
	}
	clock := time.Time{}.Add(time.Since(d.start)).Format(time.TimeOnly)
	fmt.Fprintf(&d.text, "== %s %s\n", clock, title)
}

// held waits until a run is held.
func (d *day) held(h *harness.Hold) {
	d.t.Helper()
	if !h.WaitReached() {
		d.t.Error("no run came to the hold")
	}
}

// operator notes what an operator did and got.
func (d *day) operator(what string, a harness.Response) {
	d.add("operator      %-58s -> %s", what, operatorAnswer(a))
}

func operatorAnswer(a harness.Response) string {
	if a.Err != nil {
		return "no answer"
	}
	return fmt.Sprint(a.Status)
}

// request is what a caller asks for.
type request struct {
	who    string // Name of the caller, for the transcript.
	key    string // Name of the key; empty where none is shown.
	what   string // In words.
	marker string // Unique; the endpoints see it.
	entry  string
	method string
	path   string
	body   string
	idem   string // Idempotency-Key, empty where none.
}

func completion(who, key, adapter, marker, what string, tokens int, stream bool) request {
	return request{
		who: who, key: key, what: what, marker: marker, entry: "entry-1", method: http.MethodPost, path: "/v1/completions",
		body: fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"prompt":%q}`, adapter, tokens, stream, marker),
	}
}

func post(who, key, service, path, marker, what, idem string) request {
	return request{
		who: who, key: key, what: what, marker: marker, entry: "entry-1", method: http.MethodPost,
		path: "/services/" + service + path, body: fmt.Sprintf(`{"marker":%q}`, marker), idem: idem,
	}
}

func get(who, key, service, path, marker, what string) request {
	return request{
		who: who, key: key, what: what, marker: marker, entry: "entry-1", method: http.MethodGet,
		path: "/services/" + service + path + "?marker=" + marker,
	}
}

func (r request) at(entry string) request {
	r.entry = entry
	return r
}

// do sends a request and notes the answer and what ran.
func (d *day) do(r request) harness.Response {
	return d.begin(r)()
}

// begin sends a request and returns a function that waits for its answer and
// notes it.
func (d *day) begin(r request) func() harness.Response {
	before := len(d.f.Runs(r.marker))
	done := make(chan harness.Response, 1)
	go func() { done <- d.send(r) }()
	return func() harness.Response {
		a := <-done
		d.note(r, a, before)
		return a
	}
}

func (d *day) send(r request) harness.Response {
	d.mu.Lock()
	d.sent++
	id := fmt.Sprintf("r-%s-%d", r.marker, d.sent)
	d.mu.Unlock()
	return d.f.Do(context.Background(), harness.Call{
		Entry: r.entry, Method: r.method, Path: r.path, Body: r.body, Key: d.keys[r.key], RequestID: id, IdempotencyKey: r.idem,
	})
}

func (d *day) note(r request, a harness.Response, before int) {
	d.add("%-13s %-58s -> %s; %s", r.who, r.what+" at "+r.entry, answerText(a), d.ranText(r, before))
}

func answerText(a harness.Response) string {
	switch {
	case a.IsComplete():
		return fmt.Sprintf("%d whole", a.Status)
	case a.RanHeader() != "":
		text := fmt.Sprintf("%d %s, ran %s", a.Status, a.ErrorCode(), a.RanHeader())
		if wait := a.Header.Get("Retry-After"); wait != "" {
			text += ", come back in " + wait + " s"
		}
		return text
	case a.Err != nil:
		return "connection lost"
	default:
		return fmt.Sprintf("%d begun, then an error event", a.Status)
	}
}

// ranText says what ran for a request since it was sent.
func (d *day) ranText(r request, before int) string {
	runs := d.f.Runs(r.marker)[before:]
	if len(runs) == 0 {
		return "nothing ran"
	}
	var parts []string
	for _, run := range runs {
		parts = append(parts, "ran "+whatRan(run))
	}
	return strings.Join(parts, ", ")
}

func whatRan(r harness.Run) string {
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

// story notes the events of a request as an operator reads them, process by
// process: what two processes do at once has no order.
func (d *day) story(title, marker string) {
	a := d.f.CallOperators(context.Background(), "entry-1", http.MethodGet, "/timeline?limit=2000", "", 0)
	var g timeline.Gathered
	if err := json.Unmarshal([]byte(a.Body), &g); err != nil {
		d.t.Errorf("timeline: %v", err)
		return
	}
	var order []ident.VM
	kinds := make(map[ident.VM][]string)
	for _, e := range g.Events {
		if !strings.HasPrefix(string(e.Request), "r-"+marker+"-") {
			continue
		}
		if kinds[e.VM] == nil {
			order = append(order, e.VM)
		}
		kinds[e.VM] = append(kinds[e.VM], strings.TrimSpace(fmt.Sprintf("%s %s", e.Kind, e.Detail)))
	}
	d.add("time line     %s", title)
	for _, vm := range order {
		role, _, _ := strings.Cut(string(vm), "-")
		d.add("              %s: %s", role, strings.Join(kinds[vm], " > "))
	}
}

// totals notes what ran over the whole day, from the endpoints' record.
func (d *day) totals() {
	counts := make(map[string]int)
	for _, r := range d.f.Runs("") {
		if !r.Contains(floodMarker) {
			counts[whatRan(r)]++
		}
	}
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		d.add("ran in all    %-40s %d", name, counts[name])
	}
	d.add("seen          keys at endpoints: %d, adapters dropped in use: %d", d.keysSeen(), d.evicted())
}

func (d *day) keysSeen() int {
	n := 0
	for _, r := range d.f.Runs("") {
		text := fmt.Sprint(r.Header, r.Path, r.Body)
		for _, key := range d.keys {
			if strings.Contains(text, key) || strings.Contains(text, string(ident.HashKey(key))) {
				n++
			}
		}
	}
	return n
}

func (d *day) evicted() int {
	n := 0
	for _, vm := range d.f.VMNames("engine-") {
		n += len(d.f.Endpoints[vm].Engine.EvictedInUse())
	}
	return n
}

func (d *day) check(t *testing.T, name string) {
	goldie.New(t, goldie.WithNameSuffix(".txt"), goldie.WithFixtureDir("testdata")).Assert(t, name, []byte(d.text.String()))
}

// paperwork stands in for plain services: it numbers what is posted and
// answers a GET with a text.
func paperwork() http.Handler {
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
