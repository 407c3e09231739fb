// Package sleep provides a sleep that ends early if a context ends.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d. It returns the context's error at once if ctx ends earlier, and
// nil otherwise.
func For(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
