package freshness

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const (
	checkInterval = 100 * time.Millisecond
	// verdictLife bounds the age of the verdict that requests are judged by.
	verdictLife = 50 * time.Millisecond
)

// Options configures NewTracker.
type Options struct {
	Self    ident.VM
	Listed  func() []ident.VM // The entries on the VM list, in the order of names.
	OnStale func()            // Called once when freshness has been lost for CutGrace.
	Log     *logrus.Entry
	Metrics tally.Scope
}

// Tracker is the State of an entry, safe for concurrent use.
type Tracker struct {
	opts  Options
	gauge tally.Gauge // 1 while fresh.
	age   tally.Gauge // Seconds since the store confirmed what is in force.

	mu      sync.Mutex
	state   *State
	verdict Verdict
	judged  time.Time // When verdict was reached.
	lost    loss
}

// NewTracker returns a Tracker that is not fresh.
func NewTracker(opts Options) *Tracker {
	scope := opts.Metrics.SubScope("freshness")
	return &Tracker{
		opts: opts, state: NewState(opts.Self),
		gauge: scope.Gauge("fresh"), age: scope.Gauge("confirmed_age_seconds"),
	}
}

// Update runs f on the state under the lock.
func (t *Tracker) Update(f func(*State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.state)
}

// Verdict returns whether keys may be trusted now.
func (t *Tracker) Verdict() Verdict {
	listed := t.opts.Listed()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.judged = time.Now()
	t.verdict = t.state.Judge(t.judged, listed)
	return t.verdict
}

// Fresh reports whether keys may be trusted now. The verdict is at most
// verdictLife old.
func (t *Tracker) Fresh() bool {
	t.mu.Lock()
	verdict, age := t.verdict, time.Since(t.judged)
	t.mu.Unlock()
	if age <= verdictLife {
		return verdict.Fresh
	}
	return t.Verdict().Fresh
}

// Highest returns the highest revision that this process has heard of.
func (t *Tracker) Highest() config.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Highest(time.Now())
}

// ConfirmedAt implements config.Contact.
func (t *Tracker) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.usable.at
}

// Majority implements config.Contact.
func (t *Tracker) Majority() bool {
	v := t.Verdict()
	return 2*v.Heard > v.Listed
}

// Confirmed implements config.Contact.
func (t *Tracker) Confirmed(at time.Time, r config.Revision) {
	t.Update(func(s *State) { s.Confirm(at, r) })
}

// Serve watches for the loss of freshness until ctx ends. It implements
// suture.Service.
func (t *Tracker) Serve(ctx context.Context) error {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			t.check()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// StaleSince returns since when keys cannot be trusted; false while they can.
func (t *Tracker) StaleSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost.since, !t.lost.since.IsZero()
}

// loss follows one loss of freshness.
type loss struct {
	since time.Time // When freshness was lost; zero while fresh.
	cut   bool      // Whether the running requests were cut.
}

func (t *Tracker) check() {
	v := t.Verdict()
	now := time.Now()
	t.report(v, now)
	if t.follow(v, now) {
		t.opts.OnStale()
	}
}

// follow notes a change of the verdict and reports whether running requests
// are to be cut now.
func (t *Tracker) follow(v Verdict, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lost := !t.lost.since.IsZero()
	switch {
	case v.Fresh && lost:
		t.lost = loss{}
		t.opts.Log.WithField("reason", v.Reason).Info("keys can be trusted")
	case !v.Fresh && !lost:
		t.lost = loss{since: now}
		t.opts.Log.WithField("reason", v.Reason).Warn("keys cannot be trusted, refusing")
	case lost && !t.lost.cut && now.Sub(t.lost.since) >= CutGrace:
		t.lost.cut = true
		return true
	}
	return false
}

func (t *Tracker) report(v Verdict, now time.Time) {
	fresh := 0.0
	if v.Fresh {
		fresh = 1
	}
	t.gauge.Update(fresh)
	if !v.Confirmed.IsZero() {
		t.age.Update(now.Sub(v.Confirmed).Seconds())
	}
}
