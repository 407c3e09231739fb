package quota

import (
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
)

// A body beyond its bound was cut there and counted as a response.
func TestEndlessResponseOfRouterIsNone(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for piece := make([]byte, 64<<10); ; {
			if _, err := w.Write(piece); err != nil {
				return
			}
		}
	}))
	defer server.Close()
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := NewPeers("r1", &http.Transport{}, logrus.NewEntry(log))
	if err := p.Call(t.Context(), Peer{VM: "r2", Address: server.Listener.Addr().String()}, PathPing, nil, nil); !errors.Is(err, ErrNoResponse) {
		t.Errorf("Call() of a router that responds without end: error %v, want ErrNoResponse", err)
	}
}
