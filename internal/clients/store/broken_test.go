package store

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// broken responses, each as the handler of a server writes them.
var broken = map[string]http.HandlerFunc{
	"status of zeros":         raw("HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\ntrue"),
	"blank in a name":         raw("HTTP/1.1 200 OK\r\nX Own: 1\r\nContent-Length: 4\r\n\r\ntrue"),
	"line feed before a name": raw("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\nX-Own: 1\r\n\r\ntrue"),
	"head without end":        raw("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 3<<20)), // More than net/http reads.
	"body without end": func(w http.ResponseWriter, _ *http.Request) {
		_, err := w.Write([]byte("true"))
		for blanks := []byte(strings.Repeat(" ", 64<<10)); err == nil; {
			_, err = w.Write(blanks)
		}
	},
}

// raw returns a handler that writes text as the response and closes the connection.
func raw(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err == nil {
			_, _ = c.Write([]byte(text))
			_ = c.Close()
		}
	}
}

// After a broken response it is unknown whether a write was carried out. Some of them counted as a write that was.
func TestBrokenResponseIsNoStatement(t *testing.T) {
	for name, handler := range broken {
		server := httptest.NewServer(handler)
		c := NewConsul(ConsulOptions{Address: server.Listener.Addr().String(), Timeout: 5 * time.Second})
		if done, err := c.CompareAndSwap(t.Context(), "k", []byte("v"), 1); done || !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s: CompareAndSwap() = %t, error %v; want ErrOutcomeUnknown", name, done, err)
		}
		if err := c.RenewLease(t.Context(), "l"); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s: RenewLease(): error %v, want ErrOutcomeUnknown", name, err)
		}
		if _, err := c.Get(t.Context(), "k"); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s: Get(): error %v, want ErrUnavailable", name, err)
		}
		server.Close()
	}
}
