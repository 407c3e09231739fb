// Package pause waits for a time or for the end of a context, whichever comes
// first.
package pause

import (
	"context"
	"time"
)

// For waits for d, or returns the context's error where it ends before.
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
