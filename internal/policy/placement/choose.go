package placement

import (
	"math"
	"sort"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

// Choose returns at most Config.MaxReturned endpoints to try for a job, best first.
// Leaving endpoints are excluded. Endpoints in a cooldown after failures come
// last. The result is empty if the pool has no endpoints.
func (p *Placer) Choose(now time.Time, job Job) []ident.VM {
	pool, ok := p.pools[job.Pool]
	if !ok {
		return nil
	}
	if job.Adapter == "" {
		return p.leastOutstanding(now, pool, job.TieBreaker)
	}
	a := p.adapterState(job)
	a.rate.add(now, p.config.DemandHalfLife)
	needed := p.endpointsNeeded(now, pool, a)
	p.extendList(pool, job, a, needed+p.config.MaxReturned)
	return p.rank(now, pool, job, a, needed)
}

// adapterState returns the state of the job's adapter and creates it if needed.
func (p *Placer) adapterState(job Job) *adapter {
	key := adapterKey{pool: job.Pool, adapter: job.Adapter}
	a, ok := p.adapters.get(key)
	if !ok {
		a = &adapter{}
		p.adapters.put(key, a)
	}
	return a
}

// endpointsNeeded returns how many endpoints the adapter's demand over all
// entries needs. It divides the expected concurrent requests by the requests
// that one endpoint runs at the target utilization.
func (p *Placer) endpointsNeeded(now time.Time, pool *pool, a *adapter) int {
	perSecond := a.rate.perSecond(now, p.config.DemandHalfLife) * float64(p.entries)
	concurrent := perSecond * p.meanServiceTime(pool)
	perEndpoint := float64(p.poolCapacity(pool)) * p.config.TargetUtilization
	return min(max(int(math.Ceil(concurrent/perEndpoint)), 1), len(pool.nodes))
}

// meanServiceTime returns the mean time of a request whose build was resident,
// in seconds.
func (p *Placer) meanServiceTime(pool *pool) float64 {
	return pool.residentTimes.meanOr(p.config.DefaultServiceTime.Seconds())
}

// poolCapacity returns the capacity of the pool's first endpoint, or the default
// if that endpoint has not reported any.
func (p *Placer) poolCapacity(pool *pool) int {
	if c := pool.nodes[0].capacity; c > 0 {
		return c
	}
	return p.config.DefaultCapacity
}

// extendList makes the adapter's list at least n long and rebuilds it after the
// pool has changed. An extended list gets twice the needed length, so that
// growing demand rarely rebuilds it.
func (p *Placer) extendList(pool *pool, job Job, a *adapter, n int) {
	n = min(n, len(pool.nodes))
	if a.generation == pool.generation && len(a.list) >= n {
		return
	}
	key := hashAdapter(adapterKey{pool: job.Pool, adapter: job.Adapter})
	if a.generation == pool.generation {
		n = min(2*n, len(pool.nodes))
	}
	a.list = topNodes(pool.nodes, key, n)
	a.generation = pool.generation
}

// candidate is a node with its sort keys.
type candidate struct {
	node        *node
	delay       float64 // Expected delay in seconds; for a plain service, the running and queued attempts.
	coolingDown bool
}

// rank orders the needed endpoints of the adapter and up to Config.MaxReturned
// more by their expected delay. Endpoints in a cooldown come last.
func (p *Placer) rank(now time.Time, pool *pool, job Job, a *adapter, needed int) []ident.VM {
	out := make([]candidate, 0, len(a.list))
	for i, n := range a.list {
		if i >= needed+p.config.MaxReturned {
			break
		}
		c := candidate{node: n, coolingDown: n.coolingDown(now), delay: p.delay(now, pool, job, a, n)}
		c.delay += p.loadDelay(now, pool, job, a, n, i < needed)
		out = append(out, c)
	}
	sort.SliceStable(out, func(i, j int) bool {
		if out[i].coolingDown != out[j].coolingDown {
			return !out[i].coolingDown
		}
		return out[i].delay < out[j].delay
	})
	return vmsOf(out[:min(len(out), p.config.MaxReturned)])
}

// delay estimates the time in seconds that a job loses on a node to queueing and
// to the other requests there. A prefix that the node has served reduces it.
func (p *Placer) delay(now time.Time, pool *pool, job Job, a *adapter, n *node) float64 {
	capacity := float64(n.capacity)
	if n.capacity == 0 {
		capacity = float64(p.config.DefaultCapacity)
	}
	attempts := n.attempts(now, p.config.LoadHalfLife)
	queued := math.Max(attempts-capacity+1, 0)
	delay := queued / capacity * p.meanServiceTime(pool)
	if r, ok := p.prefixes.get(job.Prefix); job.Prefix != 0 && ok && r.node == n && r.boot == n.boot {
		delay -= p.config.PrefixGain.Seconds()
	}
	return delay + attempts/capacity*fullBatchDelay.Seconds()
}

// fullBatchDelay is the time that a request loses to the other requests of a
// full batch.
const fullBatchDelay = 500 * time.Millisecond

// loadDelay estimates the wait in seconds until the build is loaded. preferred
// states that the node is one of the endpoints that the adapter's demand needs. An
// entry without residency information assumes that a preferred endpoint may have
// the build, because the other entries send the adapter's requests there.
func (p *Placer) loadDelay(now time.Time, pool *pool, job Job, a *adapter, n *node, preferred bool) float64 {
	r, ok := a.findResidency(n, job.Version)
	delay := pool.loadDelay(p.config.MinLoadDelay).Seconds()
	switch {
	case ok && r.avoidUntil.After(now):
		return 2 * delay
	case ok && r.boot == n.boot && now.Sub(r.servedAt) < p.config.ResidencyTimeout:
		return 0
	case preferred:
		return delay * preferredLoadFraction
	}
	return delay
}

// preferredLoadFraction is the fraction of a load's delay that is expected on a
// preferred endpoint of an adapter while its residency there is unknown.
const preferredLoadFraction = 0.5

func (a *adapter) findResidency(n *node, version ident.Version) (residency, bool) {
	for _, r := range a.residencies {
		if r.node == n && r.version == version {
			return r, true
		}
	}
	return residency{}, false
}

// leastOutstanding orders the instances of a plain service by their attempts.
// The request's tie breaker orders instances with equal attempts, so that they
// share the traffic.
func (p *Placer) leastOutstanding(now time.Time, pool *pool, tieBreaker uint64) []ident.VM {
	out := make([]candidate, 0, len(pool.nodes))
	for _, n := range pool.nodes {
		out = append(out, candidate{node: n, coolingDown: n.coolingDown(now), delay: n.attempts(now, p.config.LoadHalfLife)})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].coolingDown != out[j].coolingDown {
			return !out[i].coolingDown
		}
		if out[i].delay != out[j].delay {
			return out[i].delay < out[j].delay
		}
		return rendezvous.Score(tieBreaker, out[i].node.hash) > rendezvous.Score(tieBreaker, out[j].node.hash)
	})
	return vmsOf(out[:min(len(out), p.config.MaxReturned)])
}

func vmsOf(list []candidate) []ident.VM {
	out := make([]ident.VM, len(list))
	for i, c := range list {
		out[i] = c.node.VM
	}
	return out
}
