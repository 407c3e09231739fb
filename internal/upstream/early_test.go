package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveEarly starts a server that calls respond once the head of a request has arrived, and leaves the body unread.
func serveEarly(t *testing.T, respond func(c *net.TCPConn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				head := make([]byte, 64)
				if _, err := c.Read(head); err == nil {
					respond(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

const unframedHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"

// An endpoint responds without a length while the request is being sent, and resets the connection in the middle of the
// body. A write that fails takes the error of the socket, and the next read reports the regular end of the connection:
// half of such responses were taken for complete ones.
func TestResetWhileSendingBreaksUnframedResponse(t *testing.T) {
	address := serveEarly(t, func(c *net.TCPConn) {
		write(c, unframedHead+"half")
		time.Sleep(2 * time.Millisecond)
		_ = c.SetLinger(0)
	})
	for i := range 100 {
		q := newRequest("1")
		q.Body = make([]byte, 8<<20) // More than the socket buffers hold.
		r, err := NewPool().Do(t.Context(), address, q, 0)
		if err != nil {
			continue // The reset arrived before the head was read.
		}
		if body, err := readBody(t, r); !errors.Is(err, ErrConnectionBroken) {
			t.Fatalf("response %d: body %q, error %v; want ErrConnectionBroken", i, body, err)
		}
	}
}

// The end of a connection shows the end of a body only if the endpoint has received the whole request. One that stops
// reading it must not hold the response back for as long as the caller waits.
func TestEndWhileSendingBreaksUnframedResponse(t *testing.T) {
	address := serveEarly(t, func(c *net.TCPConn) {
		write(c, unframedHead+"half")
		_ = c.CloseWrite()
		time.Sleep(4 * time.Second)
	})
	q := newRequest("1")
	q.Body = make([]byte, 16<<20)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	began := time.Now()
	r, err := NewPool().Do(ctx, address, q, 0)
	if err != nil {
		t.Fatal(err)
	}
	if body, err := readBody(t, r); !errors.Is(err, ErrConnectionBroken) || time.Since(began) > 3*time.Second {
		t.Errorf("body %q, error %v after %s; want ErrConnectionBroken within 3 s", body, err, time.Since(began))
	}
}

// Responses that begin while the request is being sent are complete if they have a length, or if the endpoint receives the
// rest of the request before it ends the connection.
func TestEarlyResponseIsDelivered(t *testing.T) {
	for name, respond := range map[string]func(c *net.TCPConn){
		"with a length, then a reset": func(c *net.TCPConn) {
			write(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
			_ = c.SetLinger(0)
		},
		"without a length": func(c *net.TCPConn) {
			write(c, unframedHead+"whole")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		},
	} {
		address := serveEarly(t, respond)
		q := newRequest("1")
		q.Method, q.Body = http.MethodPut, []byte(strings.Repeat("x", 8<<20))
		r, err := NewPool().Do(t.Context(), address, q, 0)
		if err != nil {
			t.Fatal(name, err)
		}
		if body, err := readBody(t, r); body != "whole" || err != nil {
			t.Errorf("%s: body %q, error %v; want \"whole\" and no error", name, body, err)
		}
	}
}
