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
	"github.com/hyssoptiller/hyssoptiller/internal/entry/running"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/hlc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const testKey = "key-of-smithy"

// fakeDispatcher records what it was given and answers as it is told.
type fakeDispatcher struct {
	requests []dispatch.Request
	answer   func(context.Context, http.ResponseWriter) dispatch.Result
}

func (f *fakeDispatcher) Dispatch(ctx context.Context, req dispatch.Request, w http.ResponseWriter) dispatch.Result {
	f.requests = append(f.requests, req)
	if f.answer != nil {
		return f.answer(ctx, w)
	}
	_, _ = io.WriteString(w, `{"usage":{"total_tokens":7}}`)
	return dispatch.Result{Ran: refusal.RanYes, Body: []byte(`{"usage":{"total_tokens":7}}`)}
}

// fakeLimiter gives every reservation and records what is settled.
type fakeLimiter struct {
	err     error
	settled []int64
}

func (f *fakeLimiter) Reserve(context.Context, config.Tenant, int64) (admission.Grant, error) {
	return f, f.err
}

func (f *fakeLimiter) Settle(used int64) { f.settled = append(f.settled, used) }

type freshness bool

func (f freshness) Fresh() bool { return bool(f) }

type fixture struct {
	dispatcher *fakeDispatcher
	limiter    *fakeLimiter
	running    *running.Index
	ring       *timeline.Ring
	handler    http.Handler
	// laterSnapshot is in force from the second reading on, where it is set.
	laterSnapshot *config.Snapshot
	readings      int
}

func (f *fixture) config() *config.Snapshot {
	f.readings++
	if f.laterSnapshot != nil && f.readings > 1 {
		return f.laterSnapshot
	}
	return testSnapshot()
}

func newFixture(fresh freshness) *fixture {
	f := &fixture{
		dispatcher: &fakeDispatcher{},
		limiter:    &fakeLimiter{},
		running:    running.NewIndex(),
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

func (f *fixture) do(method, path, key, body string, header ...string) *httptest.ResponseRecorder {
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

func TestRefusalsBeforeAnythingRuns(t *testing.T) {
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
		{"too large", "POST", path, testKey, strings.Repeat("x", 1001), 413, refusal.CodeTooLarge},
		{"key in the body", "POST", path, testKey, `{"model":"syllabus","prompt":"` + testKey + `"}`, 400, refusal.CodeBadRequest},
		{"key in the query", "POST", "/services/booking/deposits?k=" + testKey, testKey, "", 400, refusal.CodeBadRequest},
		{"unknown route", "POST", "/services/booking/refunds", testKey, "", 404, refusal.CodeUnknownRoute},
		{"open route by another method", "POST", "/services/booking/hours", testKey, "", 404, refusal.CodeUnknownRoute},
		{"unknown path", "GET", "/v2", testKey, "", 404, refusal.CodeUnknownRoute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(true)
			w := f.do(c.method, c.path, c.key, c.body)
			assertRefusal(t, w, c.status, c.code, refusal.RanNo)
			if len(f.dispatcher.requests) != 0 {
				t.Error("the request was dispatched")
			}
		})
	}
}

func assertRefusal(t *testing.T, w *httptest.ResponseRecorder, status int, code refusal.Code, ran refusal.Ran) {
	t.Helper()
	r, ok := refusal.Parse(w.Code, w.Header(), w.Body.Bytes())
	if !ok {
		t.Fatalf("no refusal: %d %s", w.Code, w.Body)
	}
	if r.Status != status || r.Code != code || r.Ran != ran {
		t.Errorf("got %d %s ran %s, want %d %s ran %s", r.Status, r.Code, r.Ran, status, code, ran)
	}
	if w.Header().Get(HeaderRequestID) != string(r.RequestID) || r.RequestID == "" {
		t.Errorf("request id %q in the header, %q in the body", w.Header().Get(HeaderRequestID), r.RequestID)
	}
}

func TestStaleEntryRefusesKeysButServesOpenRoutes(t *testing.T) {
	f := newFixture(false)
	w := f.do("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusServiceUnavailable, refusal.CodeStale, refusal.RanNo)
	if w.Header().Get("Retry-After") == "" {
		t.Error("no Retry-After")
	}
	if w := f.do("GET", "/services/booking/hours", "", ""); w.Code != http.StatusOK {
		t.Errorf("open route: %d", w.Code)
	}
}

func TestCompletionNamesTheBuildAndTheOrganisation(t *testing.T) {
	f := newFixture(true)
	f.do("POST", "/v1/completions", testKey, `{"model":"syllabus","prompt":"x","max_tokens":2,"temperature":0.5,"priority":-9,"cache_salt":"lima"}`)
	job := f.dispatcher.requests[0].Job
	if job.Organisation != "smithy" || job.Version != "v2" || job.Priority != 3 || job.Weight != 2 || !job.Idempotent {
		t.Errorf("job %+v", job)
	}
	var body struct {
		Model       string  `json:"model"`
		CacheSalt   string  `json:"cache_salt"`
		Priority    int     `json:"priority"`
		Temperature float64 `json:"temperature"`
	}
	if err := json.Unmarshal(f.dispatcher.requests[0].Body, &body); err != nil {
		t.Fatal(err)
	}
	if body.Model != "syllabus@v2" || body.CacheSalt != "smithy" || body.Priority != 3 || body.Temperature != 0.5 {
		t.Errorf("body %+v", body)
	}
}

func TestRequestIDIsTakenUnlessItHoldsTheKey(t *testing.T) {
	f := newFixture(true)
	body := `{"model":"syllabus"}`
	if w := f.do("POST", "/v1/completions", testKey, body, HeaderRequestID, "abc-1"); w.Header().Get(HeaderRequestID) != "abc-1" {
		t.Error("a good id was not taken")
	}
	for _, id := range []string{"x" + testKey, "a b", strings.Repeat("a", 65)} {
		w := f.do("POST", "/v1/completions", testKey, body, HeaderRequestID, id)
		if got := w.Header().Get(HeaderRequestID); got == id || got == "" {
			t.Errorf("id %q gave %q", id, got)
		}
	}
	for _, e := range f.ring.Events() {
		if strings.Contains(string(e.Request)+e.Detail, testKey) {
			t.Errorf("event %+v holds the key", e)
		}
	}
}

func TestChargeFollowsWhatRan(t *testing.T) {
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
			f.dispatcher.answer = func(context.Context, http.ResponseWriter) dispatch.Result { return c.result }
			f.do("POST", "/v1/completions", testKey, `{"model":"syllabus","max_tokens":20}`)
			if len(f.limiter.settled) != 1 || f.limiter.settled[0] != c.want {
				t.Errorf("settled %v, want %d", f.limiter.settled, c.want)
			}
		})
	}
}

func TestLimitIsToldWithItsRetryTime(t *testing.T) {
	f := newFixture(true)
	f.limiter.err = &admission.Limited{RetryAfter: 2500 * time.Millisecond}
	w := f.do("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusTooManyRequests, refusal.CodeRateLimited, refusal.RanNo)
	if got := w.Header().Get("Retry-After"); got != "3" {
		t.Errorf("Retry-After %q, want 3", got)
	}
	f.limiter.err = &admission.Limited{ExceedsBurst: true}
	w = f.do("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusBadRequest, refusal.CodeExceedsBurst, refusal.RanNo)
}

func TestWithdrawnKeyCutsAnOpenStream(t *testing.T) {
	f := newFixture(true)
	f.dispatcher.answer = func(ctx context.Context, w http.ResponseWriter) dispatch.Result {
		_, _ = io.WriteString(w, "data: {}\n\n")
		cut := f.running.Cut(running.ErrKeyWithdrawn, func(ident.KeyHash) bool { return false })
		if cut != 1 || ctx.Err() == nil {
			t.Errorf("cut %d, context error %v", cut, ctx.Err())
		}
		return dispatch.Result{Ran: refusal.RanYes, Broken: true}
	}
	w := f.do("POST", "/v1/completions", testKey, `{"model":"syllabus","stream":true}`)
	if !strings.Contains(w.Body.String(), string(refusal.CodeKeyWithdrawn)) || strings.Contains(w.Body.String(), "[DONE]") {
		t.Errorf("stream %q", w.Body)
	}
	if f.running.Len() != 0 {
		t.Errorf("%d requests left in the index", f.running.Len())
	}
}

func TestKeyWithdrawnBeforeTheRequestIsTracked(t *testing.T) {
	f := newFixture(true)
	f.laterSnapshot = config.NewSnapshot(2, config.Plans{}, config.Allowances{}, nil)
	w := f.do("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
	assertRefusal(t, w, http.StatusUnauthorized, refusal.CodeUnknownKey, refusal.RanNo)
	if len(f.dispatcher.requests) != 0 {
		t.Error("the request was dispatched")
	}
}

func TestWholeAnswerStaysWholeWhenTheKeyGoesAtItsEnd(t *testing.T) {
	f := newFixture(true)
	f.dispatcher.answer = func(_ context.Context, w http.ResponseWriter) dispatch.Result {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
		f.running.Cut(running.ErrKeyWithdrawn, func(ident.KeyHash) bool { return false })
		return dispatch.Result{Ran: refusal.RanYes}
	}
	w := f.do("POST", "/v1/completions", testKey, `{"model":"syllabus","stream":true}`)
	if w.Body.String() != "data: [DONE]\n\n" {
		t.Errorf("stream %q", w.Body)
	}
}

func TestBrokenPlainAnswerIsCutNotCompleted(t *testing.T) {
	f := newFixture(true)
	f.dispatcher.answer = func(_ context.Context, w http.ResponseWriter) dispatch.Result {
		_, _ = io.WriteString(w, `{"choi`)
		return dispatch.Result{Ran: refusal.RanYes, Broken: true}
	}
	defer func() {
		if recover() != http.ErrAbortHandler {
			t.Error("the connection was not cut")
		}
	}()
	f.do("POST", "/v1/completions", testKey, `{"model":"syllabus"}`)
}

func TestModelsListsOnlyThePlan(t *testing.T) {
	f := newFixture(true)
	w := f.do("GET", "/v1/models", testKey, "")
	var list modelList
	if err := json.Unmarshal(w.Body.Bytes(), &list); err != nil {
		t.Fatal(err)
	}
	if len(list.Data) != 1 || list.Data[0].ID != "syllabus" || list.Data[0].Version != "v2" {
		t.Errorf("list %+v", list)
	}
}

func TestNonIdempotentRouteIsMarked(t *testing.T) {
	f := newFixture(true)
	f.do("POST", "/services/booking/deposits?x=1", testKey, "{}", headerIdempotencyKey, "k1")
	f.do("GET", "/services/booking/hours", "", "")
	deposit, hours := f.dispatcher.requests[0].Job, f.dispatcher.requests[1].Job
	if deposit.Idempotent || deposit.IdempotencyKey != "k1" || deposit.Path != "/deposits?x=1" {
		t.Errorf("deposit %+v", deposit)
	}
	if !hours.Idempotent || hours.Organisation != "" {
		t.Errorf("hours %+v", hours)
	}
}

func TestCallerThatStopsSendingItsBodyIsToldInTime(t *testing.T) {
	f := newFixture(true)
	server := httptest.NewServer(f.handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "+testKey+
		"\r\nContent-Length: 100\r\n\r\n{\"model")
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil) // Waits for ever where the server does.
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusBadRequest || resp.Header.Get(refusal.HeaderRan) != string(refusal.RanNo) {
		t.Errorf("status %d, ran %q", resp.StatusCode, resp.Header.Get(refusal.HeaderRan))
	}
}

func TestCallerThatStopsReadingIsLeft(t *testing.T) {
	f := newFixture(true)
	ended := make(chan error, 1)
	f.dispatcher.answer = func(_ context.Context, w http.ResponseWriter) dispatch.Result {
		part := make([]byte, 1<<20)
		for {
			if _, err := w.Write(part); err != nil { // Only a full connection ends this.
				ended <- err
				return dispatch.Result{Ran: refusal.RanYes, Broken: true}
			}
		}
	}
	server := httptest.NewServer(f.handler)
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	body := `{"model":"syllabus"}`
	_, err = fmt.Fprintf(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		testKey, len(body), body)
	if err != nil {
		t.Fatal(err)
	}
	if err := <-ended; !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("ended with %v", err)
	}
}
