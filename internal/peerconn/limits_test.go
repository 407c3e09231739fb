package peerconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// limitedServer starts a server of NewServer with a short time for bodies, and returns a client and the server's URL.
func limitedServer(t *testing.T, h http.HandlerFunc) (*http.Client, string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(nil)
	s.Handler = handler{h, 50 * time.Millisecond}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: 20 * time.Second}, "http://" + l.Addr().String()
}

// A body that stops must not hold a call for ever, and a call whose body is complete may last longer than the time for bodies.
func TestStoppedBodyEndsCall(t *testing.T) {
	ended := make(chan error, 1)
	client, url := limitedServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, err := io.ReadAll(r.Body)
		if err == nil {
			select {
			case <-r.Context().Done():
				err = context.Cause(r.Context())
			case <-time.After(200 * time.Millisecond):
			}
		}
		ended <- err
	})
	if resp, err := client.Post(url, "", strings.NewReader("whole")); err != nil || resp.StatusCode != http.StatusOK {
		t.Errorf("complete body: %v, error %v", resp, err)
	}
	if err := <-ended; err != nil {
		t.Errorf("a call with a complete body was ended: %v", err)
	}
	body, writer := io.Pipe()
	defer writer.Close()
	go func() { _, _ = io.WriteString(writer, "begun") }()
	go func() { _, _ = client.Post(url, "", body) }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("a body that stopped was read as complete")
		}
	case <-time.After(10 * time.Second):
		t.Error("a body that stopped holds its call")
	}
}

// Header sections far above those of calls, in CONTINUATION frames, must be refused.
func TestLongHeaderSectionIsRefused(t *testing.T) {
	client, url := limitedServer(t, func(http.ResponseWriter, *http.Request) { t.Error("the call was served") })
	req, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Long", strings.Repeat("x", 200<<10))
	resp, err := client.Do(req)
	if err == nil && resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", resp.StatusCode)
	}
}
