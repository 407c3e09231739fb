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

// readRequest reads the whole body and checks the parts of the request that are
// forwarded to the endpoint.
func (h *handler) readRequest(c *call) ([]byte, *refusal.Refusal) {
	if len(c.r.Header.Get(headerIdempotencyKey)) > maxIdempotencyBytes {
		return nil, badRequest("the Idempotency-Key is longer than 255 bytes")
	}
	body, refused := h.readBody(c)
	if refused != nil {
		return nil, refused
	}
	return body, checkKeyNotForwarded(c, body)
}

// readBody reads the body. It refuses a body that is longer than
// Options.MaxBodyBytes or takes longer than Options.BodyTimeout to arrive.
func (h *handler) readBody(c *call) ([]byte, *refusal.Refusal) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, h.opts.MaxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(tooLarge.Limit)
	}
	if err != nil {
		// The read deadline stays set. Otherwise the server would wait for the
		// remaining body before it sends the refusal.
		return nil, badRequest("the body could not be read in time")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}
