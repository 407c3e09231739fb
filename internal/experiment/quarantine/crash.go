package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

const (
	tickInterval      = 100 * time.Millisecond
	simulatedTime     = 30 * time.Minute
	entries           = 4
	innocentRate      = 20 // Innocent requests per second, each with a different fingerprint.
	innocentRunTime   = 2 * time.Second
	timeToCrash       = 300 * time.Millisecond // From the start of a bad request to the crash of its endpoint.
	restartTime       = 30 * time.Second       // Of an endpoint after a crash.
	badRequests       = 5                      // Number of different bad requests.
	resendInterval    = 5 * time.Second        // Between two submissions of a bad request.
	announcementDelay = time.Second            // From one entry to all others.
	maxAttempts       = 4
	maxWait           = 20 * time.Second // From the submission of a request to its refusal.
)

// policy describes how the entries handle crashes.
type policy struct {
	name     string // As printed.
	limits   quarantine.Limits
	announce bool // Entries announce crashes to each other.
	isolate  bool // An endpoint runs at most one suspect at a time.
	disabled bool // Entries ignore crashes.
}

// policies returns the policies in the order of the printed rows.
func policies() []policy {
	defaults := quarantine.DefaultLimits()
	firstCrash := defaults
	firstCrash.CrashesToQuarantine = 1
	firstCrash.MaxExcused = 0
	unexcused := defaults
	unexcused.MaxExcused = 0
	return []policy{
		{name: "nothing", disabled: true},
		{name: "all refused at the first crash", limits: firstCrash, announce: true},
		{name: "suspects not kept apart", limits: unexcused, announce: true},
		{name: "each entry alone", limits: defaults, isolate: true},
		{name: "as built", limits: defaults, announce: true, isolate: true},
	}
}

// request is a request that waits or runs.
type request struct {
	fingerprint quarantine.Fingerprint
	bad         bool // Crashes its endpoint; other requests are innocent.
	entry       int  // Index of the entry.
	submitted   time.Time
	attempts    int
	verdict     quarantine.Verdict // Of the current run.
	runEnd      time.Time
}

// endpoint runs requests until it crashes, and again once it has restarted.
type endpoint struct {
	downUntil time.Time
	running   []*request
}

// announcement is an entry's announcement of a suspect or a quarantine.
type announcement struct {
	effective time.Time // Time when the other entries receive it.
	entry     int       // Index of the announcing entry.
	until     time.Time // End of the suspicion or quarantine.
}

// crashSimulation is the state and the result of one simulation.
type crashSimulation struct {
	policy             policy
	rng                *rand.Rand
	now                time.Time
	endpoints          []endpoint
	trackers           [entries]*quarantine.CrashTracker // By entry.
	suspects           map[quarantine.Fingerprint]announcement
	quarantined        map[quarantine.Fingerprint]announcement
	waiting            []*request
	innocentsSubmitted int

	endpointCrashes      int
	innocentsEnded       int
	innocentsAnswered    int
	innocentsQuarantined int             // Innocent requests refused because of a quarantine.
	delays               []time.Duration // Added by crashes, for each answered innocent request that a crash interrupted.
}

func newCrashSimulation(p policy, endpoints int, seed uint64) *crashSimulation {
	s := &crashSimulation{
		endpoints: make([]endpoint, endpoints),
		policy:    p, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0),
		suspects: make(map[quarantine.Fingerprint]announcement), quarantined: make(map[quarantine.Fingerprint]announcement),
	}
	for i := range s.trackers {
		s.trackers[i] = quarantine.NewCrashTracker(p.limits)
	}
	return s
}

// run runs the simulation to its end.
func (s *crashSimulation) run() {
	end := s.now.Add(simulatedTime)
	for tick := 0; s.now.Before(end); tick++ {
		s.generateArrivals(tick)
		s.endRuns()
		s.dispatch()
		s.now = s.now.Add(tickInterval)
	}
}

// generateArrivals submits the requests of a tick.
func (s *crashSimulation) generateArrivals(tick int) {
	perTick := innocentRate * int(tickInterval) / int(time.Second)
	for range perTick {
		s.innocentsSubmitted++
		s.submit(quarantine.Fingerprint(fmt.Sprint("innocent ", s.innocentsSubmitted)), false)
	}
	if tick%int(resendInterval/tickInterval) != 0 {
		return
	}
	for i := range badRequests {
		s.submit(quarantine.Fingerprint(fmt.Sprint("bad ", i)), true)
	}
}

// submit submits a request to a random entry.
func (s *crashSimulation) submit(fingerprint quarantine.Fingerprint, bad bool) {
	s.waiting = append(s.waiting, &request{fingerprint: fingerprint, bad: bad, entry: s.rng.IntN(entries), submitted: s.now})
}

// endRuns finishes the runs of innocent requests that are due, and crashes the
// endpoints of bad requests that are due.
func (s *crashSimulation) endRuns() {
	for i := range s.endpoints {
		e := &s.endpoints[i]
		var remaining []*request
		crashed := false
		for _, r := range e.running {
			due := !s.now.Before(r.runEnd)
			crashed = crashed || due && r.bad
			if due && !r.bad {
				s.finishRun(r)
				continue
			}
			remaining = append(remaining, r)
		}
		e.running = remaining
		if crashed {
			s.crashEndpoint(e)
		}
	}
}

// finishRun ends an innocent request with a response.
func (s *crashSimulation) finishRun(r *request) {
	if !s.policy.disabled {
		s.trackers[r.entry].EndRun(r.fingerprint, r.verdict, quarantine.OutcomeFinished, s.now)
	}
	s.innocentsEnded++
	s.innocentsAnswered++
	if r.attempts > 1 {
		s.delays = append(s.delays, s.now.Sub(r.submitted)-innocentRunTime)
	}
}

// crashEndpoint crashes an endpoint. Its requests wait for another attempt, unless they
// had maxAttempts.
func (s *crashSimulation) crashEndpoint(e *endpoint) {
	s.endpointCrashes++
	e.downUntil = s.now.Add(restartTime)
	for _, r := range e.running {
		s.recordCrash(r)
		if r.attempts < maxAttempts {
			s.waiting = append(s.waiting, r)
		} else if !r.bad {
			s.innocentsEnded++
		}
	}
	e.running = nil
}

// recordCrash records a crash at the request's entry and announces the suspect.
func (s *crashSimulation) recordCrash(r *request) {
	if s.policy.disabled {
		return
	}
	until, quarantined := s.trackers[r.entry].EndRun(r.fingerprint, r.verdict, quarantine.OutcomeCrashed, s.now)
	a := announcement{effective: s.now.Add(announcementDelay), entry: r.entry, until: until}
	if quarantined {
		s.quarantined[r.fingerprint] = a
	}
	a.until = quarantine.SuspicionEnd(s.policy.limits, until, s.now)
	s.suspects[r.fingerprint] = a
}

// dispatch starts or refuses the waiting requests. Requests that can neither start nor
// be refused yet keep waiting.
func (s *crashSimulation) dispatch() {
	waiting := s.waiting
	s.waiting = nil
	for _, r := range waiting {
		verdict := s.admit(r)
		switch verdict {
		case quarantine.VerdictQuarantined:
			s.refuse(r, true)
			continue
		case quarantine.VerdictWait:
			s.requeue(r)
			continue
		case quarantine.VerdictRun, quarantine.VerdictIsolate:
		}
		r.verdict = verdict
		e := s.chooseEndpoint(r)
		if e == nil {
			if !s.policy.disabled {
				s.trackers[r.entry].EndRun(r.fingerprint, verdict, quarantine.OutcomeInconclusive, s.now)
			}
			s.requeue(r)
			continue
		}
		s.startRun(e, r)
	}
}

// startRun starts the next attempt of a request.
func (s *crashSimulation) startRun(e *endpoint, r *request) {
	r.attempts++
	r.runEnd = s.now.Add(innocentRunTime)
	if r.bad {
		r.runEnd = s.now.Add(timeToCrash)
	}
	e.running = append(e.running, r)
}

// requeue keeps a request waiting, or refuses it after maxWait.
func (s *crashSimulation) requeue(r *request) {
	if s.now.Sub(r.submitted) > maxWait {
		s.refuse(r, false)
		return
	}
	s.waiting = append(s.waiting, r)
}

// refuse ends a request without a response.
func (s *crashSimulation) refuse(r *request, quarantined bool) {
	if r.bad {
		return
	}
	s.innocentsEnded++
	if quarantined {
		s.innocentsQuarantined++
	}
}

// admit returns the verdict of the request's entry.
func (s *crashSimulation) admit(r *request) quarantine.Verdict {
	if s.policy.disabled {
		return quarantine.VerdictRun
	}
	tracker := s.trackers[r.entry]
	if s.inEffect(s.quarantined[r.fingerprint], r.entry) {
		return quarantine.VerdictQuarantined
	}
	if s.inEffect(s.suspects[r.fingerprint], r.entry) {
		tracker.RecordRemoteCrash(r.fingerprint, s.now)
	}
	return tracker.BeginRun(r.fingerprint, s.now)
}

// inEffect reports whether an entry acts on an announcement.
func (s *crashSimulation) inEffect(a announcement, entry int) bool {
	if !s.now.Before(a.until) {
		return false
	}
	if a.entry == entry {
		return true
	}
	return s.policy.announce && !s.now.Before(a.effective)
}

// chooseEndpoint returns the endpoint with the fewest runs among those that the request
// may run on, or nil if there is none.
func (s *crashSimulation) chooseEndpoint(r *request) *endpoint {
	var best *endpoint
	for _, i := range s.rng.Perm(len(s.endpoints)) {
		e := &s.endpoints[i]
		if s.now.Before(e.downUntil) || s.policy.isolate && r.verdict == quarantine.VerdictIsolate && e.hasSuspect() {
			continue
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

// hasSuspect reports whether the endpoint runs a suspect.
func (e *endpoint) hasSuspect() bool {
	for _, r := range e.running {
		if r.verdict == quarantine.VerdictIsolate {
			return true
		}
	}
	return false
}
