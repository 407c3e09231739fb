package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	engineapi "github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// completion is the body of a request, as far as the stand-in uses it.
type completion struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
}

// complete runs a completion request. It responds with 404 if the model is not loaded.
func (s *Server) complete(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var c completion
	if err := json.Unmarshal(body, &c); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if c.MaxTokens <= 0 {
		c.MaxTokens = defaultMaxTokens
	}
	run, bootCtx, ok := s.startRun(r, c, body)
	if !ok {
		writeJSON(w, http.StatusNotFound, errorBody("model not loaded: "+c.Model))
		return
	}
	defer s.endRun(c.Model, bootCtx)
	if s.opts.CrashMarker != "" && strings.Contains(string(body), s.opts.CrashMarker) {
		s.Restart()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(engineapi.HeaderRequestID, s.responseID(r))
	truncateAt := s.nextTruncation()
	if c.Stream {
		s.respondStream(w, r, c, bootCtx, truncateAt)
	} else {
		s.respondWhole(w, r, c, bootCtx, truncateAt)
	}
	s.mu.Lock()
	run.Finished = true
	s.mu.Unlock()
}

// responseID returns the id that the response carries: that of the request, or a
// random one if the response is to carry another id.
func (s *Server) responseID(r *http.Request) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mismatches == 0 {
		return r.Header.Get(engineapi.HeaderRequestID)
	}
	s.mismatches--
	return ident.RandomHex(bootIDBytes)
}

// nextTruncation returns the number of tokens after which the next response is
// truncated, or -1 if it is complete.
func (s *Server) nextTruncation() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.truncations == 0 {
		return -1
	}
	s.truncations--
	return s.truncateAt
}

// startRun records a run and returns it with the context of the current incarnation.
// It returns false if the model is not loaded.
func (s *Server) startRun(r *http.Request, c completion, body []byte) (*Run, context.Context, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.loaded[c.Model] {
		return nil, nil, false
	}
	run := &Run{Adapter: c.Model, RequestID: r.Header.Get(engineapi.HeaderRequestID)}
	if s.opts.RecordRequests {
		run.Header = r.Header.Clone()
		run.Body = string(body)
	}
	s.runs = append(s.runs, run)
	s.running[c.Model]++
	return run, s.bootCtx, true
}

// endRun decrements the number of running requests of model. It ignores a run of an
// earlier incarnation, because Restart has reset the numbers.
func (s *Server) endRun(model string, bootCtx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if bootCtx == s.bootCtx {
		s.running[model]--
	}
}

// respondWhole responds with one JSON object after all tokens are generated.
func (s *Server) respondWhole(w http.ResponseWriter, r *http.Request, c completion, bootCtx context.Context, truncateAt int) {
	var text strings.Builder
	for i := range c.MaxTokens {
		if i == truncateAt {
			_, _ = io.WriteString(w, `{"choices":[{"text":"`+text.String())
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		}
		if !sleep(r.Context(), bootCtx, s.opts.TokenTime) {
			panic(http.ErrAbortHandler)
		}
		text.WriteString(token(c.Model, i))
	}
	writeJSON(w, http.StatusOK, s.newResult(r, c, text.String()))
}

// respondStream responds with one server-sent event for each token and [DONE] at the
// end.
func (s *Server) respondStream(w http.ResponseWriter, r *http.Request, c completion, bootCtx context.Context, truncateAt int) {
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	for i := range c.MaxTokens {
		if i == truncateAt {
			return
		}
		if !sleep(r.Context(), bootCtx, s.opts.TokenTime) {
			panic(http.ErrAbortHandler)
		}
		data, _ := json.Marshal(newChunk(r, c, token(c.Model, i)))
		_, _ = fmt.Fprintf(w, "data: %s\n\n", data)
		_ = controller.Flush()
	}
	_, _ = io.WriteString(w, "data: [DONE]\n\n")
	_ = controller.Flush()
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         string   `json:"text,omitempty"`
	FinishReason string   `json:"finish_reason,omitempty"`
}

// result is the body of a response, or one event of a stream.
type result struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// newResult returns the body of a whole response with text.
func (s *Server) newResult(r *http.Request, c completion, text string) result {
	out := result{
		ID:     "cmpl-" + r.Header.Get(engineapi.HeaderRequestID),
		Object: "text_completion",
		Model:  c.Model,
		Usage:  &usage{PromptTokens: 1, CompletionTokens: c.MaxTokens, TotalTokens: c.MaxTokens + 1},
	}
	if isChat(r) {
		out.Object = "chat.completion"
		out.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: "length"}}
		return out
	}
	out.Choices = []choice{{Text: text, FinishReason: "length"}}
	return out
}

// newChunk returns the event of a stream for a piece of text.
func newChunk(r *http.Request, c completion, text string) result {
	out := result{ID: "cmpl-" + r.Header.Get(engineapi.HeaderRequestID), Object: "text_completion", Model: c.Model}
	if isChat(r) {
		out.Object = "chat.completion.chunk"
		out.Choices = []choice{{Delta: &message{Content: text}}}
		return out
	}
	out.Choices = []choice{{Text: text}}
	return out
}

func isChat(r *http.Request) bool {
	return strings.HasSuffix(r.URL.Path, "/chat/completions")
}

// token returns the text of output token i. The first token is the name of the model,
// so that tests can check which build ran.
func token(model string, i int) string {
	if i == 0 {
		return model
	}
	return fmt.Sprintf(" t%d", i)
}

// errorBody returns the body of an error response with the message text.
func errorBody(text string) any {
	type detail struct {
		Message string `json:"message"`
	}
	return struct {
		Error detail `json:"error"`
	}{detail{text}}
}

// bootContext returns the context of the current incarnation.
func (s *Server) bootContext() context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.bootCtx
}

// sleep waits for d. It returns false at once if one of the contexts ends before d has passed.
func sleep(requestCtx, bootCtx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-requestCtx.Done():
		return false
	case <-bootCtx.Done():
		return false
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
