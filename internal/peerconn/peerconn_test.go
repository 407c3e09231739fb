package peerconn

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
)

// pair is a server and a transport whose connections can go silent for good.
type pair struct {
	*Transport
	address string
	calls   atomic.Int64  // Calls that reached the handler.
	hold    chan struct{} // Calls of /wait are answered once it is closed.

	mu    sync.Mutex
	conns []*silenceableConn
}

// silenceableConn is a connection on which nothing arrives any more, in either direction, once it is silent.
type silenceableConn struct {
	net.Conn
	silent atomic.Bool
}

func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func newPair(t *testing.T) *pair {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := &pair{address: l.Addr().String(), hold: make(chan struct{})}
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.calls.Add(1)
		if r.URL.Path == "/wait" {
			select {
			case <-p.hold:
			case <-r.Context().Done():
				return
			}
		}
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	}))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	p.Transport = NewTransport(Options{ResponseDelay: 50 * time.Millisecond, Log: logrus.NewEntry(log), Scope: tally.NoopScope})
	dial := p.base.DialContext
	p.base.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		tracked := c.(*conn)
		below := &silenceableConn{Conn: tracked.Conn}
		tracked.Conn = below
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns = append(p.conns, below)
		return tracked, nil
	}
	return p
}

// silence makes all open connections silent and returns how many were opened so far.
func (p *pair) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.silent.Store(true)
	}
	return len(p.conns)
}

func (p *pair) call(t *testing.T, path string, repeatable bool) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.address+path, strings.NewReader("text"))
	if err != nil {
		t.Fatal(err)
	}
	if !repeatable {
		req.GetBody = nil
	}
	resp, err := p.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// A call on a silent connection must be answered on a new one, far sooner than a ping closes the old one.
func TestCallIsRepeatedOnNewConnection(t *testing.T) {
	p := newPair(t)
	for range 3 {
		if got, err := p.call(t, "/", true); got != "text" || err != nil {
			t.Fatalf("call = %q, %v", got, err)
		}
		p.silence()
		began := time.Now()
		got, err := p.call(t, "/", true)
		if took := time.Since(began); got != "text" || err != nil || took > idleBeforePing {
			t.Errorf("call on a silent connection = %q, %v after %s; want an answer within %s", got, err, took, idleBeforePing)
		}
		time.Sleep(600 * time.Millisecond) // The next probe.
	}
}

// A call that must not be carried out twice is not repeated.
func TestCallThatMustNotBeRepeatedFails(t *testing.T) {
	p := newPair(t)
	if _, err := p.call(t, "/", true); err != nil {
		t.Fatal(err)
	}
	p.silence()
	if _, err := p.call(t, "/", false); !errors.Is(err, ErrSilent) {
		t.Errorf("error = %v, want ErrSilent", err)
	}
	if n := p.calls.Load(); n != 1 {
		t.Errorf("%d calls arrived, want 1", n)
	}
}

// A call may wait for its answer. Its connection is sound and must stay open.
func TestConnectionOfWaitingCallStaysOpen(t *testing.T) {
	p := newPair(t)
	if _, err := p.call(t, "/", true); err != nil {
		t.Fatal(err)
	}
	time.AfterFunc(time.Second, func() { close(p.hold) })
	if got, err := p.call(t, "/wait", false); got != "text" || err != nil {
		t.Errorf("call = %q, %v; want the answer", got, err)
	}
	if n := p.silence(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// Calls that begin at the same time share one connection.
func TestConcurrentCallsShareOneConnection(t *testing.T) {
	p := newPair(t)
	var calls sync.WaitGroup
	for range 20 {
		calls.Go(func() {
			if _, err := p.call(t, "/", true); err != nil {
				t.Error(err)
			}
		})
	}
	calls.Wait()
	if n := p.silence(); n != 1 {
		t.Errorf("%d connections were opened, want 1", n)
	}
}

// A process whose responses have large heads cost each of its callers up to 10 MB for each call.
func TestLargeHeadOfResponseIsRefused(t *testing.T) {
	server := NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for range 64 {
			w.Header().Add("X-Filler", strings.Repeat("x", 1<<10))
		}
	}))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	log := logrus.New()
	log.SetOutput(io.Discard)
	tr := NewTransport(Options{Log: logrus.NewEntry(log), Scope: tally.NoopScope})
	for _, transport := range []http.RoundTripper{tr, tr.fresh} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+l.Addr().String()+"/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := transport.RoundTrip(req)
		if err == nil {
			_ = resp.Body.Close()
			t.Errorf("a response with a head of 64 KB was accepted, want an error")
		}
	}
}
