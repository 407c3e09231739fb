package router

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
	// smallBytes is the most that a small body or response holds. Ordinary ones have 1 to 50 KB.
	smallBytes = 64 << 10
	// writeTimeout bounds the time in which a caller reads writeBytes of a response.
	writeTimeout = 10 * time.Second
	writeBytes   = 16 << 10
	// unreadBodyTimeout bounds the time to receive the rest of a body that is discarded, so that its sender gets the
	// refusal and not a reset connection.
	unreadBodyTimeout = time.Second
	// noRoomRetryAfter is the Retry-After of a request for which there is no memory.
	noRoomRetryAfter = time.Second
)

// reportMemory updates the metrics of the budget and of the connections.
func (r *Router) reportMemory() {
	open, unfinished := r.limiter.Counts()
	r.counters.scope.Gauge("caller_connections").Update(float64(open))
	r.counters.scope.Gauge("unfinished_requests").Update(float64(unfinished))
	if r.memory == nil {
		return
	}
	for k, name := range memorybudget.Names {
		held := r.memory.Held(memorybudget.Kind(k))
		r.counters.scope.Tagged(map[string]string{"kind": name}).Gauge("memory_held_bytes").Update(float64(held))
	}
}

// claim returns what the budget knows of a holder of the request.
func (q *request) claim(k memorybudget.Kind, expected int64) memorybudget.Claim {
	c := memorybudget.Claim{Kind: k, Expected: expected, Address: q.in.RemoteAddr}
	if host, _, err := net.SplitHostPort(q.in.RemoteAddr); err == nil {
		c.Address = host
	}
	if q.org != nil {
		c.Organisation = q.org.Name
	}
	return c
}

// readBody reads the whole body, so that the request can be sent more than once. If it fails,
// readBody writes the refusal and returns false.
func (r *Router) readBody(q *request) bool {
	maxBytes := q.config.Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	expected := q.in.ContentLength
	if expected > maxBytes {
		r.refuseBody(q, bodies.ErrTooLarge)
		return false
	}
	if expected < 0 {
		expected = maxBytes
	}
	if q.in.Body == http.NoBody {
		r.limiter.Received(q.in.Context())
		return true
	}
	control := http.NewResponseController(q.w)
	_ = control.SetReadDeadline(q.arrived.Add(min(bodyTimeout, q.deadline.Sub(q.arrived))))
	account := r.memory.Open(q.claim(memorybudget.KindBody, expected), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	q.body = bodies.NewBody(account)
	err := q.body.ReadAll(q.ctx, q.in.Body, maxBytes)
	if !account.Complete() {
		err = bodies.ErrNoRoom
	}
	if err != nil {
		q.body.Release()
		q.body = nil
		r.refuseBody(q, err)
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	q.bodyRead = true
	r.limiter.Received(q.in.Context())
	return true
}

// refuseBody refuses a request whose body was not read to its end.
func (r *Router) refuseBody(q *request, err error) {
	q.w.Header().Set("Connection", "close")
	switch {
	case errors.Is(err, bodies.ErrTooLarge):
		r.refuse(q, refusal.CodeRequestTooLarge, "The body is too large.", 0)
	case errors.Is(err, bodies.ErrNoRoom):
		r.refuse(q, refusal.CodeNoMemory, "There is no memory for the body.", noRoomRetryAfter)
	default:
		r.refuse(q, refusal.CodeBadRequest, "The body could not be read.", 0)
	}
}

// limitUnreadBody bounds the time that net/http takes to discard the rest of a body, which has no bound otherwise.
func (q *request) limitUnreadBody() {
	if !q.bodyRead && q.in.Body != http.NoBody {
		_ = http.NewResponseController(q.w).SetReadDeadline(time.Now().Add(unreadBodyTimeout))
	}
}

// release returns the memory of the request's body and of the responses that were read for it.
func (q *request) release() {
	q.body.Release()
	for _, b := range q.responses {
		b.Release()
	}
}

// openResponse begins an account of a response, which yields while its caller does not read it.
func (r *Router) openResponse(q *request, expected int64) *bodies.Account {
	control := http.NewResponseController(q.w)
	return r.memory.Open(q.claim(memorybudget.KindResponse, expected), func() { _ = control.SetWriteDeadline(time.Unix(1, 0)) })
}

// errYielded reports a response whose memory was given to others because its caller does not read it.
const errYielded = errors.ConstError("response is not read and its memory is needed")

// writeBody writes bytes of a response in parts, each of which the caller has to read within writeTimeout. account is that of
// the bytes, or nil.
func (r *Router) writeBody(q *request, account *bodies.Account, data []byte) error {
	for len(data) > 0 {
		n := min(writeBytes, len(data))
		r.limitWrite(q)
		if account.Yielded() { // Afterwards, the end of the write deadline tells it.
			return errYielded
		}
		if _, err := q.w.Write(data[:n]); err != nil {
			return err
		}
		account.Progress(n)
		data = data[n:]
	}
	return nil
}

// limitWrite bounds the time until the caller has read what is written next.
func (r *Router) limitWrite(q *request) {
	if r.memory != nil {
		_ = http.NewResponseController(q.w).SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}
