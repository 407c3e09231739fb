package httpclient

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/responsehead"
)

// ErrNotSent means that the connection of a response without a length ended before the request was sent.
const ErrNotSent = errors.ConstError("response ended before its request was sent")

// endOfSendTimeout bounds how long the end of a response waits until its request has been sent.
const endOfSendTimeout = time.Second

// conn is a connection that checks the heads of responses and the ends of bodies without a length. Over TLS, which hides
// them, begin is not called.
type conn struct {
	net.Conn

	mu      sync.Mutex
	sent    chan struct{} // Closed once the current request was passed to the connection, or that failed; nil before the first.
	sendErr error
	check   responsehead.Checker
	invalid error // Of check.

	writing  sync.Mutex // Held during a write.
	writeErr error      // Guarded by writing.
}

// begin begins a request.
func (c *conn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent = make(chan struct{})
	c.check.Reset()
}

// endSend records that the current request was sent, or why not.
func (c *conn) endSend(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.sendErr = err
	}
	select {
	case <-c.sent:
	default:
		close(c.sent)
	}
}

// invalidHead returns the error of an invalid head.
func (c *conn) invalidHead() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.invalid
}

// Read implements net.Conn. It returns one byte before the error of an invalid head: after an error in place of the first
// byte, net/http may send a request again.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.invalidHead(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	plain, inBody := c.sent != nil, c.check.Complete()
	if plain {
		c.invalid = c.check.Check(p[:n])
	}
	invalid := c.invalid
	c.mu.Unlock()
	switch {
	case invalid != nil:
		return 1, nil
	case err == io.EOF && plain && inBody:
		return n, c.verifyEnd()
	default:
		return n, err
	}
}

// verifyEnd returns io.EOF if the end of the connection can be that of a body without a length, since the whole request was
// sent. A write that fails takes the error of a reset connection, and the next read reports a regular end.
func (c *conn) verifyEnd() error {
	c.mu.Lock()
	sent := c.sent
	c.mu.Unlock()
	_ = c.SetWriteDeadline(time.Now().Add(endOfSendTimeout)) // Nothing else is sent on the connection.
	timeout := time.NewTimer(endOfSendTimeout)
	defer timeout.Stop()
	select {
	case <-sent:
	case <-timeout.C:
		return ErrNotSent
	}
	if err := c.failedSend(); err != nil {
		return errors.WithType(err, ErrNotSent)
	}
	return io.EOF
}

// failedSend returns the error of sending the current request, and waits for a write that is going on: net/http calls a
// request sent while the last bytes are in its buffer.
func (c *conn) failedSend() error {
	c.writing.Lock()
	defer c.writing.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sendErr != nil {
		return c.sendErr
	}
	return c.writeErr
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil {
		c.writeErr = err
	}
	return n, err
}
