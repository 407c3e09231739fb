package harness

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe is one direction of a connection. The network's mutex guards its
// fields.
type pipe struct {
	cond     *sync.Cond
	data     []byte
	endErr   error     // Returned to the reader after data; nil while the pipe is open.
	deadline time.Time // Read deadline; zero if none.
	timer    *time.Timer
}

func newPipe(mu *sync.Mutex) *pipe {
	return &pipe{cond: sync.NewCond(mu)}
}

// close ends the pipe with err. Only the first call sets the error.
func (p *pipe) close(err error) {
	if p.endErr == nil {
		p.endErr = err
	}
	p.cond.Broadcast()
}

func (p *pipe) expired() bool {
	return !p.deadline.IsZero() && !time.Now().Before(p.deadline)
}

// conn is one end of a connection.
type conn struct {
	network *Network
	local   *Host
	remote  *Host
	in      *pipe
	out     *pipe
	address string
	closed  bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	for {
		if c.closed {
			return 0, net.ErrClosed
		}
		if c.in.expired() {
			return 0, os.ErrDeadlineExceeded
		}
		if n, err, ok := c.tryRead(b); ok {
			return n, err
		}
		c.in.cond.Wait()
	}
}

// tryRead reads without blocking. It returns false if there is neither data
// nor an end of the stream, or if either host is paused.
func (c *conn) tryRead(b []byte) (int, error, bool) {
	if c.local.paused || c.remote.paused {
		return 0, nil, false
	}
	if len(c.in.data) > 0 {
		n := copy(b, c.in.data)
		c.in.data = c.in.data[n:]
		return n, nil, true
	}
	return 0, c.in.endErr, c.in.endErr != nil
}

// Write implements net.Conn. It never blocks.
func (c *conn) Write(b []byte) (int, error) {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.out.endErr != nil {
		return 0, syscall.EPIPE
	}
	c.out.data = append(c.out.data, b...)
	c.out.cond.Broadcast()
	return len(b), nil
}

// Close implements net.Conn. The peer reads the data already written, then
// io.EOF.
func (c *conn) Close() error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.closed = true
	c.out.close(io.EOF)
	c.in.close(net.ErrClosed)
	delete(c.network.conns, c)
	return nil
}

// reset resets the connection and drops unread data.
func (c *conn) reset() {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	c.resetLocked()
}

// resetLocked is reset for callers that hold the network's mutex. The
// connection stays registered until its owner closes it, so that resuming a
// paused owner wakes its readers and they receive the reset.
func (c *conn) resetLocked() {
	for _, p := range []*pipe{c.in, c.out} {
		p.data = nil
		p.close(syscall.ECONNRESET)
	}
}

// connects reports whether the connection is between the two named hosts.
func (c *conn) connects(a, b string) bool {
	return (c.local.Name == a && c.remote.Name == b) || (c.local.Name == b && c.remote.Name == a)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local.Name) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote.Name) }

// SetDeadline implements net.Conn. It sets only the read deadline, as writes
// never block.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn. It does nothing, as writes never
// block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.network.mu.Lock()
	defer c.network.mu.Unlock()
	p := c.in
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.deadline = t
	if !t.IsZero() {
		p.timer = time.AfterFunc(time.Until(t), p.wakeReaders)
	}
	p.cond.Broadcast()
	return nil
}

// wakeReaders wakes blocked readers, which then check the deadline.
func (p *pipe) wakeReaders() {
	p.cond.L.Lock()
	defer p.cond.L.Unlock()
	p.cond.Broadcast()
}
