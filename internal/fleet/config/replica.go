package config

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
)

// Confirmations tracks when the store and the other entries last confirmed the
// configuration. A Replica reports the store's confirmations to it.
type Confirmations interface {
	// RecordConfirmation records that the store held revision r at the given time.
	RecordConfirmation(at time.Time, r Revision)
	// ConfirmedAt returns the last time at which the store confirmed the revision
	// in force, to this entry or to another one. It is zero before the first time.
	ConfirmedAt() time.Time
	// HasMajority reports whether this entry is in contact with a majority of the
	// entries.
	HasMajority() bool
	// IsFresh reports whether the granted keys are recent enough to be trusted.
	IsFresh() bool
}

// ReplicaOptions configures NewReplica.
type ReplicaOptions struct {
	Store         store.Store
	Members       members.View
	Peers         Peers
	Confirmations Confirmations
	Log           *logrus.Entry
	Timeline      *timeline.Ring
	Metrics       tally.Scope
}

// Replica holds the configuration of the highest revision it has received and
// distributes it to other entries. It never replaces its revision with a lower
// one.
type Replica struct {
	opts         ReplicaOptions
	chunks       chunkStore
	metrics      replicaMetrics
	current      atomic.Pointer[Snapshot]
	inForceSince atomic.Int64 // Unix nanoseconds; 0 before the first revision.
	pulling      atomic.Bool
	pushQueue    chan pushJob
	health       health

	mu        sync.Mutex // Serialises install and guards the fields below.
	index     chunkIndex
	listeners []func(*Snapshot)
}

// pushJob is one revision to distribute, with the revision that it replaced.
type pushJob struct {
	previous, next *Snapshot
}

type replicaMetrics struct {
	revision      tally.Gauge   // Revision in force.
	pushes        tally.Counter // Pushes sent to entries.
	pushedBytes   tally.Counter // Bytes of the chunks in these pushes.
	fetchedChunks tally.Counter // Chunks fetched from entries.
	storeReads    tally.Counter // Reads of the store; a watch counts once, and so does the load of a tree.
	regressed     tally.Gauge   // 1 while the store holds a lower revision than the one in force.
	readFailures  tally.Counter // Failures to load or decode a stored configuration.
}

// maxQueuedPushes limits the revisions that wait for distribution.
const maxQueuedPushes = 16

// NewReplica returns a Replica with an empty configuration at revision 0.
func NewReplica(opts ReplicaOptions) *Replica {
	scope := opts.Metrics.SubScope("config")
	r := &Replica{
		opts:      opts,
		chunks:    chunkStore{opts.Store},
		pushQueue: make(chan pushJob, maxQueuedPushes),
		health:    newHealth(opts.Log, opts.Timeline),
		metrics: replicaMetrics{
			revision: scope.Gauge("revision"), pushes: scope.Counter("pushes"),
			pushedBytes: scope.Counter("pushed_bytes"), fetchedChunks: scope.Counter("pulled_chunks"),
			storeReads: scope.Counter("store_calls"), regressed: scope.Gauge("store_regressed"),
			readFailures: scope.Counter("corrupt"),
		},
	}
	r.current.Store(NewSnapshot(0, Plans{}, Allowances{}, nil))
	return r
}

// Current returns the configuration in force in this process.
func (r *Replica) Current() *Snapshot {
	return r.current.Load()
}

// InForceSince returns the time at which the current revision came into force in
// this process. It is zero before the first revision.
func (r *Replica) InForceSince() time.Time {
	nanos := r.inForceSince.Load()
	if nanos == 0 {
		return time.Time{}
	}
	return time.Unix(0, nanos)
}

// Degradations returns the conditions that impair the Replica, ordered by name.
func (r *Replica) Degradations() []Degradation {
	return r.health.degradations()
}

// OnRevision registers f, which is called with each later revision in ascending
// order. The calls run while the Replica is locked, so f must not call methods
// that lock it, such as OnRevision and Fetch.
func (r *Replica) OnRevision(f func(*Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// install puts a revision into force and queues it for distribution. It returns
// false if the same or a higher revision is in force. It returns ErrCorrupt if
// the tree cannot be decoded.
func (r *Replica) install(revision Revision, top *hashtree.Tree) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.Current()
	if revision <= previous.revision {
		if revision == previous.revision && top.Hash() != previous.Root() {
			r.health.set(degradedDiverged, true)
		}
		return false, nil
	}
	next, err := snapshotOf(revision, top)
	if err != nil {
		r.metrics.readFailures.Inc(1)
		return false, err
	}
	r.index.update(previous.top, top)
	r.current.Store(next)
	r.inForceSince.Store(time.Now().UnixNano())
	r.metrics.revision.Update(float64(revision))
	r.health.set(degradedDiverged, false)
	r.opts.Timeline.Record(timeline.Event{Kind: timeline.KindRevisionInForce, Detail: revision.String()})
	for _, f := range r.listeners {
		f(next)
	}
	r.enqueue(pushJob{previous, next})
	return true, nil
}

// enqueue queues a revision for distribution. If the queue is full, it drops the
// oldest job, because gossip delivers dropped revisions later.
func (r *Replica) enqueue(job pushJob) {
	for {
		select {
		case r.pushQueue <- job:
			return
		default:
		}
		select {
		case <-r.pushQueue:
		default:
		}
	}
}
