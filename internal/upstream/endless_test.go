package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// maxSentBytes is what an endpoint may send before its exchange ends.
const maxSentBytes = 32 << 20

// An endpoint sends bytes without end that are no response, in a head or before the status line. The
// exchange ends after a bounded number of bytes, long before the caller's time is up, and the
// connection is closed. Before, the head was read into memory until then.
func TestEndlessHeadIsBounded(t *testing.T) {
	line := strings.Repeat("X-Filler: "+strings.Repeat("x", 1000)+"\r\n", 100)
	for name, tc := range map[string]struct{ begin, repeat string }{
		"header lines":            {"HTTP/1.1 200 OK\r\n", line},
		"short header lines":      {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\n", 25_000)},
		"one header line":         {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 100_000)},
		"status line":             {"HTTP/1.1 200 ", strings.Repeat("x", 100_000)},
		"informational responses": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)},
		"no HTTP":                 {"", strings.Repeat("\x00", 100_000)},
	} {
		var sent atomic.Int64
		address, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
			for ok := write(c, tc.begin); ok && sent.Load() < 2*maxSentBytes; ok = write(c, tc.repeat) {
				sent.Add(int64(len(tc.repeat)))
			}
			return false
		})
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
		began := time.Now()
		_, err := NewPool().Do(ctx, address, newRequest("1"), 0)
		cancel()
		if !errors.Is(err, ErrMalformedResponse) && !errors.Is(err, ErrConnectionBroken) {
			t.Errorf("%s: error = %v, want ErrMalformedResponse or ErrConnectionBroken", name, err)
		}
		// Socket buffers hold some more bytes than were read.
		if sent.Load() > maxSentBytes || time.Since(began) > 10*time.Second {
			t.Errorf("%s: gave up after %d bytes and %s, want at most %d bytes", name, sent.Load(), time.Since(began), maxSentBytes)
		}
	}
}

// The limit applies to each response, not to the connection, and not to bodies.
func TestLargeResponsesOnOneConnectionAreRead(t *testing.T) {
	body := strings.Repeat("x", 300_000)
	address, connections := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		return write(c, "HTTP/1.1 200 OK\r\nId: "+r.Header.Get("Id")+"\r\nContent-Length: 300000\r\n\r\n"+body)
	})
	p := NewPool()
	for range 8 { // Each of more than responsehead.MaxBytes.
		r, err := p.Do(context.Background(), address, newRequest("1"), time.Second)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := readBody(t, r); err != nil || len(got) != len(body) {
			t.Fatalf("body of %d bytes, error %v; want %d bytes", len(got), err, len(body))
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("connections = %d, want 1", n)
	}
}
