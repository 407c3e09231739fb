package relay

import "time"

// Topics of the changes.
const (
	TopicOperator = "operator" // Configuration and adapter versions.
	TopicRegistry = "registry" // Registered endpoints.
	TopicRouters  = "routers"  // Registered routers.
)

// Freshness is how a topic is read within the time in which a change must take effect everywhere.
type Freshness struct {
	WatchTimeout time.Duration // Longest wait of a watch of the store.
	MaxAge       time.Duration // Age from which relayed changes are stale.
	PollTimeout  time.Duration // Longest wait of a watch of a relay.
	MaxJitter    time.Duration // Longest random delay before the store is read in place of a relay.
	// BatchInterval is the shortest time between two reads of the store that return changes.
	BatchInterval time.Duration
	// ProbeInterval is the shortest time between a failed watch of the store and the next one, for a process
	// that does not read the store for others. 0 leaves it to the Follower.
	ProbeInterval time.Duration
}

// Shares of the bound. A relay that reads the store is fresh at any time, since WatchTimeout is below
// MaxAge. A relay that loses the store is stale after MaxAge, and one that is suspended has failed after
// PollTimeout and responseMargin; with the jitter and a call to the store both are within the bound.
const (
	watchTimeoutShare = 0.375
	maxAgeShare       = 0.6
	pollTimeoutShare  = 0.4
	maxJitterShare    = 0.05
	batchShare        = 0.05
	probeShare        = 0.5
)

// WithinDeferring is Within for topics of which only the present state counts, not when the store was
// back after an outage: only the readers of the failure domains call the store often during an outage.
func WithinDeferring(bound time.Duration) Freshness {
	f := Within(bound)
	f.ProbeInterval = time.Duration(probeShare * float64(bound))
	return f
}

// Within returns the Freshness for a bound.
func Within(bound time.Duration) Freshness {
	share := func(s float64) time.Duration { return time.Duration(s * float64(bound)) }
	return Freshness{
		WatchTimeout: share(watchTimeoutShare), MaxAge: share(maxAgeShare),
		PollTimeout: share(pollTimeoutShare), MaxJitter: share(maxJitterShare), BatchInterval: share(batchShare),
	}
}
