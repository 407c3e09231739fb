package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/gossip"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

const (
	// noticeSuspect is the kind of notices about fingerprints that were running
	// when an endpoint crashed.
	noticeSuspect gossip.NoticeKind = "suspect"

	// maxIsolatedWait bounds how long a request waits for the isolated run of
	// an identical request.
	maxIsolatedWait = 5 * time.Second
	// maxSuspectNotices bounds the suspect notices that one entry publishes in
	// suspectWindow.
	maxSuspectNotices = 64
	suspectWindow     = time.Minute
)

// Notices distributes notices among the entries of the fleet.
type Notices interface {
	// Publish activates a notice on this entry and sends it to the others.
	Publish(n gossip.Notice)
	// Active reports whether a notice is active at now, and when it expires.
	Active(kind gossip.NoticeKind, subject string, now time.Time) (time.Time, bool)
}

// crashTracker records which requests were running when endpoints crashed and
// shares its findings with the other entries. It is safe for concurrent use.
type crashTracker struct {
	notices  Notices
	timeline *timeline.Ring
	metrics  metrics

	mu            sync.Mutex
	tracker       *quarantine.CrashTracker
	isolatedEnded chan struct{} // Closed and replaced when an isolated run ends.
	windowStart   time.Time     // Start of the current suspectWindow.
	noticeCount   int           // Suspect notices since windowStart.
}

func newCrashTracker(notices Notices, ring *timeline.Ring, m metrics) *crashTracker {
	if notices == nil {
		notices = gossip.NewNotices()
	}
	return &crashTracker{
		notices: notices, timeline: ring, metrics: m,
		tracker:       quarantine.NewCrashTracker(quarantine.DefaultLimits()),
		isolatedEnded: make(chan struct{}),
	}
}

// fingerprint returns the request's fingerprint. It is empty, and the request
// is not tracked, for a request without a body: such requests are
// indistinguishable from each other.
func (t *crashTracker) fingerprint(req Request) quarantine.Fingerprint {
	if len(req.Body) == 0 {
		return ""
	}
	route := string(req.Job.Service) + " " + req.Job.Method + " " + req.Job.Path
	return quarantine.NewFingerprint(req.Job.Organisation, route, req.Body)
}

// begin returns how the request may run. It waits up to maxIsolatedWait for an
// isolated run of the same fingerprint to end and then returns VerdictWait.
func (t *crashTracker) begin(ctx context.Context, id quarantine.Fingerprint) quarantine.Verdict {
	if id == "" {
		return quarantine.VerdictRun
	}
	ctx, cancel := context.WithTimeout(ctx, maxIsolatedWait)
	defer cancel()
	for {
		verdict, isolatedEnded := t.tryBegin(id)
		if verdict != quarantine.VerdictWait {
			return verdict
		}
		select {
		case <-isolatedEnded:
		case <-ctx.Done():
			return quarantine.VerdictWait
		}
	}
}

// tryBegin returns the current verdict and a channel that is closed when the
// next isolated run ends. The channel is nil for a quarantined request.
func (t *crashTracker) tryBegin(id quarantine.Fingerprint) (quarantine.Verdict, <-chan struct{}) {
	now := time.Now()
	if _, ok := t.notices.Active(gossip.NoticeQuarantine, string(id), now); ok {
		return quarantine.VerdictQuarantined, nil
	}
	_, suspected := t.notices.Active(noticeSuspect, string(id), now)
	t.mu.Lock()
	defer t.mu.Unlock()
	if suspected {
		t.tracker.RecordRemoteCrash(id, now)
	}
	return t.tracker.BeginRun(id, now), t.isolatedEnded
}

// quarantinedUntil returns the end of the fingerprint's quarantine, or the
// current time without one.
func (t *crashTracker) quarantinedUntil(id quarantine.Fingerprint) time.Time {
	now := time.Now()
	if until, ok := t.notices.Active(gossip.NoticeQuarantine, string(id), now); ok {
		return until
	}
	return now
}

// end records how an attempt ended and publishes a new suspicion or
// quarantine.
func (t *crashTracker) end(id quarantine.Fingerprint, verdict quarantine.Verdict, res attemptResult, job wire.Job) {
	if id == "" {
		return
	}
	now := time.Now()
	outcome := quarantineOutcome(res)
	t.mu.Lock()
	until, quarantined := t.tracker.EndRun(id, verdict, outcome, now)
	publishSuspect := quarantined || outcome == quarantine.OutcomeCrashed && t.allowSuspectNotice(now)
	if verdict == quarantine.VerdictIsolate {
		close(t.isolatedEnded)
		t.isolatedEnded = make(chan struct{})
	}
	t.mu.Unlock()
	if publishSuspect {
		expires := quarantine.SuspicionEnd(quarantine.DefaultLimits(), until, now)
		t.notices.Publish(gossip.Notice{Kind: noticeSuspect, Subject: string(id), Expires: expires})
	}
	if quarantined {
		t.publishQuarantine(id, until, job)
	}
}

func (t *crashTracker) publishQuarantine(id quarantine.Fingerprint, until time.Time, job wire.Job) {
	t.metrics.quarantines.Inc(1)
	t.notices.Publish(gossip.Notice{Kind: gossip.NoticeQuarantine, Subject: string(id), Expires: until})
	t.timeline.Record(timeline.Event{
		Kind: timeline.KindQuarantined, Request: job.RequestID, Organisation: job.Organisation, Detail: string(id),
	})
}

// allowSuspectNotice counts one suspect notice and reports whether it is
// within maxSuspectNotices for the current window. The caller holds t.mu.
func (t *crashTracker) allowSuspectNotice(now time.Time) bool {
	if now.Sub(t.windowStart) > suspectWindow {
		t.windowStart = now
		t.noticeCount = 0
	}
	t.noticeCount++
	return t.noticeCount <= maxSuspectNotices
}

func quarantineOutcome(res attemptResult) quarantine.Outcome {
	if res.crashed {
		return quarantine.OutcomeCrashed
	}
	if res.result.Refusal == nil && !res.result.Incomplete {
		return quarantine.OutcomeFinished
	}
	return quarantine.OutcomeInconclusive
}
