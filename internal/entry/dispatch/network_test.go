package dispatch_test

import (
	"context"
	"net"
	"sync"

	"github.com/juju/errors"
)

// errRefused is the error of dial without an open listener.
var errRefused = errors.New("connection refused")

// network connects processes through in-memory pipes, so that they can run in a
// synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[string][]*conn       // By dialled address.
	resumed   map[string]chan struct{} // By frozen address; closed when it resumes.
}

func newNetwork() *network {
	return &network{
		listeners: make(map[string]*listener),
		conns:     make(map[string][]*conn),
		resumed:   make(map[string]chan struct{}),
	}
}

// listen returns a listener that accepts the connections to address.
func (n *network) listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: address, incoming: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// dial connects to the listener of address. It has the type transport.DialFunc.
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

// freeze suspends the transfer of bytes to and from an address, as SIGSTOP on
// its process does.
func (n *network) freeze(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resumed[address] = make(chan struct{})
}

// resume ends freeze.
func (n *network) resume(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.resumed[address])
	delete(n.resumed, address)
}

// disconnect refuses new connections to an address and closes the open ones.
func (n *network) disconnect(address string) {
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

// disconnectAll disconnects all addresses.
func (n *network) disconnectAll() {
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
		n.disconnect(a)
	}
}

// waitResumed blocks while the address is frozen.
func (n *network) waitResumed(address string) {
	n.mu.Lock()
	frozen := n.resumed[address]
	n.mu.Unlock()
	if frozen != nil {
		<-frozen
	}
}

// conn is the dialling end of a pipe. Its reads block and its writes are
// buffered while its address is frozen.
type conn struct {
	net.Conn
	network *network
	address string
	flushed chan struct{} // Closed when the last buffered write is delivered.
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.network.waitResumed(c.address)
	return n, err
}

// Write implements net.Conn. While the address is frozen, it buffers the bytes
// and returns at once, as a socket does. It delivers them in order after the
// address resumes.
func (c *conn) Write(p []byte) (int, error) {
	c.network.mu.Lock()
	frozen, previous := c.network.resumed[c.address], c.flushed
	delivered := make(chan struct{})
	if frozen != nil {
		c.flushed = delivered
	}
	c.network.mu.Unlock()
	if frozen == nil {
		if previous != nil {
			<-previous
		}
		return c.Conn.Write(p)
	}
	buffered := append([]byte(nil), p...)
	go func() {
		defer close(delivered)
		<-frozen
		if previous != nil {
			<-previous
		}
		_, _ = c.Conn.Write(buffered)
	}()
	return len(p), nil
}

// listener implements net.Listener for one address of a network.
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

// address implements net.Addr.
type address string

func (address) Network() string  { return "pipe" }
func (a address) String() string { return string(a) }
