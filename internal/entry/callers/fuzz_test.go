package callers

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// engineFields are what an engine reads of a completion; it knows no other
// spelling of the names.
type engineFields struct {
	model     string
	maxTokens int64
	choices   int64
	stream    bool
}

func readAsEngine(t *testing.T, body []byte) engineFields {
	t.Helper()
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		t.Fatalf("the engine gets no JSON object: %q", body)
	}
	out := engineFields{choices: 1}
	read := func(name string, into any) {
		if text, ok := raw[name]; ok && string(text) != "null" {
			if err := json.Unmarshal(text, into); err != nil {
				t.Fatalf("the engine gets %s: %s", name, text)
			}
		}
	}
	read("model", &out.model)
	read("max_tokens", &out.maxTokens)
	read("max_completion_tokens", &out.maxTokens)
	read("stream", &out.stream)
	var n, bestOf int64
	read("n", &n)
	read("best_of", &bestOf)
	out.choices = max(out.choices, n, bestOf)
	return out
}

// FuzzCompletionBody gives the handler bodies of any form: one that is
// admitted runs on the plan's build and costs at least what the engine may
// generate.
func FuzzCompletionBody(f *testing.F) {
	for _, body := range []string{
		`{"model":"syllabus"}`,
		`{"model":"syllabus","max_tokens":9223372036854775807}`,
		`{"model":"syllabus","max_completion_tokens":900000,"MAX_COMPLETION_TOKENS":1}`,
		`{"model":"syllabus","MODEL":"other","max_tokens":3}`,
		`{"MODEL":"syllabus","model":"other"}`,
		`{"model":"syllabus","n":50,"max_tokens":3}`,
		`{"model":"syllabus","n":-3,"best_of":9,"N":1}`,
		`{"model":"syllabus","stream":true,"STREAM":false}`,
		`{"model":"syllabus","max_tokens":-1}`,
		`{"model":"syllabus","max_tokens":null,"n":null}`,
		`{"model":"syllabus","model":"other"}`,
		`[]`, `null`, `{`, ``, "{\"model\":\"syllabus\",\"prompt\":\"\xff\"}",
	} {
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body string) {
		x := newFixture(true)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		x.handler.ServeHTTP(w, r)
		if len(x.dispatcher.requests) == 0 {
			if w.Code < http.StatusBadRequest || w.Header().Get("Hyssop-Ran") != "no" {
				t.Fatalf("not dispatched and answered %d, ran %q", w.Code, w.Header().Get("Hyssop-Ran"))
			}
			return
		}
		req := x.dispatcher.requests[0]
		got := readAsEngine(t, req.Body)
		if got.model != "syllabus@v2" || got.stream != req.Job.Stream {
			t.Fatalf("the engine gets %+v of %q", got, body)
		}
		if got.maxTokens <= 0 || got.maxTokens*got.choices >= req.Job.Cost {
			t.Fatalf("the engine may generate %d × %d tokens at a cost of %d", got.choices, got.maxTokens, req.Job.Cost)
		}
	})
}
