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
	// checkInterval is the time between two checks for a loss of freshness.
	checkInterval = 100 * time.Millisecond
	// maxVerdictAge bounds the age of the cached verdict that IsFresh uses.
	maxVerdictAge = 50 * time.Millisecond
)

// Options configures NewTracker.
type Options struct {
	Self      ident.VM
	ListedVMs func() []ident.VM // Returns the VMs of the entries on the VM list, ordered by name.
	OnStale   func()            // Cancels the running requests; called once per loss of freshness, CancelGrace after it.
	Log       *logrus.Entry
	Metrics   tally.Scope
}

// Tracker adds a lock, logs and metrics to the State of an entry. It is safe
// for concurrent use.
type Tracker struct {
	opts              Options
	freshGauge        tally.Gauge // 1 if fresh, 0 otherwise.
	confirmedAgeGauge tally.Gauge // Seconds since the store confirmed the revision in force.

	mu        sync.Mutex
	state     *State
	verdict   Verdict
	verdictAt time.Time // Time of verdict.
	stale     staleness
}

// NewTracker returns a Tracker that is not fresh yet.
func NewTracker(opts Options) *Tracker {
	scope := opts.Metrics.SubScope("freshness")
	return &Tracker{
		opts: opts, state: NewState(opts.Self),
		freshGauge: scope.Gauge("fresh"), confirmedAgeGauge: scope.Gauge("confirmed_age_seconds"),
	}
}

// Update calls f with the state under the lock.
func (t *Tracker) Update(f func(*State)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t.state)
}

// Verdict returns whether keys may be trusted now.
func (t *Tracker) Verdict() Verdict {
	listed := t.opts.ListedVMs()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdictAt = time.Now()
	t.verdict = t.state.Evaluate(t.verdictAt, listed)
	return t.verdict
}

// IsFresh reports whether keys may be trusted, by a verdict that is at most
// maxVerdictAge old.
func (t *Tracker) IsFresh() bool {
	t.mu.Lock()
	verdict, age := t.verdict, time.Since(t.verdictAt)
	t.mu.Unlock()
	if age <= maxVerdictAge {
		return verdict.Fresh
	}
	return t.Verdict().Fresh
}

// Highest returns the highest revision that is in force in this entry or was
// recently reported by another one.
func (t *Tracker) Highest() config.Revision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.Highest(time.Now())
}

// ConfirmedAt implements config.Confirmations.
func (t *Tracker) ConfirmedAt() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state.usableConfirmation.at
}

// HasMajority implements config.Confirmations.
func (t *Tracker) HasMajority() bool {
	v := t.Verdict()
	return 2*v.RecentContacts > v.ListedEntries
}

// RecordConfirmation implements config.Confirmations.
func (t *Tracker) RecordConfirmation(at time.Time, r config.Revision) {
	t.Update(func(s *State) { s.RecordConfirmation(at, r) })
}

// Serve checks for the loss of freshness until ctx ends. It implements
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

// StaleSince returns the time since which keys cannot be trusted, and false if
// they can.
func (t *Tracker) StaleSince() (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.stale.since, !t.stale.since.IsZero()
}

// staleness is the state of one loss of freshness.
type staleness struct {
	since     time.Time // Time of the loss; zero while fresh.
	cancelled bool      // Whether OnStale was called.
}

// check updates the gauges and calls OnStale if it is due.
func (t *Tracker) check() {
	v := t.Verdict()
	now := time.Now()
	t.updateGauges(v, now)
	if t.updateStaleness(v, now) {
		t.opts.OnStale()
	}
}

// updateStaleness applies a verdict to the staleness, logs changes, and reports
// whether the running requests must be cancelled now.
func (t *Tracker) updateStaleness(v Verdict, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	stale := !t.stale.since.IsZero()
	switch {
	case v.Fresh && stale:
		t.stale = staleness{}
		t.opts.Log.WithField("reason", v.Reason).Info("keys can be trusted, admitting requests of callers")
	case !v.Fresh && !stale:
		t.stale = staleness{since: now}
		t.opts.Log.WithField("reason", v.Reason).Warn("keys cannot be trusted, refusing requests of callers")
	case stale && !t.stale.cancelled && now.Sub(t.stale.since) >= CancelGrace:
		t.stale.cancelled = true
		return true
	}
	return false
}

// updateGauges exports a verdict.
func (t *Tracker) updateGauges(v Verdict, now time.Time) {
	fresh := 0.0
	if v.Fresh {
		fresh = 1
	}
	t.freshGauge.Update(fresh)
	if !v.ConfirmedAt.IsZero() {
		t.confirmedAgeGauge.Update(now.Sub(v.ConfirmedAt).Seconds())
	}
}
