package harness

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Call is one request of a caller.
type Call struct {
	Entry          string // VM of the entry.
	Method         string
	Path           string
	Body           string
	Key            string // Empty where no key is shown.
	RequestID      string
	IdempotencyKey string
}

// Answer is what a caller got.
type Answer struct {
	Status  int // 0 where no answer began.
	Header  http.Header
	Body    string
	Err     error // Set where the connection failed, before or within the answer.
	Elapsed time.Duration
}

// Ran returns what a refusal says about the run, else "".
func (a Answer) Ran() refusal.Ran {
	return refusal.Ran(a.Header.Get(refusal.HeaderRan))
}

// Code returns a refusal's code, else "".
func (a Answer) Code() string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(a.Body), &body)
	return body.Error.Code
}

// Whole reports whether the caller got a result that it takes for complete.
func (a Answer) Whole() bool {
	if a.Err != nil || a.Status < http.StatusOK || a.Status >= http.StatusMultipleChoices {
		return false
	}
	if strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream") {
		return strings.HasSuffix(a.Body, "data: [DONE]\n\n")
	}
	return true
}

// Do sends a call on a connection of its own and waits for the whole answer.
func (f *Fleet) Do(ctx context.Context, c Call) Answer {
	start := time.Now()
	header := make(http.Header)
	set(header, "Authorization", "Bearer ", c.Key)
	set(header, "X-Request-Id", "", c.RequestID)
	set(header, "Idempotency-Key", "", c.IdempotencyKey)
	a := f.send(ctx, c.Method, "http://"+c.Entry+":"+portCallers+c.Path, header, c.Body)
	a.Elapsed = time.Since(start)
	return a
}

// Go runs Do in a goroutine; the channel gets the answer.
func (f *Fleet) Go(ctx context.Context, c Call) <-chan Answer {
	out := make(chan Answer, 1)
	go func() { out <- f.Do(ctx, c) }()
	return out
}

func set(h http.Header, name, prefix, value string) {
	if value != "" {
		h.Set(name, prefix+value)
	}
}

func (f *Fleet) send(ctx context.Context, method, url string, header http.Header, body string) Answer {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Answer{Header: http.Header{}, Err: err}
	}
	req.Header = header
	client := http.Transport{DialContext: f.caller.Dial, DisableKeepAlives: true, DisableCompression: true}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return Answer{Header: http.Header{}, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// Operate calls the operators' interface of an entry.
func (f *Fleet) Operate(ctx context.Context, entry, method, path, body string, read config.Revision) Answer {
	header := make(http.Header)
	header.Set("Authorization", "Bearer "+OperatorsToken)
	header.Set("Hyssop-Revision", strconv.FormatUint(uint64(read), 10))
	return f.send(ctx, method, "http://"+entry+":"+portOperators+path, header, body)
}

// ReadList returns a list and its revision through an entry.
func (f *Fleet) ReadList(ctx context.Context, entry string, list config.List) (string, config.Revision, error) {
	a := f.Operate(ctx, entry, http.MethodGet, "/lists/"+string(list), "", 0)
	if a.Err != nil || a.Status != http.StatusOK {
		return "", 0, fmt.Errorf("status %d: %s %w", a.Status, a.Body, a.Err)
	}
	revision, err := strconv.ParseUint(a.Header.Get("Hyssop-Revision"), 10, 64)
	return a.Body, config.Revision(revision), err
}

// Apply replaces a list at the revision that is in force, or ends the test.
func (f *Fleet) Apply(ctx context.Context, entry string, list config.List, text string) {
	f.t.Helper()
	_, revision, err := f.ReadList(ctx, entry, list)
	if err != nil {
		f.t.Fatalf("read %s: %v", list, err)
	}
	a := f.Operate(ctx, entry, http.MethodPut, "/lists/"+string(list), text, revision)
	if a.Status != http.StatusOK {
		f.t.Fatalf("apply %s: status %d %s %v", list, a.Status, a.Body, a.Err)
	}
}

// Grant grants a key to an organisation, or ends the test.
func (f *Fleet) Grant(ctx context.Context, entry string, org ident.Organisation) string {
	f.t.Helper()
	a := f.Operate(ctx, entry, http.MethodPost, "/keys/"+string(org), "", 0)
	var granted struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal([]byte(a.Body), &granted); err != nil || granted.Key == "" {
		f.t.Fatalf("grant: status %d %s %v", a.Status, a.Body, a.Err)
	}
	return granted.Key
}

// Withdraw withdraws a key.
func (f *Fleet) Withdraw(ctx context.Context, entry string, org ident.Organisation, key string) Answer {
	return f.Operate(ctx, entry, http.MethodDelete, "/keys/"+string(org)+"/"+string(ident.HashKey(key)), "", 0)
}

// Occupy sends one job straight to an agent, as an entry would; it holds a
// turn there until its run ends.
func (f *Fleet) Occupy(ctx context.Context, vm string, job wire.Job, body string) {
	client, err := transport.NewClient(transport.Security{Secret: fleetSecret}, nil, f.caller.Dial)
	if err != nil {
		f.t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		client.URL(vm+":"+portFleet, wire.PathRun), bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatal(err)
	}
	job.Encode(req.Header)
	go func() {
		resp, err := client.HTTP.Do(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
	}()
}

// Hold holds the runs that carry marker at a point of every endpoint.
func (f *Fleet) Hold(marker string, at Point) *Hold {
	h := &Hold{marker: marker, point: at, Reached: make(chan struct{}), release: make(chan struct{})}
	for _, e := range f.Endpoints {
		e.addHold(h)
	}
	return h
}

// Runs returns what reached the endpoints under a marker, in order of start.
func (f *Fleet) Runs(marker string) []Run {
	var out []Run
	for _, name := range f.order {
		e, ok := f.Endpoints[name]
		if !ok {
			continue
		}
		for _, r := range e.Runs() {
			if r.Contains(marker) {
				out = append(out, r)
			}
		}
	}
	return out
}
