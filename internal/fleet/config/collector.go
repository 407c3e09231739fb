package config

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config/hashtree"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
)

const (
	collectInterval = 30 * time.Minute
	collectTimeout  = 2 * time.Minute // For one collection.
)

// CollectorOptions configures NewCollector.
type CollectorOptions struct {
	Store   store.Store
	Members members.View
	Log     *logrus.Entry
	Metrics tally.Scope
}

// Collector deletes chunks that are not reachable from the head. Only one entry
// collects: the first live one by name.
//
// A collection has three steps. It lists all chunks. It swaps the head for one
// that differs only in Collection. It deletes each chunk that this head does not
// reach, provided that the chunk still has the listed index.
//
// Its safety does not depend on timing. An edit that read the head before the
// swap fails at its own swap of the head. An edit that read the head after the
// swap writes every chunk that it needs and that the head does not reach, even if
// the chunk exists. If it does so before the deletion, the chunk's index changes
// and the deletion fails. If it does so after the deletion, it creates the chunk
// again.
type Collector struct {
	opts    CollectorOptions
	chunks  chunkStore
	deleted tally.Counter
}

// NewCollector returns a Collector.
func NewCollector(opts CollectorOptions) *Collector {
	return &Collector{
		opts: opts, chunks: chunkStore{opts.Store},
		deleted: opts.Metrics.SubScope("config").Counter("collected_chunks"),
	}
}

// Serve runs a collection every collectInterval until ctx ends. It implements
// suture.Service.
func (c *Collector) Serve(ctx context.Context) error {
	ticker := time.NewTicker(collectInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if !c.isElected() {
			continue
		}
		if _, err := c.Collect(ctx); err != nil && ctx.Err() == nil {
			c.opts.Log.WithError(err).Debug("collection of unused configuration chunks failed")
		}
	}
}

// isElected reports whether this entry is the first live one by name.
func (c *Collector) isElected() bool {
	self := c.opts.Members.Self().VM
	for _, m := range c.opts.Members.Entries() {
		if m.State == members.StateLive {
			return m.VM == self
		}
	}
	return false
}

// Collect deletes the chunks that the head does not reach and returns the number
// of deleted chunks. Errors are ErrUnavailable, ErrConflict if an edit was
// committed meanwhile, and ErrCorrupt if a chunk that the head reaches is
// missing or malformed.
func (c *Collector) Collect(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, collectTimeout)
	defer cancel()
	listed, err := c.opts.Store.List(ctx, chunkPrefix)
	if err != nil {
		return 0, errors.WithType(err, ErrUnavailable)
	}
	h, index, err := readHead(ctx, c.opts.Store)
	if err != nil || index == 0 {
		return 0, err
	}
	h.Collection++
	ok, err := c.opts.Store.CompareAndSwap(ctx, headKey, encodeJSON(h), index)
	if err != nil {
		return 0, errors.WithType(err, ErrUnavailable)
	}
	if !ok {
		return 0, ErrConflict
	}
	used, err := c.reachableKeys(ctx, h, listed)
	if err != nil {
		return 0, err
	}
	return c.remove(ctx, listed, used)
}

// reachableKeys returns the store keys of the chunks that a head reaches. It returns
// ErrConflict if one of them is not in listed, because then an edit was committed
// between the listing and the swap.
func (c *Collector) reachableKeys(ctx context.Context, h head, listed []store.Record) (map[string]bool, error) {
	used := make(map[string]bool)
	assembler := hashtree.NewAssembler(hashtree.Hash(h.Root), nil)
	for _, e := range listed {
		assembler.Add(e.Value)
	}
	top, missing, err := assembler.Build()
	if err != nil {
		return nil, errors.WithType(err, ErrCorrupt)
	}
	if len(missing) > 0 {
		return nil, ErrConflict
	}
	top.EachNewChunk(nil, func(hash hashtree.Hash, _ []byte) bool {
		used[chunkKey(hash)] = true
		return true
	})
	for _, list := range []listHead{h.Plans, h.Allowances} {
		names, err := c.chunks.textNames(ctx, hashtree.Hash(list.Text))
		if err != nil {
			return nil, err
		}
		for name := range names {
			used[chunkKey(name)] = true
		}
	}
	return used, nil
}

// remove deletes the listed chunks whose keys are not in used and that still
// have the listed index. It returns the number of deleted chunks.
func (c *Collector) remove(ctx context.Context, listed []store.Record, used map[string]bool) (int, error) {
	n := 0
	for _, e := range listed {
		if used[e.Key] {
			continue
		}
		ok, err := c.opts.Store.Delete(ctx, e.Key, e.Index)
		if err != nil {
			return n, errors.WithType(err, ErrUnavailable)
		}
		if ok {
			n++
			c.deleted.Inc(1)
		}
	}
	return n, nil
}
