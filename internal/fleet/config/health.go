package config

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
)

// Degradation is one thing that does not work as it should.
type Degradation struct {
	What  string    `json:"what"`
	Since time.Time `json:"since"`
}

// What can be degraded in a Replica.
const (
	degradedStore     = "configuration store lost"
	degradedRegressed = "configuration store holds an older revision than is in force"
	degradedDiverged  = "another configuration exists under the revision in force"
	degradedCorrupt   = "stored configuration cannot be read"
)

// health keeps what is degraded and since when, and notes each change once.
type health struct {
	log  *logrus.Entry
	ring *timeline.Ring

	mu    *sync.Mutex
	since map[string]time.Time
}

func newHealth(log *logrus.Entry, ring *timeline.Ring) health {
	return health{log: log, ring: ring, mu: new(sync.Mutex), since: make(map[string]time.Time)}
}

// set records whether something is degraded.
func (h health) set(what string, bad bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, was := h.since[what]
	if was == bad {
		return
	}
	if bad {
		h.since[what] = time.Now()
		h.log.WithField("what", what).Warn("degraded")
	} else {
		delete(h.since, what)
		h.log.WithField("what", what).Info("no longer degraded")
	}
	if what == degradedStore {
		kind := timeline.KindStoreBack
		if bad {
			kind = timeline.KindStoreLost
		}
		h.ring.Record(timeline.Event{Kind: kind})
	}
}

func (h health) list() []Degradation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []Degradation
	for what, since := range h.since {
		out = append(out, Degradation{what, since})
	}
	slices.SortFunc(out, func(a, b Degradation) int { return cmp.Compare(a.What, b.What) })
	return out
}
