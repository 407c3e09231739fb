// Package peerconn is the HTTP transport of calls between the processes of the system. Open connections may go silent for
// good while new ones work. The transport notices it by a call without a response, checks it with a probe on the connection and on a
// new one, and repeats the call on a new connection.
package peerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/liveness"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

// PathProbe is the path of a probe. Handler answers it.
const PathProbe = "/probe"

const (
	// idleBeforePing and pingTimeout detect connections whose peer is gone: a connection without traffic for
	// idleBeforePing is pinged and must respond within pingTimeout. Their sum is shorter than
	// the time after which a VM counts as out of contact.
	idleBeforePing = 1000 * time.Millisecond
	pingTimeout    = 800 * time.Millisecond
	dialTimeout    = 400 * time.Millisecond
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
	// freshProbes is the number of answers on new connections after which an old one counts as silent.
	freshProbes = 2
	// probeMargin is how much longer than the probe on a new connection the one on the old connection may take.
	probeMargin = 20 * time.Millisecond
	// shareDelay is the time from which a new connection can be shared by other calls, after its first call got it.
	shareDelay = 5 * time.Millisecond
	// maxShareWait bounds the wait for such a connection.
	maxShareWait = 50 * time.Millisecond
	// maxStreams bounds the calls that one client can have open at a server.
	maxStreams = 2000
	// maxHeaderBytes bounds the header section of a call or of its response, with CONTINUATION frames. They take less than 1 KB.
	maxHeaderBytes = 16 << 10
	// streamWindow and connectionWindow bound what a client may send of bodies that are not read. Most bodies take less
	// than 5 KB.
	streamWindow     = 64 << 10
	connectionWindow = 256 << 10
	// bodyTimeout bounds the time to receive the body of a call, which a client sends at once.
	bodyTimeout = 5 * time.Second
)

// ErrSilent means that a connection was closed because it was silent for good.
const ErrSilent = errors.ConstError("connection is silent for good")

// Options configure a Transport.
type Options struct {
	// ResponseDelay is the time without a response after which a call's connection is probed; 0 for none. Pings close silent
	// connections then.
	ResponseDelay time.Duration
	Log           *logrus.Entry
	Scope         tally.Scope
}

// Transport is an http.RoundTripper that uses HTTP/2 without TLS. It is safe for concurrent use.
type Transport struct {
	options Options
	base    *http.Transport
	fresh   *http.Transport // Opens a connection for each request.
	silent  tally.Counter   // Connections closed as silent.
	probed  tally.Counter   // Probes.

	mu      sync.Mutex
	conns   map[string]map[*conn]bool // Open connections by address.
	dialing map[string]chan struct{}  // By address: closed once the first connection can be shared.
	probes  liveness.Probes
}

// NewTransport returns a Transport.
func NewTransport(o Options) *Transport {
	t := &Transport{
		options: o, conns: make(map[string]map[*conn]bool), dialing: make(map[string]chan struct{}),
		silent: o.Scope.Counter("silent_total"), probed: o.Scope.Counter("probes_total"),
	}
	dialer := &net.Dialer{Timeout: dialTimeout}
	t.fresh = &http.Transport{
		DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: maxHeaderBytes,
	}
	t.base = &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return t.track(raw, address), nil
		},
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		Protocols:              new(http.Protocols),
		HTTP2:                  &http.HTTP2Config{SendPingTimeout: idleBeforePing, PingTimeout: pingTimeout},
	}
	t.base.Protocols.SetUnencryptedHTTP2(true)
	return t
}

// NewServer returns a server for the calls of Transports. It accepts HTTP/1.1 and HTTP/2 without TLS.
func NewServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: handler{h, bodyTimeout}, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: maxHeaderBytes, Protocols: new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: idleBeforePing, PingTimeout: pingTimeout, MaxConcurrentStreams: maxStreams,
			MaxReceiveBufferPerStream: streamWindow, MaxReceiveBufferPerConnection: connectionWindow,
		},
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}

// handler answers probes itself and bounds the time to receive bodies.
type handler struct {
	next        http.Handler
	bodyTimeout time.Duration
}

// ServeHTTP implements http.Handler.
func (h handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == PathProbe {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	if r.ProtoMajor == 2 && r.Body != http.NoBody { // With HTTP/1.1, the end of the deadline would end the call.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.bodyTimeout))
	}
	h.next.ServeHTTP(w, r)
}

// conn is an open connection.
type conn struct {
	net.Conn
	onClose  func()
	openedAt time.Time
	read     atomic.Pointer[time.Time]
	written  atomic.Pointer[time.Time]
	silent   atomic.Bool // Closed because it was silent for good.
}

// track returns a connection whose traffic is observed.
func (t *Transport) track(raw net.Conn, address string) *conn {
	c := &conn{Conn: raw, openedAt: time.Now()}
	c.onClose = sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.conns[address], c)
		if len(t.conns[address]) == 0 {
			delete(t.conns, address)
		}
	})
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[address] == nil {
		t.conns[address] = make(map[*conn]bool)
	}
	t.conns[address][c] = true
	return c
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		now := time.Now()
		c.read.Store(&now)
	}
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	now := time.Now()
	c.written.Store(&now)
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

func (c *conn) state() liveness.Connection {
	s := liveness.Connection{OpenedAt: c.openedAt}
	if at := c.read.Load(); at != nil {
		s.LastRead = *at
	}
	if at := c.written.Load(); at != nil {
		s.LastWritten = *at
	}
	return s
}

// RoundTrip implements http.RoundTripper. A call whose connection was silent is repeated once, unless it has a body that cannot be
// read again (http.Request.GetBody): the peer may have carried it out.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, c, err := t.call(req)
	if err == nil || c == nil || !c.silent.Load() {
		return resp, err
	}
	if req.Context().Err() != nil || req.Body != nil && req.GetBody == nil {
		return nil, errors.WithType(err, ErrSilent)
	}
	again := req.Clone(req.Context())
	if req.GetBody != nil {
		if again.Body, err = req.GetBody(); err != nil {
			return nil, err
		}
	}
	resp, _, err = t.call(again)
	return resp, err
}

// call makes a call once. It returns the connection that carried it, nil if there was none.
func (t *Transport) call(req *http.Request) (*http.Response, *conn, error) {
	done, err := t.waitForDial(req.Context(), req.URL.Host)
	if err != nil {
		return nil, nil, err
	}
	var used atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			used.Store(c)
		}
		if done != nil {
			time.AfterFunc(shareDelay, done)
		}
	}}
	sent := time.Now()
	late := func() { t.Check(req.URL.Host, sent) }
	var timer *time.Timer
	if t.options.ResponseDelay > 0 {
		timer = time.AfterFunc(t.options.ResponseDelay, late)
	}
	resp, err := t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	switch {
	case err != nil && done != nil:
		done()
	case err == nil && timer != nil: // A caller may give the call up sooner; then its connection is checked all the same.
		timer.Stop()
	}
	return resp, used.Load(), err
}

// waitForDial lets one call open the first connection to an address, and the calls that begin meanwhile wait for it for up to
// maxShareWait. Otherwise each of them would open one, and probes are sent on one of them only. If done is not nil, the call
// must call it once it has its connection.
func (t *Transport) waitForDial(ctx context.Context, address string) (done func(), err error) {
	t.mu.Lock()
	opened := t.dialing[address]
	if opened != nil || len(t.conns[address]) > 0 {
		t.mu.Unlock()
		return nil, waitShared(ctx, opened)
	}
	defer t.mu.Unlock()
	opened = make(chan struct{})
	t.dialing[address] = opened
	return sync.OnceFunc(func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.dialing, address)
		close(opened)
	}), nil
}

// waitShared waits until a connection that is being opened can be shared; nil if none is being opened.
func waitShared(ctx context.Context, opened <-chan struct{}) error {
	if opened == nil {
		return nil
	}
	timer := time.NewTimer(maxShareWait)
	defer timer.Stop()
	select {
	case <-opened:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// CloseIdleConnections closes connections without calls.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// Check probes an address (HOST:PORT) in the background if nothing has arrived on one of its connections since a
// time at which it should have carried a call or a part of a response.
func (t *Transport) Check(address string, since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	suspect := false
	for c := range t.conns[address] {
		suspect = suspect || c.state().IsSuspect(since)
	}
	if suspect && t.probes.Begin(address, time.Now()) {
		go t.probe(address)
	}
}

// probe closes the silent connections of an address if the peer answers freshProbes times on new connections: between two answers a
// peer that is short of processor time answers on the old ones as well.
func (t *Transport) probe(address string) {
	t.probed.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	go func() { _ = sendProbe(ctx, t.base, address) }() // Its response shows as bytes on the connection.
	answered := true
	for range freshProbes {
		answered = answered && t.answersAnew(ctx, address)
	}
	t.mu.Lock()
	var silent []*conn
	for c := range t.conns[address] {
		if answered && c.state().IsSilent(began) {
			silent = append(silent, c)
		}
	}
	t.probes.End(address, len(silent) > 0)
	t.mu.Unlock()
	for _, c := range silent {
		t.closeSilent(c, address, time.Since(began))
	}
}

// answersAnew reports whether a peer answers on a new connection. It returns once the same answer should have arrived on
// the old one.
func (t *Transport) answersAnew(ctx context.Context, address string) bool {
	began := time.Now()
	if sendProbe(ctx, t.fresh, address) != nil {
		return false
	}
	return sleep.For(ctx, time.Since(began)+probeMargin) == nil
}

// closeSilent closes a silent connection of an address, whose probe took a time.
func (t *Transport) closeSilent(c *conn, address string, took time.Duration) {
	c.silent.Store(true)
	_ = c.Close()
	t.silent.Inc(1)
	s := c.state()
	if s.LastRead.IsZero() {
		s.LastRead = s.OpenedAt
	}
	t.options.Log.WithFields(logrus.Fields{
		"event": "connection_silent", "address": address, "probe_ms": took.Milliseconds(), "silent_ms": time.Since(s.LastRead).Milliseconds(),
	}).Warn("connection is silent while a new one works, closed")
}

// sendProbe sends a probe and waits for its response.
func sendProbe(ctx context.Context, transport http.RoundTripper, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathProbe, nil)
	if err != nil {
		return errors.Trace(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return errors.Trace(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Body.Close()
}
