package callers

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/admission"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/inflight"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const testKey = "key-of-smithy"

// fakeDispatcher records the requests and responds with the function respond, or
// with a completion of 7 tokens if respond is nil.
type fakeDispatcher struct {
	requests []dispatch.Request
	respond  func(context.Context, http.ResponseWriter) dispatch.Result
}

func (f *fakeDispatcher) Dispatch(ctx context.Context, req dispatch.Request, w http.ResponseWriter) dispatch.Result {
	f.requests = append(f.requests, req)
	if f.respond != nil {
		return f.respond(ctx, w)
	}
	_, _ = io.WriteString(w, `{"usage":{"total_tokens":7}}`)
	return dispatch.Result{Ran: refusal.RanYes, Body: []byte(`{"usage":{"total_tokens":7}}`)}
}

// fakeLimiter grants every reservation, unless err is set, and records the settled
// amounts.
type fakeLimiter struct {
	err     error
	settled []int64
}

func (f *fakeLimiter) Reserve(context.Context, config.OrganisationLimits, int64) (admission.Reservation, error) {
	return f, f.err
}

func (f *fakeLimiter) Settle(used int64) { f.settled = append(f.settled, used) }

// freshness is a Freshness with a fixed value.
type freshness bool

func (f freshness) IsFresh() bool { return bool(f) }

// fixture is a callers' handler with its fake dependencies.
type fixture struct {
	dispatcher *fakeDispatcher
	limiter    *fakeLimiter
	running    *inflight.Index
	ring       *timeline.Ring
	handler    http.Handler
	// laterSnapshot replaces the configuration from the second read on, if set.
	laterSnapshot *config.Snapshot
	configReads   int
}

func (f *fixture) config() *config.Snapshot {
	f.configReads++
	if f.laterSnapshot != nil && f.configReads > 1 {
		return f.laterSnapshot
	}
	return testSnapshot()
}

func newFixture(fresh freshness) *fixture {
	f := &fixture{
		dispatcher: &fakeDispatcher{},
		limiter:    &fakeLimiter{},
		running:    inflight.NewIndex(),
		ring:       timeline.NewRing("vm", hlc.New(nil), 64),
	}
	f.handler = NewHandler(Options{
		Config:       f.config,
		Freshness:    fresh,
		Limiter:      f.limiter,
		Dispatcher:   f.dispatcher,
		Running:      f.running,
		Timeline:     f.ring,
		Metrics:      tally.NoopScope,
		MaxBodyBytes: 1000,
		Timeout:      time.Minute,
		BodyTimeout:  50 * time.Millisecond,
		WriteTimeout: 50 * time.Millisecond,
	})
	return f
}

// testSnapshot returns a configuration in which testKey belongs to the
// organisation smithy and another key to an organisation without a plan.
func testSnapshot() *config.Snapshot {
	return config.NewSnapshot(1,
		config.Plans{Plans: []config.PlanEntry{{Organisation: "smithy", Plan: "school", Weight: 2}}},
		config.Allowances{Allowances: []config.Allowance{{
			Plan: "school", TokensPerSecond: 10, Burst: 1000, Priority: 3,
			Adapters: []config.AdapterUse{{Name: "syllabus", Version: "v2", Base: "base"}},
			Services: []config.ServiceUse{{Name: "booking", Routes: []config.Route{
				{Method: "POST", Path: "/deposits"},
				{Method: "GET", Path: "/hours", Idempotent: true, Open: true},
			}}},
		}}},
		[]config.Key{
			{Hash: ident.HashKey(testKey), Organisation: "smithy"},
			{Hash: ident.HashKey("key-without-plan"), Organisation: "gone"},
		})
}

// send sends one request with the key, unless it is empty, and with the header
// given as alternating names and values. It returns the response.
func (f *fixture) send(method, path, key, body string, header ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	f.handler.ServeHTTP(w, req)
	return w
}

func TestInvalidRequestsAreRefusedBeforeDispatch(t *testing.T) {
	const path = "/v1/completions"
	good := `{"model":"syllabus","prompt":"x","max_tokens":2}`
	cases := []struct {
		name, method, path, key, body string
		status                        int
		code                          refusal.Code
	}{
		{"no key", "POST", path, "", good, 401, refusal.CodeMissingKey},
		{"unknown key", "POST", path, "nobody", good, 401, refusal.CodeUnknownKey},
		{"organisation without plan", "POST", path, "key-without-plan", good, 403, refusal.CodeNoPlan},
		{"another model", "POST", path, testKey, `{"model":"other"}`, 404, refusal.CodeUnknownModel},
		{"no JSON", "POST", path, testKey, `model`, 400, refusal.CodeBadRequest},
		{"JSON array", "POST", path, testKey, `[]`, 400, refusal.CodeBadRequest},
		{"no tokens", "POST", path, testKey, `{"model":"syllabus","max_tokens":0}`, 400, refusal.CodeBadRequest},
		{"too large", "POST", path, testKey, strings.Repeat("x", 1001), 413, refusal.CodeRequestTooLarge},
		{"key in the body", "POST", path, testKey, `{"model":"syllabus","prompt":"` + testKey + `"}`, 400, refusal.CodeBadRequest},
		{"key in the query", "POST", "/services/booking/deposits?k=" + testKey, testKey, "", 400, refusal.CodeBadRequest},
		{"unknown route", "POST", "/services/booking/refunds", testKey, "", 404, refusal.CodeUnknownRoute},
		{"open route by another method", "POST", "/services/booking/hours", testKey, "", 404, refusal.CodeUnknownRoute},
		{"unknown path", "GET", "/v2", testKey, "", 404, refusal.CodeUnknownRoute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(true)
			w := f.send(c.method, c.path, c.key, c.body)
			assertRefusal(t, w, c.status, c.code, refusal.RanNo)
			if len(f.dispatcher.requests) != 0 {
				t.Error("request was dispatched, want it refused before")
			}
		})
	}
}

// assertRefusal checks that the response is the refusal described by status, code
// and ran, and that header and body have the same request id.
func assertRefusal(t *testing.T, w *httptest.ResponseRecorder, status int, code refusal.Code, ran refusal.Ran) {
	t.Helper()
	r, ok := refusal.Parse(w.Code, w.Header(), w.Body.Bytes())
	if !ok {
		t.Fatalf("response with status %d and body %s is not a refusal", w.Code, w.Body)
	}
	if r.Status != status || r.Code != code || r.Ran != ran {
		t.Errorf("refusal has status %d, code %s, ran %s; want status %d, code %s, ran %s",
			r.Status, r.Code, r.Ran, status, code, ran)
	}
	if w.Header().Get(HeaderRequestID) != string(r.RequestID) || r.RequestID == "" {
		t.Errorf("request id is %q in the header and %q in the body, want the same non-empty id",
			w.Header().Get(HeaderRequestID), r.RequestID)
	}
}

func TestStaleEntryRefusesKeysButServesOpenRoutes(t *testing.T) {
	f := newFixture(false)
	w := f.send("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusServiceUnavailable, refusal.CodeStaleConfiguration, refusal.RanNo)
	if w.Header().Get("Retry-After") == "" {
		t.Error("refusal has no Retry-After header")
	}
	if w := f.send("GET", "/services/booking/hours", "", ""); w.Code != http.StatusOK {
		t.Errorf("status of the open route is %d, want 200", w.Code)
	}
}

func TestCompletionBodyHasBuildPriorityAndCacheSalt(t *testing.T) {
	f := newFixture(true)
	f.send("POST", "/v1/completions", testKey,
		`{"model":"syllabus","prompt":"x","max_tokens":2,"temperature":0.5,"priority":-9,"cache_salt":"lima"}`)
	job := f.dispatcher.requests[0].Job
	if job.Organisation != "smithy" || job.Version != "v2" || job.Priority != 3 || job.Weight != 2 || !job.Idempotent {
		t.Errorf("job = %+v, want organisation smithy, version v2, priority 3, weight 2, idempotent", job)
	}
	var body struct {
		Model       string  `json:"model"`
		CacheSalt   string  `json:"cache_salt"`
		Priority    int     `json:"priority"`
		Temperature float64 `json:"temperature"`
	}
	if err := json.Unmarshal(f.dispatcher.requests[0].Body, &body); err != nil {
		t.Fatal("unmarshal the body of the dispatched request:", err)
	}
	if body.Model != "syllabus@v2" || body.CacheSalt != "smithy" || body.Priority != 3 || body.Temperature != 0.5 {
		t.Errorf("engine body = %+v, want model syllabus@v2, cache salt smithy, priority 3, temperature 0.5", body)
	}
}

func TestRequestIDIsKeptUnlessMalformedOrContainingTheKey(t *testing.T) {
	f := newFixture(true)
	body := `{"model":"syllabus"}`
	if w := f.send("POST", "/v1/completions", testKey, body, HeaderRequestID, "abc-1"); w.Header().Get(HeaderRequestID) != "abc-1" {
		t.Error("valid request id abc-1 was replaced")
	}
	for _, id := range []string{"x" + testKey, "a b", strings.Repeat("a", 65)} {
		w := f.send("POST", "/v1/completions", testKey, body, HeaderRequestID, id)
		if got := w.Header().Get(HeaderRequestID); got == id || got == "" {
			t.Errorf("request id %q was returned as %q, want a generated id", id, got)
		}
	}
	for _, e := range f.ring.Events() {
		if strings.Contains(string(e.Request)+e.Detail, testKey) {
			t.Errorf("event %+v contains the key", e)
		}
	}
}

func TestChargeDependsOnWhetherTheRequestRan(t *testing.T) {
	cost := promptTokens([]byte(`{"model":"syllabus","max_tokens":20}`)) + 20
	cases := []struct {
		name   string
		result dispatch.Result
		want   int64
	}{
		{"counted by the engine", dispatch.Result{Ran: refusal.RanYes, Body: []byte(`{"usage":{"total_tokens":9}}`)}, 9},
		{"no usage", dispatch.Result{Ran: refusal.RanYes, Body: []byte(`{}`)}, cost},
		{"not run", dispatch.Result{Ran: refusal.RanNo, Refusal: badRequest("")}, 0},
		{"unknown", dispatch.Result{Ran: refusal.RanUnknown, Refusal: badRequest("")}, cost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(true)
			f.dispatcher.respond = func(context.Context, http.ResponseWriter) dispatch.Result { return c.result }
			f.send("POST", "/v1/completions", testKey, `{"model":"syllabus","max_tokens":20}`)
			if len(f.limiter.settled) != 1 || f.limiter.settled[0] != c.want {
				t.Errorf("settled amounts = %v, want only %d", f.limiter.settled, c.want)
			}
		})
	}
}

func TestRateLimitRefusalHasRetryAfter(t *testing.T) {
	f := newFixture(true)
	f.limiter.err = &admission.Limited{RetryAfter: 2500 * time.Millisecond}
	w := f.send("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusTooManyRequests, refusal.CodeRateLimited, refusal.RanNo)
	if got := w.Header().Get("Retry-After"); got != "3" {
		t.Errorf("Retry-After = %q, want 3 for a wait of 2.5 s", got)
	}
	f.limiter.err = &admission.Limited{ExceedsBurst: true}
	w = f.send("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusBadRequest, refusal.CodeExceedsBurst, refusal.RanNo)
}

func TestWithdrawnKeyAbortsAnOpenStream(t *testing.T) {
	f := newFixture(true)
	f.dispatcher.respond = func(ctx context.Context, w http.ResponseWriter) dispatch.Result {
		_, _ = io.WriteString(w, "data: {}\n\n")
		cancelled := f.running.Cancel(inflight.ErrKeyWithdrawn, func(ident.KeyHash) bool { return false })
		if cancelled != 1 || ctx.Err() == nil {
			t.Errorf("Cancel() = %d with context error %v, want 1 request cancelled", cancelled, ctx.Err())
		}
		return dispatch.Result{Ran: refusal.RanYes, Incomplete: true}
	}
	w := f.send("POST", "/v1/completions", testKey, `{"model":"syllabus","stream":true}`)
	if !strings.Contains(w.Body.String(), string(refusal.CodeKeyWithdrawn)) || strings.Contains(w.Body.String(), "[DONE]") {
		t.Errorf("stream is %q, want the error key_withdrawn and no end mark", w.Body)
	}
	if f.running.Len() != 0 {
		t.Errorf("index of running requests has %d entries after the request, want 0", f.running.Len())
	}
}

// The key is withdrawn after authentication and before the request is in the index
// of running requests, so the withdrawal does not cancel the request.
func TestKeyWithdrawnBeforeTrackingIsRefused(t *testing.T) {
	f := newFixture(true)
	f.laterSnapshot = config.NewSnapshot(2, config.Plans{}, config.Allowances{}, nil)
	w := f.send("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusUnauthorized, refusal.CodeUnknownKey, refusal.RanNo)
	if len(f.dispatcher.requests) != 0 {
		t.Error("request was dispatched, want it refused before")
	}
}

func TestWholeResponseIsKeptWhenTheKeyIsWithdrawnAtItsEnd(t *testing.T) {
	f := newFixture(true)
	f.dispatcher.respond = func(_ context.Context, w http.ResponseWriter) dispatch.Result {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		f.running.Cancel(inflight.ErrKeyWithdrawn, func(ident.KeyHash) bool { return false })
		return dispatch.Result{Ran: refusal.RanYes}
	}
	w := f.send("POST", "/v1/completions", testKey, `{"model":"syllabus","stream":true}`)
	if w.Body.String() != "data: [DONE]\n\n" {
		t.Errorf("stream is %q, want only the end mark", w.Body)
	}
}

func TestBrokenNonStreamResponseClosesTheConnection(t *testing.T) {
	f := newFixture(true)
	f.dispatcher.respond = func(_ context.Context, w http.ResponseWriter) dispatch.Result {
		_, _ = io.WriteString(w, `{"choi`)
		return dispatch.Result{Ran: refusal.RanYes, Incomplete: true}
	}
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("handler did not panic with http.ErrAbortHandler, which closes the connection")
		}
	}()
	f.send("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
}

func TestModelsListsOnlyTheAdaptersOfThePlan(t *testing.T) {
	f := newFixture(true)
	w := f.send("GET", "/v1/models", testKey, "")
	var list modelList
	if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil {
		t.Fatal("unmarshal the list of models:", err)
	}
	if len(list.Data) != 1 || list.Data[0].ID != "syllabus" || list.Data[0].Version != "v2" {
		t.Errorf("model list = %+v, want only syllabus in version v2", list)
	}
}

func TestServiceJobHasIdempotencyAndQueryOfTheCall(t *testing.T) {
	f := newFixture(true)
	f.send("POST", "/services/booking/deposits?x=1", testKey, "{}", headerIdempotencyKey, "k1")
	f.send("GET", "/services/booking/hours", "", "")
	deposit, hours := f.dispatcher.requests[0].Job, f.dispatcher.requests[1].Job
	if deposit.Idempotent || deposit.IdempotencyKey != "k1" || deposit.Path != "/deposits?x=1" {
		t.Errorf("deposit job = %+v, want it not idempotent, with key k1 and path /deposits?x=1", deposit)
	}
	if !hours.Idempotent || hours.Organisation != "" {
		t.Errorf("hours job = %+v, want it idempotent and without an organisation", hours)
	}
}

// The caller sends 7 of 100 body bytes and waits for the response. A server that
// waits for the remaining body before it sends the refusal blocks both.
func TestCallerThatStopsSendingItsBodyIsRefused(t *testing.T) {
	f := newFixture(true)
	server := httptest.NewServer(f.handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal("dial the server:", err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 100\r\n\r\n{\"model")
	if err != nil {
		t.Fatal("send an incomplete request:", err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil) // Blocks for ever if the server waits for the body.
	if err != nil {
		t.Fatal("read the response:", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || resp.Header.Get(refusal.HeaderRan) != string(refusal.RanNo) {
		t.Errorf("refusal has status %d and Hyssop-Ran %q, want 400 and no",
			resp.StatusCode, resp.Header.Get(refusal.HeaderRan))
	}
}

// The caller never reads, so the connection's buffers fill up and writes block
// until the write deadline.
func TestWriteToCallerThatStopsReadingTimesOut(t *testing.T) {
	f := newFixture(true)
	writeErr := make(chan error, 1)
	f.dispatcher.respond = func(_ context.Context, w http.ResponseWriter) dispatch.Result {
		part := make([]byte, 1<<20)
		for {
			if _, err := w.Write(part); err != nil { // Fails only at the write deadline of a full connection.
				writeErr <- err
				return dispatch.Result{Ran: refusal.RanYes, Incomplete: true}
			}
		}
	}
	server := httptest.NewServer(f.handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal("dial the server:", err)
	}
	defer conn.Close()
	body := `{"model":"syllabus"}`
	_, err = fmt.Fprintf(conn,
		"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body)
	if err != nil {
		t.Fatal("send the request:", err)
	}
	if err := <-writeErr; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("write error is %v, want os.ErrDeadlineExceeded", err)
	}
}
