package engine

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// serveBytes starts a server that answers each request with response, in which repeat follows without end unless it is
// empty. With early, it does not read the bodies of requests first, and resets the connection afterwards.
func serveBytes(t *testing.T, response, repeat string, early bool) string {
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
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if !early {
					_, _ = io.Copy(io.Discard, req.Body)
				}
				_, err = io.WriteString(c, response)
				for err == nil && repeat != "" {
					_, err = io.WriteString(c, repeat)
				}
				if early {
					time.Sleep(2 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// A broken response says nothing about an engine: it is not healthy for it, and an order may have been executed.
func TestBrokenResponseIsNoStatement(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nX-Boot-Id: b1\r\nContent-Length: 11\r\n\r\n{\"data\":[]}"
	endless := strings.Repeat("x", 16<<10)
	for name, tc := range map[string]struct{ response, repeat string }{
		"status of zeros":         {strings.Replace(sound, "200", "000", 1), ""},
		"blank after a name":      {strings.Replace(sound, "Id:", "Id :", 1), ""},
		"blank before a name":     {strings.Replace(sound, "X-Boot", "Date: x\r\n X-Boot", 1), ""},
		"line feed before a name": {strings.Replace(sound, "Content", "\nContent", 1), ""},
		"head without end":        {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\n", 4<<10)},
		"body without end":        {"HTTP/1.1 200 OK\r\n\r\n", endless},
		"refusal without end":     {"HTTP/1.1 412 Precondition Failed\r\n\r\n", endless},
	} {
		c := NewClient(serveBytes(t, tc.response, tc.repeat, false), 2*time.Second, nil)
		if h, err := c.Health(t.Context()); !errors.Is(err, ErrUnavailable) {
			t.Errorf("%s: Health() = %+v, error %v; want ErrUnavailable", name, h, err)
		}
		if err := c.Load(t.Context(), AdapterBuild{Adapter: "a", Version: "v1"}, 1); !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("%s: Load(): error %v, want ErrOutcomeUnknown", name, err)
		}
	}
}

// An endpoint responds without a length while the request is being sent, and resets the connection in the middle of the
// body. Half of such bodies looked complete.
func TestResetWhileSendingBreaksUnframedResponse(t *testing.T) {
	c := NewClient(serveBytes(t, "HTTP/1.1 200 OK\r\n\r\nhalf", "", true), 2*time.Second, nil)
	for i := range 100 {
		req, err := http.NewRequest(http.MethodPost, "http://h/x", bytes.NewReader(make([]byte, 8<<20)))
		if err != nil {
			t.Fatal(err)
		}
		req.Close = i%2 == 0
		resp, err := c.Run(t.Context(), req)
		if err != nil {
			continue
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			t.Fatalf("call %d: body %q without an error", i, body)
		}
	}
}
