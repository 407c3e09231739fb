package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// serve starts a server that calls respond for the n-th request (from 1) of each
// connection. It closes the connection when respond returns false. connections
// counts the accepted connections.
func serve(t *testing.T, respond func(c net.Conn, r *http.Request, n int) bool) (address string, connections *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = &atomic.Int64{}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			connections.Add(1)
			go func() {
				defer c.Close()
				br := bufio.NewReader(c)
				for n := 1; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					if _, err := io.Copy(io.Discard, r.Body); err != nil {
						return
					}
					if !respond(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String(), connections
}

func write(c net.Conn, text string) bool {
	_, err := io.WriteString(c, text)
	return err == nil
}

// requests counts the requests of newRequest.
var requests atomic.Int64

// newRequest returns a request that the endpoint knows by the header Id. Its ID is that of no other request.
func newRequest(id string) *Request {
	return &Request{
		ID: fmt.Sprintf("%s-%d", id, requests.Add(1)), Method: http.MethodPost, URI: "/x?y=1", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte("body"),
	}
}

// readBody reads the body of r to its end and closes r.
func readBody(t *testing.T, r *Response) (string, error) {
	t.Helper()
	data, err := io.ReadAll(r.Body)
	r.Close(err == nil)
	return string(data), err
}

func TestConnectionIsReused(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := NewPool()
	for range 5 {
		r, err := p.Do(t.Context(), address, newRequest("1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := readBody(t, r); err != nil || body != "ok" {
			t.Errorf("body = %q, error %v; want \"ok\" and no error", body, err)
		}
	}
	if n := connections.Load(); n != 1 {
		t.Errorf("5 requests used %d connections, want 1", n)
	}
}

// An endpoint sends a second, unrequested response after each response. The
// connection must be closed: on a reused one, the next request would receive it.
func TestUnrequestedResponseIsNotDelivered(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n"
	address, connections := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		return write(c, head+r.Header.Get("Id")[:2]+head+"??")
	})
	p := NewPool()
	for _, id := range []string{"a1", "a2", "a3"} {
		r, err := p.Do(t.Context(), address, newRequest(id), 0)
		if err != nil {
			t.Fatal(err)
		}
		if body, _ := readBody(t, r); body != id {
			t.Errorf("body = %q, want %q", body, id)
		}
		time.Sleep(5 * time.Millisecond) // The unrequested response arrives.
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("3 requests used %d connections, want 3", n)
	}
}

// A late response to an earlier request arrives before the response to the current
// one. Request.MatchResponse rejects it by its id, and Do skips it.
func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, r *http.Request, n int) bool {
		late := ""
		if n == 2 {
			late = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nId: old\r\n\r\nlate"
		}
		id := r.Header.Get("Id")
		return write(c, late+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: "+id+"\r\n\r\nown")
	})
	p := NewPool()
	for _, id := range []string{"1", "2"} {
		q := newRequest(id)
		q.MatchResponse = matchID(id)
		r, err := p.Do(t.Context(), address, q, 0)
		if err != nil {
			t.Fatal(err)
		}
		if body, err := readBody(t, r); err != nil || body != "own" {
			t.Errorf("request %s: body = %q, error %v; want \"own\" and no error", id, body, err)
		}
	}
}

// matchID returns the MatchResponse of a request whose responses have its id in their header.
func matchID(id string) func(http.Header) Match {
	return func(h http.Header) Match {
		switch h.Get("Id") {
		case id:
			return MatchOwn
		case "":
			return MatchUnnamed
		default:
			return MatchOther
		}
	}
}

// A faulty endpoint writes an earlier refusal once more, where the next response is expected. The refusal says that a
// request did not run, and it is not that of this request: with the id of the earlier one it is skipped, without an id it
// proves nothing, whether or not earlier responses of the connection had one.
func TestRepeatedRefusalIsNotTakenForTheNextResponse(t *testing.T) {
	const refusal = "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n"
	for name, tc := range map[string]struct {
		first, repeated string // Headers of the refusal and of its repetition.
		wantStatus      int    // Of the second request; 0: it may have run.
	}{
		"with the id of the earlier request": {"Id: 1\r\n", "Id: 1\r\n", http.StatusOK},
		"without an id":                      {"Id: 1\r\n", "", 0},
		"never with an id":                   {"", "", http.StatusOK}, // On a connection of its own.
	} {
		address, _ := serve(t, func(c net.Conn, r *http.Request, n int) bool {
			if r.Header.Get("Id") == "1" {
				return write(c, refusal+tc.first+"\r\n")
			}
			repeated := ""
			if n > 1 {
				repeated = refusal + tc.repeated + "\r\n"
			}
			return write(c, repeated+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: 2\r\n\r\nown")
		})
		p := NewPool()
		do := func(id string) (*Response, error) {
			q := newRequest(id)
			q.MatchResponse = matchID(id)
			return p.Do(t.Context(), address, q, 0)
		}
		first, err := do("1")
		if err != nil || first.Status != http.StatusServiceUnavailable {
			t.Fatalf("%s: first response %+v, error %v; want the refusal", name, first, err)
		}
		if _, err := readBody(t, first); err != nil {
			t.Fatal(name, err)
		}
		second, err := do("2")
		if tc.wantStatus == 0 {
			if !errors.Is(err, ErrWrongResponse) || !errors.Is(err, ErrConnectionBroken) {
				t.Errorf("%s: second response %+v, error %v; want %v, so that the request may have run", name, second, err, ErrWrongResponse)
			}
			continue
		}
		if err != nil || second.Status != tc.wantStatus {
			t.Errorf("%s: second response %+v, error %v; want its own", name, second, err)
		}
	}
}

// An endpoint leaves the id out of its refusals and names requests in other responses. At most the first refusal on a
// connection in use is in doubt; after it, requests have connections of their own, and refusals prove that they did not run.
func TestUnnamedRefusalOnOwnConnectionIsProof(t *testing.T) {
	address, _ := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
		id := r.Header.Get("Id")
		if id == "refuse" {
			return write(c, "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		}
		return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nId: "+id+"\r\n\r\nok")
	})
	p := NewPool()
	inDoubt := 0
	for n := range 20 {
		id := fmt.Sprint(n)
		if n%2 == 1 {
			id = "refuse"
		}
		q := newRequest(id)
		q.MatchResponse = matchID(id)
		r, err := p.Do(t.Context(), address, q, 0)
		if err != nil {
			inDoubt++
			continue
		}
		if _, err := readBody(t, r); err != nil {
			t.Fatal(err)
		}
	}
	if inDoubt > 1 {
		t.Errorf("%d of 10 refusals proved nothing, want at most 1", inDoubt)
	}
	p.CloseExpired(time.Now().Add(unnamedRetention))
	if p.sendsUnnamed(address, time.Now()) {
		t.Error("the address is still remembered after the retention")
	}
}

func TestTruncatedResponseIsReportedBroken(t *testing.T) {
	for name, text := range map[string]string{
		"shorter than its length": "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"within a chunk":          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\nhalf",
		"without the last chunk":  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		address, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, text)
			return false
		})
		r, err := NewPool().Do(t.Context(), address, newRequest("1"), 0)
		if err != nil {
			t.Fatal(name, err)
		}
		if _, err := readBody(t, r); !errors.Is(err, ErrConnectionBroken) {
			t.Errorf("%s: error = %v, want ErrConnectionBroken", name, err)
		}
	}
}

// A response without a length ends with its connection. It is complete after a
// regular close and truncated after a reset.
func TestResponseWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		address, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
			write(c, "HTTP/1.1 200 OK\r\n\r\nhalf")
			if reset {
				time.Sleep(5 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			return false
		})
		r, err := NewPool().Do(t.Context(), address, newRequest("1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		body, err := readBody(t, r)
		if reset != (err != nil) || body != "half" {
			t.Errorf("reset %v: body = %q, error %v; want body \"half\", and an error only after a reset", reset, body, err)
		}
	}
}

func TestFailureTypes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	unused := listener.Addr().String()
	_ = listener.Close()
	if _, err := NewPool().Do(t.Context(), unused, newRequest("1"), 0); !errors.Is(err, ErrNotSent) {
		t.Errorf("closed port: error = %v, want ErrNotSent", err)
	}
	var arrived atomic.Int64
	silent, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		arrived.Add(1)
		time.Sleep(300 * time.Millisecond)
		return false
	})
	if _, err := NewPool().Do(t.Context(), silent, newRequest("1"), 30*time.Millisecond); !errors.Is(err, ErrConnectionBroken) {
		t.Errorf("silent endpoint: error = %v, want ErrConnectionBroken", err)
	}
	notHTTP, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		write(c, "not an HTTP response\r\n\r\n")
		return false
	})
	if _, err := NewPool().Do(t.Context(), notHTTP, newRequest("1"), 0); !errors.Is(err, ErrMalformedResponse) {
		t.Errorf("bytes that are not HTTP: error = %v, want ErrMalformedResponse", err)
	}
	if arrived.Load() != 1 {
		t.Errorf("the silent endpoint received the request %d times, want 1", arrived.Load())
	}
}

// The endpoint closes a reused connection instead of responding. net/http would
// send a GET without a body again in this case; Do must not.
func TestRequestIsNeverSentTwice(t *testing.T) {
	var arrived atomic.Int64
	address, _ := serve(t, func(c net.Conn, _ *http.Request, n int) bool {
		arrived.Add(1)
		return n == 1 && write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	})
	p := NewPool()
	get := &Request{ID: "1", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
	r, err := p.Do(t.Context(), address, get, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = readBody(t, r)
	get.ID = "2"
	if _, err := p.Do(t.Context(), address, get, 0); !errors.Is(err, ErrConnectionBroken) {
		t.Errorf("second request: error = %v, want ErrConnectionBroken", err)
	}
	if n := arrived.Load(); n != 2 {
		t.Errorf("the endpoint received %d requests, want 2", n)
	}
}

// The endpoint responds before it has read the whole request body. The connection
// must not be reused: the endpoint would read the next request as the rest of the
// body.
func TestEarlyResponseClosesConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	reused := make(chan string, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				first, _ := http.ReadRequest(bufio.NewReaderSize(c, 16))
				write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nId: "+first.Header.Get("Id")+"\r\n\r\n")
				time.Sleep(50 * time.Millisecond)
				rest, _ := io.ReadAll(c)
				if strings.Contains(string(rest), "HTTP/1.1") {
					reused <- "the connection carried a second request within the body of the first"
				}
			}()
		}
	}()
	p := NewPool()
	large := newRequest("1")
	large.Body = make([]byte, 8<<20) // More than the socket buffers hold.
	r, err := p.Do(t.Context(), l.Addr().String(), large, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = readBody(t, r)
	r, err = p.Do(t.Context(), l.Addr().String(), newRequest("2"), 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = readBody(t, r)
	select {
	case failure := <-reused:
		t.Error(failure)
	case <-time.After(100 * time.Millisecond):
	}
}

func TestCancelledContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	address, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")
		_, _ = c.Read(make([]byte, 1))
		close(closed)
		return false
	})
	ctx, cancel := context.WithCancel(t.Context())
	r, err := NewPool().Do(ctx, address, newRequest("1"), 0)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	if _, err := readBody(t, r); err == nil {
		t.Error("reading the body after the context was cancelled returned no error")
	}
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		t.Error("the connection is still open 5 s after the context was cancelled")
	}
}

func TestConnectionClosedWhileIdleIsNotReused(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		write(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		return false
	})
	p := NewPool()
	for range 3 {
		r, err := p.Do(t.Context(), address, newRequest("1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = readBody(t, r)
		time.Sleep(5 * time.Millisecond) // The close arrives.
	}
	if n := connections.Load(); n != 3 {
		t.Errorf("3 requests used %d connections, want 3", n)
	}
}

func TestKeepAliveTimeoutOfEndpointIsRespected(t *testing.T) {
	address, connections := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		return write(c, "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 0\r\n\r\n")
	})
	p := NewPool()
	for range 2 {
		r, err := p.Do(t.Context(), address, newRequest("1"), 0)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = readBody(t, r)
		time.Sleep(time.Millisecond)
	}
	if n := connections.Load(); n != 2 {
		t.Errorf("2 requests used %d connections, want 2", n)
	}
}

// Pieces of a body are used for other requests once Sent was called: that must be after the last byte was sent, and once whatever
// the outcome.
func TestPiecesAreSentBeforeTheyAreReturned(t *testing.T) {
	bodies := make(chan string, 1)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/early" {
			w.WriteHeader(http.StatusServiceUnavailable) // Responds before the body was read.
			return
		}
		data, _ := io.ReadAll(r.Body)
		bodies <- string(data)
	})}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	large := strings.Repeat("0123456789", 200<<10)
	for _, c := range []struct{ name, address, uri, body string }{
		{"small", l.Addr().String(), "/", "0123456789"},
		{"large", l.Addr().String(), "/", large},
		{"early response", l.Addr().String(), "/early", large},
		{"not reached", "127.0.0.1:1", "/", large},
	} {
		pieces := [][]byte{[]byte(c.body[:3]), []byte(c.body[3:7]), []byte(c.body[7:])}
		returned := make(chan struct{}, 2)
		r := newRequest(c.name)
		r.URI, r.Body, r.Pieces = c.uri, nil, pieces
		r.Sent = func() {
			clear(pieces[2]) // As another request does that uses the piece.
			returned <- struct{}{}
		}
		resp, err := NewPool().Do(t.Context(), c.address, r, 0)
		if err == nil {
			_, _ = readBody(t, resp)
		}
		<-returned
		if c.uri == "/" && err == nil {
			if got := <-bodies; got != c.body {
				t.Errorf("%s: the endpoint received %d bytes that differ from the %d sent", c.name, len(got), len(c.body))
			}
		}
		select {
		case <-returned:
			t.Errorf("%s: Sent was called twice", c.name)
		case <-time.After(20 * time.Millisecond):
		}
	}
}
