package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// Request is a request to an endpoint. Body and Pieces hold the complete body, so that the
// caller of Do can send an idempotent request again.
type Request struct {
	// ID is the request id that the response repeats. All attempts of a request have the same one, and two callers may choose
	// the same. A request without an id gets a connection of its own.
	ID            string
	Method        string
	URI           string // Path and query, unchanged from the caller's request.
	Host          string
	Header        http.Header
	Body          []byte
	Pieces        [][]byte // Body in pieces, sent after Body.
	NonIdempotent bool     // The request must not run twice.
	// Sent, if set, is called once when Do and the sending in the background no longer read Body and Pieces.
	Sent func()
	// MatchResponse decides whether a response belongs to this request. Responses of earlier
	// requests on a reused connection are skipped. Nil accepts every response.
	MatchResponse func(http.Header) Match
}

// Match is the relation of a response to a request.
type Match int

// Values of Match.
const (
	MatchOwn   Match = iota // The response names the request.
	MatchOther              // The response names another request.
	// MatchUnnamed: the response names no request. It is the request's own only if nothing else can have caused it: as the
	// first response on a connection that has carried no other request.
	MatchUnnamed
)

// Response is the response of an endpoint. The receiver must call Close.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader // Read returns ErrConnectionBroken if the body ends early, or if its end is no evidence that it is complete.
	Named  bool      // The response names the request.
	Reused bool      // The connection carried other requests before.

	exchange *exchange
}

// exchange is one request on one connection.
type exchange struct {
	pool    *Pool
	address string
	conn    *conn
	resp    *http.Response
	sent    chan struct{} // Closed when sending has succeeded or failed.
	sendErr error         // Valid once sent is closed, as is anySent.
	anySent bool          // At least one byte was handed to the kernel.
	// stopWatch stops closing the connection at the end of the caller's context.
	// It returns false if the context has already ended.
	stopWatch    func() bool
	bodyComplete bool // The response body was read to its end.
	closeOnce    sync.Once
	skipped      int  // Skipped responses of earlier requests.
	named        bool // The response names the request.
	unnamed      bool // The response names no request, although Request.MatchResponse asks for it.
	anonymous    bool // The request has no id.
}

// Do sends r to address (HOST:PORT) and returns once the head of its response has
// arrived. The end of ctx closes the connection, also while the body is read. A
// positive silence bounds the wait for the complete head.
//
// Errors are of type ErrNotSent, ErrConnectionBroken or ErrMalformedResponse.
func (p *Pool) Do(ctx context.Context, address string, r *Request, silence time.Duration) (*Response, error) {
	c, err := p.get(ctx, address, r)
	if err != nil {
		if r.Sent != nil {
			r.Sent()
		}
		return nil, err
	}
	x := &exchange{pool: p, address: address, conn: c, sent: make(chan struct{}), anonymous: r.ID == ""}
	c.requests++
	c.ids.add(r.ID)
	x.stopWatch = context.AfterFunc(ctx, c.abort)
	x.startSend(r)
	if silence > 0 {
		_ = c.SetReadDeadline(time.Now().Add(silence)) // If it fails, the next read fails too.
	}
	resp, err := x.readHead(r)
	if err != nil {
		return nil, x.fail(err)
	}
	_ = c.SetReadDeadline(time.Time{})
	x.resp = resp
	c.updateIdleTimeout(resp.Header)
	return &Response{
		Status: resp.StatusCode, Header: resp.Header, Body: &body{x: x}, Named: x.named, Reused: c.requests > 1, exchange: x,
	}, nil
}

// maxBlockingSend is the largest request, in bytes, that is sent before its
// response is read. It fits into a socket buffer, 16 KB by default. A larger
// request may block until the endpoint reads it, and the endpoint may respond
// before it does so.
const maxBlockingSend = 4 << 10

// bodyLen returns the length of the body.
func (r *Request) bodyLen() int {
	n := len(r.Body)
	for _, piece := range r.Pieces {
		n += len(piece)
	}
	return n
}

// startSend sends the request. Requests above maxBlockingSend are sent in the
// background.
func (x *exchange) startSend(r *Request) {
	head := encodeHead(r)
	if len(head)+r.bodyLen() <= maxBlockingSend {
		x.send(head, r)
		return
	}
	go x.send(head, r)
}

// send writes the request to the connection and closes sent.
func (x *exchange) send(head []byte, r *Request) {
	if r.Sent != nil {
		defer r.Sent()
	}
	defer close(x.sent)
	parts := append(net.Buffers{head, r.Body}, r.Pieces...)
	n, err := parts.WriteTo(x.conn.Conn)
	x.anySent, x.sendErr = n > 0, err
}

// readHead reads the head of the final response to r. It skips informational
// (1xx) responses and responses of earlier requests.
func (x *exchange) readHead(r *Request) (*http.Response, error) {
	method := &http.Request{Method: r.Method}
	if err := x.beginHead(); err != nil {
		return nil, err
	}
	for {
		resp, err := http.ReadResponse(x.conn.br, method)
		if err != nil {
			return nil, err
		}
		if holdsStatusLine(resp) {
			return nil, errMergedHeads
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		match := MatchOwn
		if r.MatchResponse != nil {
			match = r.MatchResponse(resp.Header)
		}
		switch {
		case match == MatchOwn:
			x.named = r.MatchResponse != nil
			return resp, nil
		case match == MatchUnnamed:
			x.pool.recordUnnamed(x.address, time.Now())
			if x.conn.requests > 1 || x.skipped > 0 {
				return nil, ErrWrongResponse
			}
			x.unnamed = true
			return resp, nil
		}
		if err := x.skipResponse(resp); err != nil {
			return nil, err
		}
		if err := x.beginHead(); err != nil {
			return nil, err
		}
	}
}

// beginHead expects the head of a response on the connection.
func (x *exchange) beginHead() error {
	buffered, _ := x.conn.br.Peek(x.conn.br.Buffered()) // Cannot fail.
	return x.conn.head.begin(buffered)
}

// errMergedHeads reports a head that begins as one response and goes on as another.
const errMergedHeads = errors.ConstError("malformed response: the head holds another status line")

// statusLine matches the beginning of a response.
var statusLine = regexp.MustCompile(`HTTP/1\.[01] [1-5][0-9]{2}`)

// holdsStatusLine reports whether a status line was read as part of a response's reason or headers. This happens where
// a response follows the first bytes of another one: the status is that of the former, the id that of the latter.
func holdsStatusLine(resp *http.Response) bool {
	if statusLine.MatchString(resp.Status) {
		return true
	}
	for _, values := range resp.Header {
		if slices.ContainsFunc(values, statusLine.MatchString) {
			return true
		}
	}
	return false
}

// Limits of the responses of earlier requests that an exchange skips before its
// own response. An endpoint sends at most a few of them.
const (
	maxSkipped      = 3
	maxSkippedBytes = 256 << 10 // Per response body.
)

// skipResponse reads a response of an earlier request to its end. It returns
// ErrWrongResponse if a limit is exceeded, or if the end of the response cannot
// be found without the end of the connection.
func (x *exchange) skipResponse(resp *http.Response) error {
	x.skipped++
	if !selfDelimited(resp) || resp.Close || x.skipped > maxSkipped {
		return ErrWrongResponse
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes))
	if err != nil {
		return errors.Trace(err)
	}
	if n == maxSkippedBytes {
		return ErrWrongResponse
	}
	return nil
}

// fail closes the connection and returns err with the type that says whether the
// request may have run.
func (x *exchange) fail(err error) error {
	x.stopWatch()
	x.conn.abort()
	<-x.sent
	if !x.anySent {
		return errors.WithType(err, ErrNotSent)
	}
	if isProtocolError(err) {
		return errors.WithType(err, ErrMalformedResponse)
	}
	return errors.WithType(err, ErrConnectionBroken)
}

// isProtocolError reports whether net/http failed to parse the response. Its parse
// errors have no common type.
func isProtocolError(err error) bool {
	return strings.Contains(err.Error(), "malformed")
}

// body reads the response body and records whether its end was reached.
type body struct{ x *exchange }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.x.resp.Body.Read(p)
	switch {
	case err == io.EOF:
		if err := b.x.verifyEnd(); err != nil {
			return n, errors.WithType(err, ErrConnectionBroken)
		}
		b.x.bodyComplete = true
	case err != nil:
		err = errors.WithType(err, ErrConnectionBroken)
	}
	return n, err
}

// endOfSendTimeout bounds how long the end of a response waits until its request has been sent.
const endOfSendTimeout = time.Second

// errNotSentWhole reports a response without a length whose connection ended before its request was sent.
const errNotSentWhole = errors.ConstError("response without a length ended before its request was sent")

// verifyEnd returns an error if the end of the connection is no evidence that the body is complete: the request could
// not be sent. A write that fails takes the error of a reset connection, and the next read reports a regular end.
func (x *exchange) verifyEnd() error {
	if selfDelimited(x.resp) {
		return nil
	}
	timeout := time.NewTimer(endOfSendTimeout)
	defer timeout.Stop()
	select {
	case <-x.sent:
		return x.sendErr
	case <-timeout.C:
		return errNotSentWhole
	}
}

// SelfDelimited reports whether the response has a length or is chunked. Otherwise its end is that of the
// connection, which also ends if the endpoint crashes.
func (r *Response) SelfDelimited() bool { return selfDelimited(r.exchange.resp) }

// LimitBodyTime bounds the time until the body has been read to its end.
func (r *Response) LimitBodyTime(d time.Duration) {
	_ = r.exchange.conn.SetReadDeadline(time.Now().Add(d)) // If it fails, the next read fails too.
}

// Close ends the exchange. The connection returns to the pool only if keep is
// true, the caller's context has not ended, the body was read to its end and
// reusable returns true. keep means that the response belongs to the request.
func (r *Response) Close(keep bool) {
	x := r.exchange
	x.closeOnce.Do(func() {
		contextAlive := x.stopWatch()
		if !x.bodyComplete {
			x.conn.abort()
			return
		}
		if !keep || !contextAlive || !x.reusable() {
			_ = x.conn.Close()
			return
		}
		_ = x.conn.SetReadDeadline(time.Time{})
		x.pool.put(x.address, x.conn)
	})
}

// reusable reports whether the connection can serve another request: the request
// was sent completely, its response names it, no response was skipped, nothing
// follows the response, and the record of ids has room.
func (x *exchange) reusable() bool {
	select {
	case <-x.sent:
	default:
		return false // The endpoint responded before it read the whole request.
	}
	if x.anonymous || x.conn.requests >= maxRequests {
		return false
	}
	return x.sendErr == nil && x.skipped == 0 && !x.unnamed && !x.resp.Close && x.conn.br.Buffered() == 0 && selfDelimited(x.resp)
}

// selfDelimited reports whether a response has a length or is chunked, so that
// its end is found without the end of the connection.
func selfDelimited(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
}
