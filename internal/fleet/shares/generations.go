package shares

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// maxWatchWait bounds one blocking watch of the stored generation.
	maxWatchWait = 55 * time.Second
	// watchRetryDelay is the delay after a watch that failed or found no
	// generation.
	watchRetryDelay = time.Second
	// maxParallelCalls bounds the concurrent calls to other members.
	maxParallelCalls = 16
	// removalStagger is the additional delay per rank after which a member
	// writes the generation without an expired member.
	removalStagger = 2 * time.Second
	// leaveTimeout bounds Leave.
	leaveTimeout = 3 * time.Second
	// leavePollInterval is the time between two checks in Leave.
	leavePollInterval = 20 * time.Millisecond
)

// watchLoop installs each generation that appears in the store.
func (h *ShareHolder) watchLoop(ctx context.Context) error {
	var index store.Index
	for ctx.Err() == nil {
		entry, err := h.opts.Store.Watch(ctx, recordKey, index, maxWatchWait)
		if err != nil {
			h.setStoreLost(true)
			_ = sleep.For(ctx, watchRetryDelay)
			continue
		}
		h.setStoreLost(false)
		index = entry.Index
		if index == 0 {
			_ = sleep.For(ctx, watchRetryDelay)
			continue
		}
		if rec, err := decodeRecord(entry); err == nil {
			h.InstallGeneration(rec.Generation)
		}
	}
	return ctx.Err()
}

// confirmGeneration reads the generation from the store if the holder must
// confirm it, and lets the holder grant tokens again if it is still current.
func (h *ShareHolder) confirmGeneration(ctx context.Context) {
	started := time.Now()
	h.mu.Lock()
	needed := h.holder.NeedsConfirmation(started) && h.holder.Generation().Number > 0 && h.isListed()
	h.mu.Unlock()
	if !needed {
		return
	}
	gen, _, err := h.records.read(ctx)
	if err != nil || gen.Number == 0 {
		return
	}
	h.InstallGeneration(gen)
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isListed() {
		h.holder.ConfirmGeneration(started, gen.Number)
	}
}

// updateMembership creates the first generation, requests to join, or writes
// the next generation if a change is pending. A process that is not listed or
// is leaving does not join.
func (h *ShareHolder) updateMembership(ctx context.Context) {
	gen := h.Generation()
	h.mu.Lock()
	joining := !h.leaving && h.isListed() && !gen.HasMember(h.opts.Self)
	h.mu.Unlock()
	switch {
	case gen.Number == 0 && joining:
		h.createFirstGeneration(ctx)
	case gen.Number == 0:
	case joining:
		h.requestChange(ctx, gen, limit.Change{Joined: []limit.Member{h.opts.Self}})
	default:
		h.writeNextGeneration(ctx, gen)
	}
}

// createFirstGeneration writes the first generation if none is stored, and
// otherwise installs the stored one.
func (h *ShareHolder) createFirstGeneration(ctx context.Context) {
	gen, index, err := h.records.read(ctx)
	if err != nil {
		return
	}
	if gen.Number > 0 {
		h.InstallGeneration(gen)
		return
	}
	first := limit.FirstGeneration(h.opts.Self)
	ok, err := h.records.write(ctx, first, index)
	if err != nil || !ok {
		return
	}
	h.InstallGeneration(first)
}

// requestChange requests a change from the first member that responds. If none
// responds, this process writes the generation itself.
func (h *ShareHolder) requestChange(ctx context.Context, gen limit.Generation, change limit.Change) {
	req := &rpc.ChangeRequest{}
	if len(change.Joined) > 0 {
		req.Join = memberToRPC(change.Joined[0])
	}
	if len(change.Left) > 0 {
		req.Leave = memberToRPC(change.Left[0])
	}
	for _, m := range gen.Members {
		if m.VM == h.opts.Self.VM {
			continue
		}
		err := h.remote.call(ctx, m.VM, callTimeout, func(ctx context.Context, stub rpc.Shares) error {
			_, err := stub.Change(ctx, req)
			return err
		})
		if err == nil {
			return
		}
	}
	h.addPendingChange(change)
	h.writeNextGeneration(ctx, gen)
}

// addPendingChange adds a change for the next generation. It does not wake the
// rounds: a change that is impossible now is retried only once per round.
func (h *ShareHolder) addPendingChange(change limit.Change) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range change.Joined {
		if !containsMember(h.pendingChange.Joined, m) {
			h.pendingChange.Joined = append(h.pendingChange.Joined, m)
		}
	}
	for _, m := range change.Left {
		if !containsMember(h.pendingChange.Left, m) {
			h.pendingChange.Left = append(h.pendingChange.Left, m)
		}
	}
}

// writeNextGeneration writes the next generation to the store if a change is
// pending and the reports of the members allow it.
func (h *ShareHolder) writeNextGeneration(ctx context.Context, gen limit.Generation) {
	change := h.pruneChange(gen)
	if len(change.Joined)+len(change.Left)+len(change.Removed) == 0 {
		return
	}
	reports := h.collectReports(ctx, gen, change)
	next, ok := gen.NextAfter(change, reports)
	if !ok {
		return
	}
	stored, index, err := h.records.read(ctx)
	if err != nil || stored.Number > gen.Number {
		return
	}
	if stored.Number < gen.Number && index != 0 {
		// The store was restored from older data. Restore the generation in
		// force before the next one is written.
		_, _ = h.records.write(ctx, gen, index)
		return
	}
	if ok, err := h.records.write(ctx, next, index); err == nil && ok {
		h.InstallGeneration(next)
	}
}

// pruneChange drops the pending changes that gen already contains or rules out.
// It returns the remaining ones and the members to remove.
func (h *ShareHolder) pruneChange(gen limit.Generation) limit.Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pending limit.Change
	for _, m := range h.pendingChange.Joined {
		if !gen.HasMember(m) && !gen.HasReplaced(m) && !containsMember(pending.Joined, m) {
			pending.Joined = append(pending.Joined, m)
		}
	}
	for _, m := range h.pendingChange.Left {
		if gen.HasMember(m) && !containsMember(pending.Left, m) {
			pending.Left = append(pending.Left, m)
		}
	}
	h.pendingChange = pending
	pending.Removed = h.removableMembers(gen)
	return pending
}

// removableMembers returns the expired members of gen if this process may
// remove them now. The first remaining member may remove them at once, and each
// further one removalStagger later. h.mu must be held.
func (h *ShareHolder) removableMembers(gen limit.Generation) []limit.Member {
	var expired []limit.Member
	rank := time.Duration(0)
	for _, m := range gen.Members {
		if h.isExpired(m) {
			expired = append(expired, m)
		}
	}
	for _, m := range gen.Members {
		if m == h.opts.Self {
			break
		}
		if !containsMember(expired, m) {
			rank++
		}
	}
	for _, m := range expired {
		if h.offListDuration(m) < memberExpiry+rank*removalStagger {
			return nil
		}
	}
	return expired
}

// collectReports collects the reports of all members that have not expired.
// Members that do not respond are left out.
func (h *ShareHolder) collectReports(ctx context.Context, gen limit.Generation, change limit.Change) []limit.Report {
	var mu sync.Mutex
	reports := []limit.Report{h.ownReport()}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, m := range gen.Members {
		if m == h.opts.Self || containsMember(change.Removed, m) {
			continue
		}
		group.Go(func() error {
			resp, err := h.remote.inspect(ctx, m.VM, gen.Number)
			if err != nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, limit.Report{
				Member: memberFromRPC(resp.GetMember()), Generation: resp.GetGeneration(), HandoversDone: resp.GetSettled(),
			})
			return nil
		})
	}
	_ = group.Wait()
	return reports
}

// ownReport returns the report of this process.
func (h *ShareHolder) ownReport() limit.Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return limit.Report{
		Member: h.opts.Self, Generation: h.holder.Generation().Number, HandoversDone: h.holder.HandoversDone(),
	}
}

// Leave hands over the shares of this process. It returns when all handovers
// are acknowledged, when no other member can take the shares, or after
// leaveTimeout.
func (h *ShareHolder) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	h.mu.Lock()
	h.leaving = true
	h.mu.Unlock()
	for ctx.Err() == nil {
		gen := h.Generation()
		if !gen.HasMember(h.opts.Self) {
			h.sendHandovers(ctx)
			if h.ownReport().HandoversDone {
				return
			}
		} else if !h.proposeLeave(ctx, gen) {
			return
		}
		_ = sleep.For(ctx, leavePollInterval)
	}
}

// proposeLeave writes a generation without this process. It returns false if no
// other member can take over the shares.
func (h *ShareHolder) proposeLeave(ctx context.Context, gen limit.Generation) bool {
	change := limit.Change{Left: []limit.Member{h.opts.Self}}
	for _, m := range gen.Members {
		if m == h.opts.Self || !h.canTakeOver(ctx, m.VM) {
			continue
		}
		h.addPendingChange(change)
		h.writeNextGeneration(ctx, gen)
		return true
	}
	return false
}

// canTakeOver reports whether the entry on vm responds and is not leaving.
func (h *ShareHolder) canTakeOver(ctx context.Context, vm ident.VM) bool {
	resp, err := h.remote.inspect(ctx, vm, h.Generation().Number)
	return err == nil && !resp.GetLeaving()
}

func containsMember(list []limit.Member, m limit.Member) bool {
	for _, other := range list {
		if other == m {
			return true
		}
	}
	return false
}
