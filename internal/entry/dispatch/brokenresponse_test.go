package dispatch_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against parts of bodies and responses without a valid status that reach callers as answers, on the path of the entry and
// the agent: an endpoint answers a long upload at once without a length and ends the connection, or answers with status 000.
func TestBrokenResponseOfServiceIsNoSuccess(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		early    bool // The request is not read to its end.
	}{
		"end during the upload":    {"HTTP/1.1 200 OK\r\n\r\npart of the body", true},
		"status 000":               {"HTTP/1.1 000 OK\r\nContent-Length: 4\r\n\r\nbody", false},
		"status 000, no length":    {"HTTP/1.1 000 OK\r\n\r\nbody", false},
		"status 000, upload ended": {"HTTP/1.1 000 OK\r\n\r\nbody", true},
	} {
		t.Run(name, func(t *testing.T) {
			runFleetTest(t, func(f *fleet) {
				runs := 0
				f.addServiceHandler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodGet {
						return // The health check.
					}
					runs++
					conn, buffer, err := http.NewResponseController(w).Hijack()
					if err != nil {
						f.t.Error(err)
						return
					}
					defer conn.Close()
					if !c.early {
						_, _ = io.CopyN(io.Discard, bufio.NewReader(buffer), r.ContentLength) // Fails only if the agent has left.
					}
					_, _ = io.WriteString(conn, c.response)
					time.Sleep(100 * time.Millisecond) // The response is read before the connection ends.
				}))
				got := f.depositWithBody("", strings.Repeat("x", 512<<10))
				if runs == 0 {
					f.t.Fatal("the request did not reach the service")
				}
				if got.Refusal == nil && !got.Incomplete {
					f.t.Errorf("response = %d %q, want a failure", got.status, got.body)
				}
				if got.status < http.StatusInternalServerError && !got.Incomplete {
					f.t.Errorf("status = %d, want one of a failure", got.status)
				}
			})
		})
	}
}
