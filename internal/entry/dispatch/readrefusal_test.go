package dispatch

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/iotest"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// The deadline passes while an agent's refusal is read, which the agent writes at the same deadline. The caller must be told of
// the deadline, not that the answer belonged to another request.
func TestRefusalCutByDeadlineIsReportedAsDeadline(t *testing.T) {
	resp := func() *http.Response {
		return &http.Response{
			StatusCode: http.StatusGatewayTimeout, Header: http.Header{refusal.HeaderRan: {string(refusal.RanUnknown)}},
			Body: io.NopCloser(iotest.ErrReader(context.DeadlineExceeded)),
		}
	}
	passed, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	for name, tc := range map[string]struct {
		ctx  context.Context
		want refusal.Code
	}{
		"deadline":          {passed, refusal.CodeDeadlineExceeded},
		"connection broken": {t.Context(), refusal.CodeEndpointFailed},
	} {
		got := readRefusal(tc.ctx, resp()).result.Refusal
		if got == nil || got.Code != tc.want || got.Ran != refusal.RanUnknown {
			t.Errorf("%s: refusal = %v, want %s and that it may have run", name, got, tc.want)
		}
	}
}
