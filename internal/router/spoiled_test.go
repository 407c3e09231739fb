package router

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// spoilingEndpoint is an endpoint that answers each request with fixed bytes and the end of the connection.
type spoilingEndpoint struct {
	listener net.Listener
	response []byte
}

func (e *spoilingEndpoint) serve() {
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return // The test has ended.
		}
		if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = c.Write(e.response)
		}
		_ = c.Close()
	}
}

// callSpoiled sends a request to a router whose only endpoint answers with the given bytes.
func callSpoiled(t *testing.T, kind catalog.Kind, response []byte) (w *httptest.ResponseRecorder, aborted bool) {
	t.Helper()
	r := startedRouter(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go (&spoilingEndpoint{l, response}).serve()
	r.state.SetConfig(catalog.NewConfig(2, []*catalog.Route{{
		Name: "pay", Host: "forge.example", PathPrefix: "/pay/", Kind: kind, MaxAttempts: 1,
		Timeout: time.Second, Splits: []catalog.Split{{Service: "app", Weight: 1}},
	}}, map[string]*catalog.Service{"app": {Name: "app"}}, nil))
	r.state.SetEndpoint(&catalog.Endpoint{ID: "e", Service: "app", Address: l.Addr().String(), Slots: 1})
	req := httptest.NewRequest(http.MethodPost, "http://forge.example/pay/x", nil)
	req.Header.Set("Request-Id", "a1")
	w = httptest.NewRecorder()
	defer func() {
		if p := recover(); p != nil {
			if p != http.ErrAbortHandler {
				panic(p)
			}
			aborted = true
		}
	}()
	r.ServeHTTP(w, req)
	return w, false
}

const (
	soundHead   = "HTTP/1.1 200 OK\r\nRequest-Id: a1\r\nResponse-Seal: s.e.a1\r\n"
	soundPlain  = soundHead + "Content-Length: 4\r\n\r\npaid"
	soundStream = soundHead + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n14\r\nid: 1\r\ndata: one\r\n\r\n\r\n0\r\n\r\n"
)

// validHeads matches the heads of a response and of informational ones before it.
var validHeads = regexp.MustCompile("^(HTTP/1\\.[0-9] [1-5][0-9]{2}( [^\\x00-\\x08\\x0a-\\x1f\\x7f]*)?\r\n([!#$%&'*+.^_`|~0-9A-Za-z-]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\r\n)*\r\n)+")

// Whatever an endpoint writes, a caller gets a success only from a valid head, with the endpoint's signature, for its own
// request and with a body that the endpoint sent whole.
func FuzzSpoiledResponse(f *testing.F) {
	for _, text := range []string{
		soundPlain, soundStream, soundHead + "\r\npaid",
		strings.Replace(soundPlain, "Request-Id", "Rfquest-Id", 1), strings.Replace(soundPlain, "Response-Seal", "Respon\x00e-Seal", 1),
		strings.Replace(soundPlain, "Response-Seal: s.e.a1", "Response-Seal:", 1), strings.Replace(soundPlain, "a1", "b2", 1),
		strings.Replace(soundPlain, "Length: 4", "Length: 9", 1), strings.Replace(soundPlain, "Length: 4", "Encoding: gzip", 1),
		strings.Replace(soundPlain, "200 OK", "200 OK\r\nNot-Executed: 1", 1), strings.Replace(soundPlain, "Length: 4", "Length: 4\r\nContent-Length: 3", 1),
		"HTTP/1.1 103 Early Hints\r\n\r\n" + soundPlain, strings.Replace(soundStream, "0\r\n\r\n", "", 1), strings.Replace(soundStream, "14\r\n", "zz\r\n", 1), "\x00\x01\x02", soundPlain + soundPlain,
		strings.Replace(soundPlain, "200", "000", 1), strings.Replace(soundPlain, "200", "700", 1), strings.Replace(soundPlain, "Length:", "Length :", 1),
		strings.Replace(soundPlain, "Content-", "X Own: 1\r\nContent-", 1), strings.Replace(soundPlain, "Content-", " ontent-", 1),
		strings.Replace(soundPlain, "Content-", "\nontent-", 1), strings.Replace(soundStream, "Transfer-", "\tTransfer-", 1), strings.ReplaceAll(soundPlain, "\r\n", "\n"),
	} {
		f.Add(true, []byte(text))
		f.Add(false, []byte(text))
	}
	f.Fuzz(func(t *testing.T, stream bool, response []byte) {
		kind := catalog.KindUnsafe
		if stream {
			kind = catalog.KindStream
		}
		w, aborted := callSpoiled(t, kind, response)
		if aborted || w.Code/100 != 2 {
			if string(response) == soundPlain && !stream || string(response) == soundStream {
				t.Errorf("sound response: status %d, aborted %t; want it to be passed on", w.Code, aborted)
			}
			return
		}
		if !validHeads.Match(response) {
			t.Errorf("success from %q, whose head is invalid", response)
		}
		if w.Header().Get("Response-Seal") == "" || w.Header().Get("Content-Encoding") != "" {
			t.Errorf("success with the headers %v from %q", w.Header(), response)
		}
		if id := w.Header().Get("Request-Id"); id != "" && id != "a1" {
			t.Errorf("success of the request %q from %q", id, response)
		}
		in := bufio.NewReader(bytes.NewReader(response))
		sent, err := http.ReadResponse(in, nil)
		for err == nil && sent.StatusCode < 200 { // Informational.
			sent, err = http.ReadResponse(in, nil)
		}
		if err != nil {
			t.Fatalf("success from %q, which is no response: %v", response, err)
		}
		body, err := io.ReadAll(sent.Body)
		if !stream && (err != nil || !bytes.Equal(body, w.Body.Bytes())) {
			t.Errorf("success with the body %q from %q (error %v), want the whole body", w.Body, response, err)
		}
		if stream && (err != nil || !bytes.HasPrefix(body, w.Body.Bytes())) {
			t.Errorf("complete stream %q from %q (error %v), want whole events", w.Body, response, err)
		}
	})
}
