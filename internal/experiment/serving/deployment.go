package serving

import "time"

// class describes the requests of one service level.
type class struct {
	name          string
	rate          float64       // Requests per second.
	latencyTarget time.Duration // From the first submission to the first event.
	gapTarget     time.Duration // Between two events of a response.
	deadline      time.Duration // From the first submission to the end of the response.
	worth         float64       // Of a response on time.
	lateWorth     float64       // Of a complete response that is late.
	priority      int
	prefixTokens  int     // Prompt tokens shared with other requests.
	ownTokens     float64 // Mean of the prompt tokens that are not shared.
	ownSpread     float64 // Standard deviation of the logarithm of the own tokens.
	outputTokens  float64 // Mean.
	prefixes      int     // Number of different shared prefixes.
}

// deploymentSpec describes the size of a fleet, its engines and its load.
type deploymentSpec struct {
	name               string
	engines            int
	routers            int
	slowdowns          []float64 // Step time relative to normal, assigned to engines in rotation.
	adapters           int
	zipfExponent       float64
	adapterSlots       int           // Per engine.
	requestSlots       int           // Per engine.
	cachedAdapters     int           // Unloaded adapters cached on an engine's host, which load quickly.
	fullSpeedTransfers int           // Concurrent weight store transfers that do not slow each other.
	stepTime           time.Duration // Of a batch without prefill.
	stepTimePerRun     time.Duration // Added for each run in the batch.
	prefillTokensPerMS float64
	tokensPerEvent     int
	kvTokens           int // Size of an engine's KV cache.
	classes            []class
	// The fields below are 0 in deployments whose routers see snapshots that are up to snapshotInterval old.
	domains     int           // Failure domains, to which engines and routers belong in rotation.
	swing       float64       // Part by which demand rises and falls within swingPeriod, with the phases of the domains shifted.
	reportDelay time.Duration // Time from a snapshot until the routers see it.
	reportEvery time.Duration // Time between two snapshots.
	lostReports float64       // Part of the snapshots that no router sees.
}

// swingPeriod is the period in which the demand of a failure domain swings.
const swingPeriod = 15 * time.Second

// deployments have the sizes and loads of two deployments of the platform. The
// platform gives prompt lengths as means only; their distribution is an
// assumption of the model.
var deployments = []deploymentSpec{
	{
		name: "kowalnia", engines: 18, routers: 5, slowdowns: []float64{1, 1, 1.3}, adapters: 3000, zipfExponent: 1.2, adapterSlots: 7,
		requestSlots: 64, cachedAdapters: 42, fullSpeedTransfers: 8, stepTime: 4430 * time.Microsecond, stepTimePerRun: 19 * time.Microsecond,
		prefillTokensPerMS: 38.1, tokensPerEvent: 5, kvTokens: 254_706,
		classes: []class{
			{"syllabus-digest", 28.4, time.Second, 300 * time.Millisecond, 5 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 52},
			{"safety-brief", 3.9, time.Second, 300 * time.Millisecond, 10 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 2},
			{"student-chat", 36.4, 600 * time.Millisecond, 300 * time.Millisecond, 15 * time.Second, 0.85, 0.26, 0, 198, 628, 0.7, 290, 67},
		},
	},
	{
		name: "consorcio", engines: 12, routers: 4, slowdowns: []float64{1}, adapters: 3000, zipfExponent: 1.2, adapterSlots: 9,
		requestSlots: 64, cachedAdapters: 42, fullSpeedTransfers: 8, stepTime: 5230 * time.Microsecond, stepTimePerRun: 19 * time.Microsecond,
		prefillTokensPerMS: 38.4, tokensPerEvent: 4, kvTokens: 266_018,
		classes: []class{
			{"survey-sum", 19.8, 800 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second, 2.3, 1.1, 1, 6300, 2890, 1, 52, 52},
			{"repair-brief", 2.7, time.Second, 250 * time.Millisecond, 10 * time.Second, 2.3, 1.1, 1, 6300, 2890, 1, 52, 2},
			{"dispatch-ask", 25.3, 600 * time.Millisecond, 250 * time.Millisecond, 15 * time.Second, 0.86, 0.43, 0, 198, 628, 0.7, 290, 67},
		},
	},
}

// largeDeployment has the size and load of the platform's deployment of hundreds of machines.
var largeDeployment = deploymentSpec{
	name: "kowalnia large", engines: 120, routers: 68, slowdowns: []float64{1, 1, 1.3}, adapters: 24_000, zipfExponent: 1.2, adapterSlots: 7,
	requestSlots: 64, cachedAdapters: 42, fullSpeedTransfers: 48, stepTime: 4430 * time.Microsecond, stepTimePerRun: 19 * time.Microsecond,
	prefillTokensPerMS: 38.1, tokensPerEvent: 5, kvTokens: 253_812,
	classes: []class{
		{"syllabus-digest", 190, time.Second, 300 * time.Millisecond, 5 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 58},
		{"safety-brief", 26.3, time.Second, 300 * time.Millisecond, 10 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 2},
		{"student-chat", 242, 600 * time.Millisecond, 300 * time.Millisecond, 15 * time.Second, 0.85, 0.26, 0, 198, 628, 0.7, 290, 74},
	},
}

// scenario describes the load of a simulation and its disturbance, which lasts
// from disturbanceStart to disturbanceEnd.
type scenario struct {
	name          string
	loadFactor    float64       // Factor on the request rates during the disturbance.
	shiftInterval time.Duration // Time between two shifts of the popularity ranks, during the whole run; 0 means no shifts.
	shiftRanks    int           // Ranks per shift.
	uniform       bool          // Adapters are drawn uniformly during the disturbance.
	crashOneIn    int           // One in crashOneIn engines crashes at disturbanceStart and stays down; 0 means none.
}

// Times since the start of a simulation. No adapter is resident at the start.
const (
	arrivalWindow    = 30 * time.Second
	disturbanceStart = 10 * time.Second
	disturbanceEnd   = 18 * time.Second
)

var scenarios = []scenario{
	{name: "usual", loadFactor: 1},
	{name: "flash crowd", loadFactor: 2.5},
	{name: "rare adapters all at once", loadFactor: 1, uniform: true},
	{name: "popularity moving on", loadFactor: 1, shiftInterval: 5 * time.Second, shiftRanks: 40},
	{name: "a third of the engines gone", loadFactor: 1, crashOneIn: 3},
}

// slow and fast are the step times of engines at 0.55 and at 1.2 of the nominal speed.
const slow, fast = 1 / 0.55, 1 / 1.2

// staleDeployments have the sizes and loads of deployments A and B of docs/design/overload.md, which do not give all
// figures: the prompts are those of the deployments above.
var staleDeployments = []deploymentSpec{
	{
		name: "A", engines: 47, routers: 26, slowdowns: []float64{1, 1, 1.3}, adapters: 9400, zipfExponent: 1.2, adapterSlots: 7,
		requestSlots: 96, cachedAdapters: 42, fullSpeedTransfers: 24, stepTime: 4430 * time.Microsecond, stepTimePerRun: 19 * time.Microsecond,
		prefillTokensPerMS: 38.1, tokensPerEvent: 5, kvTokens: 188_874, domains: 3, reportDelay: 100 * time.Millisecond, reportEvery: 500 * time.Millisecond,
		classes: []class{
			{"premium summaries", 54, time.Second, 300 * time.Millisecond, 5 * time.Second, 4.2, 0.17, 0, 6300, 2890, 1, 52, 52},
			{"basic summaries", 13, time.Second, 300 * time.Millisecond, 10 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 52},
			{"chats", 91, 2 * time.Second, 300 * time.Millisecond, 15 * time.Second, 0.85, 0.26, 2, 198, 628, 0.7, 290, 67},
		},
	},
	{
		name: "B", engines: 38, routers: 26, slowdowns: []float64{slow, fast, fast, fast}, adapters: 7600, zipfExponent: 1.2, adapterSlots: 7,
		requestSlots: 64, cachedAdapters: 42, fullSpeedTransfers: 16, stepTime: 4430 * time.Microsecond, stepTimePerRun: 19 * time.Microsecond,
		prefillTokensPerMS: 38.1, tokensPerEvent: 5, kvTokens: 254_706, domains: 3, swing: 0.55, reportDelay: 100 * time.Millisecond, reportEvery: 500 * time.Millisecond,
		classes: []class{
			{"reviews", 60, time.Second, 300 * time.Millisecond, 5 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 52},
			{"replies", 72, 600 * time.Millisecond, 300 * time.Millisecond, 15 * time.Second, 0.85, 0.26, 0, 198, 628, 0.7, 290, 67},
		},
	},
}
