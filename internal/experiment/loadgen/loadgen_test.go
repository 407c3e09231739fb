package loadgen

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

func TestRunRejectsAddressesOtherThanLoopback(t *testing.T) {
	for _, address := range []string{"10.0.0.1:80", "example.com:80", "80"} {
		_, err := Run(t.Context(), Settings{
			Address: address, Models: []string{"m"}, Requests: 1, Concurrency: 1, MaxDuration: time.Second,
		})
		if !errors.Is(err, ErrNotLoopback) {
			t.Errorf("Run() with address %q: error %v, want %v", address, err, ErrNotLoopback)
		}
	}
}

// The server answers the four requests with a complete stream, a stream without its end,
// a refusal and a closed connection.
func TestRunCountsEachOutcomeOnce(t *testing.T) {
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		switch requests.Add(1) {
		case 1:
			_, _ = io.WriteString(w, "data: {}\n\ndata: [DONE]\n\n")
		case 2:
			_, _ = io.WriteString(w, "data: {}\n\n")
		case 3:
			refusal.New(refusal.CodeRateLimited, refusal.RanNo, "later").WithRetryAfter(time.Second).Write(w)
		default:
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	report, err := Run(t.Context(), Settings{
		Address: strings.TrimPrefix(server.URL, "http://"), Models: []string{"m"},
		Requests: 4, Concurrency: 1, MaxDuration: time.Minute,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Complete != 1 || report.Broken != 1 || report.Refused[refusal.CodeRateLimited] != 1 || report.Failed != 1 {
		t.Errorf("Run() counted %d complete, %d broken, %d failed and refused %v; want 1 of each, the refusal with code %q",
			report.Complete, report.Broken, report.Failed, report.Refused, refusal.CodeRateLimited)
	}
}
