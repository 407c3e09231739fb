package refusal

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestParseReturnsTheWrittenRefusal(t *testing.T) {
	for code := range codeMappings {
		for _, ran := range []Ran{RanNo, RanYes, RanUnknown} {
			sent := New(code, ran, "why").WithRetryAfter(1500 * time.Millisecond)
			sent.RequestID = "r1"
			w := httptest.NewRecorder()
			sent.Write(w)
			got, ok := Parse(w.Code, w.Header(), w.Body.Bytes())
			if !ok {
				t.Fatalf("Parse() rejects the refusal %s with body %s", code, w.Body)
			}
			want := *sent
			want.RetryAfter = 2 * time.Second // Write rounds up to whole seconds.
			if *got != want {
				t.Errorf("Parse() = %+v, want %+v", *got, want)
			}
		}
	}
}

func TestEveryCodeHasAnErrorStatusAndAType(t *testing.T) {
	for code, m := range codeMappings {
		if m.status < http.StatusBadRequest || m.typ == "" {
			t.Errorf("code %s has status %d and type %q, want at least 400 and a type", code, m.status, m.typ)
		}
	}
}

func TestOnlyUnavailableRequestsThatDidNotRunAreRetryable(t *testing.T) {
	cases := []struct {
		refusal *Refusal
		want    bool
	}{
		{New(CodeEndpointBusy, RanNo, ""), true},
		{New(CodeEndpointFailed, RanNo, ""), true},
		{New(CodeEndpointFailed, RanUnknown, ""), false},
		{New(CodeEndpointFailed, RanYes, ""), false},
		{New(CodeBadRequest, RanNo, ""), false},
		{New(CodeIdempotencyKeyReused, RanNo, ""), false},
	}
	for _, c := range cases {
		if got := c.refusal.Retryable(); got != c.want {
			t.Errorf("Retryable() of %v = %t, want %t", c.refusal, got, c.want)
		}
	}
}

func TestParseRejectsResponsesThatAreNotRefusals(t *testing.T) {
	validHeader := http.Header{HeaderRan: {"no"}}
	for name, c := range map[string]struct {
		header http.Header
		body   string
	}{
		"no header":      {http.Header{}, `{"error":{"code":"x"}}`},
		"another value":  {http.Header{HeaderRan: {"perhaps"}}, `{"error":{"code":"x"}}`},
		"no JSON":        {validHeader, `oops`},
		"no code":        {validHeader, `{"error":{}}`},
		"another object": {validHeader, `{"deposit":1}`},
	} {
		if _, ok := Parse(http.StatusBadGateway, c.header, []byte(c.body)); ok {
			t.Errorf("Parse() accepted a response with %s, want it rejected", name)
		}
	}
}
