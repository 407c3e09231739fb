package serving

import "time"

// class is a kind of request.
type class struct {
	name     string
	rate     float64 // Requests a second.
	aim      time.Duration
	gapAim   time.Duration
	deadline time.Duration
	worth    float64 // Of an answer on time.
	late     float64 // Of one that is late.
	priority int
	shared   int     // Tokens that a prompt shares with others of its subject.
	own      float64 // Mean of the tokens of its own.
	spread   float64 // Standard deviation of their logarithm.
	output   float64 // Mean tokens made.
	subjects int     // Different shared parts.
}

// deployment is the size of a fleet and its load.
type deployment struct {
	name      string
	engines   int
	routers   int
	speeds    []float64 // Time against the usual one, engines in turn.
	adapters  int
	zipf      float64
	places    int
	slots     int
	copies    int           // Adapters that load quickly after they were held.
	fullSpeed int           // Transfers from the weight store that do not slow each other.
	step      time.Duration // Of a batch without reading.
	perSlot   time.Duration
	perMS     float64 // Prompt tokens read in a millisecond.
	stride    int     // Tokens of an event.
	memory    int     // Tokens.
	classes   []class
}

// deployments have the figures of the users' sheets, but for the shape of
// prompts, which the sheets give as means.
var deployments = []deployment{
	{
		name: "kowalnia", engines: 18, routers: 5, speeds: []float64{1, 1, 1.3}, adapters: 3000, zipf: 1.2, places: 7, slots: 64,
		copies: 42, fullSpeed: 8, step: 4430 * time.Microsecond, perSlot: 19 * time.Microsecond, perMS: 38.1, stride: 5, memory: 254_706,
		classes: []class{
			{"syllabus-digest", 28.4, time.Second, 300 * time.Millisecond, 5 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 52},
			{"safety-brief", 3.9, time.Second, 300 * time.Millisecond, 10 * time.Second, 2.3, 0.69, 1, 6300, 2890, 1, 52, 2},
			{"student-chat", 36.4, 600 * time.Millisecond, 300 * time.Millisecond, 15 * time.Second, 0.85, 0.26, 0, 198, 628, 0.7, 290, 67},
		},
	},
	{
		name: "consorcio", engines: 12, routers: 4, speeds: []float64{1}, adapters: 3000, zipf: 1.2, places: 9, slots: 64,
		copies: 42, fullSpeed: 8, step: 5230 * time.Microsecond, perSlot: 19 * time.Microsecond, perMS: 38.4, stride: 4, memory: 266_018,
		classes: []class{
			{"survey-sum", 19.8, 800 * time.Millisecond, 250 * time.Millisecond, 5 * time.Second, 2.3, 1.1, 1, 6300, 2890, 1, 52, 52},
			{"repair-brief", 2.7, time.Second, 250 * time.Millisecond, 10 * time.Second, 2.3, 1.1, 1, 6300, 2890, 1, 52, 2},
			{"dispatch-ask", 25.3, 600 * time.Millisecond, 250 * time.Millisecond, 15 * time.Second, 0.86, 0.43, 0, 198, 628, 0.7, 290, 67},
		},
	},
}

// scenario is what one day goes through.
type scenario struct {
	name  string
	load  float64       // Against the usual one, between from and until.
	moves time.Duration // Popularity moves on by places each so often; 0 never.
	by    int
	rare  bool // Adapters are drawn evenly between from and until.
	gone  int  // One engine in so many is gone between from and until.
}

// Times of a day. Arrivals begin with engines that hold nothing.
const (
	dayLength = 30 * time.Second
	from      = 10 * time.Second
	until     = 18 * time.Second
)

var scenarios = []scenario{
	{name: "usual", load: 1},
	{name: "flash crowd", load: 2.5},
	{name: "rare adapters all at once", load: 1, rare: true},
	{name: "popularity moving on", load: 1, moves: 5 * time.Second, by: 40},
	{name: "a third of the engines gone", load: 1, gone: 3},
}
