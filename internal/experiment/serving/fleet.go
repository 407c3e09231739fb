package serving

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/spreading"
)

const (
	// reportInterval is the interval between an engine's reports to its scheduler,
	// and snapshotInterval the maximum age of the routers' snapshot of an engine.
	reportInterval   = 30 * time.Millisecond
	snapshotInterval = 120 * time.Millisecond
	// schedulerRoundTrip is the time from a router's grant request until the
	// scheduler handles it; the response takes no further time.
	schedulerRoundTrip = 3 * time.Millisecond
	// maxGrantRequests is the maximum number of schedulers that are tried for one
	// submission. The router has the same limit.
	maxGrantRequests = 3
	// resubmitDelay is the time after which a caller submits a refused request
	// again, and maxSubmissions the maximum number of submissions.
	resubmitDelay  = 2 * time.Second
	maxSubmissions = 2
	// maxWaitFactor is the maximum wait for a grant as a multiple of the latency
	// target, and minMaxWait the lower bound of that wait. The router has the same
	// limits.
	maxWaitFactor = 1.5
	minMaxWait    = 400 * time.Millisecond
	// pendingTTL is how long a router counts the prefill of a request that it sent. The router has the same limit.
	pendingTTL     = 250 * time.Millisecond
	sampleInterval = 100 * time.Millisecond
)

// node is an engine with its scheduler.
type node struct {
	id           catalog.EndpointID
	domain       string
	engine       *engine
	machine      *grants.Machine
	snapshot     grants.Snapshot             // As the routers see it.
	everResident map[catalog.AdapterKey]bool // Adapters in any snapshot since the start or crash.
	snapshotAt   time.Duration               // When the snapshot was taken.
	pending      [][]pendingSend             // Sent since the snapshot, by router.
	waiting      map[grants.RequestID]*submission
	running      map[grants.RequestID]*run
}

// pendingSend is a request that a router sent to an engine.
type pendingSend struct {
	at        time.Duration
	prefillMS float64
	loads     int
}

// submission is a submission of a request to a router.
type submission struct {
	request       *request
	tried         []catalog.EndpointID // Engines whose scheduler got a grant request.
	grantRequests int
}

// fleet is the state of one simulation.
type fleet struct {
	clock    simclock.Clock
	rng      *rand.Rand
	spec     *deploymentSpec
	strategy strategy
	store    weightStore
	nodes    []*node
	lastID   grants.RequestID
	config   routing.Config
	rates    []spreading.Rate // Prefill time sent, by router.
	evenness []float64        // Load of the busiest engine over the mean one, by sample.
}

// simulate runs a scenario with a strategy and returns the fleet and the requests
// in their final state.
func simulate(spec *deploymentSpec, s scenario, chosen strategy, seed uint64) (*fleet, []*request) {
	f := &fleet{
		rng: rand.New(rand.NewPCG(seed, 1)), spec: spec, strategy: chosen,
		store: weightStore{fullSpeedTransfers: spec.fullSpeedTransfers}, config: chosen.config(),
		rates: make([]spreading.Rate, spec.routers),
	}
	for i := range spec.engines {
		f.addNode(i)
	}
	f.sampleLoadPeriodically()
	requests := arrivals(spec, s, seed)
	for _, q := range requests {
		f.clock.After(q.arrival, func() { f.submit(q) })
	}
	if s.crashOneIn > 0 {
		f.clock.After(disturbanceStart, func() { f.crashEngines(s.crashOneIn) })
	}
	maxDeadline := time.Duration(0)
	for _, c := range spec.classes {
		maxDeadline = max(maxDeadline, c.deadline)
	}
	f.clock.RunUntil(arrivalWindow + maxDeadline)
	return f, requests
}

func (f *fleet) addNode(i int) {
	spec := f.spec
	n := &node{
		id: catalog.EndpointID(rune('A' + i)), machine: grants.New(grants.DefaultConfig()),
		domain: fmt.Sprint(spec.domain(i)), pending: make([][]pendingSend, spec.routers),
		everResident: make(map[catalog.AdapterKey]bool),
		waiting:      make(map[grants.RequestID]*submission), running: make(map[grants.RequestID]*run),
	}
	n.engine = &engine{
		clock: &f.clock, store: &f.store, spec: spec, slowdown: spec.slowdowns[i%len(spec.slowdowns)], incarnation: 1,
		prefixes: prefixCache{capacity: spec.kvTokens / 2},
		resident: make(map[catalog.AdapterKey]bool), loading: make(map[catalog.AdapterKey]bool),
		onFinished: func(r *run) { f.runFinished(n, r) },
	}
	n.machine.SetLimits(grants.Limits{
		Slots: spec.requestSlots, KVTokens: spec.kvTokens, AdapterSlots: spec.adapterSlots, WeightsMB: 1000,
		Models: []catalog.Model{{Name: modelName}},
	})
	f.nodes = append(f.nodes, n)
	f.reportPeriodically(n)
	f.refreshSnapshotPeriodically(n)
}

// reportPeriodically passes the engine's report to its scheduler now and at each
// reportInterval until the engine crashes.
func (f *fleet) reportPeriodically(n *node) {
	if n.engine.crashed {
		return
	}
	n.machine.ApplyReport(n.engine.report(), f.clock.Time())
	f.advance(n)
	f.clock.After(reportInterval, func() { f.reportPeriodically(n) })
}

// refreshSnapshotPeriodically updates the routers' snapshot of an engine now and
// at each snapshotInterval.
func (f *fleet) refreshSnapshotPeriodically(n *node) {
	taken, at := n.machine.Snapshot(f.clock.Time()), f.clock.Now()
	if f.spec.reportEvery == 0 {
		n.setSnapshot(taken, at)
		f.clock.After(snapshotInterval, func() { f.refreshSnapshotPeriodically(n) })
		return
	}
	if at == 0 || f.rng.Float64() >= f.spec.lostReports {
		f.clock.After(f.spec.reportDelay, func() { n.setSnapshot(taken, at) })
	}
	f.clock.After(f.spec.reportEvery, func() { f.refreshSnapshotPeriodically(n) })
}

// setSnapshot shows the routers a snapshot taken at a time, and drops the pending requests that it includes.
func (n *node) setSnapshot(s grants.Snapshot, takenAt time.Duration) {
	n.snapshot, n.snapshotAt = s, takenAt
	for _, a := range n.snapshot.Adapters {
		n.everResident[catalog.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = true
	}
	for i := range n.pending {
		n.pending[i] = slices.DeleteFunc(n.pending[i], func(p pendingSend) bool { return p.at <= takenAt })
	}
}

// sampleLoadPeriodically records, each sampleInterval, the load of the busiest engine over the mean one. The load of an
// engine is the number of its requests over its speed.
func (f *fleet) sampleLoadPeriodically() {
	sum, busiest := 0.0, 0.0
	for _, n := range f.nodes {
		load := float64(len(n.running)+len(n.waiting)) * n.engine.slowdown
		sum, busiest = sum+load, max(busiest, load)
	}
	if mean := sum / float64(len(f.nodes)); mean >= 1 && f.clock.Now() < arrivalWindow {
		f.evenness = append(f.evenness, busiest/mean)
	}
	f.clock.After(sampleInterval, f.sampleLoadPeriodically)
}

// crashEngines crashes every oneIn-th engine.
func (f *fleet) crashEngines(oneIn int) {
	for i, n := range f.nodes {
		if i%oneIn != 0 {
			continue
		}
		n.engine.crash()
		n.machine.MarkUnreachable(f.clock.Time())
		clear(n.running)
		clear(n.everResident)
		f.advance(n)
	}
}

// submit submits a request to its router.
func (f *fleet) submit(q *request) {
	q.submissions++
	f.requestGrant(&submission{request: q})
}

// requestGrant sends a grant request to the best engine that is not tried yet. If
// there is none, or maxGrantRequests are sent, the router refuses the request and
// the caller may submit it again.
func (f *fleet) requestGrant(s *submission) {
	q := s.request
	n, coldLoadTime := f.strategy.choose(f, s)
	if n == nil || s.grantRequests >= maxGrantRequests {
		if q.submissions < maxSubmissions && f.clock.Now()+resubmitDelay < q.arrival+q.class.deadline {
			f.clock.After(resubmitDelay, func() { f.submit(q) })
		}
		return
	}
	s.grantRequests++
	s.tried = append(s.tried, n.id)
	f.lastID++
	id := f.lastID
	sent := pendingSend{at: f.clock.Now(), prefillMS: float64(q.promptTokens) / f.config.PrefillTokensPerMS}
	if coldLoadTime > 0 {
		sent.loads = 1
	}
	n.pending[q.router] = append(n.pending[q.router], sent)
	f.rates[q.router].Add(sent.prefillMS, f.clock.Time())
	waited := f.clock.Now() - q.arrival
	maxWait := min(
		max(time.Duration(maxWaitFactor*float64(q.class.latencyTarget))-waited, minMaxWait),
		q.arrival+q.class.deadline-f.clock.Now(),
	)
	f.clock.After(schedulerRoundTrip, func() {
		n.waiting[id] = s
		n.machine.RequestGrant(grants.Request{
			ID: id, EngineRequestID: q.id, Key: q.key,
			PromptParts:  []grants.PromptPart{{ID: q.prefix, Tokens: q.prefixTokens}},
			PromptTokens: q.promptTokens, MaxOutputTokens: q.outputTokens,
			Priority: q.class.priority, LatencyTarget: max(q.class.latencyTarget-waited, 0), MaxWait: maxWait,
			GapTarget: q.class.gapTarget, ColdLoadTime: coldLoadTime,
		}, f.clock.Time())
		f.advance(n)
	})
}

// advance executes the scheduler's orders and applies its decisions.
func (f *fleet) advance(n *node) {
	for !n.engine.crashed {
		o, ok := n.machine.NextOrder(f.clock.Time())
		if !ok {
			break
		}
		n.machine.CompleteOrder(n.engine.execute(o), f.clock.Time())
	}
	for _, d := range n.machine.TakeDecisions() {
		s := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		if s == nil {
			continue
		}
		if !d.Granted {
			f.requestGrant(s)
			continue
		}
		f.startRun(n, d.ID, s.request)
	}
}

// startRun starts a granted request on its engine and cancels it at its deadline.
func (f *fleet) startRun(n *node, id grants.RequestID, q *request) {
	r := n.engine.startRun(q)
	n.running[id] = r
	f.clock.After(q.arrival+q.class.deadline-f.clock.Now(), func() {
		if n.running[id] == r {
			n.engine.removeRun(r)
			f.release(n, id)
		}
	})
}

// runFinished marks the run's request as done and releases its grant.
func (f *fleet) runFinished(n *node, finished *run) {
	finished.request.done = true
	for id, r := range n.running {
		if r == finished {
			f.release(n, id)
			return
		}
	}
}

// release releases a grant.
func (f *fleet) release(n *node, id grants.RequestID) {
	delete(n.running, id)
	n.machine.Release(id, f.clock.Time())
	f.clock.After(0, func() { f.advance(n) })
}

// candidates returns the engines as the router of a submission sees them.
func (f *fleet) candidates(s *submission) []routing.Engine {
	out := make([]routing.Engine, 0, len(f.nodes))
	for _, n := range f.nodes {
		prefillMS, loads := 0.0, 0
		for _, p := range n.pending[s.request.router] {
			if f.spec.reportEvery == 0 || f.clock.Now()-p.at < pendingTTL {
				prefillMS += p.prefillMS
			}
			loads += p.loads
		}
		out = append(out, routing.Engine{
			ID: n.id, FailureDomain: n.domain, Snapshot: n.snapshot, SnapshotFresh: true, SnapshotAge: f.clock.Now() - n.snapshotAt, PendingPrefillMS: prefillMS, PendingLoads: loads,
			Cached: n.everResident[s.request.key], Tried: slices.Contains(s.tried, n.id),
		})
	}
	return out
}

// node returns the node of an engine, or nil if there is none.
func (f *fleet) node(id catalog.EndpointID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// job describes a request to the routing policy as the router does.
func (f *fleet) job(s *submission) routing.Job {
	q := s.request
	return routing.Job{
		Key: q.key, FailureDomain: fmt.Sprint(f.spec.domain(q.router)), Seed: rendezvous.Hash(q.id), Priority: q.class.priority, PromptTokens: q.promptTokens, SharedTokens: q.prefixTokens, PrefixSeed: rendezvous.Hash(q.key.Adapter + "/" + q.prefix),
		MeanEvents:        q.class.outputTokens / float64(f.spec.tokensPerEvent),
		OthersPrefillRate: spreading.OthersRate(f.rates[q.router].PerMS(f.clock.Time()), f.spec.routers),
		Routers:           min(f.spec.routers, 4), MaxOnTimeWait: max(q.class.latencyTarget-(f.clock.Now()-q.arrival), minMaxWait),
	}
}

// prefillBacklogMS returns the current prefill backlog of an engine in
// milliseconds.
func (f *fleet) prefillBacklogMS(n *node) float64 {
	return float64(n.machine.Snapshot(f.clock.Time()).PrefillWaitMS[grants.NumPriorities-1])
}
