package serving

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

const (
	// reportEvery is the pause between the reports of an engine that works, and
	// snapshotEvery how old a router's view of an engine gets.
	reportEvery   = 30 * time.Millisecond
	snapshotEvery = 120 * time.Millisecond
	// roundTrip is the way to a scheduler and back.
	roundTrip = 3 * time.Millisecond
	// asksMost bounds the engines that are asked for one try, as the router does.
	asksMost = 3
	// comeBack is when a refused caller tries again, once.
	comeBack  = 2 * time.Second
	triesMost = 2
	// patience is the part of the aim for which a turn is waited for, and
	// patienceLeast its least time, as the router does.
	patience      = 1.5
	patienceLeast = 400 * time.Millisecond
)

// node is an engine with its scheduler.
type node struct {
	id       catalog.EndpointID
	engine   *engine
	machine  *grants.Machine
	snapshot grants.Snapshot // As routers see it.
	held     map[catalog.AdapterKey]bool
	asked    []int     // Loads asked for since the snapshot, by router.
	sentMS   []float64 // Reading sent since, by router.
	waiting  map[grants.RequestID]*try
	running  map[grants.RequestID]*run
}

// try is one ask for a turn.
type try struct {
	request *request
	chosen  []catalog.EndpointID // Asked before.
	asks    int
}

// fleet is one run of a day.
type fleet struct {
	clock  simclock.Clock
	rng    *rand.Rand
	d      *deployment
	way    way
	store  weightStore
	nodes  []*node
	next   grants.RequestID
	config routing.Config
}

// play runs a day by a way to choose engines.
func play(d *deployment, s scenario, w way, seed uint64) (*fleet, []*request) {
	f := &fleet{rng: rand.New(rand.NewPCG(seed, 1)), d: d, way: w, store: weightStore{fullSpeed: d.fullSpeed}, config: w.config()}
	for i := range d.engines {
		f.addNode(i)
	}
	requests := arrivals(d, s, seed)
	for _, q := range requests {
		f.clock.After(q.at, func() { f.begin(q) })
	}
	if s.gone > 0 {
		f.clock.After(from, func() { f.lose(s.gone) })
	}
	longest := time.Duration(0)
	for _, c := range d.classes {
		longest = max(longest, c.deadline)
	}
	f.clock.Until(dayLength + longest)
	return f, requests
}

func (f *fleet) addNode(i int) {
	d := f.d
	n := &node{
		id: catalog.EndpointID(rune('A' + i)), machine: grants.New(grants.DefaultConfig()),
		asked: make([]int, d.routers), sentMS: make([]float64, d.routers), held: make(map[catalog.AdapterKey]bool),
		waiting: make(map[grants.RequestID]*try), running: make(map[grants.RequestID]*run),
	}
	n.engine = &engine{
		clock: &f.clock, store: &f.store, d: d, speed: d.speeds[i%len(d.speeds)], born: 1, kept: keptParts{most: d.memory / 2},
		resident: make(map[catalog.AdapterKey]bool), coming: make(map[catalog.AdapterKey]bool),
		finished: func(one *run) { f.finished(n, one) },
	}
	n.machine.SetLimits(grants.Limits{
		Slots: d.slots, KVTokens: d.memory, AdapterSlots: d.places, WeightsMB: 1000, Models: []catalog.Model{{Name: modelName}},
	})
	f.nodes = append(f.nodes, n)
	f.report(n)
	f.tell(n)
}

// report gives the scheduler a report, again and again.
func (f *fleet) report(n *node) {
	if n.engine.gone {
		return
	}
	n.machine.ApplyReport(n.engine.report(), f.clock.Time())
	f.advance(n)
	f.clock.After(reportEvery, func() { f.report(n) })
}

// tell refreshes the routers' view of an engine, again and again.
func (f *fleet) tell(n *node) {
	n.snapshot = n.machine.Snapshot(f.clock.Time())
	for _, a := range n.snapshot.Adapters {
		n.held[catalog.AdapterKey{Model: a.Model, Adapter: a.Adapter}] = true
	}
	clear(n.asked)
	clear(n.sentMS)
	f.clock.After(snapshotEvery, func() { f.tell(n) })
}

// lose ends one engine in so many, without notice.
func (f *fleet) lose(oneIn int) {
	for i, n := range f.nodes {
		if i%oneIn != 0 {
			continue
		}
		n.engine.crash()
		n.machine.MarkUnreachable(f.clock.Time())
		clear(n.running)
		clear(n.held)
		f.advance(n)
	}
}

// begin is a caller's try.
func (f *fleet) begin(q *request) {
	q.tries++
	f.ask(&try{request: q})
}

// ask asks the best engine that was not asked yet, or refuses.
func (f *fleet) ask(t *try) {
	q := t.request
	n, load := f.way.choose(f, t)
	if n == nil || t.asks >= asksMost {
		if q.tries < triesMost && f.clock.Now()+comeBack < q.at+q.class.deadline {
			f.clock.After(comeBack, func() { f.begin(q) })
		}
		return
	}
	t.asks++
	t.chosen = append(t.chosen, n.id)
	f.next++
	id := f.next
	if load > 0 {
		n.asked[q.router]++
	}
	n.sentMS[q.router] += float64(q.prompt) / f.config.PrefillTokensPerMS
	waited := f.clock.Now() - q.at
	wait := min(max(time.Duration(patience*float64(q.class.aim))-waited, patienceLeast), q.at+q.class.deadline-f.clock.Now())
	f.clock.After(roundTrip, func() {
		n.waiting[id] = t
		n.machine.RequestGrant(grants.Request{
			ID: id, EngineRequestID: q.id, Key: q.key, PromptParts: []grants.PromptPart{{ID: q.part, Tokens: q.shared}}, PromptTokens: q.prompt, MaxOutputTokens: q.output,
			Priority: q.class.priority, LatencyTarget: max(q.class.aim-waited, 0), MaxWait: wait, GapTarget: q.class.gapAim, ColdLoadTime: load,
		}, f.clock.Time())
		f.advance(n)
	})
}

// advance hands out decisions and gives orders.
func (f *fleet) advance(n *node) {
	for !n.engine.gone {
		o, ok := n.machine.NextOrder(f.clock.Time())
		if !ok {
			break
		}
		n.machine.CompleteOrder(n.engine.order(o), f.clock.Time())
	}
	for _, d := range n.machine.TakeDecisions() {
		t := n.waiting[d.ID]
		delete(n.waiting, d.ID)
		if t == nil {
			continue
		}
		if !d.Granted {
			f.ask(t)
			continue
		}
		f.start(n, d.ID, t.request)
	}
}

// start runs a request until its end or its deadline.
func (f *fleet) start(n *node, id grants.RequestID, q *request) {
	one := n.engine.begin(q)
	n.running[id] = one
	f.clock.After(q.at+q.class.deadline-f.clock.Now(), func() {
		if n.running[id] == one {
			n.engine.drop(one)
			f.release(n, id)
		}
	})
}

func (f *fleet) finished(n *node, one *run) {
	one.request.done = true
	for id, r := range n.running {
		if r == one {
			f.release(n, id)
			return
		}
	}
}

func (f *fleet) release(n *node, id grants.RequestID) {
	delete(n.running, id)
	n.machine.Release(id, f.clock.Time())
	f.clock.After(0, func() { f.advance(n) })
}

// candidates are the engines as a router sees them.
func (f *fleet) candidates(t *try) []routing.Engine {
	out := make([]routing.Engine, 0, len(f.nodes))
	for _, n := range f.nodes {
		out = append(out, routing.Engine{
			ID: n.id, Snapshot: n.snapshot, SnapshotFresh: true, SentPrefillMS: n.sentMS[t.request.router], LoadsCaused: n.asked[t.request.router],
			Cached: n.held[t.request.key], Tried: slices.Contains(t.chosen, n.id),
		})
	}
	return out
}

func (f *fleet) node(id catalog.EndpointID) *node {
	for _, n := range f.nodes {
		if n.id == id {
			return n
		}
	}
	return nil
}

// job describes a request as the router does.
func (f *fleet) job(t *try) routing.Job {
	q := t.request
	return routing.Job{
		Key: q.key, Priority: q.class.priority, PromptTokens: q.prompt, SharedTokens: q.shared, MeanEvents: q.class.output / float64(f.d.stride),
		Routers: min(f.d.routers, 4), MaxOnTimeWait: max(q.class.aim-(f.clock.Now()-q.at), patienceLeast),
	}
}

// waitMS is what an engine has yet to read, known exactly.
func (f *fleet) waitMS(n *node) float64 {
	return float64(n.machine.Snapshot(f.clock.Time()).PrefillWaitMS[grants.NumPriorities-1])
}
