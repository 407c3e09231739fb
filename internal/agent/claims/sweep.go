package claims

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/claim"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	sweepInterval      = 20 * time.Second
	maxDeletesPerSweep = 20 // Together with sweepInterval, at most one delete a second.
)

// String returns the service name used in the supervisor's events.
func (c *Claims) String() string {
	return "claims"
}

// Serve deletes expired claims until ctx ends, one shard every sweepInterval. It
// starts at a random shard to spread the processes over the shards. It
// implements suture.Service.
func (c *Claims) Serve(ctx context.Context) error {
	shard := rand.IntN(claim.Shards)
	for {
		_ = sleep.For(ctx, sweepInterval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.sweep(ctx, shard)
		shard = (shard + 1) % claim.Shards
	}
}

// sweep deletes up to maxDeletesPerSweep expired claims of one shard.
func (c *Claims) sweep(ctx context.Context, shard int) {
	ctx, cancel := context.WithTimeout(ctx, sweepInterval)
	defer cancel()
	entries, err := c.opts.Store.List(ctx, claim.ShardPrefix(shard))
	if err != nil {
		return
	}
	deleted := 0
	for _, e := range entries {
		if deleted == maxDeletesPerSweep {
			return
		}
		if !isExpired(e, time.Now()) {
			continue
		}
		deleted++
		if ok, _ := c.opts.Store.Delete(ctx, e.Key, e.Index); ok {
			c.swept.Inc(1)
		}
	}
}

// isExpired reports whether the claim stored in e may be deleted. A record that
// cannot be decoded is kept.
func isExpired(e store.Record, now time.Time) bool {
	var record claim.Record
	if err := json.Unmarshal(e.Value, &record); err != nil {
		return false
	}
	return claim.Expired(record, now)
}
