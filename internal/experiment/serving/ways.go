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
	// choose returns the next engine for a try, and what its scheduler is told of a
	// load from the weight store, 0 where it is told nothing. No engine refuses the
	// try.
	choose(f *fleet, t *try) (*node, time.Duration)
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
		c.MaxLoadFactorNew, c.MaxLoadFactorSpread = math.Inf(1), math.Inf(1)
	}
	return c
}

func (p product) choose(f *fleet, t *try) (*node, time.Duration) {
	ranked := routing.Rank(f.config, f.job(t), f.candidates(t))
	if len(ranked) == 0 || ranked[0].LoadLimitExceeded {
		return nil, 0
	}
	best := ranked[0]
	if !p.bounded {
		best.ColdLoadTime = 0
	}
	return f.node(best.ID), best.ColdLoadTime
}

// baseline is a way that orders engines by a rule and knows of no loads.
type baseline struct {
	label string
	rank  func(f *fleet, t *try, n *node) float64 // The least goes first.
}

func (b baseline) name() string           { return b.label }
func (b baseline) config() routing.Config { return routing.DefaultConfig() }

func (b baseline) choose(f *fleet, t *try) (*node, time.Duration) {
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
		return nil, 0
	}
	return slices.MinFunc(list, func(a, b ranked) int { return cmp.Compare(a.rank, b.rank) }).node, 0
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
