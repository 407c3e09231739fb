package refusal

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// FuzzParse reads answers of any form: what is accepted as a refusal says one
// of the three values of ran and is written and read back alike.
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
			t.Fatalf("ran %q", r.Ran)
		}
		if r.RetryAfter < 0 {
			t.Fatalf("come back in %s", r.RetryAfter)
		}
		w := httptest.NewRecorder()
		r.Write(w)
		again, ok := Parse(w.Code, w.Header(), w.Body.Bytes())
		if !ok || again.Ran != r.Ran || again.Code != r.Code {
			t.Fatalf("%+v was read back as %+v", r, again)
		}
	})
}
