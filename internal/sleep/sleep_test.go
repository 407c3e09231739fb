package sleep

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

// A sleep lasts as long as asked for, not at all for a duration in the past, and ends with its context.
func TestForSleepsUntilItsTimeOrTheEndOfTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		for _, d := range []time.Duration{0, -time.Second} {
			if err := For(t.Context(), d); err != nil || time.Since(began) != 0 {
				t.Errorf("For(%s) took %s, error %v; want none of both", d, time.Since(began), err)
			}
		}
		if err := For(t.Context(), time.Second); err != nil || time.Since(began) != time.Second {
			t.Errorf("For(1s) took %s, error %v; want 1s and none", time.Since(began), err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := For(ctx, time.Minute); !errors.Is(err, context.DeadlineExceeded) || time.Since(began) != 2*time.Second {
			t.Errorf("For(1m) with a context of 1s returned %v after %s, want its error after 2s", err, time.Since(began))
		}
		if err := For(ctx, -time.Second); !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("For(-1s) after the end of the context returned %v, want its error", err)
		}
	})
}
