package harness

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network joins the hosts of a test by connections in memory. It is safe for
// concurrent use. A write never blocks, as with a large socket buffer.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	blocked   map[[2]string]bool
}

// Host is one life of a process on the network.
type Host struct {
	Name string
	net  *Network

	dead   bool
	paused bool
}

// NewNetwork returns a Network with no listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]bool),
		blocked:   make(map[[2]string]bool),
	}
}

// NewHost returns a host in a new life.
func (n *Network) NewHost(name string) *Host {
	return &Host{Name: name, net: n}
}

// Listen opens an address of the host; it replaces a listener that a former
// life left.
func (h *Host) Listen(port string) net.Listener {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	address := h.Name + ":" + port
	l := &listener{host: h, address: address, accepted: make(chan *conn), closed: make(chan struct{})}
	h.net.listeners[address] = l
	return l
}

// Dial opens a connection from the host. It has the type transport.DialFunc.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, err := h.net.find(h, address)
	if err != nil {
		return nil, err
	}
	near, far := h.net.connect(h, l.host, address)
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		near.reset()
		return nil, refusedBy(address)
	case <-ctx.Done():
		near.reset()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: ctx.Err()}
	}
}

// Kill resets all connections of the host and refuses new ones for good.
func (h *Host) Kill() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.dead = true
	h.paused = false
	h.net.resetLocked(func(c *conn) bool { return c.local == h || c.remote == h })
}

// Pause stops all bytes from and to the host until Resume.
func (h *Host) Pause() {
	h.setPaused(true)
}

// Resume lets bytes pass again.
func (h *Host) Resume() {
	h.setPaused(false)
}

func (h *Host) setPaused(paused bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.paused = paused
	for c := range h.net.conns {
		c.in.cond.Broadcast()
	}
}

// ResetAll resets the present connections of the host; new ones may be made.
func (h *Host) ResetAll() {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	h.net.resetLocked(func(c *conn) bool { return c.local == h || c.remote == h })
}

// Reset resets the present connections between two hosts, by name.
func (n *Network) Reset(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetLocked(func(c *conn) bool { return c.between(a, b) })
}

// Block resets the connections between two hosts and refuses new ones until
// Unblock.
func (n *Network) Block(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = true
	n.blocked[[2]string{b, a}] = true
	n.resetLocked(func(c *conn) bool { return c.between(a, b) })
}

// Unblock ends Block.
func (n *Network) Unblock(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.blocked, [2]string{a, b})
	delete(n.blocked, [2]string{b, a})
}

// Close resets every connection.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetLocked(func(*conn) bool { return true })
}

func (n *Network) find(from *Host, address string) (*listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[address]
	if !ok || from.dead || l.host.dead || n.blocked[[2]string{from.Name, l.host.Name}] {
		return nil, refusedBy(address)
	}
	return l, nil
}

func (n *Network) connect(from, to *Host, address string) (*conn, *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	there, back := newPipe(&n.mu), newPipe(&n.mu)
	near := &conn{net: n, local: from, remote: to, in: back, out: there, address: address}
	far := &conn{net: n, local: to, remote: from, in: there, out: back, address: address}
	n.conns[near] = true
	n.conns[far] = true
	return near, far
}

func (n *Network) resetLocked(match func(*conn) bool) {
	for c := range n.conns {
		if match(c) {
			c.resetLocked()
		}
	}
}

func refusedBy(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

type listener struct {
	host     *Host
	address  string
	accepted chan *conn
	once     sync.Once
	closed   chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
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
func (l *listener) Addr() net.Addr { return addr(l.address) }
