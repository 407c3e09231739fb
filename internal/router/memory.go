package router

import (
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/bodies"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/memorybudget"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

const (
	// memoryShare is the part of the VM's memory that bodies and responses may hold. A router takes 25 MB besides, and
	// the garbage collector needs room for what it has not collected yet.
	memoryShare = 0.25
	// writeTimeout bounds the time in which a caller reads writeBytes of a response.
	writeTimeout = 10 * time.Second
	writeBytes   = 16 << 10
	// unreadBodyTimeout bounds the time to receive the rest of a body that is discarded, so that its sender gets the
	// refusal and not a reset connection.
	unreadBodyTimeout = time.Second
	// socketBytes bounds the buffers of the sockets to callers and endpoints. With a round trip of 2 ms, as within a region,
	// a connection carries 32 MB/s.
	socketBytes = 64 << 10
	// noRoomRetryAfter is the Retry-After of a request for which there is no memory.
	noRoomRetryAfter = time.Second
)

// newMemory returns the budget of a router, or nil if the memory of the VM is not known.
func newMemory(s Settings, scope tally.Scope) *bodies.Memory {
	if s.MemoryMB == 0 {
		return nil
	}
	m := bodies.NewMemory(memorybudget.DefaultLimits(int64(memoryShare * float64(s.MemoryMB) * (1 << 20))))
	count := func(name string) func(memorybudget.Kind) {
		return func(k memorybudget.Kind) {
			scope.Tagged(map[string]string{"kind": memorybudget.Names[k]}).Counter(name).Inc(1)
		}
	}
	m.OnRefused, m.OnYield = count("memory_refused_total"), count("memory_yielded_total")
	return m
}

// socketBuffers returns the bound of the buffers of sockets, or 0 if the memory of the VM is not known.
func (s Settings) socketBuffers() int {
	if s.MemoryMB == 0 {
		return 0
	}
	return socketBytes
}

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
