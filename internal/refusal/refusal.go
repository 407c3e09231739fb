// Package refusal defines the response that a caller receives if its request has
// no result.
//
// The body of a refusal is JSON of the form
//
//	{"error":{"type","code","message","request_id","ran"}}
//
// and the header Hyssop-Ran has the same value as the field "ran". The value "no"
// guarantees that the request did not run, so that it can be retried safely.
package refusal

import (
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Ran specifies whether a refused request ran on an endpoint.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "no"      // The request did not run.
	RanYes     Ran = "yes"     // The request ran, at least in part.
	RanUnknown Ran = "unknown" // The request may have run.
)

// HeaderRan carries the value of Ran on every refusal.
const HeaderRan = "Hyssop-Ran"

// Type is the general kind of a refusal. Several codes share one type.
type Type string

// Values of Type.
const (
	TypeInvalidRequest Type = "invalid_request_error"
	TypeAuthentication Type = "authentication_error"
	TypePermission     Type = "permission_error"
	TypeRateLimit      Type = "rate_limit_error"
	TypeUnavailable    Type = "unavailable_error"
	TypeEndpoint       Type = "endpoint_error"
	TypeConflict       Type = "conflict_error"
)

// Code identifies the exact reason for a refusal.
type Code string

// Values of Code.
const (
	CodeBadRequest           Code = "bad_request"
	CodeRequestTooLarge      Code = "request_too_large"
	CodeMissingKey           Code = "missing_key"
	CodeUnknownKey           Code = "unknown_key"
	CodeNoPlan               Code = "no_plan"
	CodeKeyWithdrawn         Code = "key_withdrawn"
	CodeUnknownModel         Code = "unknown_model"
	CodeUnknownRoute         Code = "unknown_route"
	CodeRateLimited          Code = "rate_limited"
	CodeExceedsBurst         Code = "exceeds_burst"
	CodeNoEndpoint           Code = "no_endpoint"
	CodeEndpointBusy         Code = "endpoint_busy"
	CodeEndpointFailed       Code = "endpoint_failed"
	CodeAdapterLoadFailed    Code = "adapter_load_failed"
	CodeDeadlineExceeded     Code = "deadline_exceeded"
	CodeDraining             Code = "draining"
	CodeNotReady             Code = "not_ready"
	CodeStaleConfiguration   Code = "stale_configuration"
	CodeQuarantined          Code = "quarantined"
	CodeIdempotencyKeyInUse  Code = "idempotency_key_in_use"
	CodeIdempotencyKeyReused Code = "idempotency_key_reused"
	CodeClaimsUnavailable    Code = "claims_unavailable"
	CodeCancelled            Code = "cancelled"
	CodeBrokenResponse       Code = "broken_answer"
	CodeOutcomeUnknown       Code = "outcome_unknown"
	CodeResponseNotStored    Code = "answer_not_kept"
	CodeStreamNotResumable   Code = "stream_not_resumable"
	CodeEvacuated            Code = "evacuated"
	CodeNoAllowedRegion      Code = "no_allowed_region"
	CodeNoMemory             Code = "no_memory"
)

// Refusal is the response to a request that has no result. It implements error, so
// that one layer can return it and the layer above can write it.
type Refusal struct {
	Status               int             // HTTP status.
	Type                 Type            // Group of Code.
	Code                 Code            // Exact reason for the refusal.
	Message              string          // One sentence for the caller; contains no key and no prompt.
	RequestID            ident.RequestID // Request that was refused.
	Ran                  Ran             // Whether the request ran.
	RetryAfter           time.Duration   // Minimum time before a retry; sent with the statuses 429 and 503 unless NoRetryAfter is set.
	NoRetryAfter         bool            // A retry would be refused again, so that no Retry-After is sent.
	FractionalRetryAfter bool            // Retry-After is sent in seconds with two decimals, not rounded up to whole seconds.
}

// body is the JSON body of a refusal.
type body struct {
	Error bodyError `json:"error"`
}

type bodyError struct {
	Type      Type            `json:"type"`
	Code      Code            `json:"code"`
	Message   string          `json:"message"`
	RequestID ident.RequestID `json:"request_id"`
	Ran       Ran             `json:"ran"`
}

// Error implements error. The text has the code, the message and whether the
// request ran.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (ran: %s)", r.Code, r.Message, r.Ran)
}

// Retryable reports whether the request did not run and may be sent to another
// endpoint. Only refusals with status 503 qualify.
func (r *Refusal) Retryable() bool {
	if r.Ran != RanNo {
		return false
	}
	return r.Status == http.StatusServiceUnavailable
}

// Write sends the refusal as the whole response.
func (r *Refusal) Write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRan, string(r.Ran))
	if r.needsRetryAfter() {
		h.Set("Retry-After", r.retryAfter())
	}
	w.WriteHeader(r.Status)
	_ = json.NewEncoder(w).Encode(r.body())
}

// JSON returns the refusal's body. It is the data of the error event that ends a
// stream after its first event was sent.
func (r *Refusal) JSON() []byte {
	data, _ := json.Marshal(r.body())
	return data
}

// Parse parses a refusal that another process of the fleet wrote. It returns false
// if the response has no valid Hyssop-Ran header or its body has no error code. A
// Retry-After that is not a whole number of seconds, or exceeds 32 bits, is read as
// 0.
func Parse(status int, header http.Header, data []byte) (*Refusal, bool) {
	ran := Ran(header.Get(HeaderRan))
	if ran != RanNo && ran != RanYes && ran != RanUnknown {
		return nil, false
	}
	var b body
	if err := json.Unmarshal(data, &b); err != nil || b.Error.Code == "" {
		return nil, false
	}
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 32)
	if err != nil {
		seconds = 0
	}
	return &Refusal{
		Status:     status,
		Type:       b.Error.Type,
		Code:       b.Error.Code,
		Message:    b.Error.Message,
		RequestID:  b.Error.RequestID,
		Ran:        ran,
		RetryAfter: time.Duration(seconds) * time.Second,
	}, true
}

func (r *Refusal) body() body {
	return body{Error: bodyError{
		Type:      r.Type,
		Code:      r.Code,
		Message:   r.Message,
		RequestID: r.RequestID,
		Ran:       r.Ran,
	}}
}

func (r *Refusal) needsRetryAfter() bool {
	if r.NoRetryAfter {
		return false
	}
	if r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable {
		return true
	}
	return r.RetryAfter > 0
}

// retryAfter returns the value of the Retry-After header.
func (r *Refusal) retryAfter() string {
	if r.FractionalRetryAfter {
		return strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 2, 64)
	}
	return retryAfterSeconds(r.RetryAfter)
}

// retryAfterSeconds rounds d up to whole seconds, at least 1.
func retryAfterSeconds(d time.Duration) string {
	seconds := int(math.Ceil(d.Seconds()))
	return strconv.Itoa(max(seconds, 1))
}
