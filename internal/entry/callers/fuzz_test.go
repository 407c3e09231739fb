package callers

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// engineFields holds the fields of a completion as an engine parses them. Unlike
// encoding/json, an engine matches field names with their exact case.
type engineFields struct {
	model     string
	maxTokens int64
	choices   int64
	stream    bool
}

// parseAsEngine parses the body that is sent to the engine.
func parseAsEngine(t *testing.T, body []byte) engineFields {
	t.Helper()
	var raw map[string]json.RawMessage
	if err := json.Unmarshal(body, &raw); err != nil {
		t.Fatalf("engine body %q is not a JSON object", body)
	}
	fields := engineFields{choices: 1}
	parse := func(name string, target any) {
		if text, ok := raw[name]; ok && string(text) != "null" {
			if err := json.Unmarshal(text, target); err != nil {
				t.Fatalf("engine body has invalid field %s: %s", name, text)
			}
		}
	}
	parse("model", &fields.model)
	parse("max_tokens", &fields.maxTokens)
	parse("max_completion_tokens", &fields.maxTokens)
	parse("stream", &fields.stream)
	var n, bestOf int64
	parse("n", &n)
	parse("best_of", &bestOf)
	fields.choices = max(fields.choices, n, bestOf)
	return fields
}

// FuzzCompletionBody sends arbitrary bodies to the handler. A body that is
// admitted must name the plan's build and cost more than the tokens that the
// engine may generate. A body that is refused must not have run.
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
		fixture := newFixture(true)
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+testKey)
		fixture.handler.ServeHTTP(w, r)
		if len(fixture.dispatcher.requests) == 0 {
			if w.Code < http.StatusBadRequest || w.Header().Get("Hyssop-Ran") != "no" {
				t.Fatalf("request not dispatched: response has status %d and Hyssop-Ran %q, want a refusal with Hyssop-Ran no",
					w.Code, w.Header().Get("Hyssop-Ran"))
			}
			return
		}
		req := fixture.dispatcher.requests[0]
		got := parseAsEngine(t, req.Body)
		if got.model != "syllabus@v2" || got.stream != req.Job.Stream {
			t.Fatalf("engine parses %+v of body %q, want model syllabus@v2 and the stream flag of the job", got, body)
		}
		if got.maxTokens <= 0 || got.maxTokens*got.choices >= req.Job.Cost {
			t.Fatalf("engine may generate %d × %d tokens, want at least 1 and fewer than the cost of %d",
				got.choices, got.maxTokens, req.Job.Cost)
		}
	})
}
