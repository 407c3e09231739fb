package routing

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/rendezvous"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/turns"
)

// Config tunes the ranking of engines. Costs are times that an engine's
// expected wait may be longer before another one is taken.
type Config struct {
	ColdLoad     time.Duration // Time to load an adapter from the weight store.
	WarmLoad     time.Duration // Time to load one that the engine held lately.
	FullSpeed    int           // Loads under way over all engines that do not slow each other, at least.
	FullShare    float64       // The same, for each engine.
	LoadsRare    float64       // Loads under way, as a part of FullSpeed, up to which an adapter that no engine holds may be loaded.
	LoadsSpread  float64       // The same for one that an engine holds: its next requests gain from the load too.
	SpreadBelow  float64       // Part of FullSpeed up to which an adapter may spread to engines that lack it.
	ColdCost     time.Duration // Of a load from the weight store where another engine has the adapter.
	WarmCost     time.Duration // Of a quick load where another engine has the adapter loaded.
	CrowdedCost  time.Duration // Added to ColdCost where the loads under way are above SpreadBelow.
	AwayCost     time.Duration // Of a first load on an engine that is not the adapter's home.
	OtherDomain  time.Duration // Of another failure domain.
	FailingCost  time.Duration // Of an engine that fails all its requests.
	PausingCost  time.Duration // Of an engine on which the stream is sure to pause too long.
	UnseenCost   time.Duration // Of an engine whose scheduler is silent.
	PrefillPerMS float64       // Tokens that an engine reads in a millisecond.
}

// DefaultConfig returns the figures of the users' sheets.
func DefaultConfig() Config {
	return Config{
		ColdLoad: 250 * time.Millisecond, WarmLoad: 25 * time.Millisecond, // Of the sheets.
		FullSpeed: 8, FullShare: 0.33, SpreadBelow: 0.5, // 8 and 16 at full speed on the sheets, for 12 to 50 engines.
		// A load takes 375 ms then: within the tightest aim of a stream, 600 ms, with
		// the reading.
		LoadsRare:    1.5,
		LoadsSpread:  4,                      // A second: later than the aims, but the requests behind it are on time.
		ColdCost:     400 * time.Millisecond, // Under the tightest aim of a stream, 600 ms: late costs more than a load.
		WarmCost:     40 * time.Millisecond,
		CrowdedCost:  900 * time.Millisecond, // Beyond the aims: only a queue that is lost makes an adapter spread then.
		AwayCost:     150 * time.Millisecond,
		OtherDomain:  8 * time.Millisecond, // A few round trips between failure domains.
		FailingCost:  3 * time.Second,
		PausingCost:  800 * time.Millisecond, // A pause makes an answer late like a first event beyond its aim, 600 to 1,000 ms.
		UnseenCost:   400 * time.Millisecond,
		PrefillPerMS: 32, // 1,024 tokens in a step of 4.4 ms and 27 ms of reading, of the sheets.
	}
}

// Engine is a candidate.
type Engine struct {
	ID         catalog.EndpointID
	Domain     string
	Snapshot   turns.Snapshot
	Fresh      bool    // The scheduler tells its state; the snapshot is its last one otherwise.
	SentMS     float64 // Reading of the turns that were asked for since the snapshot.
	Asked      int     // Loads from the weight store that this router asked for since the snapshot.
	Remembered bool    // The engine held the job's adapter lately.
	Failing    float64 // Part of the requests that failed lately, 0 to 1.
	Tried      bool    // Has refused or failed this request.
}

// Job is the request to be placed.
type Job struct {
	Key      catalog.AdapterKey
	Domain   string        // Of the router.
	Priority int           // 0 is the most urgent.
	Prompt   int           // Tokens to read.
	Shared   int           // Those of them that other requests share.
	Events   float64       // That its stream makes on average.
	Routers  int           // That ask the engines, this one included; 0 is taken as 1.
	Longest  time.Duration // Wait from which the request would be late; 0 where it does not matter.
}

// Choice is an engine with the time in which the request is expected to begin.
type Choice struct {
	ID       catalog.EndpointID
	Expected time.Duration
	Resident bool
	Load     time.Duration // Of the load from the weight store that it needs, 0 where it needs none.
	Crowded  bool          // That load would come on top of too many others.
}

// Rank returns the engines that can run a job, best first.
func Rank(c Config, job Job, engines []Engine) []Choice {
	type scored struct {
		Choice
		late  bool
		score time.Duration
	}
	around := survey(c, job, engines)
	list := make([]scored, 0, len(engines))
	for _, e := range engines {
		if e.Tried || !servesModel(e, job.Key.Model) {
			continue
		}
		choice, cost := judge(c, job, e, around)
		late := job.Longest > 0 && choice.Expected > job.Longest
		list = append(list, scored{choice, late, choice.Expected + cost})
	}
	slices.SortStableFunc(list, func(a, b scored) int {
		if a.late != b.late {
			if a.late {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.score, b.score)
	})
	out := make([]Choice, len(list))
	for i, s := range list {
		out[i] = s.Choice
	}
	return out
}

// surroundings is what the choice of one engine needs to know of the others.
type surroundings struct {
	crowded    bool               // Many loads from the weight store are under way.
	closed     bool               // So many that no request may cause one more.
	coldLoad   time.Duration      // Time of one more load from the weight store.
	loaded     bool               // An engine holds the adapter.
	remembered bool               // An engine held it lately.
	home       catalog.EndpointID // Known where no engine holds or held the adapter.
}

func survey(c Config, job Job, engines []Engine) surroundings {
	var s surroundings
	coming := 0
	for _, e := range engines {
		// The other routers are taken to have asked for as many.
		coming += e.Snapshot.LoadingAdapters + e.Asked*max(job.Routers, 1)
		s.loaded = s.loaded || holds(e, job.Key)
		s.remembered = s.remembered || e.Remembered
	}
	if !s.loaded && !s.remembered {
		s.home = homeOf(job.Key, engines)
	}
	full := max(float64(c.FullSpeed), c.FullShare*float64(len(engines)))
	s.crowded = float64(coming) > c.SpreadBelow*full
	most := c.LoadsRare
	if s.loaded {
		most = c.LoadsSpread
	}
	s.closed = float64(coming+1) > most*full
	s.coldLoad = time.Duration(float64(c.ColdLoad) * max(1, float64(coming+1)/full))
	return s
}

// homeOf returns the engine that loads an adapter which no engine has held.
func homeOf(key catalog.AdapterKey, engines []Engine) catalog.EndpointID {
	var home catalog.EndpointID
	best, hash := uint64(0), rendezvous.Hash(key.Model+"/"+key.Adapter)
	for _, e := range engines {
		if score := rendezvous.Score(hash, rendezvous.Hash(string(e.ID))); score >= best {
			best, home = score, e.ID
		}
	}
	return home
}

// holds reports whether an engine can run an adapter without a load.
func holds(e Engine, key catalog.AdapterKey) bool {
	a := adapterOn(e.Snapshot, key)
	return key.Adapter == "" || a != nil && a.Usable
}

func servesModel(e Engine, model string) bool {
	if e.Fresh && !e.Snapshot.Alive {
		return false
	}
	return model == "" || len(e.Snapshot.Models) == 0 || slices.Contains(e.Snapshot.Models, model)
}

func adapterOn(s turns.Snapshot, key catalog.AdapterKey) *turns.AdapterState {
	for i := range s.Adapters {
		if a := &s.Adapters[i]; a.Adapter == key.Adapter && a.Model == key.Model {
			return a
		}
	}
	return nil
}

// judge returns when an engine would begin, and what speaks against it besides.
func judge(c Config, job Job, e Engine, around surroundings) (Choice, time.Duration) {
	slow := max(e.Snapshot.Slowdown, 1) // 0 in the snapshot of no scheduler.
	waitMS := float64(e.Snapshot.WaitMS[min(max(job.Priority, 0), turns.Ranks-1)])
	wait := millis.Duration(waitMS + slow*e.SentMS)
	choice := Choice{ID: e.ID, Resident: holds(e, job.Key)}
	if len(e.Snapshot.Models) == 0 {
		wait += 10 * c.ColdLoad // A model's load takes seconds.
	}
	cost := time.Duration(e.Failing*float64(c.FailingCost) + pausing(job, e)*float64(c.PausingCost))
	if !choice.Resident && !e.Remembered {
		choice.Load, choice.Crowded = around.coldLoad, around.closed
	}
	if !choice.Resident {
		load, more := loadCost(c, e, around)
		wait = max(wait, load)
		cost += more
		if !e.Remembered {
			wait += millis.Duration(slow * float64(job.Shared) / c.PrefillPerMS)
		}
	}
	choice.Expected = wait
	cost += millis.Duration((slow - 1) * float64(job.Prompt) / c.PrefillPerMS)
	if !e.Fresh {
		cost += c.UnseenCost
	}
	if e.Domain != job.Domain {
		cost += c.OtherDomain
	}
	return choice, cost
}

// pausing returns the probability that the job's stream pauses too long.
func pausing(job Job, e Engine) float64 {
	return 1 - math.Pow(1-min(max(e.Snapshot.LateEventRate, 0), 1), max(job.Events-1, 0))
}

// loadCost returns how long an engine takes until it holds the adapter, and what
// the load costs beyond that.
func loadCost(c Config, e Engine, around surroundings) (load, cost time.Duration) {
	switch {
	case e.Remembered:
		load = c.WarmLoad
		if around.loaded {
			cost = c.WarmCost
		}
	case around.loaded || around.remembered:
		load, cost = around.coldLoad, c.ColdCost
		if around.crowded {
			cost += c.CrowdedCost
		}
	default:
		load = around.coldLoad
		if e.ID != around.home {
			cost = c.AwayCost
		}
	}
	if e.Snapshot.IdleAdapterSlots == 0 {
		load += millis.Duration(e.Snapshot.AdapterSlotWaitMS)
	}
	return load, cost
}
