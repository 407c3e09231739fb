package transport

import (
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
