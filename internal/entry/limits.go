package entry

import (
	"context"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/operators"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// addShares adds what counts tokens over all VMs.
func (e *Entry) addShares(client *transport.Client) {
	self := e.fleet.members.Self()
	holder := limit.Member{VM: self.VM, Incarnation: limit.Incarnation(self.Incarnation)}
	e.shares = shares.NewKeeper(shares.KeeperOptions{
		Self: holder, Members: e.fleet.members, Store: e.opts.Store, Client: client,
		Log: e.opts.Log, Timeline: e.ring, Metrics: e.metrics.Scope,
		OnReady: e.ready.setCounting, Listing: shares.ListingOf(e.directory),
	})
	e.asker = shares.NewAsker(shares.AskerOptions{
		Self: holder, Keeper: e.shares, Client: client, Peers: shares.FromView(e.fleet.members), Metrics: e.metrics.Scope,
	})
	e.tree.Add(e.shares)
	e.tree.Add(e.asker)
}

// holders returns the shares of all entries that answer.
func (e *Entry) holders(ctx context.Context) []operators.Holder {
	held := e.shares.Holdings(ctx)
	out := make([]operators.Holder, 0, len(held))
	for _, h := range held {
		out = append(out, operators.Holder{
			Account: string(h.Account), Share: h.Index, VM: h.VM,
			Balance: int64(h.Balance), Outstanding: int64(h.Outstanding), Burst: int64(h.Burst),
		})
	}
	return out
}

// limitsDegraded tells since when limits are counted with less than all shares.
func (e *Entry) limitsDegraded() []config.Degradation {
	status := e.shares.Status()
	if status.Degraded.IsZero() {
		return nil
	}
	return []config.Degradation{{What: "limits: " + status.Reason(), Since: status.Degraded}}
}
