package dispatch_test

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

var errRefused = errors.New("connection refused")

// network connects processes by pipes in memory, so that they run under
// deterministic time.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[string][]*conn // By the address that was dialled.
	thaw      map[string]chan struct{}
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		conns:     make(map[string][]*conn),
		thaw:      make(map[string]chan struct{}),
	}
}

func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

func (n *network) dial(ctx context.Context, _, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	c := &conn{Conn: near, network: n, address: address}
	select {
	case l.incoming <- far:
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	n.mu.Lock()
	n.conns[address] = append(n.conns[address], c)
	n.mu.Unlock()
	return c, nil
}

// freeze stops all bytes to and from an address, as a stopped process does.
func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.thaw[address] = make(chan struct{})
}

// resume lets the bytes go on.
func (n *network) resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.thaw[address])
	delete(n.thaw, address)
}

// cut refuses new connections to an address and breaks the open ones.
func (n *network) cut(address string) {
	n.mu.Lock()
	l, conns := n.listeners[address], n.conns[address]
	delete(n.listeners, address)
	delete(n.conns, address)
	n.mu.Unlock()
	if l != nil {
		_ = l.Close()
	}
	for _, c := range conns {
		_ = c.Close()
	}
}

func (n *network) cutAll() {
	n.mu.Lock()
	var addresses []string
	for a := range n.conns {
		addresses = append(addresses, a)
	}
	for a := range n.listeners {
		addresses = append(addresses, a)
	}
	n.mu.Unlock()
	for _, a := range addresses {
		n.cut(a)
	}
}

func (n *network) waitThaw(address string) {
	n.mu.Lock()
	frozen := n.thaw[address]
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// conn is the near end of a pipe, held up while its address is frozen.
type conn struct {
	net.Conn
	network *network
	address string
	held    chan struct{} // Closed when the last held bytes are delivered.
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.waitThaw(c.address)
	return n, err
}

// Write implements net.Conn. While the address is frozen it takes the bytes at
// once, as a socket's buffer does, and delivers them in order after the thaw.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	frozen, before := c.network.thaw[c.address], c.held
	delivered := make(chan struct{})
	if frozen != nil {
		c.held = delivered
	}
	c.network.mu.Unlock()
	if frozen == nil {
		if before != nil {
			<-before
		}
		return c.Conn.Write(p)
	}
	held := append([]byte(nil), p...)
	go func() {
		defer close(delivered)
		<-frozen
		if before != nil {
			<-before
		}
		_, _ = c.Conn.Write(held)
	}()
	return len(p), nil
}

type listener struct {
	address  string
	incoming chan net.Conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.incoming:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr {
	return address(l.address)
}

type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
