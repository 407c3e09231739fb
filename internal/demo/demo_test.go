package demo

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/process"
)

// start runs a demo fleet that records requests, on free ports until the test ends.
func start(t testing.TB) *Demo {
	t.Helper()
	return startWith(t, Options{RecordRequests: true})
}

// startWith runs a demo fleet with opts, on free ports until the test ends.
func startWith(t testing.TB, opts Options) *Demo {
	t.Helper()
	opts.Callers = []string{loopbackFreePort, loopbackFreePort}
	opts.Operators = loopbackFreePort
	opts.Log = process.NewLogger(io.Discard, logrus.ErrorLevel, "demo-test")
	d, err := New(opts)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- d.Serve(ctx) }()
	t.Cleanup(func() {
		stop()
		<-done
	})
	if err := d.WaitReady(ctx); err != nil {
		t.Fatal(err)
	}
	return d
}

// post sends body with key and returns the status and the body of the response.
func post(t testing.TB, url, key, body string) (int, string) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, string(data)
}

func TestCompletionRunsOnBuildOfThePlan(t *testing.T) {
	d := start(t)
	for _, address := range d.CallersAddresses() {
		status, body := post(t, "http://"+address+"/v1/chat/completions", "demo-smithy",
			`{"model":"syllabus","max_tokens":3,"messages":[]}`)
		if status != http.StatusOK || !strings.Contains(body, "syllabus@v1") {
			t.Errorf("entry %s: status %d, body %s, want status 200 and a response of syllabus@v1", address, status, body)
		}
	}
}

func TestStreamEndsWithDone(t *testing.T) {
	d := start(t)
	status, body := post(t, "http://"+d.CallersAddresses()[0]+"/v1/completions", "demo-lima",
		`{"model":"leak-brief","max_tokens":3,"stream":true,"prompt":"x"}`)
	if status != http.StatusOK || !strings.HasSuffix(body, "data: [DONE]\n\n") {
		t.Errorf("status %d, body %q, want status 200 and a stream that ends with [DONE]", status, body)
	}
}

func TestKeysAreNotForwardedToEndpoints(t *testing.T) {
	d := start(t)
	base := "http://" + d.CallersAddresses()[0]
	post(t, base+"/v1/completions", "demo-lima", `{"model":"leak-brief","max_tokens":1,"prompt":"x"}`)
	post(t, base+"/services/booking/deposits", "demo-smithy", `{"amount":5}`)
	for _, e := range d.Engines {
		for _, run := range e.Runs() {
			assertNoKey(t, run.Header)
		}
	}
	if len(d.Booking.Deposits()) != 1 {
		t.Fatalf("deposits = %v, want exactly one", d.Booking.Deposits())
	}
	assertNoKey(t, d.Booking.Deposits()[0].Header)
}

// assertNoKey checks that no header contains a key of a caller.
func assertNoKey(t *testing.T, h http.Header) {
	t.Helper()
	for name, values := range h {
		if strings.Contains(strings.Join(values, " "), "demo-smithy") || strings.Contains(strings.Join(values, " "), "demo-lima") {
			t.Errorf("header %s that reached an endpoint contains a key of a caller", name)
		}
	}
}
