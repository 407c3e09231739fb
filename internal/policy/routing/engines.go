package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/spreading"
)

// Config configures the ranking of engines. A cost is the additional expected
// wait that another engine may have and still be ranked first.
type Config struct {
	ColdLoadTime            time.Duration // Time to load an adapter from the weight store at full speed.
	WarmLoadTime            time.Duration // Time to load an adapter cached on the engine's host.
	MinFullSpeedLoads       int           // Concurrent loads that the weight store serves at full speed for a fleet of any size.
	FullSpeedLoadsPerEngine float64       // Concurrent loads per engine that the weight store serves at full speed.
	MaxLoadFactorNew        float64       // Maximum loads, as a multiple of the full-speed loads, if no engine holds the adapter.
	MaxLoadFactorSpread     float64       // The same if an engine holds the adapter: the load also serves its later requests.
	CrowdedThreshold        float64       // Loads, as a multiple of the full-speed loads, above which CrowdedCost applies.
	ColdCost                time.Duration // Of a load from the weight store if another engine holds the adapter or has it cached.
	WarmCost                time.Duration // Of a load from the host cache if another engine holds the adapter.
	CrowdedCost             time.Duration // Added to ColdCost above CrowdedThreshold.
	NonPreferredCost        time.Duration // Of a first load on an engine other than the adapter's preferred one.
	OtherDomainCost         time.Duration // Of an engine in another failure domain.
	FailingCost             time.Duration // Of an engine that fails all requests; proportional below that.
	LateEventCost           time.Duration // Of an engine on which the stream certainly has a late event; proportional below that.
	// SpreadHorizon is the time over which the requests for an adapter share the cost of a load on one more
	// engine.
	SpreadHorizon time.Duration
	// MaxRandomCost is the largest random cost of an engine that holds the adapter. Routers that see the
	// same snapshots thereby select different ones.
	MaxRandomCost      time.Duration
	StaleSnapshotCost  time.Duration // Of an engine whose scheduler sends no snapshots.
	PrefillTokensPerMS float64       // Prefill speed of an engine in tokens per millisecond, at normal speed.
	// MinSlowdown is the lowest slowdown that costs are calculated with. Spreading uses the measured one, by which
	// engines that are faster than normal get more requests.
	MinSlowdown float64
}

// DefaultConfig returns the configuration for the engines of the platform.
func DefaultConfig() Config {
	return Config{
		ColdLoadTime: 250 * time.Millisecond, WarmLoadTime: 25 * time.Millisecond,
		// The weight store serves 8 to 16 loads at full speed for 12 to 50 engines.
		MinFullSpeedLoads: 8, FullSpeedLoadsPerEngine: 0.33, CrowdedThreshold: 0.5,
		// At this limit a load takes 375 ms. Load and prefill then fit in the
		// shortest latency target of a stream, 600 ms.
		MaxLoadFactorNew: 1.5,
		// At this limit a load takes 1 s. The request that causes it misses its
		// target, but the ones after it meet theirs.
		MaxLoadFactorSpread: 4,
		ColdCost:            400 * time.Millisecond, // Below the shortest latency target, 600 ms: a missed target is worse than a load.
		WarmCost:            40 * time.Millisecond,
		CrowdedCost:         900 * time.Millisecond, // Above the latency targets: an adapter spreads only if its queue misses them.
		NonPreferredCost:    150 * time.Millisecond,
		OtherDomainCost:     8 * time.Millisecond, // A few round trips between failure domains.
		FailingCost:         3 * time.Second,
		// A late event makes a response late, like a first event after its target of
		// 600 to 1,000 ms.
		LateEventCost:      800 * time.Millisecond,
		SpreadHorizon:      3 * time.Second,
		MaxRandomCost:      200 * time.Millisecond,
		StaleSnapshotCost:  400 * time.Millisecond,
		MinSlowdown:        1,
		PrefillTokensPerMS: 32, // 1,024 tokens take a step of 4.4 ms and 27 ms of prefill.
	}
}

// Engine is a candidate engine.
type Engine struct {
	ID               catalog.EndpointID
	FailureDomain    string
	Snapshot         grants.Snapshot
	SnapshotAge      time.Duration
	SnapshotFresh    bool    // The scheduler is sending snapshots; otherwise Snapshot is the last one received.
	PendingPrefillMS float64 // Prefill time, at normal speed, of the requests that this router sent since the snapshot.
	PendingLoads     int     // Loads from the weight store that this router caused since the snapshot.
	Cached           bool    // The job's adapter is cached on the engine's host.
	FailureRate      float64 // Recent fraction of failed requests, 0 to 1.
	Tried            bool    // The engine has refused or failed this request.
}

// Job is the request to place.
type Job struct {
	Key           catalog.AdapterKey
	FailureDomain string        // Failure domain of the router.
	Seed          uint64        // Random number of the request.
	Priority      int           // 0 is the most urgent.
	PromptTokens  int           // Tokens of the prompt.
	SharedTokens  int           // Prompt tokens that other requests share.
	PrefixSeed    uint64        // Hash of the shared prompt parts; 0 if there are none.
	MeanEvents    float64       // Mean number of events of such a stream.
	Routers       int           // Routers that send to the engines, including this one; 0 counts as 1.
	MaxOnTimeWait time.Duration // Wait above which the request misses its latency target; 0 if it has none.
	// OthersPrefillRate is the prefill time, at normal speed, that all other routers are expected to send to the
	// engines of the service per unit of time. It and the ages of the snapshots give the work that is not seen.
	OthersPrefillRate float64
}

// Choice is a ranked engine.
type Choice struct {
	ID                catalog.EndpointID
	ExpectedWait      time.Duration // Expected wait until the request starts.
	Cost              time.Duration // ExpectedWait and the costs added to it, by which engines are ranked.
	Slowdown          float64       // Prefill time as a multiple of the time at normal speed.
	SnapshotAge       time.Duration // Of the engine's snapshot.
	Resident          bool
	ColdLoadTime      time.Duration // Expected time of the load from the weight store; 0 if none is needed.
	LoadLimitExceeded bool          // That load would exceed the limit on concurrent loads.
}

// Rank returns the engines that can run a job, best first.
func Rank(c Config, job Job, engines []Engine) []Choice {
	type scored struct {
		Choice
		late bool
	}
	fleet := summarizeFleet(c, job, engines)
	list := make([]scored, 0, len(engines))
	for _, e := range engines {
		if e.Tried || !servesModel(e, job.Key.Model) {
			continue
		}
		choice := evaluate(c, job, e, fleet)
		list = append(list, scored{choice, job.MaxOnTimeWait > 0 && choice.ExpectedWait > job.MaxOnTimeWait})
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Cost, b.Cost)
	})
	if unseen := unseenPrefillMS(job, engines); unseen > 0 && len(list) > 0 && list[0].Resident {
		// Engines that need a load stay behind those that hold the adapter: loads are scarce, and all routers prefer
		// the same engine for them.
		isPeer := func(s scored) bool { return s.Resident && s.late == list[0].late }
		peers := make([]Choice, 0, len(list))
		for _, s := range list {
			if isPeer(s) {
				peers = append(peers, s.Choice)
			}
		}
		// The requests for other adapters are spread over all engines, so that these get their part of the work.
		out := spread(peers, unseen*float64(len(peers))/float64(len(engines)), job.Seed)
		for _, s := range list {
			if !isPeer(s) {
				out = append(out, s.Choice)
			}
		}
		return out
	}
	out := make([]Choice, len(list))
	for i, s := range list {
		out[i] = s.Choice
	}
	return out
}

// unseenPrefillMS returns the prefill time that other routers are expected to have sent to all engines since the
// snapshots.
func unseenPrefillMS(job Job, engines []Engine) float64 {
	ageMS, fresh := 0.0, 0
	for _, e := range engines {
		if e.SnapshotFresh {
			ageMS += millis.FromDuration(e.SnapshotAge)
			fresh++
		}
	}
	return job.OthersPrefillRate * ageMS / float64(max(fresh, 1))
}

// spread orders engines by their costs and the work that other routers are expected to have sent to them since the
// snapshots.
func spread(choices []Choice, unseenMS float64, seed uint64) []Choice {
	candidates := make([]spreading.Candidate, len(choices))
	for i, choice := range choices {
		candidates[i] = spreading.Candidate{
			Cost: millis.FromDuration(choice.Cost), Capacity: 1 / choice.Slowdown, Draw: randomShare(^seed, choice.ID), // Independent of the random cost.
		}
	}
	out := make([]Choice, 0, len(choices))
	for _, i := range spreading.Order(unseenMS, candidates) {
		out = append(out, choices[i])
	}
	return out
}

// fleetState is the state of all engines that the evaluation of each one uses.
type fleetState struct {
	crowded      bool               // The loads from the weight store exceed CrowdedThreshold.
	loadsAtLimit bool               // One more load from the weight store would exceed the limit.
	coldLoadTime time.Duration      // Expected time of one more load from the weight store.
	holders      int                // Engines that can run the adapter without a load.
	demand       int                // Requests per second for the adapter on these engines.
	resident     bool               // At least one engine can run the adapter without a load.
	cached       bool               // At least one engine has the adapter cached on its host.
	preferred    catalog.EndpointID // Set if no engine holds the adapter or has it cached.
	prefixHome   catalog.EndpointID // Of several engines that hold the adapter, the one where requests with these parts meet; else "".
}

func summarizeFleet(c Config, job Job, engines []Engine) fleetState {
	var s fleetState
	loading := 0
	for _, e := range engines {
		// Each other router is assumed to have caused as many loads.
		loading += e.Snapshot.LoadingAdapters + e.PendingLoads*max(job.Routers, 1)
		if canRun(e, job.Key) {
			s.resident = true
			s.holders++
		}
		if a := findAdapter(e.Snapshot, job.Key); a != nil {
			s.demand += a.Demand
		}
		s.cached = s.cached || e.Cached
	}
	if !s.resident && !s.cached {
		s.preferred = preferredEngine(job.Key, engines)
	}
	if s.holders > 1 && job.PrefixSeed != 0 {
		s.prefixHome = prefixHome(job, engines)
	}
	fullSpeedLoads := max(float64(c.MinFullSpeedLoads), c.FullSpeedLoadsPerEngine*float64(len(engines)))
	s.crowded = float64(loading) > c.CrowdedThreshold*fullSpeedLoads
	maxLoads := c.MaxLoadFactorNew
	if s.resident {
		maxLoads = c.MaxLoadFactorSpread
	}
	s.loadsAtLimit = float64(loading+1) > maxLoads*fullSpeedLoads
	s.coldLoadTime = time.Duration(float64(c.ColdLoadTime) * max(1, float64(loading+1)/fullSpeedLoads))
	return s
}

// shareSpreadCost returns the part of the cost of one more load that a request bears: the others are the
// requests that the engine will serve with the loaded adapter within the horizon.
func (s fleetState) shareSpreadCost(cost, horizon time.Duration) time.Duration {
	served := float64(s.demand) * horizon.Seconds() / float64(s.holders+1)
	return time.Duration(float64(cost) / (1 + served))
}

// randomShare returns a number from 0 to 1 that depends on a request and an engine only.
func randomShare(seed uint64, id catalog.EndpointID) float64 {
	return float64(rendezvous.Score(seed, rendezvous.Hash(string(id)))) / math.MaxUint64
}

// preferredEngine returns the engine with the highest rendezvous score for an
// adapter.
func preferredEngine(key catalog.AdapterKey, engines []Engine) catalog.EndpointID {
	var preferred catalog.EndpointID
	best, hash := uint64(0), rendezvous.Hash(key.Model+"/"+key.Adapter)
	for _, e := range engines {
		if score := rendezvous.Score(hash, rendezvous.Hash(string(e.ID))); score >= best {
			best, preferred = score, e.ID
		}
	}
	return preferred
}

// prefixHome returns the engine with the highest rendezvous score for the shared parts of a job's prompt among those that hold
// its adapter. All routers select the same one, so that the parts are prefilled there once.
func prefixHome(job Job, engines []Engine) catalog.EndpointID {
	var home catalog.EndpointID
	best := uint64(0)
	for _, e := range engines {
		if e.Tried || !e.SnapshotFresh || !canRun(e, job.Key) || !servesModel(e, job.Key.Model) {
			continue
		}
		if score := rendezvous.Score(job.PrefixSeed, rendezvous.Hash(string(e.ID))); score >= best {
			best, home = score, e.ID
		}
	}
	return home
}

// canRun reports whether an engine can run an adapter without a load.
func canRun(e Engine, key catalog.AdapterKey) bool {
	a := findAdapter(e.Snapshot, key)
	return key.Adapter == "" || a != nil && a.Usable
}

func servesModel(e Engine, model string) bool {
	if e.SnapshotFresh && (!e.Snapshot.Alive || e.Snapshot.Draining) {
		return false
	}
	return model == "" || len(e.Snapshot.Models) == 0 || slices.Contains(e.Snapshot.Models, model)
}

func findAdapter(s grants.Snapshot, key catalog.AdapterKey) *grants.AdapterState {
	for i := range s.Adapters {
		if a := &s.Adapters[i]; a.Adapter == key.Adapter && a.Model == key.Model {
			return a
		}
	}
	return nil
}

// evaluate returns the expected wait on an engine and its cost.
func evaluate(c Config, job Job, e Engine, fleet fleetState) Choice {
	measured := e.Snapshot.Slowdown
	if measured <= 0 {
		measured = 1 // No snapshot was received.
	}
	slowdown := max(measured, c.MinSlowdown)
	waitMS := float64(e.Snapshot.PrefillWaitMS[min(max(job.Priority, 0), grants.NumPriorities-1)])
	wait := millis.Duration(waitMS + slowdown*e.PendingPrefillMS)
	choice := Choice{ID: e.ID, Slowdown: measured, SnapshotAge: e.SnapshotAge, Resident: canRun(e, job.Key)}
	if len(e.Snapshot.Models) == 0 {
		wait += 10 * c.ColdLoadTime // Loading a model takes seconds.
	}
	cost := time.Duration(e.FailureRate*float64(c.FailingCost) + lateEventProbability(job, e)*float64(c.LateEventCost))
	if !choice.Resident && !e.Cached {
		choice.ColdLoadTime, choice.LoadLimitExceeded = fleet.coldLoadTime, fleet.loadsAtLimit
	}
	switch {
	case choice.Resident && fleet.prefixHome != "":
		if e.ID != fleet.prefixHome {
			cost += millis.Duration(slowdown * float64(job.SharedTokens) / c.PrefillTokensPerMS)
		}
	case choice.Resident:
		cost += time.Duration(randomShare(job.Seed, e.ID) * float64(c.MaxRandomCost))
	default:
		loadWait, loadCost := loadWaitAndCost(c, e, fleet)
		wait = max(wait, loadWait)
		cost += loadCost
		if !e.Cached {
			wait += millis.Duration(slowdown * float64(job.SharedTokens) / c.PrefillTokensPerMS)
		}
	}
	choice.ExpectedWait = wait
	cost += millis.Duration((slowdown - 1) * float64(job.PromptTokens) / c.PrefillTokensPerMS)
	if !e.SnapshotFresh {
		cost += c.StaleSnapshotCost
	}
	if e.FailureDomain != job.FailureDomain {
		cost += c.OtherDomainCost
	}
	choice.Cost = choice.ExpectedWait + cost
	return choice
}

// lateEventProbability returns the probability that at least one event of the
// job's stream exceeds the gap target.
func lateEventProbability(job Job, e Engine) float64 {
	return 1 - math.Pow(1-min(max(e.Snapshot.LateEventRate, 0), 1), max(job.MeanEvents-1, 0))
}

// loadWaitAndCost returns the expected wait until the engine holds the adapter and
// the cost to add to it.
func loadWaitAndCost(c Config, e Engine, fleet fleetState) (wait, cost time.Duration) {
	switch {
	case e.Cached:
		wait = c.WarmLoadTime
		if fleet.resident {
			cost = c.WarmCost
		}
	case fleet.resident || fleet.cached:
		wait, cost = fleet.coldLoadTime, c.ColdCost
		if fleet.crowded {
			cost += c.CrowdedCost
		}
		cost = fleet.shareSpreadCost(cost, c.SpreadHorizon)
	default:
		wait = fleet.coldLoadTime
		if e.ID != fleet.preferred {
			cost = c.NonPreferredCost
		}
	}
	if e.Snapshot.IdleAdapterSlots == 0 {
		wait += millis.Duration(e.Snapshot.AdapterSlotWaitMS)
	}
	return wait, cost
}
