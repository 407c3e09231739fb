package upstream

import (
	"bufio"
	"context"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/responsehead"
	"github.com/hyssoptiller/hyssoptiller/internal/sockopt"
)

// Types of the errors of Pool.Do and Response.Body.
const (
	// ErrNotSent means that no byte of the request was sent.
	ErrNotSent = errors.ConstError("request not sent")
	// ErrConnectionBroken means that the connection failed or timed out after
	// bytes of the request were sent. The endpoint may have run the request.
	ErrConnectionBroken = errors.ConstError("connection broken after request bytes were sent")
	// ErrWrongResponse means that the response belongs to another request.
	ErrWrongResponse = errors.ConstError("response belongs to another request")
	// ErrMalformedResponse means that the response is not valid HTTP. The endpoint
	// may have run the request.
	ErrMalformedResponse = errors.ConstError("response is not HTTP")
)

const (
	// dialTimeout bounds the opening of a connection. It takes a few milliseconds
	// within a region; a lost packet is retransmitted only after a second.
	dialTimeout = 600 * time.Millisecond
	// ackTimeout closes connections on which sent bytes stay unacknowledged.
	ackTimeout = 2500 * time.Millisecond
	// defaultIdleTimeout applies if the endpoint sends no Keep-Alive timeout.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutFraction is the used part of the endpoint's Keep-Alive timeout.
	// The rest keeps requests from being sent while the endpoint closes the connection.
	idleTimeoutFraction = 0.5
	// maxIdleIfRunOnce is the longest idle time of a connection that may carry a
	// request that must not run twice: after a reset it is unknown whether the
	// request ran.
	maxIdleIfRunOnce = 400 * time.Millisecond
	// unnamedRetention is how long an address gets a connection for each request after a response that named no
	// request. Endpoints that leave the name out do so in refusals, which come while they are overloaded.
	unnamedRetention  = time.Minute
	readBufferBytes   = 8 << 10
	maxIdlePerAddress = 16
)

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	// Dial opens connections. NewPool sets a TCP dialer with keep-alive probes.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)

	mu      sync.Mutex
	idle    map[string][]*conn
	unnamed map[string]time.Time // By address: when its last response came that named no request.
	OnDial  func()               // Called for each new connection; may be nil. Not guarded by mu.
	// SocketBytes bounds the buffers of the sockets that the dialer of NewPool opens, unless it is 0. Not guarded by mu.
	SocketBytes int
}

// conn is a pooled connection.
type conn struct {
	net.Conn
	br          *bufio.Reader
	head        *headReader   // What br reads from.
	idleTimeout time.Duration // The connection is not reused after this idle time.
	idleSince   time.Time
	requests    int        // Requests that were sent on the connection.
	ids         requestIDs // Of these requests. Each id is on a connection once: a response that names it is then that of one request.
}

// NewPool returns an empty Pool that dials TCP.
func NewPool() *Pool {
	p := &Pool{idle: make(map[string][]*conn), unnamed: make(map[string]time.Time)}
	d := &net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2},
		Control: func(network, address string, raw syscall.RawConn) error {
			if err := setUserTimeout(network, address, raw); err != nil {
				return err
			}
			return sockopt.SetBuffers(raw, p.SocketBytes)
		},
	}
	p.Dial = d.DialContext
	return p
}

// tcpUserTimeout is the Linux option TCP_USER_TIMEOUT, missing in package syscall.
const tcpUserTimeout = 0x12

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without the option, the keep-alive probes still detect dead peers.
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(ackTimeout.Milliseconds()))
	})
}

// get returns a reusable idle connection, which has carried no request with the id of r, or a new one. Dial errors are of
// type ErrNotSent.
func (p *Pool) get(ctx context.Context, address string, r *Request) (*conn, error) {
	now := time.Now()
	for r.ID != "" && !p.sendsUnnamed(address, now) {
		c := p.popIdle(address, r.ID)
		if c == nil {
			break
		}
		idleTime := now.Sub(c.idleSince)
		if idleTime > c.idleTimeout || r.NonIdempotent && idleTime > maxIdleIfRunOnce || !c.reusable() {
			_ = c.Close()
			continue
		}
		return c, nil
	}
	raw, err := p.Dial(ctx, "tcp", address)
	if err != nil {
		return nil, errors.WithType(err, ErrNotSent)
	}
	if p.OnDial != nil {
		p.OnDial()
	}
	head := &headReader{r: raw}
	return &conn{Conn: raw, br: bufio.NewReaderSize(head, readBufferBytes), head: head, idleTimeout: defaultIdleTimeout}, nil
}

// headReader checks the heads of responses while they are read.
type headReader struct {
	r     io.Reader
	check responsehead.Checker
}

// begin expects a head. buffered holds the bytes of it that were read together with the response before.
func (h *headReader) begin(buffered []byte) error {
	h.check.Reset()
	return h.check.Check(buffered)
}

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (int, error) {
	n, err := h.r.Read(p)
	if invalid := h.check.Check(p[:n]); invalid != nil {
		return 0, invalid
	}
	return n, err
}

// popIdle removes and returns the most recently used idle connection that has carried no request with an id, or nil.
func (p *Pool) popIdle(address, id string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !c.ids.contains(id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// put adds an idle connection and closes the oldest one above maxIdlePerAddress.
func (p *Pool) put(address string, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// recordUnnamed records a response of an address that names no request.
func (p *Pool) recordUnnamed(address string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unnamed[address] = now
}

// sendsUnnamed reports whether responses of an address lately named no request. On a connection that has carried
// another request, such a response proves nothing.
func (p *Pool) sendsUnnamed(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	at, found := p.unnamed[address]
	return found && now.Sub(at) < unnamedRetention
}

// CloseExpired closes the connections whose idle timeout has passed at now.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	maps.DeleteFunc(p.unnamed, func(_ string, at time.Time) bool { return now.Sub(at) >= unnamedRetention })
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Sub(c.idleSince) > c.idleTimeout {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		_ = c.Close()
	}
	delete(p.idle, address)
}

// reusable reports whether an idle connection is open and has nothing to read.
// Bytes that arrive between two requests belong to neither.
func (c *conn) reusable() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = err == syscall.EAGAIN || err == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && reusable
}

// abort closes a connection whose request is given up, with a reset. After a regular close the endpoint's next write would
// still succeed, and an endpoint that notices the close by a failed write would go on with the request until the one after.
func (c *conn) abort() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // If it fails, the close is a regular one.
	}
	_ = c.Close()
}

// updateIdleTimeout applies the timeout of a response's Keep-Alive header.
func (c *conn) updateIdleTimeout(h http.Header) {
	for _, field := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if seconds, err := strconv.Atoi(value); err == nil {
			c.idleTimeout = time.Duration(idleTimeoutFraction * float64(seconds) * float64(time.Second))
		}
	}
}
