package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// codeMapping is the HTTP status and the type that a caller receives for a code.
type codeMapping struct {
	status int
	typ    Type
}

// codeMappings holds the HTTP status and the type of each code. New replaces the
// status 502 by 503 if the request did not run, because the caller may then retry.
var codeMappings = map[Code]codeMapping{
	CodeBadRequest:           {http.StatusBadRequest, TypeInvalidRequest},
	CodeRequestTooLarge:      {http.StatusRequestEntityTooLarge, TypeInvalidRequest},
	CodeMissingKey:           {http.StatusUnauthorized, TypeAuthentication},
	CodeUnknownKey:           {http.StatusUnauthorized, TypeAuthentication},
	CodeKeyWithdrawn:         {http.StatusUnauthorized, TypeAuthentication},
	CodeNoPlan:               {http.StatusForbidden, TypePermission},
	CodeUnknownModel:         {http.StatusNotFound, TypeInvalidRequest},
	CodeUnknownRoute:         {http.StatusNotFound, TypeInvalidRequest},
	CodeRateLimited:          {http.StatusTooManyRequests, TypeRateLimit},
	CodeExceedsBurst:         {http.StatusBadRequest, TypeInvalidRequest},
	CodeNoEndpoint:           {http.StatusServiceUnavailable, TypeUnavailable},
	CodeEndpointBusy:         {http.StatusServiceUnavailable, TypeUnavailable},
	CodeEndpointFailed:       {http.StatusBadGateway, TypeEndpoint},
	CodeAdapterLoadFailed:    {http.StatusServiceUnavailable, TypeEndpoint},
	CodeDeadlineExceeded:     {http.StatusGatewayTimeout, TypeEndpoint},
	CodeDraining:             {http.StatusServiceUnavailable, TypeUnavailable},
	CodeNotReady:             {http.StatusServiceUnavailable, TypeUnavailable},
	CodeStaleConfiguration:   {http.StatusServiceUnavailable, TypeUnavailable},
	CodeQuarantined:          {http.StatusUnprocessableEntity, TypeInvalidRequest},
	CodeIdempotencyKeyInUse:  {http.StatusConflict, TypeConflict},
	CodeIdempotencyKeyReused: {http.StatusUnprocessableEntity, TypeInvalidRequest},
	CodeClaimsUnavailable:    {http.StatusServiceUnavailable, TypeUnavailable},
	CodeCancelled:            {http.StatusServiceUnavailable, TypeUnavailable},
	CodeBrokenResponse:       {http.StatusBadGateway, TypeEndpoint},
	CodeOutcomeUnknown:       {http.StatusConflict, TypeConflict},
	CodeResponseNotStored:    {http.StatusConflict, TypeConflict},
	CodeStreamNotResumable:   {http.StatusServiceUnavailable, TypeUnavailable},
	CodeEvacuated:            {http.StatusServiceUnavailable, TypeUnavailable},
	CodeNoAllowedRegion:      {http.StatusServiceUnavailable, TypeUnavailable},
	CodeNoMemory:             {http.StatusServiceUnavailable, TypeUnavailable},
}

// New returns a refusal with the status and type of its code. The message is one
// sentence for the caller; it must not contain a key or a prompt.
func New(code Code, ran Ran, message string) *Refusal {
	m := codeMappings[code]
	if m.status == http.StatusBadGateway && ran == RanNo {
		m.status = http.StatusServiceUnavailable
	}
	return &Refusal{Status: m.status, Type: m.typ, Code: code, Message: message, Ran: ran}
}

// Newf calls New with a formatted message.
func Newf(code Code, ran Ran, format string, args ...any) *Refusal {
	return New(code, ran, fmt.Sprintf(format, args...))
}

// WithRetryAfter sets RetryAfter to d and returns r.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}
