package placement

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
)

// Pool identifies a set of interchangeable endpoints: the engines of a base
// model, or the instances of a plain service.
type Pool struct {
	Base    ident.BaseModel // Empty for a plain service.
	Service ident.Service   // Empty for a base model.
}

// Endpoint is one endpoint of a pool.
type Endpoint struct {
	VM      ident.VM
	Domain  ident.FailureDomain
	Pool    Pool
	Leaving bool // The endpoint gets no new requests.
}

// Job holds the properties of a request that placement uses.
type Job struct {
	Pool       Pool
	Adapter    ident.Adapter // Empty for a plain service.
	Version    ident.Version // Empty for a plain service.
	Prefix     uint64        // Hash of the organisation and the start of the prompt; 0 if there is none.
	TieBreaker uint64        // Hash that breaks ties; differs between requests.
}

// Load is the load that an agent reports, in attempts.
type Load struct {
	Running  int
	Capacity int
	Queued   int
}

// Config configures New.
type Config struct {
	MaxAdapters        int           // Maximum number of adapters with state.
	MaxPrefixes        int           // Maximum number of prompt prefixes with state.
	MaxReturned        int           // Maximum number of endpoints that Choose returns.
	DemandHalfLife     time.Duration // Time in which the weight of a past request halves.
	LoadHalfLife       time.Duration // Time in which the weight of a reported load halves.
	ResidencyTimeout   time.Duration // Time for which a build that ran is expected to stay resident.
	TargetUtilization  float64       // Fraction of an endpoint's capacity that one adapter fills before it gets another endpoint.
	MinLoadDelay       time.Duration // Minimum expected delay if the build is not resident.
	PrefixGain         time.Duration // Expected time saved if the node has served the prefix.
	DefaultCapacity    int           // Capacity of an endpoint that has not reported any.
	DefaultServiceTime time.Duration // Time of a request until one was measured.
	Cooldown           time.Duration // Cooldown after the first failure of an endpoint; doubles with each further failure.
	MaxCooldown        time.Duration // Maximum cooldown.
}

// adapterKey identifies an adapter of a pool. All versions of an adapter use the
// same endpoints.
type adapterKey struct {
	pool    Pool
	adapter ident.Adapter
}

// residency is the state of one build on one node.
type residency struct {
	node       *node
	version    ident.Version
	boot       ident.BootID
	servedAt   time.Time // When the node last served the build; zero if never.
	avoidUntil time.Time // End of the avoidance after a refusal.
}

// adapter is the state of one adapter.
type adapter struct {
	list        []*node // The first nodes in rendezvous order.
	generation  uint64  // Generation of the pool that the list was built from.
	rate        decayingRate
	residencies []residency
}

// Placer selects endpoints for one entry. It is not safe for concurrent use.
type Placer struct {
	config   Config
	entries  int // Number of entries that share the traffic; at least 1.
	nodes    map[ident.VM]*node
	pools    map[Pool]*pool
	adapters *lru[adapterKey, *adapter]
	prefixes *lru[uint64, residency]
}

// pool holds the nodes of a Pool that are not leaving, and the mean request
// times over all of them.
type pool struct {
	nodes         []*node
	generation    uint64        // Increases when the set of nodes changes.
	residentTimes movingAverage // Seconds of a request whose build was resident.
	loadWaitTimes movingAverage // Seconds of a request that waited for a load.
}

// loadDelay returns how much longer a request takes if it waits for a load, at
// least minimum.
func (p *pool) loadDelay(minimum time.Duration) time.Duration {
	extra := p.loadWaitTimes.meanOr(0) - p.residentTimes.meanOr(0)
	return max(time.Duration(extra*float64(time.Second)), minimum)
}

// New returns a Placer without endpoints.
func New(config Config) *Placer {
	return &Placer{
		config:   config,
		entries:  1,
		nodes:    make(map[ident.VM]*node),
		pools:    make(map[Pool]*pool),
		adapters: newLRU[adapterKey, *adapter](config.MaxAdapters),
		prefixes: newLRU[uint64, residency](config.MaxPrefixes),
	}
}

// SetEndpoints replaces the endpoints and the number of entries that share the
// traffic. Endpoints whose pool and failure domain stay the same keep their
// state.
func (p *Placer) SetEndpoints(endpoints []Endpoint, entries int) {
	p.entries = max(entries, 1)
	former := p.nodes
	p.nodes = make(map[ident.VM]*node, len(endpoints))
	members := make(map[Pool][]*node)
	for _, e := range endpoints {
		n, ok := former[e.VM]
		if !ok || n.Pool != e.Pool || n.Domain != e.Domain {
			n = &node{hash: rendezvous.Hash(string(e.VM))}
		}
		n.Endpoint = e
		p.nodes[e.VM] = n
		if !e.Leaving {
			members[e.Pool] = append(members[e.Pool], n)
		}
	}
	for key, nodes := range members {
		p.setPool(key, nodes)
	}
	for key := range p.pools {
		if _, ok := members[key]; !ok {
			delete(p.pools, key)
		}
	}
}

func (p *Placer) setPool(key Pool, nodes []*node) {
	old, ok := p.pools[key]
	if !ok {
		p.pools[key] = &pool{nodes: nodes, generation: 1}
		return
	}
	if !sameNodes(old.nodes, nodes) {
		old.generation++
	}
	old.nodes = nodes
}

func sameNodes(a, b []*node) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// CacheSizes returns the numbers of adapters and prefixes with state.
func (p *Placer) CacheSizes() (adapters, prefixes int) {
	return p.adapters.len(), p.prefixes.len()
}
