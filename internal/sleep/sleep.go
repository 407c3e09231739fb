// Package sleep provides a sleep that ends early if a context ends.
package sleep

import (
	"context"
	"time"
)

// For sleeps for d, or not at all if d is not positive. It returns the context's error at once if
// ctx ends earlier, and nil otherwise.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err() // Without a timer: one that has already fired crashes testing/synctest with the race detector.
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
