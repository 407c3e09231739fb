package schedulerapi

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
)

// A body beyond its bound was cut there and counted as the whole response: a record as stored, for instance.
func TestEndlessResponseIsNone(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for piece := make([]byte, 4<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	reply, err := Post(t.Context(), http.DefaultClient, server.Listener.Addr().String()+"/x", struct{}{}, 16<<10)
	if !errors.Is(err, ErrNoResponse) {
		t.Errorf("Post() = %d bytes, error %v; want ErrNoResponse", len(reply), err)
	}
}
