package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	maxIdempotencyBytes  = 255
)

// readRequest reads the whole body and checks what goes on to the endpoint.
func (h *handler) readRequest(c *call) ([]byte, *refusal.Refusal) {
	if len(c.r.Header.Get(headerIdempotencyKey)) > maxIdempotencyBytes {
		return nil, badRequest("the Idempotency-Key is longer than 255 bytes")
	}
	body, refused := h.readBody(c)
	if refused != nil {
		return nil, refused
	}
	return body, refuseLeak(c, body)
}

// readBody reads the body within the size limit and the time that a caller may
// take to send it.
func (h *handler) readBody(c *call) ([]byte, *refusal.Refusal) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, h.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(tooLarge.Limit)
	}
	if err != nil {
		// The deadline stays, so that the server does not wait for the rest of
		// the body before it sends the refusal.
		return nil, badRequest("the body could not be read in time")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
