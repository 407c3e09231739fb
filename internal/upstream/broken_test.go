package upstream

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"
)

// expectMalformed expects that a response of the given bytes is reported at once as one that is no response and after which
// the request may have run: on a new connection, on one in use, after an informational response and after a late response
// to an earlier request.
func expectMalformed(t *testing.T, response string) {
	t.Helper()
	for _, before := range []string{
		"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 4\r\n\r\nlate",
	} {
		address, _ := serve(t, func(c net.Conn, r *http.Request, n int) bool {
			if r.Header.Get("Id") == "1" {
				return write(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 0\r\n\r\n")
			}
			return write(c, before+response)
		})
		p := NewPool()
		do := func(id string) (*Response, error) {
			q := newRequest(id)
			q.MatchResponse = matchID(id)
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			return p.Do(ctx, address, q, 0)
		}
		for _, id := range []string{"2", "1", "2"} {
			began := time.Now()
			r, err := do(id)
			if id == "1" && err == nil {
				_, err = readBody(t, r)
			}
			if id == "2" && (!errors.Is(err, ErrMalformedResponse) || time.Since(began) > 2*time.Second) {
				t.Errorf("%q: response %+v, error %v after %s; want ErrMalformedResponse at once", before+response, r, err, time.Since(began))
			}
			if id == "1" && err != nil {
				t.Fatal(err)
			}
		}
	}
}

// A status of 000 was skipped like an informational response, and the body was read as the beginning of the next head.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for _, status := range []string{"000 OK", "000", "099 OK", "101 Switching Protocols", "600 OK", "999 OK"} {
		expectMalformed(t, "HTTP/1.1 "+status+"\r\nId: 2\r\nContent-Length: 4\r\n\r\nbody")
	}
}

// Lines whose name holds a blank were left out of what callers got, with the length or the signature if it was theirs; a
// line feed at the beginning of a name ended the head, and the rest of it became a part of the body.
func TestInvalidFieldIsNoResponse(t *testing.T) {
	for _, line := range []string{
		"X Own: x", "X-Own : x", " X-Own: x", "\tX-Own: x", "X-Own\t: x", "X\x00Own: x", "X\x7fOwn: x", "X\nOwn: x", "\nX-Own: x", "\rX-Own: x",
		"X\rOwn: x", ": x", "X-Own: x\n", "X-Own: \x01",
	} {
		expectMalformed(t, "HTTP/1.1 200 OK\r\nId: 2\r\n"+line+"\r\nContent-Length: 4\r\n\r\nbody")
	}
}
