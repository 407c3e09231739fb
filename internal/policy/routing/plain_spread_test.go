package routing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/spreading"
)

// A router without requests to an endpoint of 12 slots and one of 4 took the larger one always, as all others did. With
// the requests of the others in mind it takes each by its slots, and an endpoint that fails stays out.
func TestPlainEndpointsAreChosenBySlotsOfBusyService(t *testing.T) {
	endpoints := []PlainEndpoint{
		{ID: "large", FailureDomain: "a", Slots: 12, LatencyMS: 20},
		{ID: "small", FailureDomain: "a", Slots: 4, LatencyMS: 20},
		{ID: "failing", FailureDomain: "a", Slots: 12, LatencyMS: 20, FailureRate: 0.5},
	}
	for rate, want := range map[float64][2]int{0: {2000, 2000}, 1: {1400, 1650}} {
		chosen := make(map[catalog.EndpointID]int)
		for r := range 2000 {
			n := 0
			chosen[RankPlainEndpoints("a", endpoints, rate, func() float64 {
				n++
				return randomShare(rendezvous.Hash(fmt.Sprint(r)), catalog.EndpointID(fmt.Sprint(n)))
			})[0]]++
		}
		if got := chosen["large"]; got < want[0] || got > want[1] || chosen["failing"] > 0 {
			t.Errorf("others send %g requests a ms: first choices %v, want large %d to %d and failing 0", rate, chosen, want[0], want[1])
		}
	}
}

// plainEvenness simulates 10 s of requests of 50 ms at half of the capacity of 24 endpoints, a quarter of which has the
// speed 0.55 and a third 4 slots in place of 12. It returns the mean over time of the load of the busiest endpoint
// over the mean one, and the 99th percentile of the requests' durations, which grow when an endpoint has more requests
// than slots.
func plainEvenness(routers int, rank func(view []PlainEndpoint, othersRate float64, random func() float64) catalog.EndpointID) (busiest, p99 float64) {
	const endpoints, slots, total, ms = 24, 12, 224, 50.0
	rng := rand.New(rand.NewPCG(uint64(routers), 1))
	type running struct {
		endpoint, router int
		sent, left       float64 // Milliseconds.
	}
	var all []*running
	var took []float64
	outstanding := make([]int, endpoints)
	views, health := make([][]PlainEndpoint, routers), make([][]Health, routers)
	rates := make([]spreading.Rate, routers)
	index := make(map[catalog.EndpointID]int)
	for r := range routers {
		health[r] = make([]Health, endpoints)
		for i := range endpoints {
			e := PlainEndpoint{ID: catalog.EndpointID(fmt.Sprint(i)), FailureDomain: "a", Slots: slots}
			if i%3 == 0 {
				e.Slots = 4
			}
			index[e.ID] = i
			views[r] = append(views[r], e)
		}
	}
	samples := 0
	for tick := range 20_000 {
		now := time.Unix(1000, 0).Add(time.Duration(tick) * time.Millisecond)
		for arriving := rng.ExpFloat64(); arriving < 0.5*total/ms; arriving += rng.ExpFloat64() {
			r := rng.IntN(routers)
			for i := range views[r] {
				views[r][i].LatencyMS = health[r][i].LatencyMS(now)
			}
			i := index[rank(views[r], spreading.OthersRate(rates[r].PerMS(now), routers), rng.Float64)]
			rates[r].Add(1, now)
			views[r][i].Outstanding++
			outstanding[i]++
			all = append(all, &running{i, r, float64(tick), ms})
		}
		load, mean := 0.0, 0.0
		all = slices.DeleteFunc(all, func(q *running) bool {
			speed := 1.2
			if q.endpoint%4 == 0 {
				speed = 0.55
			}
			q.left -= speed * min(1, float64(views[0][q.endpoint].Slots)/float64(outstanding[q.endpoint]))
			if q.left > 0 {
				return false
			}
			views[q.router][q.endpoint].Outstanding--
			health[q.router][q.endpoint].RecordSuccess(time.Duration((float64(tick)-q.sent+1)*float64(time.Millisecond)), now)
			took = append(took, float64(tick)-q.sent+1)
			return true
		})
		clear(outstanding)
		for _, q := range all {
			outstanding[q.endpoint]++
		}
		for i, n := range outstanding {
			part := float64(n) / float64(views[0][i].Slots)
			load, mean = max(load, part), mean+part/endpoints
		}
		if tick > 3000 && mean > 0 {
			busiest += load / mean
			samples++
		}
	}
	slices.Sort(took)
	return busiest / float64(samples), took[len(took)*99/100]
}

// Guards against endpoints of a plain service that are overloaded while others idle, because each of many routers has few
// requests in progress and all of them prefer the endpoints with the most slots. No worse than a random choice either.
func TestPlainEndpointsAreEvenlyLoadedByManyRouters(t *testing.T) {
	if testing.Short() {
		t.Skip("the simulations take half a minute with the race detector")
	}
	for _, routers := range []int{30, 100, 300} {
		busiest, p99 := plainEvenness(routers, func(view []PlainEndpoint, othersRate float64, random func() float64) catalog.EndpointID {
			return RankPlainEndpoints("a", view, othersRate, random)[0]
		})
		before, beforeP99 := plainEvenness(routers, func(view []PlainEndpoint, _ float64, random func() float64) catalog.EndpointID {
			return RankPlainEndpoints("a", view, 0, random)[0]
		})
		randomly, randomP99 := plainEvenness(routers, func(view []PlainEndpoint, _ float64, random func() float64) catalog.EndpointID {
			return view[int(random()*float64(len(view)))].ID
		})
		t.Logf("%d routers: busiest/mean %.2f, p99 %.0f ms; without the others' requests %.2f, %.0f ms; random %.2f, %.0f ms",
			routers, busiest, p99, before, beforeP99, randomly, randomP99)
		if busiest > randomly || p99 > randomP99 || busiest > before+0.05 || p99 > 1.05*beforeP99 {
			t.Errorf("%d routers: busiest/mean %.2f, p99 %.0f ms, want at most those of a random choice and without the others' requests", routers, busiest, p99)
		}
	}
}
