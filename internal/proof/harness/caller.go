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

// Call is one request from a caller.
type Call struct {
	Entry          string // VM of the entry that receives the request.
	Method         string
	Path           string
	Body           string
	Key            string // API key; empty to send no Authorization header.
	RequestID      string
	IdempotencyKey string
}

// Response is the response that a caller received.
type Response struct {
	Status  int // 0 if the connection failed before the status line.
	Header  http.Header
	Body    string
	Err     error         // Set if the connection failed before or during the response.
	Elapsed time.Duration // From sending the request to the end of the response.
}

// RanHeader returns the Hyssop-Ran header, in which a refusal states whether the
// request ran, or "" if it is missing.
func (r Response) RanHeader() refusal.Ran {
	return refusal.Ran(r.Header.Get(refusal.HeaderRan))
}

// ErrorCode returns the error code in the body of a refusal, or "".
func (r Response) ErrorCode() string {
	var body struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	_ = json.Unmarshal([]byte(r.Body), &body)
	return body.Error.Code
}

// IsComplete reports whether a caller would accept the response as a complete
// result: a 2xx status, no connection error and, for an event stream, the
// final [DONE] event.
func (r Response) IsComplete() bool {
	if r.Err != nil || r.Status < http.StatusOK || r.Status >= http.StatusMultipleChoices {
		return false
	}
	if strings.HasPrefix(r.Header.Get("Content-Type"), "text/event-stream") {
		return strings.HasSuffix(r.Body, "data: [DONE]\n\n")
	}
	return true
}

// Do sends a call on its own connection and waits for the end of the response.
func (f *Fleet) Do(ctx context.Context, c Call) Response {
	start := time.Now()
	header := make(http.Header)
	setHeader(header, "Authorization", "Bearer ", c.Key)
	setHeader(header, "X-Request-Id", "", c.RequestID)
	setHeader(header, "Idempotency-Key", "", c.IdempotencyKey)
	resp := f.send(ctx, c.Method, "http://"+c.Entry+":"+portCallers+c.Path, header, c.Body)
	resp.Elapsed = time.Since(start)
	return resp
}

// DoAsync runs Do in a goroutine and sends the response to the returned channel.
func (f *Fleet) DoAsync(ctx context.Context, c Call) <-chan Response {
	out := make(chan Response, 1)
	go func() { out <- f.Do(ctx, c) }()
	return out
}

// setHeader sets a header to prefix and value unless value is empty.
func setHeader(h http.Header, name, prefix, value string) {
	if value != "" {
		h.Set(name, prefix+value)
	}
}

func (f *Fleet) send(ctx context.Context, method, url string, header http.Header, body string) Response {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return Response{Header: http.Header{}, Err: err}
	}
	req.Header = header
	client := http.Transport{DialContext: f.callerHost.Dial, DisableKeepAlives: true, DisableCompression: true}
	resp, err := client.RoundTrip(req)
	if err != nil {
		return Response{Header: http.Header{}, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: string(data), Err: err}
}

// CallOperators sends a request to the operators' interface of an entry. An
// edit is based on the given list revision.
func (f *Fleet) CallOperators(ctx context.Context, entry, method, path, body string, revision config.Revision) Response {
	header := make(http.Header)
	header.Set("Authorization", "Bearer "+OperatorsToken)
	header.Set("Hyssop-Revision", strconv.FormatUint(uint64(revision), 10))
	return f.send(ctx, method, "http://"+entry+":"+portOperators+path, header, body)
}

// ReadList reads a list and its revision through an entry.
func (f *Fleet) ReadList(ctx context.Context, entry string, list config.List) (string, config.Revision, error) {
	resp := f.CallOperators(ctx, entry, http.MethodGet, "/lists/"+string(list), "", 0)
	if resp.Err != nil || resp.Status != http.StatusOK {
		return "", 0, fmt.Errorf("read list: status %d, want 200, body %q: %w", resp.Status, resp.Body, resp.Err)
	}
	revision, err := strconv.ParseUint(resp.Header.Get("Hyssop-Revision"), 10, 64)
	return resp.Body, config.Revision(revision), err
}

// ReplaceList replaces a list at its current revision. It ends the test on
// failure.
func (f *Fleet) ReplaceList(ctx context.Context, entry string, list config.List, text string) {
	f.t.Helper()
	_, revision, err := f.ReadList(ctx, entry, list)
	if err != nil {
		f.t.Fatalf("ReadList(%s): %v", list, err)
	}
	resp := f.CallOperators(ctx, entry, http.MethodPut, "/lists/"+string(list), text, revision)
	if resp.Status != http.StatusOK {
		f.t.Fatalf("replace list %s: status %d, want 200, body %q, error %v", list, resp.Status, resp.Body, resp.Err)
	}
}

// GrantKey grants a key to an organisation and returns it. It ends the test on
// failure.
func (f *Fleet) GrantKey(ctx context.Context, entry string, org ident.Organisation) string {
	f.t.Helper()
	resp := f.CallOperators(ctx, entry, http.MethodPost, "/keys/"+string(org), "", 0)
	var granted struct {
		Key string `json:"key"`
	}
	if err := json.Unmarshal([]byte(resp.Body), &granted); err != nil || granted.Key == "" {
		f.t.Fatalf("grant key: status %d, body %q, request error %v, want a key in the body", resp.Status, resp.Body, resp.Err)
	}
	return granted.Key
}

// WithdrawKey withdraws an organisation's key through an entry.
func (f *Fleet) WithdrawKey(ctx context.Context, entry string, org ident.Organisation, key string) Response {
	return f.CallOperators(ctx, entry, http.MethodDelete, "/keys/"+string(org)+"/"+string(ident.HashKey(key)), "", 0)
}

// SendJob sends one job directly to an agent, as an entry does, without waiting
// for the response. The job keeps its grant at the agent until its run ends.
func (f *Fleet) SendJob(ctx context.Context, vm string, job wire.Job, body string) {
	client, err := transport.NewClient(transport.Security{Secret: fleetSecret}, nil, f.callerHost.Dial)
	if err != nil {
		f.t.Fatalf("SendJob(%s): create the fleet client: %v", vm, err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost,
		client.URL(vm+":"+portFleet, wire.PathRun), bytes.NewReader([]byte(body)))
	if err != nil {
		f.t.Fatalf("SendJob(%s): create the request: %v", vm, err)
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

// HoldRuns holds the runs that carry marker at the given point, on every
// endpoint.
func (f *Fleet) HoldRuns(marker string, at HoldPoint) *Hold {
	h := &Hold{marker: marker, point: at, Reached: make(chan struct{}), released: make(chan struct{})}
	for _, e := range f.Endpoints {
		e.addHold(h)
	}
	return h
}

// Runs returns the runs that carry marker. They are ordered by the start order
// of their VMs, then by arrival.
func (f *Fleet) Runs(marker string) []Run {
	var out []Run
	for _, name := range f.startOrder {
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
