package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// The first bytes of an earlier response precede the response to a request, so that both may read as one head: the
// status of one with the id of the other. Wherever the earlier one is cut, the request gets its own response or
// an error that leaves open whether it ran.
func TestPartOfEarlierResponseIsNotMergedWithNext(t *testing.T) {
	const (
		refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nId: 1\r\nContent-Length: 4\r\n\r\nfull"
		unnamed = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		wrong   = "HTTP/1.0 421 Misdirected Request\r\nContent-Length: 0\r\nServer: x\r\nId: 1\r\n\r\n"
		chunked = "HTTP/1.1 200 OK\r\nResponse-Seal: s1\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n\r\n"
	)
	for name, tc := range map[string]struct {
		earlier, own, body string
		status             int
	}{
		"refusal, success":    {refusal, "HTTP/1.1 200 OK\r\nId: 2\r\nResponse-Seal: s2\r\nContent-Length: 3\r\n\r\nown", "own", http.StatusOK},
		"unnamed, success":    {unnamed, "HTTP/1.1 200 OK\r\nId: 2\r\nResponse-Seal: s2\r\nContent-Length: 3\r\n\r\nown", "own", http.StatusOK},
		"misdirected, stream": {wrong, "HTTP/1.1 200 OK\r\nId: 2\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nown\r\n0\r\n\r\n", "own", http.StatusOK},
		"success, refusal":    {chunked, "HTTP/1.1 503 Busy\r\nId: 2\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", "", http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for cut := 1; cut < len(tc.earlier); cut++ {
				address, _ := serve(t, func(c net.Conn, r *http.Request, _ int) bool {
					if r.Header.Get("Id") == "1" {
						return write(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
					}
					return write(c, tc.earlier[:cut]+tc.own)
				})
				p := NewPool()
				ctx, cancel := context.WithTimeout(t.Context(), 500*time.Millisecond)
				defer cancel()
				do := func(id string) (*Response, error) {
					q := newRequest(id)
					q.MatchResponse = matchID(id)
					return p.Do(ctx, address, q, 0)
				}
				first, err := do("1")
				if err != nil {
					t.Fatal(err)
				}
				_, _ = readBody(t, first)
				r, err := do("2")
				if err != nil {
					if errors.Is(err, ErrNotSent) {
						t.Errorf("cut at %d: error = %v, want one that leaves open whether the request ran", cut, err)
					}
					continue
				}
				if body, err := readBody(t, r); r.Status != tc.status || body != tc.body || err != nil || !r.Reused {
					t.Errorf("cut at %d: status %d, headers %v, body %q, error %v; want status %d and body %q", cut, r.Status, r.Header, body, err, tc.status, tc.body)
				}
			}
		})
	}
}

// An endpoint stops at any byte of a response's head and closes the connection. This is no response, also if what arrived
// reads as one without a length.
func TestHeadThatStopsIsNoResponse(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nId: 1\r\nResponse-Seal: s1\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: 1\r\nResponse-Seal: s1\r\n\r\n",
		"HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nId: 1\r\n\r\n",
	} {
		for cut := range len(head) {
			address, _ := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
				write(c, head[:cut])
				return false
			})
			q := newRequest("1")
			q.MatchResponse = matchID("1")
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			if r, err := NewPool().Do(ctx, address, q, 0); err == nil || errors.Is(err, ErrNotSent) {
				t.Errorf("head %q: response %+v, error %v; want an error that leaves open whether the request ran", head[:cut], r, err)
			}
			cancel()
		}
	}
}
