package vmlist

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/juju/errors"
)

// FuzzClient checks that Client.VMs returns either rows or ErrUnavailable for any
// status and body of the response.
func FuzzClient(f *testing.F) {
	for _, body := range []string{
		`[]`, `null`, `{}`, `[{"id":"engine-1","role":"engine","address":"10.0.0.1:7000","state":"live"}]`,
		`[{"id":1}]`, `[`, `[{"id":"a"}] trailing`, "",
	} {
		f.Add(http.StatusOK, body)
	}
	f.Add(http.StatusServiceUnavailable, `[]`)
	f.Fuzz(func(t *testing.T, status int, body string) {
		if status < 200 || status > 599 {
			return
		}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(body))
		}))
		defer server.Close()
		vms, err := NewClient(server.URL, time.Minute).VMs(t.Context())
		if err != nil && !errors.Is(err, ErrUnavailable) {
			t.Fatalf("VMs() returned the error %v, want ErrUnavailable", err)
		}
		if err != nil && vms != nil {
			t.Fatalf("VMs() returned the rows %v together with an error, want no rows", vms)
		}
		if status != http.StatusOK && err == nil {
			t.Fatalf("VMs() returned no error for status %d, want ErrUnavailable", status)
		}
	})
}
