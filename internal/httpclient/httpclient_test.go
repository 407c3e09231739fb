package httpclient

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/responsehead"
)

// serve starts a server that calls respond with each connection once the first bytes of a request have arrived.
func serve(t *testing.T, respond func(c *net.TCPConn)) (url string, requests *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	requests = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for buf := make([]byte, 4<<10); ; {
					if _, err := c.Read(buf); err != nil {
						return
					}
					requests.Add(1) // Before the response, after which the test may read it.
					respond(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return "http://" + l.Addr().String(), requests
}

// call sends a request with a body of n bytes, none for 0, and returns the whole response.
func call(client *http.Client, url string, n int) (status int, body string, err error) {
	method, sent := http.MethodGet, io.Reader(http.NoBody)
	if n > 0 {
		method, sent = http.MethodPost, bytes.NewReader(make([]byte, n))
	}
	req, err := http.NewRequest(method, url, sent)
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

func newClient() *http.Client {
	return &http.Client{Transport: New(&http.Transport{DisableCompression: true}), Timeout: 5 * time.Second}
}

// net/http delivers these responses: with their status, without their invalid lines, or with the rest of the head as body.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"
	for _, invalid := range []string{
		strings.Replace(sound, "200", "000", 1), strings.Replace(sound, "200", "700", 1), strings.Replace(sound, "200", "101", 1),
		strings.Replace(sound, "Content-", "X Own: 1\r\nContent-", 1), strings.Replace(sound, "Length:", "Length :", 1),
		strings.Replace(sound, "Content-", " ontent-", 1), strings.Replace(sound, "Content-", "\nontent-", 1),
	} {
		var responses atomic.Int64
		url, requests := serve(t, func(c *net.TCPConn) {
			text := sound
			if responses.Add(1) == 2 { // On a connection in use.
				text = invalid
			}
			_, _ = io.WriteString(c, text)
		})
		client := newClient()
		for i, valid := range []bool{true, false, true} {
			began := time.Now()
			status, body, err := call(client, url, 0)
			if valid != (err == nil && body == "body") || time.Since(began) > 2*time.Second {
				t.Errorf("%q, call %d: status %d, body %q, error %v after %s; want an error at once: %t", invalid, i, status, body, err, time.Since(began), !valid)
			}
		}
		if n := requests.Load(); n != 3 {
			t.Errorf("%q: 3 calls made %d requests", invalid, n)
		}
	}
}

// A head of short lines without end took many times its length in memory, up to 10 MB of length.
func TestEndlessHeadIsBounded(t *testing.T) {
	const maxAllocated = 8 << 20
	lines := []byte(strings.Repeat("a:\r\n", 4<<10))
	url, _ := serve(t, func(c *net.TCPConn) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for err == nil {
			_, err = c.Write(lines)
		}
	})
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, _, err := call(newClient(), url, 0)
	runtime.ReadMemStats(&after)
	if allocated := after.TotalAlloc - before.TotalAlloc; !errors.Is(err, responsehead.ErrTooLarge) || allocated > maxAllocated {
		t.Errorf("error %v after %d bytes were allocated, want ErrTooLarge after %d at most", err, allocated, maxAllocated)
	}
}

// An endpoint responds without a length while the request is being sent, and resets the connection, or ends it without
// reading the rest. The response may be whole only if the request was sent.
func TestUnframedResponseNeedsWholeRequest(t *testing.T) {
	const head, size = "HTTP/1.1 200 OK\r\n\r\n", 8 << 20
	for name, tc := range map[string]struct {
		calls   int
		respond func(c *net.TCPConn)
		whole   bool
	}{
		"reset": {200, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, head+"half")
			time.Sleep(2 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}, false},
		"end, rest unread": {1, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, head+"half")
			_ = c.CloseWrite()
			time.Sleep(3 * time.Second)
		}, false},
		"end, rest read": {20, func(c *net.TCPConn) {
			_, _ = io.WriteString(c, head+"whole")
			_ = c.CloseWrite()
			_, _ = io.Copy(io.Discard, c)
		}, true},
	} {
		url, _ := serve(t, tc.respond)
		for i := range tc.calls {
			_, body, err := call(newClient(), url, size)
			if tc.whole != (err == nil && body == "whole") || !tc.whole && err == nil {
				t.Fatalf("%s, call %d: body %q, error %v; want a whole response: %t", name, i, body, err, tc.whole)
			}
		}
	}
}
