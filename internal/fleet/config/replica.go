package config

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/platform/store"
)

const (
	watchWait  = time.Minute
	retryDelay = 250 * time.Millisecond
)

// ReplicaOptions configures NewReplica.
type ReplicaOptions struct {
	Store    store.Store
	Log      *logrus.Entry
	Timeline *timeline.Ring
}

// Replica keeps the configuration of the highest revision seen.
type Replica struct {
	opts    ReplicaOptions
	current atomic.Pointer[Snapshot]
	lost    bool

	mu        sync.Mutex
	listeners []func(*Snapshot)
}

// NewReplica returns a Replica with an empty configuration.
func NewReplica(opts ReplicaOptions) *Replica {
	r := &Replica{opts: opts}
	r.current.Store(NewSnapshot(0, Plans{}, Allowances{}, nil))
	return r
}

// Current returns the configuration in force in this process.
func (r *Replica) Current() *Snapshot {
	return r.current.Load()
}

// OnChange calls f with each later revision, in order.
func (r *Replica) OnChange(f func(*Snapshot)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.listeners = append(r.listeners, f)
}

// Serve watches the store until ctx ends. It implements suture.Service.
func (r *Replica) Serve(ctx context.Context) error {
	var index store.Index
	for ctx.Err() == nil {
		entry, err := r.opts.Store.Watch(ctx, headKey, index, watchWait)
		if err != nil {
			r.setLost(true)
			pause(ctx, retryDelay)
			continue
		}
		r.setLost(false)
		index = entry.Index
		r.take(entry)
	}
	return ctx.Err()
}

func (r *Replica) take(entry store.Entry) {
	if entry.Index == 0 {
		return
	}
	d, err := decodeDocument(entry.Value)
	if err != nil {
		r.opts.Log.WithError(err).Error("stored configuration cannot be read")
		return
	}
	snapshot, err := d.snapshot()
	if err != nil {
		r.opts.Log.WithError(err).Error("stored configuration cannot be read")
		return
	}
	r.install(snapshot)
}

// install puts a snapshot in force unless a higher revision already is.
func (r *Replica) install(s *Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision() <= r.Current().Revision() {
		return
	}
	r.current.Store(s)
	r.opts.Timeline.Record(timeline.Event{Kind: timeline.KindRevisionInForce})
	for _, f := range r.listeners {
		f(s)
	}
}

func (r *Replica) setLost(lost bool) {
	if lost == r.lost {
		return
	}
	r.lost = lost
	if lost {
		r.opts.Timeline.Record(timeline.Event{Kind: timeline.KindStoreLost})
		r.opts.Log.Warn("configuration store lost")
		return
	}
	r.opts.Timeline.Record(timeline.Event{Kind: timeline.KindStoreBack})
	r.opts.Log.Info("configuration store back")
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
