package grants

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/coldstart"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/versionbound"
)

// Build is one version of an adapter.
type Build struct {
	Key     catalog.AdapterKey
	Version int64 // 0 if the engine does not report a version.
}

// Report is the state that an engine reports.
type Report struct {
	Incarnation int64 // Identifies the incarnation: its start in Unix milliseconds.
	Sequence    int64 // Orders that this incarnation has accepted.
	Busy        bool  // The engine is loading or unloading a model.
	Models      []string
	Resident    []Build
	Loading     []Build // Adapters that the engine is loading.
	Runs        []Run   // Requests that have produced at least one event.
	RateLimit   ratelimit.Limit
	Draining    bool // The engine takes no new requests.
}

// Run is the progress of one request on an engine.
type Run struct {
	RequestID string
	Events    int // Events produced so far.
}

// Order is a load or unload order to an engine. It applies to a model if Key
// has no adapter, and to an adapter otherwise.
type Order struct {
	Unload   bool
	Key      catalog.AdapterKey
	Version  int64 // 0 selects the newest version.
	Sequence int64 // The engine accepts the order only if it has accepted exactly this number of orders.
}

// Outcome is the result of an order.
type Outcome int

// Values of Outcome.
const (
	OutcomeAccepted    Outcome = iota // The engine is carrying out the order.
	OutcomeDone                       // The requested state already holds.
	OutcomeConflict                   // Another order is in progress, or the sequence differs.
	OutcomeFenced                     // The engine has accepted a higher fencing token.
	OutcomeMisdirected                // Another incarnation uses the address.
	OutcomeRejected                   // The engine refused for another reason.
	OutcomeUnknown                    // No response arrived; the engine may still carry out the order.
)

var outcomeNames = [...]string{"accepted", "done", "conflict", "fenced", "misdirected", "rejected", "unknown"}

// String returns the outcome's name in logs.
func (o Outcome) String() string { return outcomeNames[o] }

// RequestID identifies a request for a grant within a Machine.
type RequestID uint64

// PromptPart is a section of a prompt that other prompts may share.
type PromptPart struct {
	ID     string // Identifies the section's content.
	Tokens int
}

// Request is a request for a grant, the right to run one request on the engine.
type Request struct {
	ID              RequestID
	EngineRequestID string // Request id in the engine's reports.
	Incarnation     int64  // Incarnation of the engine that the router knows; 0 if unknown.
	Key             catalog.AdapterKey
	PromptParts     []PromptPart
	PromptTokens    int           // Tokens of the prompt.
	MaxOutputTokens int           // Maximum number of output tokens.
	Continuation    bool          // The request goes on with a stream, for which few engines are left: it goes before others of its priority.
	Priority        int           // 0 is the most urgent, NumPriorities-1 the least.
	LatencyTarget   time.Duration // Time within which the first event is on time; 0 if there is no target.
	MaxWait         time.Duration // Longest accepted wait until the prefill starts; 0 for no limit.
	GapTarget       time.Duration // Longest gap before an event that is on time; 0 if there is no target.
	ColdLoadTime    time.Duration // Expected time of a load from the weight store, given the other loads in progress; 0 if unknown.
}

// NumPriorities is the number of priorities.
const NumPriorities = 10

// Refusal is the reason why a request is not granted.
type Refusal string

// Values of Refusal.
const (
	RefusalNone              Refusal = ""
	RefusalTooLate           Refusal = "expected_too_late"  // It would start after its max wait.
	RefusalModelNotResident  Refusal = "model_not_resident" // The engine does not hold the model.
	RefusalVersionReplaced   Refusal = "version_replaced"   // The adapter drains for its next version.
	RefusalEngineUnreachable Refusal = "engine_lost"        // The engine does not respond.
	RefusalDraining          Refusal = "engine_draining"    // The engine takes no new requests.
	RefusalRateLimited       Refusal = "engine_rate_limit"  // It would exceed the rate limit that the engine names.
	RefusalCold              Refusal = "engine_cold"        // It would exceed the rate that a cold engine sustains.
)

// Decision is the response to a Request.
type Decision struct {
	ID            RequestID
	Granted       bool
	Refusal       Refusal
	ExpectedWait  time.Duration // Wait that was estimated when the request arrived.
	Version       int64         // Resident version of the adapter; 0 if unknown.
	WaitedForLoad bool          // The request waited for a load.
	Waited        time.Duration // Time from the request to the decision.
}

// Limits are the capacities of the engine.
type Limits struct {
	Slots        int             // Requests that run concurrently.
	KVTokens     int             // Tokens that fit in the KV memory.
	AdapterSlots int             // Adapters that are resident or loading concurrently.
	WeightsMB    float64         // Memory for the weights of models and adapters.
	Models       []catalog.Model // Models that the engine may load.
	Cold         coldstart.Settings
}

// Config configures a Machine.
type Config struct {
	PrefillTokensPerMS   float64       // Prefill speed of an engine at normal speed.
	ColdLoadTime         time.Duration // Time to load an adapter from the weight store.
	WarmLoadTime         time.Duration // Time to load an adapter cached on the engine's host.
	MaxPrefillBacklog    time.Duration // Prefill backlog above which further requests wait in the queue.
	ShortPrefill         time.Duration // Prefill time up to which a request is granted despite the backlog.
	MinAcceptedWait      time.Duration // Expected wait up to which a request is always accepted.
	LatencyTargetFactor  float64       // A request is accepted if its first event is expected within this multiple of the target.
	MaxLoadingAdapters   int           // Adapters that load on one engine concurrently.
	LateOrderPeriod      time.Duration // Time for which an engine may carry out an order after the call has failed.
	FormerVersionPeriod  time.Duration // Time after an announcement during which the former version is granted.
	VersionBound         time.Duration // Time after an announcement from which no request may begin on the former version.
	MinModelLoadInterval time.Duration // Minimum time between two model loads.
	ReloadWindow         time.Duration // An adapter used within this time is reloaded after its former version is unloaded.
	MaxRecentlyUnloaded  int           // Unloaded adapters that the engine's host keeps cached.
}

// DefaultConfig returns the configuration for the engines of the platform.
func DefaultConfig() Config {
	return Config{
		PrefillTokensPerMS: 32, // 1,024 tokens take a step of 4.4 ms and 27 ms of prefill.
		ColdLoadTime:       250 * time.Millisecond,
		WarmLoadTime:       25 * time.Millisecond,
		// A report and the forwarding of a request take 40 ms. The backlog keeps
		// the engine busy meanwhile and bounds the wait of an urgent prompt.
		MaxPrefillBacklog: 100 * time.Millisecond,
		ShortPrefill:      60 * time.Millisecond,  // Twice the prefill of a chat prompt.
		MinAcceptedWait:   400 * time.Millisecond, // A load from the weight store and a prefill.
		// Running a request that misses its target would also delay the requests
		// queued behind it past theirs.
		LatencyTargetFactor: 1,
		MaxLoadingAdapters:  4,                // Limit of the platform's protocol.
		LateOrderPeriod:     10 * time.Second, // The platform says "seconds".
		// A request that is granted at the end of the period still has time for its prefill within VersionBound.
		FormerVersionPeriod: 2500 * time.Millisecond,
		VersionBound:        versionbound.DefaultBound,
		// The weight store allows about one model load per engine in 5 s.
		MinModelLoadInterval: 5 * time.Second,
		ReloadWindow:         2 * time.Second, // A busy adapter receives several requests in this time.
		MaxRecentlyUnloaded:  42,              // Adapter copies that fit in the host's memory.
	}
}

// AdapterState is the state of an adapter in a Snapshot.
type AdapterState struct {
	Adapter string `json:"a"`
	Model   string `json:"m"`
	Usable  bool   `json:"r"`           // Loading, grantable, or idle and about to be replaced by its newer version.
	Demand  int    `json:"q,omitempty"` // Requests per second for it here, granted or not, to a power of two.
}

// Snapshot is the state of an engine that routers receive.
type Snapshot struct {
	Alive             bool               `json:"alive"`
	Draining          bool               `json:"draining"` // The engine takes no new requests.
	Incarnation       int64              `json:"born"`
	Models            []string           `json:"models"`
	Adapters          []AdapterState     `json:"adapters"`
	IdleAdapterSlots  int                `json:"idle"`     // Adapter slots that are empty or hold an idle adapter.
	LoadingAdapters   int                `json:"coming"`   // Adapters that are loading.
	PrefillWaitMS     [NumPriorities]int `json:"waitMs"`   // Expected wait by priority, for a resident adapter; at least RateWaitMS.
	RateWaitMS        int                `json:"rateMs"`   // Expected wait because of the engine's rate limit or because it is cold; else 0.
	Slowdown          float64            `json:"slowness"` // Prefill time as a multiple of the time at normal speed.
	LateEventRate     float64            `json:"slow"`     // Recent fraction of events whose gap exceeded the gap target, 0 to 1.
	AdapterSlotWaitMS float64            `json:"placeMs"`  // Expected wait for an adapter slot.
}
