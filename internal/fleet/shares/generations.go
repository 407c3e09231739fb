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
func (k *ShareHolder) watchLoop(ctx context.Context) error {
	var index store.Index
	for ctx.Err() == nil {
		entry, err := k.opts.Store.Watch(ctx, recordKey, index, maxWatchWait)
		if err != nil {
			k.setStoreLost(true)
			_ = sleep.For(ctx, watchRetryDelay)
			continue
		}
		k.setStoreLost(false)
		index = entry.Index
		if index == 0 {
			_ = sleep.For(ctx, watchRetryDelay)
			continue
		}
		if rec, err := decodeRecord(entry); err == nil {
			k.InstallGeneration(rec.Generation)
		}
	}
	return ctx.Err()
}

// confirmGeneration reads the generation from the store if the holder must
// confirm it, and lets the holder grant tokens again if it is still current.
func (k *ShareHolder) confirmGeneration(ctx context.Context) {
	started := time.Now()
	k.mu.Lock()
	needed := k.holder.NeedsConfirmation(started) && k.holder.Generation().Number > 0 && k.listed()
	k.mu.Unlock()
	if !needed {
		return
	}
	gen, _, err := k.records.read(ctx)
	if err != nil || gen.Number == 0 {
		return
	}
	k.InstallGeneration(gen)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.listed() {
		k.holder.ConfirmGeneration(started, gen.Number)
	}
}

// updateMembership creates the first generation, requests to join, or writes
// the next generation if a change is pending. A process that is not listed or
// is leaving does not join.
func (k *ShareHolder) updateMembership(ctx context.Context) {
	gen := k.Generation()
	k.mu.Lock()
	joining := !k.leaving && k.listed() && !gen.HasMember(k.opts.Self)
	k.mu.Unlock()
	switch {
	case gen.Number == 0 && joining:
		k.createFirstGeneration(ctx)
	case gen.Number == 0:
	case joining:
		k.requestChange(ctx, gen, limit.Change{Joined: []limit.Member{k.opts.Self}})
	default:
		k.writeNextGeneration(ctx, gen)
	}
}

// createFirstGeneration writes the first generation if none is stored, and
// otherwise installs the stored one.
func (k *ShareHolder) createFirstGeneration(ctx context.Context) {
	gen, index, err := k.records.read(ctx)
	if err != nil {
		return
	}
	if gen.Number > 0 {
		k.InstallGeneration(gen)
		return
	}
	first := limit.FirstGeneration(k.opts.Self)
	ok, err := k.records.write(ctx, first, index)
	if err != nil || !ok {
		return
	}
	k.InstallGeneration(first)
}

// requestChange requests a change from the first member that responds. If none
// responds, this process writes the generation itself.
func (k *ShareHolder) requestChange(ctx context.Context, gen limit.Generation, change limit.Change) {
	req := &rpc.ChangeRequest{}
	if len(change.Joined) > 0 {
		req.Join = memberToRPC(change.Joined[0])
	}
	if len(change.Left) > 0 {
		req.Leave = memberToRPC(change.Left[0])
	}
	for _, m := range gen.Members {
		if m.VM == k.opts.Self.VM {
			continue
		}
		err := k.remote.call(ctx, m.VM, callTimeout, func(ctx context.Context, stub rpc.Shares) error {
			_, err := stub.Change(ctx, req)
			return err
		})
		if err == nil {
			return
		}
	}
	k.addPendingChange(change)
	k.writeNextGeneration(ctx, gen)
}

// addPendingChange adds a change for the next generation. It does not wake the
// rounds: a change that is impossible now is retried only once per round.
func (k *ShareHolder) addPendingChange(change limit.Change) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, m := range change.Joined {
		if !containsMember(k.pendingChange.Joined, m) {
			k.pendingChange.Joined = append(k.pendingChange.Joined, m)
		}
	}
	for _, m := range change.Left {
		if !containsMember(k.pendingChange.Left, m) {
			k.pendingChange.Left = append(k.pendingChange.Left, m)
		}
	}
}

// writeNextGeneration writes the next generation to the store if a change is
// pending and the reports of the members allow it.
func (k *ShareHolder) writeNextGeneration(ctx context.Context, gen limit.Generation) {
	change := k.pruneChange(gen)
	if len(change.Joined)+len(change.Left)+len(change.Removed) == 0 {
		return
	}
	reports := k.collectReports(ctx, gen, change)
	next, ok := gen.NextAfter(change, reports)
	if !ok {
		return
	}
	stored, index, err := k.records.read(ctx)
	if err != nil || stored.Number > gen.Number {
		return
	}
	if stored.Number < gen.Number && index != 0 {
		// The store was restored from older data. Restore the generation in
		// force before the next one is written.
		_, _ = k.records.write(ctx, gen, index)
		return
	}
	if ok, err := k.records.write(ctx, next, index); err == nil && ok {
		k.InstallGeneration(next)
	}
}

// pruneChange drops the pending changes that gen already contains or rules out.
// It returns the remaining ones and the members to remove.
func (k *ShareHolder) pruneChange(gen limit.Generation) limit.Change {
	k.mu.Lock()
	defer k.mu.Unlock()
	var pending limit.Change
	for _, m := range k.pendingChange.Joined {
		if !gen.HasMember(m) && !gen.HasReplaced(m) && !containsMember(pending.Joined, m) {
			pending.Joined = append(pending.Joined, m)
		}
	}
	for _, m := range k.pendingChange.Left {
		if gen.HasMember(m) && !containsMember(pending.Left, m) {
			pending.Left = append(pending.Left, m)
		}
	}
	k.pendingChange = pending
	pending.Removed = k.removableMembers(gen)
	return pending
}

// removableMembers returns the expired members of gen if this process may
// remove them now. The first remaining member may remove them at once, and each
// further one removalStagger later. k.mu must be held.
func (k *ShareHolder) removableMembers(gen limit.Generation) []limit.Member {
	var expired []limit.Member
	rank := time.Duration(0)
	for _, m := range gen.Members {
		if k.expired(m) {
			expired = append(expired, m)
		}
	}
	for _, m := range gen.Members {
		if m == k.opts.Self {
			break
		}
		if !containsMember(expired, m) {
			rank++
		}
	}
	for _, m := range expired {
		if k.offListDuration(m) < memberExpiry+rank*removalStagger {
			return nil
		}
	}
	return expired
}

// collectReports collects the reports of all members that have not expired.
// Members that do not respond are left out.
func (k *ShareHolder) collectReports(ctx context.Context, gen limit.Generation, change limit.Change) []limit.Report {
	var mu sync.Mutex
	reports := []limit.Report{k.ownReport()}
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, m := range gen.Members {
		if m == k.opts.Self || containsMember(change.Removed, m) {
			continue
		}
		group.Go(func() error {
			resp, err := k.remote.inspect(ctx, m.VM, gen.Number)
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
func (k *ShareHolder) ownReport() limit.Report {
	k.mu.Lock()
	defer k.mu.Unlock()
	return limit.Report{
		Member: k.opts.Self, Generation: k.holder.Generation().Number, HandoversDone: k.holder.HandoversDone(),
	}
}

// Leave hands over the shares of this process. It returns when all handovers
// are acknowledged, when no other member can take the shares, or after
// leaveTimeout.
func (k *ShareHolder) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	k.mu.Lock()
	k.leaving = true
	k.mu.Unlock()
	for ctx.Err() == nil {
		gen := k.Generation()
		if !gen.HasMember(k.opts.Self) {
			k.sendHandovers(ctx)
			if k.ownReport().HandoversDone {
				return
			}
		} else if !k.proposeLeave(ctx, gen) {
			return
		}
		_ = sleep.For(ctx, leavePollInterval)
	}
}

// proposeLeave writes a generation without this process. It returns false if no
// other member can take over the shares.
func (k *ShareHolder) proposeLeave(ctx context.Context, gen limit.Generation) bool {
	change := limit.Change{Left: []limit.Member{k.opts.Self}}
	for _, m := range gen.Members {
		if m == k.opts.Self || !k.canTakeOver(ctx, m.VM) {
			continue
		}
		k.addPendingChange(change)
		k.writeNextGeneration(ctx, gen)
		return true
	}
	return false
}

// canTakeOver reports whether the entry on vm responds and is not leaving.
func (k *ShareHolder) canTakeOver(ctx context.Context, vm ident.VM) bool {
	resp, err := k.remote.inspect(ctx, vm, k.Generation().Number)
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
