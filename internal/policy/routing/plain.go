package routing

import (
	"slices"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/spreading"
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
	// unknownSlowdown is the slowdown that is assumed, when requests are spread, of an endpoint without a recent
	// success. With 300 routers each one has had a recent success at a part of the endpoints only. With 1 in its
	// place the 99th percentile rises by a fifth there, with 2 by 7%.
	unknownSlowdown = 4
	// otherDomainPenalty prefers the router's failure domain among endpoints with
	// similar scores.
	otherDomainPenalty = 0.1
)

// RankPlainEndpoints returns the untried endpoints, best first. random returns a
// number in [0, 1). One for each endpoint adds up to 0.05 to its score, which spreads
// the choices of routers that have the same view. othersRate is the number of requests
// per millisecond that all other routers are expected to send to the service: with the
// latency it gives their requests in progress, which this router does not see.
func RankPlainEndpoints(
	routerDomain string, endpoints []PlainEndpoint, othersRate float64, random func() float64,
) []catalog.EndpointID {
	var ids []catalog.EndpointID
	var candidates []spreading.Candidate
	median := medianLatency(endpoints)
	for _, e := range endpoints {
		if e.Tried {
			continue
		}
		slowdown := 1.0
		if e.LatencyMS > 0 && median > 0 {
			slowdown = max(e.LatencyMS/median, 0.5)
		}
		capacity := float64(max(e.Slots, 1)) / slowdown
		score := (float64(e.Outstanding)+1)/capacity + failureWeight*e.FailureRate + 0.05*random()
		if e.FailureDomain != routerDomain {
			score += otherDomainPenalty
		}
		ids = append(ids, e.ID)
		if e.LatencyMS == 0 && median > 0 {
			capacity /= unknownSlowdown
		}
		candidates = append(candidates, spreading.Candidate{Cost: score, Capacity: capacity, Draw: random()})
	}
	out := make([]catalog.EndpointID, len(ids))
	for i, j := range spreading.Order(othersRate*median, candidates) {
		out[i] = ids[j]
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
