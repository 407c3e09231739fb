package upstream

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// doAll sends requests with the given ids one after the other and returns the number of connections that they used.
func doAll(t *testing.T, ids []string) int64 {
	t.Helper()
	address, connections := serve(t, func(c net.Conn, _ *http.Request, _ int) bool {
		return write(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	p := NewPool()
	for _, id := range ids {
		q := newRequest("x")
		q.ID = id
		r, err := p.Do(t.Context(), address, q, 0)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := readBody(t, r); err != nil {
			t.Fatal(err)
		}
	}
	return connections.Load()
}

// On a connection that has carried the id before, an endpoint that repeats its earlier response would be believed.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	for _, tc := range []struct {
		ids  []string
		want int64
	}{
		{[]string{"a", "b", "c", "d"}, 1},
		{[]string{"a", "a"}, 2},
		{[]string{"a", "b", "c", "a", "b", "c", "d"}, 2},
		{[]string{"a", "a", "a", "b"}, 3},
	} {
		if got := doAll(t, tc.ids); got != tc.want {
			t.Errorf("requests %v used %d connections, want %d", tc.ids, got, tc.want)
		}
	}
}

// Without an id, a repeated response to an earlier request would be taken for the response to the next one.
func TestRequestWithoutIDGetsConnectionOfItsOwn(t *testing.T) {
	if got := doAll(t, []string{"a", "", "", "b"}); got != 3 {
		t.Errorf("requests with the ids a, none, none, b used %d connections, want 3", got)
	}
}

// The record of ids that a connection has carried is bounded.
func TestConnectionEndsAfterMaxRequests(t *testing.T) {
	var ids []string
	for i := range maxRequests + 1 {
		ids = append(ids, fmt.Sprint(i))
	}
	if got := doAll(t, ids); got != 2 {
		t.Errorf("%d requests used %d connections, want 2", len(ids), got)
	}
}

// An endpoint refuses a request and writes the refusal once more where the response to its second attempt is expected.
func TestRepeatedRefusalOfTheSameIDIsNotTakenForTheNextResponse(t *testing.T) {
	const refusal = "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\nId: 1\r\n\r\n"
	attempts := 0
	address, _ := serve(t, func(c net.Conn, _ *http.Request, n int) bool {
		attempts++
		if attempts == 1 {
			return write(c, refusal)
		}
		repeated := ""
		if n > 1 {
			repeated = refusal
		}
		return write(c, repeated+"HTTP/1.1 200 OK\r\nContent-Length: 3\r\nId: 1\r\n\r\nown")
	})
	p := NewPool()
	for _, want := range []int{http.StatusMisdirectedRequest, http.StatusOK} {
		q := newRequest("1")
		q.ID, q.MatchResponse = "1", matchID("1")
		r, err := p.Do(t.Context(), address, q, 0)
		if err != nil || r.Status != want {
			t.Fatalf("response %+v, error %v; want status %d", r, err, want)
		}
		if _, err := readBody(t, r); err != nil {
			t.Fatal(err)
		}
	}
}
