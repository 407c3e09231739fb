package refusal

import (
	"fmt"
	"net/http"
	"time"
)

// meaning is what a code stands for towards the caller.
type meaning struct {
	status int
	kind   Type
}

// meanings gives each code its HTTP status and its type. A code whose status
// is 502 becomes 503 where nothing ran, since the caller may then ask again.
var meanings = map[Code]meaning{
	CodeBadRequest:        {http.StatusBadRequest, TypeInvalidRequest},
	CodeTooLarge:          {http.StatusRequestEntityTooLarge, TypeInvalidRequest},
	CodeMissingKey:        {http.StatusUnauthorized, TypeAuthentication},
	CodeUnknownKey:        {http.StatusUnauthorized, TypeAuthentication},
	CodeKeyWithdrawn:      {http.StatusUnauthorized, TypeAuthentication},
	CodeNoPlan:            {http.StatusForbidden, TypePermission},
	CodeUnknownModel:      {http.StatusNotFound, TypeInvalidRequest},
	CodeUnknownRoute:      {http.StatusNotFound, TypeInvalidRequest},
	CodeRateLimited:       {http.StatusTooManyRequests, TypeRateLimit},
	CodeExceedsBurst:      {http.StatusBadRequest, TypeInvalidRequest},
	CodeNoEndpoint:        {http.StatusServiceUnavailable, TypeUnavailable},
	CodeEndpointBusy:      {http.StatusServiceUnavailable, TypeUnavailable},
	CodeEndpointFailed:    {http.StatusBadGateway, TypeEndpoint},
	CodeAdapterLoadFailed: {http.StatusServiceUnavailable, TypeEndpoint},
	CodeDeadline:          {http.StatusGatewayTimeout, TypeEndpoint},
	CodeDraining:          {http.StatusServiceUnavailable, TypeUnavailable},
	CodeNotReady:          {http.StatusServiceUnavailable, TypeUnavailable},
	CodeStale:             {http.StatusServiceUnavailable, TypeUnavailable},
	CodeQuarantined:       {http.StatusUnprocessableEntity, TypeInvalidRequest},
	CodeClaimed:           {http.StatusConflict, TypeConflict},
	CodeKeyReused:         {http.StatusUnprocessableEntity, TypeInvalidRequest},
	CodeClaimsUnavailable: {http.StatusServiceUnavailable, TypeUnavailable},
	CodeCancelled:         {http.StatusServiceUnavailable, TypeUnavailable},
	CodeBrokenAnswer:      {http.StatusBadGateway, TypeEndpoint},
	CodeOutcomeUnknown:    {http.StatusConflict, TypeConflict},
	CodeAnswerNotKept:     {http.StatusConflict, TypeConflict},
}

// New returns a refusal with the status and type of its code. The message is
// one sentence for the caller and holds no key and no prompt.
func New(code Code, ran Ran, message string) *Refusal {
	m := meanings[code]
	if m.status == http.StatusBadGateway && ran == RanNo {
		m.status = http.StatusServiceUnavailable
	}
	return &Refusal{Status: m.status, Type: m.kind, Code: code, Message: message, Ran: ran}
}

// Newf is New with a formatted message.
func Newf(code Code, ran Ran, format string, args ...any) *Refusal {
	return New(code, ran, fmt.Sprintf(format, args...))
}

// After sets when the caller may ask again, and returns the refusal.
func (r *Refusal) After(d time.Duration) *Refusal {
	r.RetryAfter = d
	return r
}
