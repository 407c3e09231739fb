package dispatch_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
)

// repeatingService answers each request with its body. On a connection in use it writes the response before it once more first. It
// repeats the request's id in responses if named is set.
func repeatingService(t *testing.T, named bool) http.Handler {
	answer := func(r *http.Request) string {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		id := ""
		if named {
			id = engine.HeaderRequestID + ": " + r.Header.Get(engine.HeaderRequestID) + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", id, len(body), body)
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/health" {
			w.WriteHeader(http.StatusOK)
			return
		}
		earlier := answer(r)
		c, buffered, err := w.(http.Hijacker).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer c.Close()
		if writeAll(c, earlier) != nil {
			return
		}
		in := bufio.NewReader(io.MultiReader(io.LimitReader(buffered, int64(buffered.Reader.Buffered())), c))
		for {
			next, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			own := answer(next)
			if writeAll(c, earlier+own) != nil {
				return
			}
			earlier = own
		}
	})
}

func writeAll(c net.Conn, text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// An endpoint writes a response once more where the next one is expected. A caller must not receive the response to another request,
// whether responses repeat the ids of requests or not.
func TestRepeatedResponseIsNotForwarded(t *testing.T) {
	for _, named := range []bool{true, false} {
		runFleetTest(t, func(f *fleet) {
			f.addServiceHandler(repeatingService(f.t, named))
			job := depositJob("")
			job.Path, job.Idempotent = "/hours", true
			served := 0
			for i := range 10 {
				body := fmt.Sprintf("request %d", i)
				got := send(f.t.Context(), f.dispatcher, job, body)
				if got.Refusal != nil {
					continue
				}
				served++
				if got.body != body {
					f.t.Errorf("ids in responses %t: response to %q is %q", named, body, got.body)
				}
			}
			if !named && served < 9 {
				f.t.Errorf("without ids in responses %d of 10 requests were served, want at least 9", served)
			}
		})
	}
}
