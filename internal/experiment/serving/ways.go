package serving

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

// way is a way to choose an engine.
type way interface {
	name() string
	config() routing.Config
	// choose returns the next engine for a try; nil refuses it.
	choose(f *fleet, t *try) *node
	// load returns what the scheduler is told of a load from the weight store; 0
	// where it is told nothing.
	load(f *fleet, t *try, n *node) time.Duration
}

// product is the product's own choice.
type product struct {
	bounded bool // Loads are bounded over the whole fleet.
}

func (p product) name() string {
	if p.bounded {
		return "product"
	}
	return "product, loads unbounded"
}

func (p product) config() routing.Config {
	c := routing.DefaultConfig()
	if !p.bounded {
		c.LoadsRare, c.LoadsSpread = math.Inf(1), math.Inf(1)
	}
	return c
}

func (p product) choose(f *fleet, t *try) *node {
	ranked := routing.Rank(f.config, f.job(t), f.candidates(t))
	if len(ranked) == 0 || ranked[0].Crowded {
		return nil
	}
	return f.node(ranked[0].ID)
}

func (p product) load(f *fleet, t *try, n *node) time.Duration {
	if !p.bounded {
		return 0
	}
	for _, c := range routing.Rank(f.config, f.job(t), f.candidates(&try{request: t.request})) {
		if c.ID == n.id {
			return c.Load
		}
	}
	return 0
}

// baseline is a way that orders engines by a rule and knows of no loads.
type baseline struct {
	label string
	rank  func(f *fleet, t *try, n *node) float64 // The least goes first.
}

func (b baseline) name() string                           { return b.label }
func (b baseline) config() routing.Config                 { return routing.DefaultConfig() }
func (b baseline) load(*fleet, *try, *node) time.Duration { return 0 }

func (b baseline) choose(f *fleet, t *try) *node {
	type ranked struct {
		node *node
		rank float64
	}
	var list []ranked
	for _, n := range f.nodes {
		if !n.engine.gone && !slices.Contains(t.chosen, n.id) {
			list = append(list, ranked{n, b.rank(f, t, n)})
		}
	}
	if len(list) == 0 {
		return nil
	}
	return slices.MinFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }).node
}

var ways = []way{
	baseline{"random", func(f *fleet, _ *try, _ *node) float64 { return f.rng.Float64() }},
	baseline{"least loaded", func(f *fleet, _ *try, n *node) float64 {
		return f.waitMS(n) + float64(len(n.running)) + f.rng.Float64()
	}},
	baseline{"consistent hashing", func(_ *fleet, t *try, n *node) float64 {
		return -float64(rendezvous.Score(rendezvous.Hash(t.request.key.Adapter), rendezvous.Hash(string(n.id))))
	}},
	product{bounded: false},
	product{bounded: true},
}
