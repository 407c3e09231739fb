package harness

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// pipe is one direction of a connection. Its fields are guarded by the
// network's mutex.
type pipe struct {
	cond     *sync.Cond
	data     []byte
	end      error // What a reader gets after the data; nil while open.
	deadline time.Time
	timer    *time.Timer
}

func newPipe(mu *sync.Mutex) *pipe {
	return &pipe{cond: sync.NewCond(mu)}
}

// close ends the direction; the first end stays.
func (p *pipe) close(end error) {
	if p.end == nil {
		p.end = end
	}
	p.cond.Broadcast()
}

func (p *pipe) expired() bool {
	return !p.deadline.IsZero() && !time.Now().Before(p.deadline)
}

// conn is one end of a connection.
type conn struct {
	net     *Network
	local   *Host
	remote  *Host
	in      *pipe
	out     *pipe
	address string
	closed  bool
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	for {
		if c.closed {
			return 0, net.ErrClosed
		}
		if c.in.expired() {
			return 0, os.ErrDeadlineExceeded
		}
		if n, err, ok := c.take(b); ok {
			return n, err
		}
		c.in.cond.Wait()
	}
}

func (c *conn) take(b []byte) (int, error, bool) {
	if c.local.paused || c.remote.paused {
		return 0, nil, false
	}
	if len(c.in.data) > 0 {
		n := copy(b, c.in.data)
		c.in.data = c.in.data[n:]
		return n, nil, true
	}
	return 0, c.in.end, c.in.end != nil
}

// Write implements net.Conn. It never blocks.
func (c *conn) Write(b []byte) (int, error) {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	if c.closed {
		return 0, net.ErrClosed
	}
	if c.out.end != nil {
		return 0, syscall.EPIPE
	}
	c.out.data = append(c.out.data, b...)
	c.out.cond.Broadcast()
	return len(b), nil
}

// Close implements net.Conn: the peer reads what was written, then io.EOF.
func (c *conn) Close() error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.closed = true
	c.out.close(io.EOF)
	c.in.close(net.ErrClosed)
	delete(c.net.conns, c)
	return nil
}

// reset breaks the connection; bytes on their way are lost.
func (c *conn) reset() {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	c.resetLocked()
}

// resetLocked keeps the connection known until its owner closes it, so that a
// paused owner learns of the reset when it is resumed.
func (c *conn) resetLocked() {
	for _, p := range []*pipe{c.in, c.out} {
		p.data = nil
		p.close(syscall.ECONNRESET)
	}
}

func (c *conn) between(a, b string) bool {
	return (c.local.Name == a && c.remote.Name == b) || (c.local.Name == b && c.remote.Name == a)
}

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return addr(c.local.Name) }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return addr(c.remote.Name) }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// SetWriteDeadline implements net.Conn; writes never block.
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.net.mu.Lock()
	defer c.net.mu.Unlock()
	p := c.in
	if p.timer != nil {
		p.timer.Stop()
		p.timer = nil
	}
	p.deadline = t
	if !t.IsZero() {
		p.timer = time.AfterFunc(time.Until(t), p.wake)
	}
	p.cond.Broadcast()
	return nil
}

func (p *pipe) wake() {
	p.cond.L.Lock()
	defer p.cond.L.Unlock()
	p.cond.Broadcast()
}
