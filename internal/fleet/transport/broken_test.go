package transport

import (
	"io"
	"net/http"
	"strings"
	"testing"
)

// answer starts a fleet server with a handler and returns a client of it and its URL.
func answer(t *testing.T, handler http.HandlerFunc) (*Client, string) {
	t.Helper()
	security := Security{Secret: testSecret}
	address := serveHandler(t, security, nil, handler)
	client, err := NewClient(security, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	return client, client.URL(address, "/")
}

// A process whose responses have large heads cost each of its callers up to 10 MB for each call.
func TestLargeHeadOfResponseIsRefused(t *testing.T) {
	for bytes, refused := range map[int]bool{64 << 10: false, 1 << 20: true} {
		client, url := answer(t, func(w http.ResponseWriter, _ *http.Request) {
			for range bytes >> 10 {
				w.Header().Add("X-Filler", strings.Repeat("x", 1<<10))
			}
		})
		resp, err := client.HTTP.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		if refused != (err != nil) {
			t.Errorf("head of %d bytes: error %v, want one: %t", bytes, err, refused)
		}
	}
}

// The body of a response that a caller reads whole went on until the timeout of the call.
func TestEndlessResponseOfCallIsBounded(t *testing.T) {
	client, url := answer(t, func(w http.ResponseWriter, _ *http.Request) {
		for piece := make([]byte, 64<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	})
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if n, err := io.Copy(io.Discard, resp.Body); err == nil || n > maxCallBytes {
		t.Errorf("read %d bytes, error %v; want an error after %d at most", n, err, maxCallBytes)
	}
}
