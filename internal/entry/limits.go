package entry

import (
	"context"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/operatorapi"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// addShares adds the services that enforce limits over all VMs: the holder of
// this entry's shares, and the reserver, which reserves tokens from all
// holders.
func (e *Entry) addShares(client *transport.Client) {
	self := e.fleet.members.Self()
	member := limit.Member{VM: self.VM, Incarnation: limit.Incarnation(self.Incarnation)}
	e.holder = shares.NewShareHolder(shares.ShareHolderOptions{
		Self: member, Members: e.fleet.members, Store: e.opts.Store, Client: client,
		Log: e.opts.Log, Timeline: e.ring, Metrics: e.metrics.Scope,
		OnReady: e.ready.setLimitsReady, ReadVMList: shares.VMListingFrom(e.directory),
	})
	e.reserver = shares.NewReserver(shares.ReserverOptions{
		Self: member, ShareHolder: e.holder, Client: client,
		Peers: shares.PeersFromView(e.fleet.members), Metrics: e.metrics.Scope,
	})
	e.tree.Add(e.holder)
	e.tree.Add(e.reserver)
}

// shareStates returns the shares of all entries that respond.
func (e *Entry) shareStates(ctx context.Context) []operatorapi.ShareState {
	holdings := e.holder.Holdings(ctx)
	out := make([]operatorapi.ShareState, 0, len(holdings))
	for _, h := range holdings {
		out = append(out, operatorapi.ShareState{
			Account: string(h.Account), Share: h.Index, VM: h.VM,
			Balance: int64(h.Balance), Outstanding: int64(h.Outstanding), Burst: int64(h.Burst),
		})
	}
	return out
}

// limitDegradations returns the degradation of the counting of limits, for
// example while a share has no holder.
func (e *Entry) limitDegradations() []config.Degradation {
	status := e.holder.Status()
	if status.DegradedSince.IsZero() {
		return nil
	}
	return []config.Degradation{{Condition: "limits: " + status.Reason(), Since: status.DegradedSince}}
}
