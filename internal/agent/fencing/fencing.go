// Package fencing holds the fencing token that an agent sends with its orders to
// the endpoint. Of two agent processes for one endpoint, only the one with the
// higher token may order loads and unloads.
//
// Invariants:
//   - A process acquires its token by compare-and-swap on the endpoint's record
//     in the key-value store. If the response is lost, it reads the record to
//     find out whether it holds the token.
//   - The process watches the record. When it finds a higher token of another
//     process, it has been superseded: it sends no orders and accepts no new work
//     from then on.
//   - After a pause of the process, no order is sent until the record was read
//     again, because another process may have acquired a token meanwhile.
package fencing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/drain"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/engine"
	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	keyPrefix     = "fences/"
	holderIDBytes = 12
	retryDelay    = time.Second
	watchWait     = 60 * time.Second // Longest time that the store holds a watch open.
	watchMargin   = 5 * time.Second  // Added to watchWait for the timeout of the call.
	tickInterval  = 250 * time.Millisecond
	// maxTickGap is the longest time between two ticks for which the process
	// counts as running without a pause.
	maxTickGap = 2 * time.Second
)

// record is the stored fencing record of one endpoint.
type record struct {
	Token  uint64 `json:"number"`
	Holder string `json:"holder"` // Random id of the process that holds the token.
}

// Options configures New.
type Options struct {
	Store              store.Store
	VM                 ident.VM // VM of the endpoint; part of the record's key.
	ChecksFencingToken bool     // Whether the endpoint refuses orders with an outdated token.
	Gate               *drain.Gate
	Timeline           *timeline.Ring
	Log                *logrus.Entry
}

// TokenHolder acquires a fencing token and detects when a higher one exists. It
// implements suture.Service and is safe for concurrent use.
type TokenHolder struct {
	opts          Options
	holderID      string
	pauseDetected chan struct{} // Interrupts a watch of the record after a pause.

	mu         sync.Mutex
	token      uint64      // 0 until a token is acquired.
	index      store.Index // Index of the record as last read.
	superseded bool        // Whether another process holds a higher token.
	confirmed  bool        // Whether the record was read since the last pause.
	lastTick   time.Time   // Last time at which the process was known to run.
}

// New returns a TokenHolder without a token. Serve acquires one.
func New(opts Options) *TokenHolder {
	return &TokenHolder{
		opts: opts, holderID: ident.RandomHex(holderIDBytes), pauseDetected: make(chan struct{}, 1),
		confirmed: true, lastTick: time.Now(),
	}
}

// String returns the service name used in the supervisor's events.
func (h *TokenHolder) String() string {
	return "fencing"
}

// Current returns the token to send with an order. It returns false if no order
// may be sent:
//
//   - after another process has acquired a higher token,
//   - after a pause of this process, until the record was read again,
//   - without a token, if the endpoint checks tokens.
//
// If the endpoint does not check tokens, orders without a token are allowed.
func (h *TokenHolder) Current() (engine.FencingToken, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.detectPause()
	if h.superseded || !h.confirmed {
		return 0, false
	}
	if h.token == 0 {
		return 0, !h.opts.ChecksFencingToken
	}
	return engine.FencingToken(h.token), true
}

// Serve acquires a token and then watches the record until ctx ends. After an
// error of step, it tries again after retryDelay.
func (h *TokenHolder) Serve(ctx context.Context) error {
	go h.tickUntilDone(ctx)
	for ctx.Err() == nil {
		if err := h.step(ctx); err != nil {
			_ = sleep.For(ctx, retryDelay)
		}
	}
	return ctx.Err()
}

// step acquires a token if the process has none. Otherwise it confirms the token
// after a pause, or waits for the record to change.
func (h *TokenHolder) step(ctx context.Context) error {
	h.mu.Lock()
	token, after, confirmed := h.token, h.index, h.confirmed
	h.mu.Unlock()
	if token == 0 {
		return h.acquireToken(ctx)
	}
	if !confirmed {
		return h.confirmToken(ctx)
	}
	entry, err := h.watch(ctx, after)
	if err != nil {
		return errors.Trace(err)
	}
	return h.checkRecord(entry)
}

// watch waits until the record changes, a pause is detected or watchWait has
// passed.
func (h *TokenHolder) watch(ctx context.Context, after store.Index) (store.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchMargin)
	defer cancel()
	go func() {
		select {
		case <-h.pauseDetected:
			cancel()
		case <-ctx.Done():
		}
	}()
	return h.opts.Store.Watch(ctx, h.key(), after, watchWait)
}

// acquireToken raises the token in the record by compare-and-swap. The new token
// is at least the Unix time in milliseconds, so that tokens keep growing even if
// the store has been restored from older data.
func (h *TokenHolder) acquireToken(ctx context.Context) error {
	current, index, err := h.getRecord(ctx)
	if err != nil {
		return err
	}
	if current.Holder != h.holderID {
		next := record{Token: max(current.Token+1, uint64(time.Now().UnixMilli())), Holder: h.holderID}
		data, err := json.Marshal(next)
		if err != nil {
			return errors.Trace(err)
		}
		// The response may be lost. Only the record shows who holds the token.
		_, _ = h.opts.Store.CompareAndSwap(ctx, h.key(), data, index)
		current, index, err = h.getRecord(ctx)
		if err != nil {
			return err
		}
	}
	if current.Holder != h.holderID {
		return errors.New("another process acquired the fencing token first")
	}
	h.setToken(current.Token, index)
	return nil
}

// setToken starts to use an acquired token.
func (h *TokenHolder) setToken(token uint64, index store.Index) {
	h.mu.Lock()
	h.token, h.index, h.confirmed = token, index, true
	h.mu.Unlock()
	h.opts.Log.WithField("number", token).Info("fencing token acquired")
	h.opts.Timeline.Record(timeline.Event{Kind: timeline.KindFencingTokenAcquired})
}

// confirmToken reads the record and confirms that no process holds a higher
// token.
func (h *TokenHolder) confirmToken(ctx context.Context) error {
	entry, err := h.opts.Store.Get(ctx, h.key())
	if errors.Is(err, store.ErrNotFound) {
		err = nil // The store lost the record. No process has acquired a higher token.
	}
	if err != nil {
		return errors.Trace(err)
	}
	return h.checkRecord(entry)
}

// checkRecord compares a stored record with the token of this process.
func (h *TokenHolder) checkRecord(entry store.Record) error {
	var r record
	if len(entry.Value) > 0 {
		if err := json.Unmarshal(entry.Value, &r); err != nil {
			return errors.Trace(err)
		}
	}
	h.mu.Lock()
	h.index = entry.Index
	h.confirmed = true
	superseded := r.Token > h.token && r.Holder != h.holderID
	h.mu.Unlock()
	if superseded {
		h.MarkSuperseded()
	}
	return nil
}

// MarkSuperseded records that the endpoint or the store has a higher token. It
// closes the gate for new work, and no order is sent from then on.
func (h *TokenHolder) MarkSuperseded() {
	h.mu.Lock()
	already := h.superseded
	h.superseded = true
	h.mu.Unlock()
	if already {
		return
	}
	h.opts.Log.Warn("another process holds a higher fencing token; this agent accepts no new work")
	h.opts.Gate.SetReason(drain.ReasonSuperseded, true)
}

// getRecord reads the record. A missing record has the zero value and index 0.
func (h *TokenHolder) getRecord(ctx context.Context) (record, store.Index, error) {
	entry, err := h.opts.Store.Get(ctx, h.key())
	if errors.Is(err, store.ErrNotFound) {
		return record{}, 0, nil
	}
	if err != nil {
		return record{}, 0, errors.Trace(err)
	}
	var r record
	if err := json.Unmarshal(entry.Value, &r); err != nil {
		return record{}, 0, errors.Trace(err)
	}
	return r, entry.Index, nil
}

func (h *TokenHolder) key() string {
	return keyPrefix + string(h.opts.VM)
}

// tickUntilDone detects pauses of the process every tickInterval until ctx ends.
func (h *TokenHolder) tickUntilDone(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			h.mu.Lock()
			h.detectPause()
			h.mu.Unlock()
		case <-ctx.Done():
			return
		}
	}
}

// detectPause withdraws the confirmation if the process did not run for longer
// than maxTickGap, because another process may have started meanwhile. It is
// called with mu held.
func (h *TokenHolder) detectPause() {
	now := time.Now()
	if now.Sub(h.lastTick) > maxTickGap {
		h.confirmed = false
		select {
		case h.pauseDetected <- struct{}{}:
		default:
		}
	}
	h.lastTick = now
}
