package callers

import (
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/endpoints"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	defaultMaxTokens = 256
	// promptBytesPerToken estimates a prompt's tokens before the engine has
	// counted them.
	promptBytesPerToken = 4
	// These limits keep a request's cost, at most maxOutputTokens*maxChoices
	// plus its prompt, within the range of the quota counters.
	maxOutputTokens = 1 << 24 // Per choice.
	maxChoices      = 128
)

// completionFields are the fields of a completion request that determine its
// adapter, cost and response type. All other fields are forwarded unchanged.
type completionFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           *int64 `json:"max_tokens"`
	MaxCompletionTokens *int64 `json:"max_completion_tokens"`
	N                   *int64 `json:"n"`
	BestOf              *int64 `json:"best_of"`
}

// serveCompletion handles chat completions and completions.
func (h *handler) serveCompletion(w http.ResponseWriter, r *http.Request) {
	c := h.newCall(w, r)
	if refused := h.authenticate(c); refused != nil {
		h.refuse(c, refused)
		return
	}
	defer c.releaseBody()
	body, refused := h.readRequest(c, completionCopies)
	if refused != nil {
		h.refuse(c, refused)
		return
	}
	req, refused := completionRequest(c, body)
	if refused != nil {
		h.refuse(c, refused)
		return
	}
	h.run(c, req)
}

// completionRequest validates the body and returns the request to dispatch. The
// cost is the estimated prompt tokens plus the maximum output of all choices.
func completionRequest(c *call, body []byte) (dispatch.Request, *refusal.Refusal) {
	var fields completionFields
	if err := json.Unmarshal(body, &fields); err != nil {
		return dispatch.Request{}, badRequest("the body is no JSON object of a completion")
	}
	maxTokens := fields.maxTokens()
	if maxTokens <= 0 || maxTokens > maxOutputTokens {
		return dispatch.Request{}, badRequest("max_tokens must be above zero and at most 16777216")
	}
	if fields.choices() > maxChoices {
		return dispatch.Request{}, badRequest("n and best_of must be at most 128")
	}
	adapter, ok := c.config.Adapter(c.limits.Organisation, ident.Adapter(fields.Model))
	if !ok {
		return dispatch.Request{}, unknownModel(fields.Model)
	}
	engineBody, err := rewriteBody(body, c.limits, adapter, fields)
	if err != nil {
		return dispatch.Request{}, badRequest("the body is no JSON object of a completion")
	}
	return dispatch.Request{
		Body: engineBody,
		Job: wire.Job{
			RequestID:      c.id,
			Organisation:   c.limits.Organisation,
			Base:           adapter.Base,
			Adapter:        adapter.Name,
			Version:        adapter.Version,
			Method:         http.MethodPost,
			Path:           c.r.URL.Path,
			ContentType:    "application/json",
			Idempotent:     true,
			IdempotencyKey: c.r.Header.Get(headerIdempotencyKey),
			Priority:       c.limits.Priority,
			Weight:         c.limits.Weight,
			Cost:           promptTokens(body) + maxTokens*fields.choices(),
			Stream:         fields.Stream,
			PromptHash:     endpoints.PrefixHash(c.limits.Organisation, body),
		},
	}, nil
}

// maxTokens returns the maximum number of output tokens per choice.
// max_completion_tokens takes precedence over max_tokens.
func (f completionFields) maxTokens() int64 {
	if f.MaxCompletionTokens != nil {
		return *f.MaxCompletionTokens
	}
	if f.MaxTokens != nil {
		return *f.MaxTokens
	}
	return defaultMaxTokens
}

// choices returns the number of completions that the engine generates: the larger
// of n and best_of, at least 1.
func (f completionFields) choices() int64 {
	choices := int64(1)
	for _, requested := range []*int64{f.N, f.BestOf} {
		if requested != nil {
			choices = max(choices, *requested)
		}
	}
	return choices
}

// promptTokens estimates the prompt tokens of a request body, at least 1.
func promptTokens(body []byte) int64 {
	return int64(len(body)/promptBytesPerToken) + 1
}

// rewriteBody returns the body for the engine. It sets the adapter build, the
// output limit, the priority and the organisation's cache salt.
//
// Every field that determines the cost is written from its parsed value.
// encoding/json matches field names regardless of case, but the engine does not:
// two spellings of a field are one field here and two at the engine, which could
// otherwise generate more tokens than the cost covers.
func rewriteBody(
	body []byte, limits config.OrganisationLimits, adapter config.AdapterUse, parsed completionFields,
) ([]byte, error) {
	fields := make(map[string]json.RawMessage)
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, err
	}
	build := engine.AdapterBuild{Adapter: adapter.Name, Version: adapter.Version}.Name()
	fields["model"] = jsonString(build)
	fields["priority"] = json.RawMessage(strconv.Itoa(limits.Priority))
	fields["cache_salt"] = jsonString(string(limits.Organisation))
	fields["stream"] = json.RawMessage(strconv.FormatBool(parsed.Stream))
	fields["max_tokens"] = jsonInt(parsed.maxTokens())
	delete(fields, "max_completion_tokens")
	delete(fields, "n")
	delete(fields, "best_of")
	if parsed.N != nil {
		fields["n"] = jsonInt(*parsed.N)
	}
	if parsed.BestOf != nil {
		fields["best_of"] = jsonInt(*parsed.BestOf)
	}
	return json.Marshal(fields)
}

func jsonInt(n int64) json.RawMessage {
	return json.RawMessage(strconv.FormatInt(n, 10))
}

func jsonString(text string) json.RawMessage {
	data, _ := json.Marshal(text)
	return data
}

// chargedTokens returns the number of tokens to charge for a request: 0 if it did
// not run, its whole cost if that is unknown, otherwise the engine's count. A
// streamed response has no count, so its events are counted as output tokens. The
// charge is the whole cost for plain services and where the engine reports no
// usage; it never exceeds the cost.
func chargedTokens(req dispatch.Request, result dispatch.Result) int64 {
	switch {
	case result.Ran == refusal.RanNo:
		return 0
	case result.Ran == refusal.RanUnknown:
		return req.Job.Cost
	case req.Job.Service != "":
		return req.Job.Cost
	case req.Job.Stream:
		return min(promptTokens(req.Body)+result.Events, req.Job.Cost)
	}
	var response struct {
		Usage struct {
			TotalTokens int64 `json:"total_tokens"`
		} `json:"usage"`
	}
	err := json.Unmarshal(result.Body, &response)
	if err != nil || response.Usage.TotalTokens <= 0 {
		return req.Job.Cost
	}
	return min(response.Usage.TotalTokens, req.Job.Cost)
}
