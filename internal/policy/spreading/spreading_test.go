package spreading

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func candidates(t *rapid.T) []Candidate {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{
			Cost: float64(rapid.IntRange(0, 2000).Draw(t, "cost")), Capacity: rapid.SampledFrom([]float64{0.55, 1, 1.2}).Draw(t, "capacity"),
			Draw: rapid.Float64Range(0, 1).Draw(t, "draw"),
		}
	}), 1, 40).Draw(t, "candidates")
}

// outcome returns the mean cost that the requests of a window meet, which arrive evenly while the unseen work grows,
// and the largest cost at its end.
func outcome(unseen float64, list []Candidate, shares []float64) (mean, largest float64) {
	for i, c := range list {
		added := unseen * shares[i] / c.Capacity
		mean += shares[i] * (c.Cost + added/2)
		largest = max(largest, c.Cost+added)
	}
	return mean, largest
}

// Guards against a choice that is worse than a random one if all routers make it, in the mean cost of the requests and in
// the cost of the busiest endpoint.
func TestSharesAreNotWorseThanRandom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := candidates(t)
		unseen := rapid.Float64Range(0, 1e5).Draw(t, "unseen")
		shares, random := Shares(unseen, list), make([]float64, len(list))
		sum := 0.0
		for i := range list {
			random[i] = 1 / float64(len(list))
			sum += shares[i]
		}
		mean, largest := outcome(unseen, list, shares)
		randomMean, randomLargest := outcome(unseen, list, random)
		if math.Abs(sum-1) > 1e-9 || mean > randomMean+1e-6 || largest > randomLargest+1e-6 {
			t.Fatalf("shares %v: sum %g, mean cost %g, largest %g; random: mean cost %g, largest %g", shares, sum, mean, largest, randomMean, randomLargest)
		}
	})
}

// Guards against an older or lost report that makes the choice more certain instead of less: the older the reports,
// the less of the work goes to the endpoint that looks best, and the more endpoints get some.
func TestSharesAreMonotoneInAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := candidates(t)
		rate := rapid.Float64Range(0.01, 100).Draw(t, "rate")
		younger := rapid.Float64Range(1, 600).Draw(t, "age")
		older := younger + rapid.Float64Range(0, 1500).Draw(t, "more")
		count := func(shares []float64) (largest float64, used int) {
			for i, s := range shares {
				largest = max(largest, s/list[i].Capacity)
				if s > 0 {
					used++
				}
			}
			return largest, used
		}
		largest, used := count(Shares(rate*younger, list))
		largestOlder, usedOlder := count(Shares(rate*older, list))
		if largestOlder > largest+1e-9 || usedOlder < used {
			t.Fatalf("reports of %g ms: largest share by capacity %g, %d endpoints used; of %g ms: %g, %d", younger, largest, used, older, largestOlder, usedOlder)
		}
	})
}

// Guards against a change of what is served in calm, or by a router that is alone or has sent nothing yet.
func TestBestCandidateWithoutUnseenWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := candidates(t)
		var started Rate
		unseen := rapid.SampledFrom([]float64{0, OthersRate(3, 1) * 600, OthersRate(started.PerMS(time.Unix(1, 0)), 300) * 600}).Draw(t, "unseen")
		order := Order(unseen, list)
		for _, c := range list {
			if c.Cost < list[order[0]].Cost {
				t.Fatalf("first is %+v, want the lowest cost of %v", list[order[0]], list)
			}
		}
	})
}

// Pattern: routers send for 600 ms by reports of up to that age, a third of which is lost. Without the correction all send to
// the endpoints that looked best. Each router estimates the fleet's rate by its own few requests.
func TestEvenWithManyRouters(t *testing.T) {
	for _, routers := range []int{30, 100, 300} {
		t.Run(fmt.Sprint(routers), func(t *testing.T) {
			const endpoints, perEndpoint, age = 38, 30, 600
			rng := rand.New(rand.NewPCG(uint64(routers), 1))
			load, random, best := make([]float64, endpoints), make([]float64, endpoints), make([]float64, endpoints)
			list := make([]Candidate, endpoints)
			for i := range list {
				load[i] = 5 * rng.Float64()
				list[i] = Candidate{Cost: load[i], Capacity: []float64{0.55, 1.2, 1.2, 1.2}[i%4]}
				if rng.IntN(3) == 0 {
					list[i].Cost = 5 * rng.Float64() // The report was lost, and the one before is out of date.
				}
			}
			copy(random, load)
			copy(best, load)
			rates := make([]Rate, routers)
			now := time.Unix(1000, 0)
			for k := range 10 * routers * endpoints * perEndpoint / routers { // The rate of the 6 s before.
				rates[rng.IntN(routers)].Add(1, now.Add(time.Duration(k)*6*time.Second/(10*endpoints*perEndpoint)))
			}
			now = now.Add(6 * time.Second)
			for range endpoints * perEndpoint {
				for i := range list {
					list[i].Draw = rng.Float64()
				}
				unseen := OthersRate(rates[rng.IntN(routers)].PerMS(now), routers) * age
				chosen := Order(unseen, list)[0]
				load[chosen] += 1 / list[chosen].Capacity
				first := Order(0, list)[0]
				best[first] += 1 / list[first].Capacity
				i := rng.IntN(endpoints)
				random[i] += 1 / list[i].Capacity
			}
			got, byRandom, byBest := evenness(load), evenness(random), evenness(best)
			if got > 1.6 || got > byRandom || got > byBest/4 {
				t.Errorf("busiest over mean = %.2f, random %.2f, best %.2f; want at most 1.6, below random and a quarter of best", got, byRandom, byBest)
			}
		})
	}
}

func evenness(load []float64) float64 {
	sum, busiest := 0.0, 0.0
	for _, l := range load {
		sum, busiest = sum+l, max(busiest, l)
	}
	return busiest * float64(len(load)) / sum
}

// Guards against an estimate that forgets or overstates the rate: a steady one is found, and it decays in silence.
func TestRate(t *testing.T) {
	var r Rate
	now := time.Unix(1000, 0)
	for range 300 {
		now = now.Add(100 * time.Millisecond)
		r.Add(10, now)
	}
	if got := r.PerMS(now); math.Abs(got-0.1) > 0.005 {
		t.Errorf("rate = %g, want 0.1", got)
	}
	if got := r.PerMS(now.Add(4 * rateWindow)); got > 0.003 {
		t.Errorf("rate after a silence of %v = %g, want below 0.003", 4*rateWindow, got)
	}
}
