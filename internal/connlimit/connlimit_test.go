package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/connections"
)

// Beyond the limit, a connection on which a header section has stopped must be closed, while the kept connection of another
// client is still served, and so is the new one.
func TestConnectionsBeyondLimitAreClosed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	limiter := New(connections.Limits{Connections: 2, Unfinished: 1}, "test", tally.NoopScope)
	closed := make(chan string, 1)
	limiter.closed = func(reason string) { closed <- reason }
	server := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if limiter.Begin(r.Context()) {
			defer limiter.End(r.Context())
			limiter.Received(r.Context())
		}
	})}
	limiter.Attach(server)
	go func() { _ = server.Serve(limiter.Listen(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	stopped := dial(t, l)
	if _, err := io.WriteString(stopped, "GET / HTTP/1.1\r\nHost: h\r\nX: "); err != nil {
		t.Fatal(err)
	}
	kept := dial(t, l)
	get(t, kept)
	last := dial(t, l)
	get(t, last)
	if reason := <-closed; reason != ReasonNoProgress {
		t.Errorf("reason %q, want %q", reason, ReasonNoProgress)
	}
	if _, err := stopped.Read(make([]byte, 1)); err == nil {
		t.Error("the connection whose header section has stopped got a response")
	}
	get(t, kept)
	if open, unfinished := limiter.Counts(); open != 2 || unfinished != 0 {
		t.Errorf("%d connections, %d unfinished requests; want 2 and 0", open, unfinished)
	}
}

func dial(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // If it fails, the next read fails too.
	return c
}

// get sends a request on a connection and reads its response.
func get(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
}
