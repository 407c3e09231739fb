// Package connlimit bounds the connections of an HTTP server and its unfinished requests. Package connections of the
// policies decides which ones are closed.
package connlimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/connections"
)

// Limiter bounds the connections of one listener. It is safe for concurrent use.
type Limiter struct {
	closed func(reason string)

	mu    sync.Mutex
	table *connections.Table
	conns map[*connections.Conn]*conn
}

// Reasons of the metric connections_closed_total.
const (
	ReasonNoProgress = "no_progress" // Closed for a new connection.
	ReasonStalled    = "stalled"     // Closed for another request.
	ReasonRefused    = "refused"     // A new connection that was not accepted.
	ReasonUnfinished = "unfinished"  // A request beyond the unfinished ones.
)

// New returns a Limiter. It counts in scope, by listener and reason, the connections that are closed or refused and the requests that
// are refused.
func New(l connections.Limits, listener string, scope tally.Scope) *Limiter {
	return &Limiter{
		table: connections.NewTable(l), conns: make(map[*connections.Conn]*conn),
		closed: func(reason string) {
			scope.Tagged(map[string]string{"listener": listener, "reason": reason}).Counter("connections_closed_total").Inc(1)
		},
	}
}

// Counts returns the number of connections and of unfinished requests.
func (l *Limiter) Counts() (open, unfinished int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.table.Len(), l.table.Unfinished()
}

// Listen returns a listener on inner, which accepts TCP connections, within the limits.
func (l *Limiter) Listen(inner net.Listener) net.Listener { return &listener{inner, l} }

// Attach makes a server report to the Limiter what its connections are used for. The server must serve on a listener of Listen.
func (l *Limiter) Attach(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		switch state {
		case http.StateActive:
			l.setState(c, connections.Receiving)
		case http.StateIdle:
			l.setState(c, connections.Idle)
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) }
}

type connKey struct{}

func (l *Limiter) setState(c net.Conn, s connections.State) {
	if own, ok := c.(*conn); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.table.SetState(own.entry, s, time.Now())
	}
}

// Begin records a request of a connection. It returns false if there are too many unfinished ones. ctx is that of the request;
// the caller calls End if Begin returns true.
func (l *Limiter) Begin(ctx context.Context) bool {
	own, ok := ctx.Value(connKey{}).(*conn)
	if l == nil || !ok {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	evict, ok := l.table.Begin(own.entry, time.Now())
	l.close(evict, ReasonStalled)
	if !ok {
		l.closed(ReasonUnfinished)
	}
	return ok
}

// Received records that a request is complete.
func (l *Limiter) Received(ctx context.Context) {
	if own, ok := ctx.Value(connKey{}).(*conn); ok && l != nil {
		l.setState(own, connections.Serving)
	}
}

// End records that a request has ended.
func (l *Limiter) End(ctx context.Context) {
	if own, ok := ctx.Value(connKey{}).(*conn); ok && l != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.table.End(own.entry)
	}
}

// close closes a connection that was removed from the table. The caller holds l.mu.
func (l *Limiter) close(entry *connections.Conn, reason string) {
	if entry == nil {
		return
	}
	c := l.conns[entry]
	delete(l.conns, entry)
	_ = c.TCPConn.Close() // The server notices it by its next read or write.
	l.closed(reason)
}

type listener struct {
	net.Listener
	limiter *Limiter
}

// Accept implements net.Listener.
func (n *listener) Accept() (net.Conn, error) {
	for {
		raw, err := n.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := raw.(*net.TCPConn)
		if !ok {
			return raw, nil
		}
		if c := n.limiter.add(tcp); c != nil {
			return c, nil
		}
		_ = tcp.Close()
	}
}

func (l *Limiter) add(tcp *net.TCPConn) *conn {
	address := tcp.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, evict := l.table.Add(address, time.Now())
	l.close(evict, ReasonNoProgress)
	if entry == nil {
		l.closed(ReasonRefused)
		return nil
	}
	c := &conn{TCPConn: tcp, limiter: l, entry: entry}
	l.conns[entry] = c
	return c
}

// conn is an accepted connection.
type conn struct {
	*net.TCPConn
	limiter *Limiter
	entry   *connections.Conn
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		c.limiter.mu.Lock()
		c.limiter.table.Progress(c.entry, n, time.Now())
		c.limiter.mu.Unlock()
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.limiter.mu.Lock()
	c.limiter.table.Remove(c.entry)
	delete(c.limiter.conns, c.entry)
	c.limiter.mu.Unlock()
	return c.TCPConn.Close()
}
