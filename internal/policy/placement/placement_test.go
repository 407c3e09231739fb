package placement

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "200", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

const testBase = "base"

var (
	start      = time.Unix(1000, 0)
	enginePool = Pool{Base: testBase}
	plainPool  = Pool{Service: "booking"}
)

func testConfig() Config {
	return Config{
		MaxAdapters: 100, MaxPrefixes: 100, MaxReturned: 4, DemandHalfLife: 30 * time.Second, LoadHalfLife: 2 * time.Second,
		ResidencyTimeout: time.Minute, TargetUtilization: 0.5, MinLoadDelay: 2 * time.Second, PrefixGain: 200 * time.Millisecond,
		DefaultCapacity: 16, DefaultServiceTime: 4 * time.Second, Cooldown: time.Second, MaxCooldown: 30 * time.Second,
	}
}

func engines(n int) []Endpoint {
	var out []Endpoint
	for i := range n {
		out = append(out, Endpoint{
			VM: ident.VM(fmt.Sprintf("vm-%d", i)), Domain: ident.FailureDomain(fmt.Sprintf("d%d", i%4)), Pool: enginePool,
		})
	}
	return out
}

func newTestPlacer(n int) *Placer {
	p := New(testConfig())
	p.SetEndpoints(engines(n), 1)
	return p
}

func adapterJob(adapter int) Job {
	return Job{Pool: enginePool, Adapter: ident.Adapter(fmt.Sprintf("a%d", adapter)), Version: "v1"}
}

func TestEntriesChooseTheSameEndpointsInTwoDomains(t *testing.T) {
	p, q := newTestPlacer(18), newTestPlacer(18)
	domains := make(map[ident.VM]ident.FailureDomain)
	for _, e := range engines(18) {
		domains[e.VM] = e.Domain
	}
	for i := range 50 {
		a, b := p.Choose(start, adapterJob(i)), q.Choose(start, adapterJob(i))
		if len(a) != 4 || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Fatalf("adapter %d: two entries chose %v and %v, want the same 4 endpoints", i, a, b)
		}
		if domains[a[0]] == domains[a[1]] {
			t.Errorf("adapter %d: the first endpoints %v share a failure domain, want two domains", i, a[:2])
		}
	}
}

// Guards against unnecessary moves: a leaving endpoint may move only the adapters
// that preferred it.
func TestLeavingEndpointMovesOnlyItsOwnAdapters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		before, after := newTestPlacer(12), New(testConfig())
		list := engines(12)
		leaving := rapid.IntRange(0, len(list)-1).Draw(t, "leaving")
		list[leaving].Leaving = true
		after.SetEndpoints(list, 1)
		for i := range 20 {
			a, b := before.Choose(start, adapterJob(i)), after.Choose(start, adapterJob(i))
			for _, vm := range b {
				if vm == list[leaving].VM {
					t.Fatalf("adapter %d: Choose() returned the leaving endpoint, want it left out", i)
				}
			}
			if a[0] != list[leaving].VM && a[0] != b[0] {
				t.Fatalf("adapter %d moved from %s to %s, want it to stay because its first endpoint stays", i, a[0], b[0])
			}
		}
	})
}

func TestChooseReturnsNothingIfAllEndpointsLeave(t *testing.T) {
	p := New(testConfig())
	list := engines(2)
	for i := range list {
		list[i].Leaving = true
	}
	p.SetEndpoints(list, 1)
	if got := p.Choose(start, adapterJob(1)); len(got) != 0 {
		t.Fatalf("Choose() = %v with all endpoints leaving, want none", got)
	}
}

func TestFailingEndpointHasBoundedCooldown(t *testing.T) {
	p := newTestPlacer(6)
	first := p.Choose(start, adapterJob(1))[0]
	for range 20 {
		p.RecordSent(first)
		p.RecordFailure(start, first)
	}
	if got := p.Choose(start, adapterJob(1)); got[0] == first {
		t.Fatalf("Choose() = %v, want the failing endpoint not first", got)
	}
	later := start.Add(testConfig().MaxCooldown)
	if got := p.Choose(later, adapterJob(1)); got[0] != first {
		t.Fatalf("Choose() after the maximum cooldown = %v, want the recovered endpoint first", got)
	}
}

func TestEndpointsInCooldownAreStillReturned(t *testing.T) {
	p := newTestPlacer(2)
	for _, e := range engines(2) {
		p.RecordFailure(start, e.VM)
	}
	if got := p.Choose(start, adapterJob(1)); len(got) != 2 {
		t.Fatalf("Choose() = %v with both endpoints in cooldown, want both", got)
	}
}

func TestResidentEndpointComesFirst(t *testing.T) {
	p := newTestPlacer(6)
	got := p.Choose(start, adapterJob(1))
	resident := got[2]
	p.RecordSent(resident)
	p.RecordResponse(start, resident, adapterJob(1), "boot-1", Load{Capacity: 16})
	p.RecordDone(resident, time.Second, true)
	if got := p.Choose(start, adapterJob(1)); got[0] != resident {
		t.Fatalf("Choose() = %v, want the resident endpoint %s first", got, resident)
	}
	other := adapterJob(1)
	other.Version = "v2"
	if got := p.Choose(start, other); got[0] == resident {
		t.Fatalf("Choose() for another version returned %s first, want it not preferred", resident)
	}
	p.RecordResponse(start, resident, adapterJob(2), "boot-2", Load{Capacity: 16})
	if got := p.Choose(start, adapterJob(1)); got[0] == resident {
		t.Fatalf("Choose() returned %s first after its restart, want its residency dropped", resident)
	}
}

func TestBusyEndpointIsNotFirst(t *testing.T) {
	p := newTestPlacer(6)
	first := p.Choose(start, adapterJob(1))[0]
	for range 60 {
		p.RecordSent(first)
	}
	if got := p.Choose(start, adapterJob(1)); got[0] == first {
		t.Fatal("Choose() returned an endpoint with 60 outstanding attempts first")
	}
	for range 60 {
		p.RecordDone(first, time.Second, true)
	}
	if got := p.Choose(start, adapterJob(1)); got[0] != first {
		t.Fatal("Choose() does not return the endpoint first after all its attempts ended")
	}
	p.RecordResponse(start, first, adapterJob(2), "", Load{Running: 16, Capacity: 16, Queued: 60})
	if got := p.Choose(start, adapterJob(1)); got[0] == first {
		t.Fatal("Choose() returned an endpoint with a full reported load first")
	}
	if got := p.Choose(start.Add(time.Minute), adapterJob(1)); got[0] != first {
		t.Fatal("Choose() does not return the endpoint first one minute after its load report")
	}
}

func TestPrefixReturnsToTheEndpointThatServedIt(t *testing.T) {
	p := newTestPlacer(6)
	job := adapterJob(1)
	got := p.Choose(start, job)
	for _, vm := range got[:2] {
		p.RecordResponse(start, vm, job, "boot", Load{Capacity: 16})
	}
	job.Prefix = 77
	for _, want := range got[:2] {
		p.RecordResponse(start, want, job, "boot", Load{Capacity: 16})
		if again := p.Choose(start, job); again[0] != want {
			t.Fatalf("prefix served by %s goes to %s, want the endpoint that served it", want, again[0])
		}
	}
}

func TestNumberOfEndpointsGrowsWithDemand(t *testing.T) {
	p := newTestPlacer(40)
	p.SetEndpoints(engines(40), 4)
	used := make(map[ident.VM]bool)
	now := start
	for range 4000 {
		now = now.Add(10 * time.Millisecond)
		vm := p.Choose(now, adapterJob(1))[0]
		used[vm] = true
		p.RecordSent(vm)
	}
	// 4 entries with 100 requests per second of 4 s each give 1600 concurrent
	// requests. At a capacity of 16, these fill 100 endpoints.
	if len(used) < 40 {
		t.Errorf("adapter uses %d endpoints at a demand above the whole pool, want all 40", len(used))
	}
	if cold := p.Choose(now, adapterJob(2)); len(cold) != testConfig().MaxReturned {
		t.Errorf("Choose() returned %d endpoints for an adapter without demand, want Config.MaxReturned", len(cold))
	}
}

func TestPlainServiceBalancesOutstandingAttempts(t *testing.T) {
	p := New(testConfig())
	var list []Endpoint
	for i := range 4 {
		list = append(list, Endpoint{VM: ident.VM(fmt.Sprintf("p%d", i)), Domain: "d", Pool: plainPool})
	}
	p.SetEndpoints(list, 1)
	sent := make(map[ident.VM]int)
	for i := range 400 {
		vm := p.Choose(start, Job{Pool: plainPool, TieBreaker: uint64(i) * 0x9e3779b97f4a7c15})[0]
		sent[vm]++
		p.RecordSent(vm)
	}
	for _, e := range list {
		if sent[e.VM] != 100 {
			t.Errorf("attempts by instance = %v, want 100 for each", sent)
		}
	}
}

func TestMemoryIsBounded(t *testing.T) {
	p := newTestPlacer(6)
	for i := range 1000 {
		job := adapterJob(i)
		job.Prefix = uint64(i + 1)
		vm := p.Choose(start, job)[0]
		p.RecordResponse(start, vm, job, "boot", Load{Capacity: 16})
	}
	adapters, prefixes := p.CacheSizes()
	if adapters != testConfig().MaxAdapters || prefixes != testConfig().MaxPrefixes {
		t.Errorf("CacheSizes() = %d adapters, %d prefixes, want the configured limits", adapters, prefixes)
	}
}

const (
	targetEndpoints = 710
	targetAdapters  = 130_000
	targetEntries   = 330
)

func targetPlacer() *Placer {
	config := testConfig()
	config.MaxAdapters, config.MaxPrefixes = 20_000, 20_000
	p := New(config)
	p.SetEndpoints(engines(targetEndpoints), targetEntries)
	return p
}

func targetJobs() []Job {
	jobs := make([]Job, targetAdapters)
	for i := range jobs {
		jobs[i] = adapterJob(i)
	}
	return jobs
}

// BenchmarkChooseCached chooses for adapters whose state is cached.
func BenchmarkChooseCached(b *testing.B) {
	p, jobs := targetPlacer(), targetJobs()
	for i := range 10_000 {
		p.Choose(start, jobs[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Choose(start, jobs[i%10_000])
	}
}

// BenchmarkChooseEvicted chooses for all adapters in turn, so that the state of
// each was evicted before its next request.
func BenchmarkChooseEvicted(b *testing.B) {
	p, jobs := targetPlacer(), targetJobs()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p.Choose(start, jobs[i%targetAdapters])
	}
}
