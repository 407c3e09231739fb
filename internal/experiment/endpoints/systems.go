package endpoints

import (
	"container/list"
	"math/rand/v2"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssoptiller/hyssoptiller/internal/agent/schedule"
	entry "github.com/hyssoptiller/hyssoptiller/internal/entry/endpoints"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/fairqueue"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/placement"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/slots"
)

// system is a combination of policies for placement, queueing and eviction.
type system struct {
	name   string
	choose func(sim *simulation, q *request) []*agent // Returns the endpoints to try, in order.
	fifo   bool                                       // First-in-first-out queue.
	lru    bool                                       // Evict the least recently used adapter.
}

// systems are in the order of the printed rows.
var systems = []system{
	{name: "hyssoptiller", choose: chooseByPlacement},
	{name: "random endpoint", choose: chooseAtRandom, fifo: true, lru: true},
	{name: "least loaded", choose: chooseLeastLoaded, fifo: true, lru: true},
	{name: "consistent hashing", choose: chooseByHash, fifo: true, lru: true},
	{name: "with FIFO queue", choose: chooseByPlacement, fifo: true},
	{name: "with LRU slots", choose: chooseByPlacement, lru: true},
}

func queueConfig(s system) fairqueue.Config {
	config := schedule.QueueConfig(capacity)
	if s.fifo {
		config.MaxBypass = 0
	}
	return config
}

func slotsConfig(s system, count int) slots.Config {
	config := schedule.SlotsConfig(count)
	if s.lru {
		config.Evict = slots.LeastRecentlyUsed
	}
	return config
}

func newFakeEngine(c *simclock.Clock, onFinished func(*attempt)) *fakeEngine {
	return &fakeEngine{clock: c, onFinished: onFinished, prefixes: list.New()}
}

const basePool = "base"

func poolOf(q *request) placement.Pool {
	if q.build == (slots.Build{}) {
		return placement.Pool{Service: "booking"}
	}
	return placement.Pool{Base: basePool}
}

func placementJob(q *request) placement.Job {
	return placement.Job{
		Pool: poolOf(q), Adapter: q.build.Adapter, Version: q.build.Version, Prefix: q.prefix, TieBreaker: q.tieBreaker,
	}
}

func newPlacer(sim *simulation) *placement.Placer {
	p := placement.New(entry.DefaultPlacement())
	var endpoints []placement.Endpoint
	for i, a := range sim.engines {
		endpoints = append(endpoints, placement.Endpoint{VM: a.vm, Domain: domain(i), Pool: placement.Pool{Base: basePool}})
	}
	for i, a := range sim.plainInstances {
		endpoints = append(endpoints, placement.Endpoint{VM: a.vm, Domain: domain(i), Pool: placement.Pool{Service: "booking"}})
	}
	p.SetEndpoints(endpoints, entries)
	return p
}

func domain(i int) ident.FailureDomain {
	return ident.FailureDomain(string(rune('a' + i%failureDomains)))
}

func chooseByPlacement(sim *simulation, q *request) []*agent {
	var out []*agent
	for _, vm := range sim.placers[q.entry].Choose(sim.clock.Time(), placementJob(q)) {
		out = append(out, sim.byVM[vm])
	}
	return out
}

// endpointsFor returns the endpoints that can run a request.
func (sim *simulation) endpointsFor(q *request) []*agent {
	if q.build == (slots.Build{}) {
		return sim.plainInstances
	}
	return sim.engines
}

func chooseAtRandom(sim *simulation, q *request) []*agent {
	endpoints := sim.endpointsFor(q)
	rng := rand.New(rand.NewPCG(q.tieBreaker, 2))
	var out []*agent
	for _, i := range rng.Perm(len(endpoints)) {
		out = append(out, endpoints[i])
	}
	return out
}

func chooseLeastLoaded(sim *simulation, q *request) []*agent {
	out := chooseAtRandom(sim, q)
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].running+out[i].queue.Len() < out[j].running+out[j].queue.Len()
	})
	return out
}

// chooseByHash orders the engines by their rendezvous hash with the adapter.
func chooseByHash(sim *simulation, q *request) []*agent {
	if q.build == (slots.Build{}) {
		return chooseAtRandom(sim, q)
	}
	out := append([]*agent(nil), sim.engines...)
	score := func(a *agent) uint64 { return xxhash.Sum64String(string(q.build.Adapter) + "/" + string(a.vm)) }
	sort.Slice(out, func(i, j int) bool { return score(out[i]) > score(out[j]) })
	return out
}
