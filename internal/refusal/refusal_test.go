package refusal

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

func TestWrittenRefusalIsReadBack(t *testing.T) {
	for code := range meanings {
		for _, ran := range []Ran{RanNo, RanYes, RanUnknown} {
			sent := New(code, ran, "why").After(1500 * time.Millisecond)
			sent.RequestID = "r1"
			w := httptest.NewRecorder()
			sent.Write(w)
			got, ok := Parse(w.Code, w.Header(), w.Body.Bytes())
			if !ok {
				t.Fatalf("%s: not read back: %s", code, w.Body)
			}
			want := *sent
			want.RetryAfter = 2 * time.Second // Whole seconds, rounded up.
			if *got != want {
				t.Errorf("got %+v, want %+v", *got, want)
			}
		}
	}
}

func TestEveryCodeHasAStatusOfItsKind(t *testing.T) {
	for code, m := range meanings {
		if m.status < http.StatusBadRequest || m.kind == "" {
			t.Errorf("%s: status %d, type %q", code, m.status, m.kind)
		}
	}
}

func TestOnlyAPromiseThatNothingRanMayGoElsewhere(t *testing.T) {
	cases := []struct {
		refusal *Refusal
		want    bool
	}{
		{New(CodeEndpointBusy, RanNo, ""), true},
		{New(CodeEndpointFailed, RanNo, ""), true},
		{New(CodeEndpointFailed, RanUnknown, ""), false},
		{New(CodeEndpointFailed, RanYes, ""), false},
		{New(CodeBadRequest, RanNo, ""), false},
		{New(CodeKeyReused, RanNo, ""), false},
	}
	for _, c := range cases {
		if got := c.refusal.Retryable(); got != c.want {
			t.Errorf("%v: retryable %t, want %t", c.refusal, got, c.want)
		}
	}
}

func TestForeignAnswersAreNoRefusals(t *testing.T) {
	marked := http.Header{HeaderRan: {"no"}}
	for name, c := range map[string]struct {
		header http.Header
		body   string
	}{
		"no header":      {http.Header{}, `{"error":{"code":"x"}}`},
		"another value":  {http.Header{HeaderRan: {"perhaps"}}, `{"error":{"code":"x"}}`},
		"no JSON":        {marked, `oops`},
		"no code":        {marked, `{"error":{}}`},
		"another object": {marked, `{"deposit":1}`},
	} {
		if _, ok := Parse(http.StatusBadGateway, c.header, []byte(c.body)); ok {
			t.Errorf("%s was read as a refusal", name)
		}
	}
}
