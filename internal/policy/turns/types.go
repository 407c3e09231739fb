package turns

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
)

// Build is one version of an adapter.
type Build struct {
	Key     catalog.AdapterKey
	Version int64 // 0 where the engine names none.
}

// Report is what an engine says of itself.
type Report struct {
	Born     int64 // Identifies the incarnation; Unix milliseconds.
	Sequence int64 // Orders accepted by this incarnation.
	Busy     bool  // A model is being loaded or unloaded.
	Models   []string
	Resident []Build
	Coming   []Build // Being loaded.
	Runs     []Run   // Those that have made an event.
}

// Run is a request that runs on an engine.
type Run struct {
	Request string
	Events  int // Made so far.
}

// Order is an order to an engine. Key without an adapter names the model.
type Order struct {
	Unload   bool
	Key      catalog.AdapterKey
	Version  int64 // 0 is the newest.
	Sequence int64 // The order holds only while the engine has accepted so many.
}

// Outcome is what became of an order.
type Outcome int

// Values of Outcome.
const (
	OutcomeAccepted    Outcome = iota // Is being carried out.
	OutcomeDone                       // Holds already.
	OutcomeConflict                   // Another order is under way, or the sequence differs.
	OutcomeFenced                     // A higher fencing token has been used.
	OutcomeMisdirected                // Another incarnation has the address.
	OutcomeRejected                   // The engine refused for another reason.
	OutcomeUnknown                    // No answer: it may be carried out later.
)

var outcomeNames = [...]string{"accepted", "done", "conflict", "fenced", "misdirected", "rejected", "unknown"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// TurnID names a turn within a Machine.
type TurnID uint64

// PromptPart is a part of a prompt that other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Turn asks to run one request.
type Turn struct {
	ID       TurnID
	Request  string // Id by which the engine reports it.
	Key      catalog.AdapterKey
	Parts    []PromptPart
	Prompt   int           // Tokens to read.
	Output   int           // Most tokens to make.
	Priority int           // 0 is the most urgent, Ranks-1 the least.
	Aim      time.Duration // Until the first event is late; 0 where there is no aim.
	Patience time.Duration // Until the first event is too late to be waited for; 0 waits for any time.
	GapAim   time.Duration // Longest pause between two events that is on time; 0 where there is no aim.
	Load     time.Duration // Of a load from the weight store beside all that are under way; 0 where unknown.
}

// Ranks is the number of priorities that are told apart.
const Ranks = 10

// Refusal says why a turn is not granted.
type Refusal string

// Values of Refusal.
const (
	RefusalNone    Refusal = ""
	RefusalLate    Refusal = "expected_too_late"  // It would begin later than its patience.
	RefusalModel   Refusal = "model_not_resident" // The engine does not hold the model.
	RefusalReplace Refusal = "version_replaced"   // The adapter is drained for its next version.
	RefusalLost    Refusal = "engine_lost"        // The engine does not answer.
)

// Decision is the answer to a turn.
type Decision struct {
	ID       TurnID
	Granted  bool
	Refusal  Refusal
	Expected time.Duration // Wait that was expected when it was asked for.
	Version  int64         // Of the adapter that is resident; 0 where unknown.
	Cold     bool          // It waited for a load.
	Waited   time.Duration
}

// Limits describe the engine.
type Limits struct {
	Slots        int // Requests that run at once.
	KVTokens     int
	AdapterSlots int
	WeightsMB    float64
	Models       []catalog.Model
}

// Config tunes a Machine.
type Config struct {
	PrefillPerMS  float64       // Tokens that the engine reads in a millisecond.
	ColdLoad      time.Duration // Time to load an adapter from the weight store.
	WarmLoad      time.Duration // Time to load one that was held recently.
	ReadAhead     time.Duration // Reading that is granted at once; other turns wait in order.
	Short         time.Duration // Reading that is never kept waiting.
	LeastWait     time.Duration // Expected wait for which a turn is always taken.
	Lateness      float64       // A turn is taken while its first event is expected within so many aims.
	ComingMost    int           // Adapters on their way to one engine.
	ReplaceAfter  time.Duration // Time after which the former version gets no more turns.
	ModelInterval time.Duration // Least time between two loads of a model.
	RefillWithin  time.Duration // An adapter used within it is loaded again for its next version.
	Remembered    int           // Adapters that load quickly after they were unloaded.
}

// DefaultConfig returns the figures of the users' sheets.
func DefaultConfig() Config {
	return Config{
		PrefillPerMS: 32, // 1,024 tokens in a step of 4.4 ms and 27 ms of reading, of the sheets.
		ColdLoad:     250 * time.Millisecond,
		WarmLoad:     25 * time.Millisecond,
		// A report and the way of a request take 40 ms; the engine has work
		// meanwhile, and an urgent prompt waits no longer than this.
		ReadAhead: 100 * time.Millisecond,
		Short:     60 * time.Millisecond,  // Twice a chat's prompt on the sheets.
		LeastWait: 400 * time.Millisecond, // A load from the weight store and a prompt.
		// Beyond its aim, a turn would make those behind it late for a late answer
		// of its own.
		Lateness:   1,
		ComingMost: 4, // The protocol's bound.
		// The former version may begin until 5 s after the announcement; the
		// rest covers the announcement's way and the clocks.
		ReplaceAfter: 2500 * time.Millisecond,
		// The weight store allows about one load per engine in 5 s.
		ModelInterval: 5 * time.Second,
		RefillWithin:  2 * time.Second, // A busy adapter is asked for several times in it.
		Remembered:    42,              // Of the sheets' memory for copies of adapters.
	}
}

// AdapterState is an adapter on an engine, as routers see it.
type AdapterState struct {
	Adapter string `json:"a"`
	Model   string `json:"m"`
	Usable  bool   `json:"r"` // Resident and of a version that may be used.
}

// Snapshot is what routers know of an engine.
type Snapshot struct {
	Alive    bool           `json:"alive"`
	Born     int64          `json:"born"`
	Models   []string       `json:"models"`
	Adapters []AdapterState `json:"adapters"`
	Idle     int            `json:"idle"`     // Places that are empty or hold an idle adapter.
	Coming   int            `json:"coming"`   // Loads of adapters under way.
	WaitMS   [Ranks]int     `json:"waitMs"`   // Expected wait of a turn of each priority for a resident adapter.
	Slowness float64        `json:"slowness"` // Time of reading against the usual one.
	Slow     float64        `json:"slow"`     // Part of the events that came later than their streams allow lately.
	PlaceMS  float64        `json:"placeMs"`  // Expected wait for a place.
}
