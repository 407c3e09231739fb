// Package progress bounds the time of calls whose responses may be large: the time grows with the bytes received.
package progress

import (
	"context"
	"io"
	"sync"
	"time"
)

// MinRate is the rate of a response, in bytes per second, that extends a deadline as fast as time passes. It is a
// twentieth of a link of 10 Mbit/s.
const MinRate = 64 << 10

// Deadline is the deadline of a call. Received bytes extend it. It is safe for concurrent use.
type Deadline struct {
	cancel context.CancelCauseFunc

	mu    sync.Mutex
	at    time.Time
	timer *time.Timer
}

// WithTimeout returns a context that ends after timeout, or later by the time that the received bytes take
// at MinRate. The caller must call Stop.
func WithTimeout(ctx context.Context, timeout time.Duration) (context.Context, *Deadline) {
	ctx, cancel := context.WithCancelCause(ctx)
	d := &Deadline{cancel: cancel, at: time.Now().Add(timeout)}
	if timeout <= 0 {
		cancel(context.DeadlineExceeded)
		return ctx, d
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timer = time.AfterFunc(timeout, d.expire)
	return ctx, d
}

// Stop releases the deadline and ends the context.
func (d *Deadline) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
	}
	d.cancel(context.Canceled)
}

// expire ends the context if the deadline has passed.
func (d *Deadline) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if left := time.Until(d.at); left > 0 {
		d.timer.Reset(left)
		return
	}
	d.cancel(context.DeadlineExceeded)
}

// Reader returns a reader of r whose bytes extend the deadline.
func (d *Deadline) Reader(r io.Reader) io.Reader { return &reader{d, r} }

type reader struct {
	deadline *Deadline
	from     io.Reader
}

// Read implements io.Reader.
func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	r.deadline.mu.Lock()
	defer r.deadline.mu.Unlock()
	r.deadline.at = r.deadline.at.Add(time.Duration(n) * time.Second / MinRate)
	return n, err
}
