package shares

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// settleBatchDelay is the delay in which settlements are collected into one
	// call.
	settleBatchDelay = 5 * time.Millisecond
	// settleRetryInterval is the time between two attempts to send a settlement.
	settleRetryInterval = time.Second
	// maxSettleRetries is the number of retries after which a settlement is
	// dropped. Its tokens then count as used.
	maxSettleRetries = 10
	// maxQueuedSettlements bounds the queue; further settlements are dropped.
	maxQueuedSettlements = 16384
	// maxSettleBatch bounds the settlements of one call.
	maxSettleBatch = 256
)

// settlement ends one part of a reservation or, if admitted is set, reports
// that the reservation was admitted.
type settlement struct {
	share    limit.ShareID
	id       limit.ReservationID
	used     limit.Parts
	admitted bool
	holder   ident.VM // VM to which the settlement is sent.
	retries  int
}

// settlementQueue sends settlements in batches and retries those without a
// response. A duplicate is harmless; a dropped settlement counts its tokens as
// used.
type settlementQueue struct {
	remote  remote
	local   localHolder
	self    limit.Member
	wake    chan struct{}
	dropped tally.Counter
	calls   tally.Counter

	mu     sync.Mutex
	queued map[ident.VM][]settlement
	failed []settlement // Requeued after settleRetryInterval.
	count  int          // Size of queued and failed.
}

func newSettlementQueue(remote remote, local localHolder, self limit.Member, scope tally.Scope) *settlementQueue {
	return &settlementQueue{
		remote: remote, local: local, self: self,
		wake:    make(chan struct{}, 1),
		dropped: scope.Counter("dropped_settlements"),
		calls:   scope.Counter("settle_calls"),
		queued:  make(map[ident.VM][]settlement),
	}
}

// add settles at once if this process holds the share, and otherwise queues the
// settlement.
func (s *settlementQueue) add(item settlement) {
	if item.holder == s.self.VM && s.local.settle(item) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= maxQueuedSettlements {
		s.dropped.Inc(1)
		return
	}
	s.count++
	s.queued[item.holder] = append(s.queued[item.holder], item)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// serve sends queued settlements until ctx ends, and then flushes the queue
// once.
func (s *settlementQueue) serve(ctx context.Context) error {
	ticker := time.NewTicker(settleRetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
			_ = sleep.For(ctx, settleBatchDelay)
		case <-ticker.C:
			s.requeueFailed()
		case <-ctx.Done():
			finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callTimeout)
			defer cancel()
			s.flush(finalCtx)
			return ctx.Err()
		}
		s.flush(ctx)
	}
}

// requeueFailed queues the failed settlements again, addressed to the current
// holders of their shares. It drops those that are out of retries.
func (s *settlementQueue) requeueFailed() {
	s.mu.Lock()
	failed := s.failed
	s.failed = nil
	s.count -= len(failed)
	s.mu.Unlock()
	gen := s.local.Generation()
	for _, item := range failed {
		item.retries++
		if item.admitted {
			continue // The notification is too late to have an effect.
		}
		if item.retries > maxSettleRetries {
			s.dropped.Inc(1)
			continue
		}
		if gen.Number > 0 {
			item.holder = gen.Holder(item.share).VM
		}
		s.add(item)
	}
}

// flush sends all queued settlements, with one concurrent sender per holder.
func (s *settlementQueue) flush(ctx context.Context) {
	s.mu.Lock()
	queued := s.queued
	s.queued = make(map[ident.VM][]settlement)
	s.mu.Unlock()
	var group sync.WaitGroup
	for vm, settlements := range queued {
		group.Go(func() { s.sendAll(ctx, vm, settlements) })
	}
	group.Wait()
}

// sendAll sends settlements to one holder in batches.
func (s *settlementQueue) sendAll(ctx context.Context, vm ident.VM, settlements []settlement) {
	for len(settlements) > 0 {
		batch := settlements[:min(len(settlements), maxSettleBatch)]
		settlements = settlements[len(batch):]
		failed := s.send(ctx, vm, batch)
		s.mu.Lock()
		s.failed = append(s.failed, failed...)
		s.count -= len(batch) - len(failed)
		s.mu.Unlock()
	}
}

// send sends one batch and returns the settlements that failed or whose share
// is held elsewhere.
func (s *settlementQueue) send(ctx context.Context, vm ident.VM, batch []settlement) []settlement {
	s.calls.Inc(1)
	req := &rpc.SettleRequest{}
	for _, item := range batch {
		req.Settlements = append(req.Settlements, &rpc.Settlement{
			Share: shareToRPC(item.share), Id: string(item.id), Used: int64(item.used), Admitted: item.admitted,
		})
	}
	var resp *rpc.SettleResponse
	err := s.remote.call(ctx, vm, callTimeout, func(ctx context.Context, stub rpc.Shares) (err error) {
		resp, err = stub.Settle(ctx, req)
		return err
	})
	if err != nil {
		return batch
	}
	var failed []settlement
	for _, i := range resp.GetElsewhere() {
		if int(i) < len(batch) {
			failed = append(failed, batch[i])
		}
	}
	return failed
}
