package callers

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/memorybudget"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	headerIdempotencyKey = "Idempotency-Key"
	maxIdempotencyBytes  = 255
	// unreadBodyTimeout bounds the time to receive the rest of a body that is discarded, so that its sender gets the
	// refusal and not a reset connection.
	unreadBodyTimeout = time.Second
	// Copies of a body that are held while its request runs: that of a completion is parsed and written anew.
	completionCopies = 3
	serviceCopies    = 1
)

// readRequest reads the whole body and checks the parts of the request that are
// forwarded to the endpoint.
func (h *handler) readRequest(c *call, copies int) ([]byte, *refusal.Refusal) {
	if len(c.r.Header.Get(headerIdempotencyKey)) > maxIdempotencyBytes {
		return nil, badRequest("the Idempotency-Key is longer than 255 bytes")
	}
	body, refused := h.readBody(c, copies)
	if refused != nil {
		return nil, refused
	}
	return body, checkKeyNotForwarded(c, body)
}

// readBody reads the body. It refuses a body that is longer than
// Options.MaxBodyBytes or takes longer than Options.BodyTimeout to arrive, and one for which there is no memory. copies is
// how often the body is held while the request runs.
func (h *handler) readBody(c *call, copies int) ([]byte, *refusal.Refusal) {
	if c.r.Body == http.NoBody {
		h.opts.Connections.Received(c.r.Context())
		return nil, nil
	}
	if c.r.ContentLength > h.opts.MaxBodyBytes {
		c.endReading()
		return nil, bodyTooLarge(h.opts.MaxBodyBytes)
	}
	control := http.NewResponseController(c.w)
	_ = control.SetReadDeadline(time.Now().Add(h.opts.BodyTimeout))
	account := h.opts.Memory.Open(c.claim(h.opts.MaxBodyBytes, copies), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	c.body = bodies.NewBody(account)
	var body []byte
	err := c.body.ReadAll(c.r.Context(), c.r.Body, h.opts.MaxBodyBytes)
	if err == nil {
		body, err = c.body.Join(c.r.Context(), copies)
	}
	if !account.Complete() {
		err = bodies.ErrNoRoom
	}
	switch {
	case err == nil:
		_ = control.SetReadDeadline(time.Time{})
		h.opts.Connections.Received(c.r.Context())
		return body, nil
	case errors.Is(err, bodies.ErrTooLarge):
		c.endReading()
		return nil, bodyTooLarge(h.opts.MaxBodyBytes)
	case errors.Is(err, bodies.ErrNoRoom):
		c.endReading()
		return nil, noMemory()
	default:
		// The read deadline stays set. Otherwise the server would wait for the
		// remaining body before it sends the refusal.
		return nil, badRequest("the body could not be read in time")
	}
}

// claim returns what the budget knows of the body.
func (c *call) claim(maxBytes int64, copies int) memorybudget.Claim {
	length := c.r.ContentLength
	if length < 0 {
		length = maxBytes
	}
	claim := memorybudget.Claim{
		Kind: memorybudget.KindBody, Organisation: string(c.limits.Organisation), Address: c.r.RemoteAddr,
		Expected: length * int64(1+copies),
	}
	if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
		claim.Address = host
	}
	return claim
}

// endReading bounds the time in which the server discards the rest of the body, and closes the connection then.
func (c *call) endReading() {
	c.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(c.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
}

// releaseBody returns the memory of the body.
func (c *call) releaseBody() {
	c.body.Release()
}
