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

// system is one way of placing, queueing and evicting.
type system struct {
	name   string
	choose func(r *run, q *request) []*agent
	fifo   bool
	lru    bool
}

// systems are measured in this order.
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

func newFakeEngine(c *simclock.Clock, finished func(*attempt)) *fakeEngine {
	return &fakeEngine{clock: c, finished: finished, prefixes: list.New()}
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
		Pool: poolOf(q), Adapter: q.build.Adapter, Version: q.build.Version, Prefix: q.prefix, TieBreaker: q.spread,
	}
}

func newPlacer(r *run) *placement.Placer {
	p := placement.New(entry.DefaultPlacement())
	var list []placement.Endpoint
	for i, a := range r.engines {
		list = append(list, placement.Endpoint{VM: a.vm, Domain: domain(i), Pool: placement.Pool{Base: basePool}})
	}
	for i, a := range r.plain {
		list = append(list, placement.Endpoint{VM: a.vm, Domain: domain(i), Pool: placement.Pool{Service: "booking"}})
	}
	p.SetEndpoints(list, entries)
	return p
}

func domain(i int) ident.FailureDomain {
	return ident.FailureDomain(string(rune('a' + i%failureDomains)))
}

func chooseByPlacement(r *run, q *request) []*agent {
	var out []*agent
	for _, vm := range r.placers[q.entry].Choose(r.clock.Time(), placementJob(q)) {
		out = append(out, r.byVM[vm])
	}
	return out
}

func (r *run) group(q *request) []*agent {
	if q.build == (slots.Build{}) {
		return r.plain
	}
	return r.engines
}

func chooseAtRandom(r *run, q *request) []*agent {
	group := r.group(q)
	rng := rand.New(rand.NewPCG(q.spread, 2))
	var out []*agent
	for _, i := range rng.Perm(len(group)) {
		out = append(out, group[i])
	}
	return out
}

func chooseLeastLoaded(r *run, q *request) []*agent {
	out := chooseAtRandom(r, q)
	sort.SliceStable(out, func(i, j int) bool {
		return out[i].running+out[i].queue.Len() < out[j].running+out[j].queue.Len()
	})
	return out
}

func chooseByHash(r *run, q *request) []*agent {
	if q.build == (slots.Build{}) {
		return chooseAtRandom(r, q)
	}
	out := append([]*agent(nil), r.engines...)
	score := func(a *agent) uint64 { return xxhash.Sum64String(string(q.build.Adapter) + "/" + string(a.vm)) }
	sort.Slice(out, func(i, j int) bool { return score(out[i]) > score(out[j]) })
	return out
}
