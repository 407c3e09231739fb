package serving

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
)

// strategy chooses the engine for a request.
type strategy interface {
	// name is the strategy's name in the printed tables.
	name() string
	config() routing.Config
	// choose returns the next engine for a submission, and the duration of the load
	// from the weight store that its scheduler is notified of, or 0 if it is not
	// notified. A nil node refuses the submission.
	choose(f *fleet, s *submission) (*node, time.Duration)
}

// product chooses with the routing policy of the product.
type product struct {
	bounded bool // Loads of the whole fleet are limited.
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

func (p product) choose(f *fleet, s *submission) (*node, time.Duration) {
	ranked := routing.Rank(f.config, f.job(s), f.candidates(s))
	if len(ranked) == 0 || ranked[0].LoadLimitExceeded {
		return nil, 0
	}
	best := ranked[0]
	if !p.bounded {
		best.ColdLoadTime = 0
	}
	return f.node(best.ID), best.ColdLoadTime
}

// baseline chooses the engine with the lowest rank among those that have not
// crashed and are not tried yet. It does not notify schedulers of loads.
type baseline struct {
	label string
	rank  func(f *fleet, s *submission, n *node) float64
}

func (b baseline) name() string           { return b.label }
func (b baseline) config() routing.Config { return routing.DefaultConfig() }

func (b baseline) choose(f *fleet, s *submission) (*node, time.Duration) {
	type rankedNode struct {
		node *node
		rank float64
	}
	var ranked []rankedNode
	for _, n := range f.nodes {
		if !n.engine.crashed && !slices.Contains(s.tried, n.id) {
			ranked = append(ranked, rankedNode{n, b.rank(f, s, n)})
		}
	}
	if len(ranked) == 0 {
		return nil, 0
	}
	return slices.MinFunc(ranked, func(a, b rankedNode) int { return cmp.Compare(a.rank, b.rank) }).node, 0
}

var strategies = []strategy{
	baseline{"random", func(f *fleet, _ *submission, _ *node) float64 { return f.rng.Float64() }},
	baseline{"least loaded", func(f *fleet, _ *submission, n *node) float64 {
		return f.prefillBacklogMS(n) + float64(len(n.running)) + f.rng.Float64()
	}},
	baseline{"consistent hashing", func(_ *fleet, s *submission, n *node) float64 {
		return -float64(rendezvous.Score(rendezvous.Hash(s.request.key.Adapter), rendezvous.Hash(string(n.id))))
	}},
	product{bounded: false},
	product{bounded: true},
}
