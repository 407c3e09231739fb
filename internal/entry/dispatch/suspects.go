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
	// noticeSuspect marks a fingerprint that ran at one crash.
	noticeSuspect gossip.NoticeKind = "suspect"

	maxTrialWait = 5 * time.Second
	// Suspects that one entry tells the fleet of within suspectWindow.
	maxSuspectNotices = 64
	suspectWindow     = time.Minute
)

// Notices spreads facts over the fleet's entries.
type Notices interface {
	// Publish puts a notice in force here and passes it on.
	Publish(n gossip.Notice)
	// Active reports whether a notice is in force at now, and until when.
	Active(kind gossip.NoticeKind, subject string, now time.Time) (time.Time, bool)
}

// suspects holds this entry's ledger of requests that crash endpoints and
// shares it with the other entries. It is safe for concurrent use.
type suspects struct {
	notices  Notices
	timeline *timeline.Ring
	metrics  metrics

	mu     sync.Mutex
	ledger *quarantine.Ledger
	ended  chan struct{} // Closed and replaced when a run of a suspect ends.
	window time.Time     // Start of the present suspectWindow.
	told   int           // Notices of suspects since then.
}

func newSuspects(notices Notices, ring *timeline.Ring, m metrics) *suspects {
	if notices == nil {
		notices = gossip.NewNotices()
	}
	return &suspects{
		notices: notices, timeline: ring, metrics: m,
		ledger: quarantine.NewLedger(quarantine.DefaultLimits()),
		ended:  make(chan struct{}),
	}
}

// identify returns the request's fingerprint, or "" for one without a body:
// such requests are all alike, and one cannot be told from another.
func (s *suspects) identify(req Request) quarantine.Fingerprint {
	if len(req.Body) == 0 {
		return ""
	}
	route := string(req.Job.Service) + " " + req.Job.Method + " " + req.Job.Path
	return quarantine.NewFingerprint(req.Job.Organisation, route, req.Body)
}

// begin says how the request may run. It waits a while for a trial of the same
// fingerprint to end.
func (s *suspects) begin(ctx context.Context, id quarantine.Fingerprint) quarantine.Verdict {
	if id == "" {
		return quarantine.VerdictRun
	}
	ctx, cancel := context.WithTimeout(ctx, maxTrialWait)
	defer cancel()
	for {
		verdict, ended := s.ask(id)
		if verdict != quarantine.VerdictWait {
			return verdict
		}
		select {
		case <-ended:
		case <-ctx.Done():
			return quarantine.VerdictWait
		}
	}
}

func (s *suspects) ask(id quarantine.Fingerprint) (quarantine.Verdict, <-chan struct{}) {
	now := time.Now()
	if _, ok := s.notices.Active(gossip.NoticeQuarantine, string(id), now); ok {
		return quarantine.VerdictQuarantined, nil
	}
	_, suspected := s.notices.Active(noticeSuspect, string(id), now)
	s.mu.Lock()
	defer s.mu.Unlock()
	if suspected {
		s.ledger.Suspect(id, now)
	}
	return s.ledger.Begin(id, now), s.ended
}

// until returns the end of a quarantine.
func (s *suspects) until(id quarantine.Fingerprint) time.Time {
	now := time.Now()
	if until, ok := s.notices.Active(gossip.NoticeQuarantine, string(id), now); ok {
		return until
	}
	return now
}

// end tells how an attempt of the request ended.
func (s *suspects) end(id quarantine.Fingerprint, verdict quarantine.Verdict, e ended, job wire.Job) {
	if id == "" {
		return
	}
	now := time.Now()
	outcome := outcomeOf(e)
	s.mu.Lock()
	until, bad := s.ledger.End(id, verdict, outcome, now)
	tell := bad || outcome == quarantine.OutcomeCrashed && s.mayTell(now)
	if verdict == quarantine.VerdictAlone {
		close(s.ended)
		s.ended = make(chan struct{})
	}
	s.mu.Unlock()
	if tell {
		expires := quarantine.SuspectedUntil(quarantine.DefaultLimits(), until, now)
		s.notices.Publish(gossip.Notice{Kind: noticeSuspect, Subject: string(id), Expires: expires})
	}
	if bad {
		s.quarantine(id, until, job)
	}
}

func (s *suspects) quarantine(id quarantine.Fingerprint, until time.Time, job wire.Job) {
	s.metrics.quarantines.Inc(1)
	s.notices.Publish(gossip.Notice{Kind: gossip.NoticeQuarantine, Subject: string(id), Expires: until})
	s.timeline.Record(timeline.Event{
		Kind: timeline.KindQuarantined, Request: job.Request, Organisation: job.Organisation, Detail: string(id),
	})
}

// mayTell bounds the notices of suspects.
func (s *suspects) mayTell(now time.Time) bool {
	if now.Sub(s.window) > suspectWindow {
		s.window = now
		s.told = 0
	}
	s.told++
	return s.told <= maxSuspectNotices
}

func outcomeOf(e ended) quarantine.Outcome {
	if e.crashed {
		return quarantine.OutcomeCrashed
	}
	if e.result.Refusal == nil && !e.result.Broken {
		return quarantine.OutcomeFinished
	}
	return quarantine.OutcomeUnclear
}
