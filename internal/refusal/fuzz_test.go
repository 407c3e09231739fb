package refusal

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// FuzzParse parses arbitrary responses. A response that is accepted as a refusal
// has a valid value of Ran and keeps Ran and Code after Write and Parse.
func FuzzParse(f *testing.F) {
	f.Add(503, "no", "2", `{"error":{"type":"unavailable_error","code":"no_endpoint","message":"m","request_id":"r","ran":"no"}}`)
	f.Add(200, "no", "", `{}`)
	f.Add(503, "maybe", "-1", `{"error":{"code":"x"}}`)
	f.Add(429, "yes", "99999999999999999999", `{"error":{"code":"x","ran":"no"}}`)
	f.Add(503, "unknown", "9223372036854775807", `{"error":{"code":"x"}}`)
	f.Fuzz(func(t *testing.T, status int, ran, retryAfter, body string) {
		if status < 100 || status > 999 {
			return
		}
		h := http.Header{}
		h.Set(HeaderRan, ran)
		h.Set("Retry-After", retryAfter)
		r, ok := Parse(status, h, []byte(body))
		if !ok {
			return
		}
		if r.Ran != RanNo && r.Ran != RanYes && r.Ran != RanUnknown {
			t.Fatalf("Parse() accepted Ran %q, want no, yes or unknown", r.Ran)
		}
		if r.RetryAfter < 0 {
			t.Fatalf("Parse() returned RetryAfter %s, want at least 0", r.RetryAfter)
		}
		w := httptest.NewRecorder()
		r.Write(w)
		parsed, ok := Parse(w.Code, w.Header(), w.Body.Bytes())
		if !ok || parsed.Ran != r.Ran || parsed.Code != r.Code {
			t.Fatalf("Parse() after Write of %+v = %+v, %t; want Ran %s and Code %s", r, parsed, ok, r.Ran, r.Code)
		}
	})
}
