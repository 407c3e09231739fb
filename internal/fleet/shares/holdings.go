package shares

import (
	"cmp"
	"context"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// Holding is one share and the VM that holds it.
type Holding struct {
	ShareStatus
	VM ident.VM
}

// Holdings returns the shares of all members of the generation that respond,
// ordered by account, index and VM. It calls each other member once.
func (h *ShareHolder) Holdings(ctx context.Context) []Holding {
	var mu sync.Mutex
	out := h.ownHoldings()
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, m := range h.Generation().Members {
		if m.VM == h.opts.Self.VM {
			continue
		}
		group.Go(func() error {
			held := h.remote.holdings(ctx, m.VM)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, held...)
			return nil
		})
	}
	_ = group.Wait() // A member that does not respond is left out.
	slices.SortFunc(out, func(a, b Holding) int {
		return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Index, b.Index), cmp.Compare(a.VM, b.VM))
	})
	return out
}

// ownHoldings returns the shares that this process holds.
func (h *ShareHolder) ownHoldings() []Holding {
	var out []Holding
	for _, s := range h.Status().Shares {
		out = append(out, Holding{ShareStatus: s, VM: h.opts.Self.VM})
	}
	return out
}

// holdings returns the shares that the entry on vm holds; none if it does not
// respond.
func (r remote) holdings(ctx context.Context, vm ident.VM) []Holding {
	var out []Holding
	_ = r.call(ctx, vm, controlTimeout, func(ctx context.Context, stub rpc.Shares) error {
		resp, err := stub.Holdings(ctx, &rpc.HoldingsRequest{})
		for _, h := range resp.GetHoldings() {
			out = append(out, Holding{VM: vm, ShareStatus: ShareStatus{
				Account: limit.Account(h.GetShare().GetAccount()), Index: int(h.GetShare().GetIndex()),
				Balance: h.GetBalance(), Outstanding: h.GetOutstanding(), Burst: h.GetBurst(),
			}})
		}
		return err
	})
	return out
}

// Holdings implements rpc.Shares.
func (s server) Holdings(context.Context, *rpc.HoldingsRequest) (*rpc.HoldingsResponse, error) {
	resp := &rpc.HoldingsResponse{}
	for _, h := range s.shareHolder.ownHoldings() {
		resp.Holdings = append(resp.Holdings, &rpc.Holding{
			Share:   &rpc.ShareName{Account: string(h.Account), Index: int32(h.Index)},
			Balance: h.Balance, Outstanding: h.Outstanding, Burst: h.Burst,
		})
	}
	return resp, nil
}
