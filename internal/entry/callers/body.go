package callers

import (
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// readBody reads the whole body within the size limit and the time that a
// caller may take to send it.
func (h *handler) readBody(c *call) ([]byte, *refusal.Refusal) {
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(c.w, c.r.Body, h.opts.MaxBodyBytes))
	_ = control.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, bodyTooLarge(tooLarge.Limit)
	}
	if err != nil {
		return nil, badRequest("the body could not be read in time")
	}
	return body, nil
}
