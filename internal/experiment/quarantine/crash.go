package quarantine

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/quarantine"
)

const (
	step           = 100 * time.Millisecond
	length         = 30 * time.Minute
	entries        = 4
	innocentRate   = 20              // Requests a second, each with a body of its own.
	innocentTime   = 2 * time.Second // Of one run.
	crashTime      = 300 * time.Millisecond
	coldStart      = 30 * time.Second
	badRequests    = 5
	resendInterval = 5 * time.Second
	noticeDelay    = time.Second // From one entry to all others.
	maxAttempts    = 4
	maxWait        = 20 * time.Second // Of one request, before it is refused.
)

// policy is what the entries do about crashes.
type policy struct {
	name    string
	limits  quarantine.Limits
	notices bool // Whether entries tell each other.
	apart   bool // Whether suspects are kept apart.
	off     bool // Whether nothing is done.
}

func policies() []policy {
	whole := quarantine.DefaultLimits()
	first := whole
	first.CrashesToQuarantine = 1
	first.MaxExcused = 0
	unexcused := whole
	unexcused.MaxExcused = 0
	return []policy{
		{name: "nothing", off: true},
		{name: "all refused at the first crash", limits: first, notices: true},
		{name: "suspects not kept apart", limits: unexcused, notices: true},
		{name: "each entry alone", limits: whole, apart: true},
		{name: "as built", limits: whole, notices: true, apart: true},
	}
}

// request is one request of a caller on its way.
type request struct {
	id       quarantine.Fingerprint
	bad      bool
	entry    int
	began    time.Time
	attempts int
	verdict  quarantine.Verdict
	ends     time.Time
}

type endpoint struct {
	downUntil time.Time
	running   []*request
}

type notice struct {
	visible time.Time
	from    int
	until   time.Time
}

// crashes is one run of the model.
type crashes struct {
	policy    policy
	rng       *rand.Rand
	now       time.Time
	endpoints []endpoint
	ledgers   [entries]*quarantine.CrashTracker
	suspects  map[quarantine.Fingerprint]notice
	refused   map[quarantine.Fingerprint]notice
	waiting   []*request
	arrived   int

	lost       int             // Endpoints that crashed.
	innocents  int             // Innocent requests that ended.
	answered   int             // Of them, answered.
	turnedAway int             // Of them, refused by a quarantine.
	delays     []time.Duration // Of the answered ones that a crash met, beyond their run.
}

func newCrashes(p policy, endpoints int, seed uint64) *crashes {
	c := &crashes{
		endpoints: make([]endpoint, endpoints),
		policy:    p, rng: rand.New(rand.NewPCG(seed, 0)), now: time.Unix(0, 0),
		suspects: make(map[quarantine.Fingerprint]notice), refused: make(map[quarantine.Fingerprint]notice),
	}
	for i := range c.ledgers {
		c.ledgers[i] = quarantine.NewCrashTracker(p.limits)
	}
	return c
}

func (c *crashes) run() {
	end := c.now.Add(length)
	for tick := 0; c.now.Before(end); tick++ {
		c.arrive(tick)
		c.end()
		c.place()
		c.now = c.now.Add(step)
	}
}

func (c *crashes) arrive(tick int) {
	perTick := innocentRate * int(step) / int(time.Second)
	for range perTick {
		c.arrived++
		c.add(quarantine.Fingerprint(fmt.Sprint("innocent ", c.arrived)), false)
	}
	if tick%int(resendInterval/step) != 0 {
		return
	}
	for i := range badRequests {
		c.add(quarantine.Fingerprint(fmt.Sprint("bad ", i)), true)
	}
}

func (c *crashes) add(id quarantine.Fingerprint, bad bool) {
	c.waiting = append(c.waiting, &request{id: id, bad: bad, entry: c.rng.IntN(entries), began: c.now})
}

// end ends the runs that are due; a bad one takes its endpoint with it.
func (c *crashes) end() {
	for i := range c.endpoints {
		e := &c.endpoints[i]
		var left []*request
		crashed := false
		for _, r := range e.running {
			due := !c.now.Before(r.ends)
			crashed = crashed || due && r.bad
			if due && !r.bad {
				c.finish(r)
				continue
			}
			left = append(left, r)
		}
		e.running = left
		if crashed {
			c.crash(e)
		}
	}
}

func (c *crashes) finish(r *request) {
	if !c.policy.off {
		c.ledgers[r.entry].EndRun(r.id, r.verdict, quarantine.OutcomeFinished, c.now)
	}
	c.innocents++
	c.answered++
	if r.attempts > 1 {
		c.delays = append(c.delays, c.now.Sub(r.began)-innocentTime)
	}
}

func (c *crashes) crash(e *endpoint) {
	c.lost++
	e.downUntil = c.now.Add(coldStart)
	for _, r := range e.running {
		c.blame(r)
		if r.attempts < maxAttempts {
			c.waiting = append(c.waiting, r)
		} else if !r.bad {
			c.innocents++
		}
	}
	e.running = nil
}

func (c *crashes) blame(r *request) {
	if c.policy.off {
		return
	}
	until, bad := c.ledgers[r.entry].EndRun(r.id, r.verdict, quarantine.OutcomeCrashed, c.now)
	n := notice{visible: c.now.Add(noticeDelay), from: r.entry, until: until}
	if bad {
		c.refused[r.id] = n
	}
	n.until = quarantine.SuspicionEnd(c.policy.limits, until, c.now)
	c.suspects[r.id] = n
}

// place starts the waiting requests that may run now.
func (c *crashes) place() {
	waiting := c.waiting
	c.waiting = nil
	for _, r := range waiting {
		verdict := c.begin(r)
		switch verdict {
		case quarantine.VerdictQuarantined:
			c.refuse(r, true)
			continue
		case quarantine.VerdictWait:
			c.wait(r)
			continue
		case quarantine.VerdictRun, quarantine.VerdictIsolate:
		}
		r.verdict = verdict
		e := c.choose(r)
		if e == nil {
			if !c.policy.off {
				c.ledgers[r.entry].EndRun(r.id, verdict, quarantine.OutcomeInconclusive, c.now)
			}
			c.wait(r)
			continue
		}
		c.start(e, r)
	}
}

func (c *crashes) start(e *endpoint, r *request) {
	r.attempts++
	r.ends = c.now.Add(innocentTime)
	if r.bad {
		r.ends = c.now.Add(crashTime)
	}
	e.running = append(e.running, r)
}

func (c *crashes) wait(r *request) {
	if c.now.Sub(r.began) > maxWait {
		c.refuse(r, false)
		return
	}
	c.waiting = append(c.waiting, r)
}

func (c *crashes) refuse(r *request, quarantined bool) {
	if r.bad {
		return
	}
	c.innocents++
	if quarantined {
		c.turnedAway++
	}
}

func (c *crashes) begin(r *request) quarantine.Verdict {
	if c.policy.off {
		return quarantine.VerdictRun
	}
	l := c.ledgers[r.entry]
	if c.knows(c.refused[r.id], r.entry) {
		return quarantine.VerdictQuarantined
	}
	if c.knows(c.suspects[r.id], r.entry) {
		l.RecordRemoteCrash(r.id, c.now)
	}
	return l.BeginRun(r.id, c.now)
}

// knows reports whether an entry acts on a notice.
func (c *crashes) knows(n notice, entry int) bool {
	if !c.now.Before(n.until) {
		return false
	}
	if n.from == entry {
		return true
	}
	return c.policy.notices && !c.now.Before(n.visible)
}

// choose returns the least busy endpoint that the request may run on, or nil.
func (c *crashes) choose(r *request) *endpoint {
	var best *endpoint
	for _, i := range c.rng.Perm(len(c.endpoints)) {
		e := &c.endpoints[i]
		if c.now.Before(e.downUntil) || c.policy.apart && r.verdict == quarantine.VerdictIsolate && e.hasSuspect() {
			continue
		}
		if best == nil || len(e.running) < len(best.running) {
			best = e
		}
	}
	return best
}

func (e *endpoint) hasSuspect() bool {
	for _, r := range e.running {
		if r.verdict == quarantine.VerdictIsolate {
			return true
		}
	}
	return false
}
