package entry

import (
	"strconv"

	"github.com/hyssoptiller/hyssoptiller/internal/entry/operators"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/shares"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
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

// holders returns the shares that this entry holds.
func (e *Entry) holders() []operators.Holder {
	status := e.shares.Status()
	out := make([]operators.Holder, 0, len(status.Shares))
	for _, s := range status.Shares {
		out = append(out, operators.Holder{
			Organisation: ident.Organisation(s.Account), Share: strconv.Itoa(s.Index), VM: e.opts.Settings.VM,
			Balance: int64(s.Balance), Burst: int64(s.Burst),
		})
	}
	return out
}
