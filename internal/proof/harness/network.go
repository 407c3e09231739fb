package harness

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network provides in-memory connections between the hosts of a test. It is
// safe for concurrent use. Writes never block, as if socket buffers were
// unlimited.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     map[*conn]bool
	blocked   map[[2]string]bool // By the names of the dialing and the listening host.
}

// Host is one incarnation of a process on the network.
type Host struct {
	Name    string
	network *Network

	dead   bool
	paused bool
}

// NewNetwork returns a Network without hosts or listeners.
func NewNetwork() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		conns:     make(map[*conn]bool),
		blocked:   make(map[[2]string]bool),
	}
}

// NewHost returns a host for a new incarnation of the named process.
func (n *Network) NewHost(name string) *Host {
	return &Host{Name: name, network: n}
}

// Listen listens on a port of the host. It replaces the listener of a previous
// incarnation on the same address.
func (h *Host) Listen(port string) net.Listener {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	address := h.Name + ":" + port
	l := &listener{host: h, address: address, accepted: make(chan *conn), closed: make(chan struct{})}
	h.network.listeners[address] = l
	return l
}

// Dial opens a connection from the host. It matches transport.DialFunc and
// ignores the network argument.
func (h *Host) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	l, err := h.network.findListener(h, address)
	if err != nil {
		return nil, err
	}
	clientEnd, serverEnd := h.network.connect(h, l.host, address)
	select {
	case l.accepted <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		clientEnd.reset()
		return nil, connectionRefused(address)
	case <-ctx.Done():
		clientEnd.reset()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: ctx.Err()}
	}
}

// Kill resets all connections of the host and refuses new ones permanently.
func (h *Host) Kill() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.dead = true
	h.paused = false
	h.network.resetLocked(func(c *conn) bool { return c.local == h || c.remote == h })
}

// Pause blocks all traffic from and to the host until Resume.
func (h *Host) Pause() {
	h.setPaused(true)
}

// Resume ends Pause.
func (h *Host) Resume() {
	h.setPaused(false)
}

func (h *Host) setPaused(paused bool) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.paused = paused
	for c := range h.network.conns {
		c.in.cond.Broadcast()
	}
}

// ResetConnections resets the host's open connections. New ones can be opened.
func (h *Host) ResetConnections() {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	h.network.resetLocked(func(c *conn) bool { return c.local == h || c.remote == h })
}

// ResetBetween resets the open connections between the two named hosts.
func (n *Network) ResetBetween(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.resetLocked(func(c *conn) bool { return c.connects(a, b) })
}

// Block resets the connections between the two named hosts and refuses new
// ones until Unblock.
func (n *Network) Block(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.blocked[[2]string{a, b}] = true
	n.blocked[[2]string{b, a}] = true
	n.resetLocked(func(c *conn) bool { return c.connects(a, b) })
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

// findListener returns the listener on address, or ECONNREFUSED if the host
// from can't reach one.
func (n *Network) findListener(from *Host, address string) (*listener, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l, ok := n.listeners[address]
	if !ok || from.dead || l.host.dead || n.blocked[[2]string{from.Name, l.host.Name}] {
		return nil, connectionRefused(address)
	}
	return l, nil
}

// connect creates a connection and returns the dialer's and the listener's end.
func (n *Network) connect(from, to *Host, address string) (*conn, *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	toServer, toClient := newPipe(&n.mu), newPipe(&n.mu)
	clientEnd := &conn{network: n, local: from, remote: to, in: toClient, out: toServer, address: address}
	serverEnd := &conn{network: n, local: to, remote: from, in: toServer, out: toClient, address: address}
	n.conns[clientEnd] = true
	n.conns[serverEnd] = true
	return clientEnd, serverEnd
}

// resetLocked resets every connection that match selects. The caller holds
// n.mu.
func (n *Network) resetLocked(match func(*conn) bool) {
	for c := range n.conns {
		if match(c) {
			c.resetLocked()
		}
	}
}

func connectionRefused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: addr(address), Err: syscall.ECONNREFUSED}
}

// addr is a host name or a host:port address.
type addr string

// Network implements net.Addr.
func (addr) Network() string { return "tcp" }

// String implements net.Addr.
func (a addr) String() string { return string(a) }

// listener accepts the connections that hosts dial to its address.
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
