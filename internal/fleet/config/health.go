package config

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
)

// Degradation is one condition that impairs a process.
type Degradation struct {
	Condition string    `json:"what"` // Condition in plain words, for operators.
	Since     time.Time `json:"since"`
}

// Conditions that impair a Replica.
const (
	degradedStore     = "configuration store lost"
	degradedRegressed = "configuration store holds an older revision than is in force"
	degradedDiverged  = "another configuration exists under the revision in force"
	degradedCorrupt   = "stored configuration cannot be read"
)

// health holds the conditions that are present and the time since which each one
// is. It logs each change of a condition once. It is safe for concurrent use.
type health struct {
	log  *logrus.Entry
	ring *timeline.Ring

	mu    *sync.Mutex
	since map[string]time.Time // By condition; start of each condition that is present.
}

func newHealth(log *logrus.Entry, ring *timeline.Ring) health {
	return health{log: log, ring: ring, mu: new(sync.Mutex), since: make(map[string]time.Time)}
}

// set records whether a condition is present. Changes of degradedStore are also
// recorded in the timeline.
func (h health) set(condition string, present bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, wasPresent := h.since[condition]
	if wasPresent == present {
		return
	}
	if present {
		h.since[condition] = time.Now()
		h.log.WithField("what", condition).Warn("configuration degraded")
	} else {
		delete(h.since, condition)
		h.log.WithField("what", condition).Info("configuration degradation ended")
	}
	if condition == degradedStore {
		kind := timeline.KindStoreRecovered
		if present {
			kind = timeline.KindStoreUnavailable
		}
		h.ring.Record(timeline.Event{Kind: kind})
	}
}

// degradations returns the conditions that are present, ordered by Condition.
func (h health) degradations() []Degradation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Degradation
	for condition, since := range h.since {
		out = append(out, Degradation{condition, since})
	}
	slices.SortFunc(out, func(a, b Degradation) int { return cmp.Compare(a.Condition, b.Condition) })
	return out
}
