package vmlist

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"
)

// A list without end was read into memory until the timeout of the call, and a head up to 10 MB.
func TestEndlessListIsBounded(t *testing.T) {
	const maxAllocated = 8 * maxListBytes
	for name, tc := range map[string]struct{ begin, repeat string }{
		"list": {"HTTP/1.1 200 OK\r\n\r\n[", strings.Repeat(`{"id":"a"},`, 6000)},
		"text": {"HTTP/1.1 200 OK\r\n\r\n[\"", strings.Repeat("x", 64<<10)},
		"head": {"HTTP/1.1 200 OK\r\n", strings.Repeat("a:\r\n", 16<<10)},
	} {
		repeat := []byte(tc.repeat) // Writing the text would allocate a copy each time.
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			_, err = io.WriteString(c, tc.begin)
			for err == nil {
				_, err = c.Write(repeat)
			}
		}))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		vms, err := NewClient(server.URL, 2*time.Second).VMs(t.Context())
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; !errors.Is(err, ErrUnavailable) || allocated > maxAllocated {
			t.Errorf("%s: %d rows, error %v after %d bytes were allocated, want ErrUnavailable after %d at most", name, len(vms), err, allocated, maxAllocated)
		}
		server.CloseClientConnections()
		server.Close()
	}
}
