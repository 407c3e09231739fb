// Package spreading spreads requests over endpoints when what a router knows of their load is old.
//
// It answers the load of many routers that choose at the same moment by the same reports, which are 100 to
// 600 ms old: up to some 300 routers and hundreds of endpoints of uneven speed. If each router took the
// endpoint that looks best, all would take the same one, and endpoints would be overloaded in turn (herd
// effect). The package follows the interpretation of load by its age (Dahlin, "Interpreting Stale Load
// Information"): the work that other routers are expected to have placed since the reports fills the
// endpoints with the lowest costs up to a common level, and a request goes to each endpoint with the
// probability of its part of that work. Without unseen work the endpoint with the lowest cost is taken; with
// much of it the choice tends to a random one, weighted by speed.
//
// The package is pure: callers pass the time and hold the locks.
package spreading

import (
	"cmp"
	"math"
	"slices"
)

// Candidate is an endpoint that can serve a request.
type Candidate struct {
	Cost     float64 // Expected wait and other costs, by what the router knows.
	Capacity float64 // Work that raises the cost by 1; above 0.
	Draw     float64 // Random number from 0 to 1.
}

// Shares returns the part of the unseen work that each candidate is expected to receive. The parts add up to 1.
// Unseen work of 0 goes to the candidates with the lowest cost.
func Shares(unseen float64, candidates []Candidate) []float64 {
	shares := make([]float64, len(candidates))
	byCost := make([]int, len(candidates))
	for i := range byCost {
		byCost[i] = i
	}
	slices.SortStableFunc(byCost, func(a, b int) int { return cmp.Compare(candidates[a].Cost, candidates[b].Cost) })
	// The k cheapest candidates are filled to the level (unseen + Σ cost × capacity) / Σ capacity.
	capacity, filled, level := 0.0, 0.0, 0.0
	used := 0
	for _, i := range byCost {
		c := candidates[i]
		if used > 0 && c.Cost > candidates[byCost[0]].Cost && c.Cost >= level {
			break
		}
		// Costs relative to the lowest one keep the precision of small differences.
		relative := c.Cost - candidates[byCost[0]].Cost
		capacity += c.Capacity
		filled += relative * c.Capacity
		level = (max(unseen, 0)+filled)/capacity + candidates[byCost[0]].Cost
		used++
	}
	total := 0.0
	for _, i := range byCost[:used] {
		shares[i] = max(level-candidates[i].Cost, 0) * candidates[i].Capacity
		total += shares[i]
	}
	for _, i := range byCost[:used] {
		if total > 0 {
			shares[i] /= total
		} else {
			shares[i] = candidates[i].Capacity / capacity // No unseen work, and these have the lowest cost.
		}
	}
	return shares
}

// Order returns the indexes of the candidates in the order in which to try them: a weighted random order of those
// with a share of the unseen work, and then the others by cost. The draws alone decide the random part. Without unseen
// work all are in the order of their costs, and equal ones stay in place.
func Order(unseen float64, candidates []Candidate) []int {
	shares := Shares(unseen, candidates)
	keys := make([]float64, len(candidates))
	order := make([]int, len(candidates))
	for i, c := range candidates {
		order[i] = i
		// The minimum of exponential variables with the shares as rates is each one with the probability of its share.
		keys[i] = -math.Log(max(c.Draw, math.SmallestNonzeroFloat64)) / shares[i]
		if unseen <= 0 || shares[i] <= 0 {
			keys[i] = math.Inf(1)
		}
	}
	slices.SortStableFunc(order, func(a, b int) int {
		return cmp.Or(cmp.Compare(keys[a], keys[b]), cmp.Compare(candidates[a].Cost, candidates[b].Cost))
	})
	return order
}

// OthersRate returns the rate at which all other routers together are expected to send, if each sends at this
// router's rate. Multiplied by the age of what is known, it is the unseen work.
func OthersRate(rate float64, routers int) float64 {
	return max(rate, 0) * float64(max(routers-1, 0))
}
