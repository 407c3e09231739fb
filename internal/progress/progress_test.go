package progress

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// slowReader returns chunks of a size, one after each interval, until its context ends.
type slowReader struct {
	ctx      context.Context
	chunk    int
	interval time.Duration
}

func (r slowReader) Read(p []byte) (int, error) {
	select {
	case <-r.ctx.Done():
		return 0, context.Cause(r.ctx)
	case <-time.After(r.interval):
		return copy(p[:r.chunk], make([]byte, r.chunk)), nil
	}
}

// A response that keeps its rate is not cut, however long it takes. One that stalls, sends a byte now and then or falls
// below the rate is.
func TestDeadlineGrowsWithReceivedBytes(t *testing.T) {
	for name, tc := range map[string]struct {
		chunk    int
		interval time.Duration
		want     time.Duration // At which the call is cut; 0 if not within 30 s.
	}{
		"10 Mbit/s":       {8 << 10, 6 * time.Millisecond, 0},
		"minimum rate":    {MinRate, time.Second, 0},
		"half of it":      {MinRate / 2, time.Second, 4 * time.Second},
		"a byte a second": {1, time.Second, 2 * time.Second},
		"nothing":         {1, time.Hour, 2 * time.Second},
	} {
		synctest.Test(t, func(t *testing.T) {
			ctx, deadline := WithTimeout(t.Context(), 2250*time.Millisecond) // No chunk arrives at the moment of a deadline.
			defer deadline.Stop()
			body, began, buffer := deadline.Reader(slowReader{ctx, tc.chunk, tc.interval}), time.Now(), make([]byte, MinRate)
			var err error
			for err == nil && time.Since(began) < 30*time.Second {
				_, err = body.Read(buffer)
			}
			took := time.Since(began).Round(time.Second)
			if tc.want == 0 && err != nil || tc.want != 0 && (took != tc.want || !errors.Is(err, context.DeadlineExceeded)) {
				t.Errorf("%s: error %v after %s, want a cut at %s (0: none)", name, err, took, tc.want)
			}
		})
	}
}

// The context ends with that of the caller, at once without time, and with Stop.
func TestDeadlineEndsWithCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		outer, cancel := context.WithCancel(t.Context())
		ctx, deadline := WithTimeout(outer, time.Hour)
		defer deadline.Stop()
		cancel()
		if _, err := deadline.Reader(slowReader{ctx, 1, time.Hour}).Read(make([]byte, 1)); !errors.Is(err, context.Canceled) {
			t.Errorf("read after the caller's end = %v, want its error", err)
		}
		for _, timeout := range []time.Duration{0, -time.Second} {
			ctx, none := WithTimeout(t.Context(), timeout)
			if ctx.Err() == nil {
				t.Errorf("context with a timeout of %s has not ended", timeout)
			}
			none.Stop()
		}
		ctx, stopped := WithTimeout(t.Context(), time.Hour)
		stopped.Stop()
		if n, err := stopped.Reader(slowReader{ctx, 1, time.Hour}).Read(make([]byte, 1)); n != 0 || err == nil || err == io.EOF {
			t.Errorf("read after Stop = %d, %v; want an error", n, err)
		}
	})
}
