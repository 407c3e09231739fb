package routing

import (
	"cmp"
	"slices"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// PlainEndpoint is a candidate endpoint of a plain service, one without adapters.
type PlainEndpoint struct {
	ID            catalog.EndpointID
	FailureDomain string
	Slots         int
	Outstanding   int     // Requests in progress from this router.
	FailureRate   float64 // Recent fraction of failed requests, 0 to 1.
	LatencyMS     float64 // Moving average; 0 if unknown.
	Tried         bool    // The endpoint has refused or failed this request.
}

const (
	// failureWeight scales the failure rate against the load, which is 1 if all
	// slots are in use. An endpoint that fails half of its requests scores like
	// one with a full queue: four times as many requests as slots.
	failureWeight = 8
	// otherDomainPenalty prefers the router's failure domain among endpoints with
	// similar scores.
	otherDomainPenalty = 0.1
)

// RankPlainEndpoints returns the untried endpoints, best first. random returns a
// number in [0, 1) for each endpoint, which adds up to 0.05 to its score. It spreads
// the choices of routers that have the same view.
func RankPlainEndpoints(routerDomain string, endpoints []PlainEndpoint, random func() float64) []catalog.EndpointID {
	type scored struct {
		id    catalog.EndpointID
		score float64
	}
	median := medianLatency(endpoints)
	list := make([]scored, 0, len(endpoints))
	for _, e := range endpoints {
		if e.Tried {
			continue
		}
		slowdown := 1.0
		if e.LatencyMS > 0 && median > 0 {
			slowdown = max(e.LatencyMS/median, 0.5)
		}
		score := (float64(e.Outstanding)+1)/float64(max(e.Slots, 1))*slowdown + failureWeight*e.FailureRate + 0.05*random()
		if e.FailureDomain != routerDomain {
			score += otherDomainPenalty
		}
		list = append(list, scored{e.ID, score})
	}
	slices.SortStableFunc(list, func(a, b scored) int { return cmp.Compare(a.score, b.score) })
	out := make([]catalog.EndpointID, len(list))
	for i, s := range list {
		out[i] = s.id
	}
	return out
}

// medianLatency returns the median of the known latencies in milliseconds, or 0 if
// none is known.
func medianLatency(endpoints []PlainEndpoint) float64 {
	var known []float64
	for _, e := range endpoints {
		if e.LatencyMS > 0 {
			known = append(known, e.LatencyMS)
		}
	}
	if len(known) == 0 {
		return 0
	}
	slices.Sort(known)
	return known[len(known)/2]
}
