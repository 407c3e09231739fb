package shares

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/pause"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	// settleDelay gathers settlements into one call.
	settleDelay = 5 * time.Millisecond
	// settleRetry is the time between two tries.
	settleRetry = time.Second
	// maxSettleTries is after how many tries a settlement is dropped; its
	// tokens then count as used.
	maxSettleTries = 10
	// maxSettlements bounds what waits; more are dropped.
	maxSettlements = 16384
	// maxSettleBatch bounds one call.
	maxSettleBatch = 256
)

// settlement ends one part of a reservation, or tells that it was admitted.
type settlement struct {
	share    limit.ShareID
	id       limit.ReservationID
	used     limit.Parts
	admitted bool
	to       ident.VM
	tries    int
}

// settler sends settlements in batches, again until they are answered.
// Sending one twice is harmless, dropping one counts its tokens as used.
type settler struct {
	remote  remote
	local   holding
	self    limit.Member
	wake    chan struct{}
	dropped tally.Counter
	calls   tally.Counter

	mu      sync.Mutex
	waiting map[ident.VM][]settlement
	retry   []settlement
	count   int
}

func newSettler(remote remote, local holding, self limit.Member, scope tally.Scope) *settler {
	return &settler{
		remote: remote, local: local, self: self,
		wake:    make(chan struct{}, 1),
		dropped: scope.Counter("dropped_settlements"),
		calls:   scope.Counter("settle_calls"),
		waiting: make(map[ident.VM][]settlement),
	}
}

// add settles at once where this process holds the share, else queues.
func (s *settler) add(one settlement) {
	if one.to == s.self.VM && s.local.settle(one) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.count >= maxSettlements {
		s.dropped.Inc(1)
		return
	}
	s.count++
	s.waiting[one.to] = append(s.waiting[one.to], one)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *settler) serve(ctx context.Context) error {
	ticker := time.NewTicker(settleRetry)
	defer ticker.Stop()
	for {
		select {
		case <-s.wake:
			_ = pause.For(ctx, settleDelay)
		case <-ticker.C:
			s.again()
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), askTimeout)
			defer cancel()
			s.flush(last)
			return ctx.Err()
		}
		s.flush(ctx)
	}
}

// again queues what failed before.
func (s *settler) again() {
	s.mu.Lock()
	failed := s.retry
	s.retry = nil
	s.count -= len(failed)
	s.mu.Unlock()
	gen := s.local.Generation()
	for _, one := range failed {
		one.tries++
		if one.admitted {
			continue // By now the time in which it matters is over.
		}
		if one.tries > maxSettleTries {
			s.dropped.Inc(1)
			continue
		}
		if gen.Number > 0 {
			one.to = gen.Holder(one.share).VM
		}
		s.add(one)
	}
}

// flush sends all that waits, a call for each holder at a time.
func (s *settler) flush(ctx context.Context) {
	s.mu.Lock()
	waiting := s.waiting
	s.waiting = make(map[ident.VM][]settlement)
	s.mu.Unlock()
	var group sync.WaitGroup
	for vm, list := range waiting {
		group.Go(func() { s.sendAll(ctx, vm, list) })
	}
	group.Wait()
}

func (s *settler) sendAll(ctx context.Context, vm ident.VM, list []settlement) {
	for len(list) > 0 {
		batch := list[:min(len(list), maxSettleBatch)]
		list = list[len(batch):]
		failed := s.send(ctx, vm, batch)
		s.mu.Lock()
		s.retry = append(s.retry, failed...)
		s.count -= len(batch) - len(failed)
		s.mu.Unlock()
	}
}

// send returns what was not settled.
func (s *settler) send(ctx context.Context, vm ident.VM, batch []settlement) []settlement {
	s.calls.Inc(1)
	req := &rpc.SettleRequest{}
	for _, one := range batch {
		req.Settlements = append(req.Settlements, &rpc.Settlement{
			Share: shareToRPC(one.share), Id: string(one.id), Used: int64(one.used), Admitted: one.admitted,
		})
	}
	var resp *rpc.SettleResponse
	err := s.remote.call(ctx, vm, askTimeout, func(ctx context.Context, stub rpc.Shares) (err error) {
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
