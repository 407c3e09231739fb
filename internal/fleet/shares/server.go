package shares

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// PathPrefix is the path under which Handler must be mounted.
const PathPrefix = rpc.SharesPathPrefix

// Handler returns the HTTP handler of the service rpc.Shares.
func (h *ShareHolder) Handler() http.Handler {
	return rpc.NewSharesServer(server{h})
}

// server implements rpc.Shares.
type server struct {
	shareHolder *ShareHolder
}

// Reserve implements rpc.Shares.
func (s server) Reserve(_ context.Context, req *rpc.ReserveRequest) (*rpc.ReserveResponse, error) {
	resp := responseToRPC(s.shareHolder.reserve(requestFromRPC(req)))
	resp.Newer = s.newer(req.GetGeneration())
	return resp, nil
}

// Settle implements rpc.Shares.
func (s server) Settle(_ context.Context, req *rpc.SettleRequest) (*rpc.SettleResponse, error) {
	resp := &rpc.SettleResponse{}
	for i, item := range req.GetSettlements() {
		held := s.shareHolder.settle(settlement{
			share: shareFromRPC(item.GetShare()), id: limit.ReservationID(item.GetId()), used: limit.Parts(item.GetUsed()),
			admitted: item.GetAdmitted(),
		})
		if !held {
			resp.Elsewhere = append(resp.Elsewhere, int32(i))
		}
	}
	return resp, nil
}

// Transfer implements rpc.Shares.
func (s server) Transfer(_ context.Context, req *rpc.TransferRequest) (*rpc.TransferResponse, error) {
	h := s.shareHolder
	h.mu.Lock()
	defer h.mu.Unlock()
	receipt := h.holder.Receive(time.Now(), handoverFromRPC(req))
	return &rpc.TransferResponse{Receipt: rpc.TransferReceipt(receipt)}, nil
}

// Inspect implements rpc.Shares.
func (s server) Inspect(_ context.Context, req *rpc.InspectRequest) (*rpc.InspectResponse, error) {
	report := s.shareHolder.ownReport()
	s.shareHolder.mu.Lock()
	leaving := s.shareHolder.leaving
	s.shareHolder.mu.Unlock()
	return &rpc.InspectResponse{
		Member: memberToRPC(report.Member), Generation: report.Generation, Settled: report.HandoversDone,
		Leaving: leaving, Newer: s.newer(req.GetGeneration()),
	}, nil
}

// Change implements rpc.Shares.
func (s server) Change(_ context.Context, req *rpc.ChangeRequest) (*rpc.ChangeResponse, error) {
	var change limit.Change
	if req.GetJoin() != nil {
		change.Joined = append(change.Joined, memberFromRPC(req.GetJoin()))
	}
	if req.GetLeave() != nil {
		change.Left = append(change.Left, memberFromRPC(req.GetLeave()))
	}
	s.shareHolder.addPendingChange(change)
	s.shareHolder.wake()
	return &rpc.ChangeResponse{}, nil
}

// newer returns the installed generation if its number is higher than number,
// and nil otherwise.
func (s server) newer(number uint64) *rpc.ShareGeneration {
	gen := s.shareHolder.Generation()
	if gen.Number <= number {
		return nil
	}
	return generationToRPC(gen)
}

// transfer sends a handover to its receiver.
func (r remote) transfer(ctx context.Context, h *limit.Handover) (limit.Receipt, error) {
	var resp *rpc.TransferResponse
	err := r.call(ctx, h.ID.To.VM, controlTimeout, func(ctx context.Context, stub rpc.Shares) (err error) {
		resp, err = stub.Transfer(ctx, handoverToRPC(h))
		return err
	})
	return limit.Receipt(resp.GetReceipt()), err
}

// inspect queries the entry on vm for its generation. number is the generation
// that this process has installed; the response carries a newer one.
func (r remote) inspect(ctx context.Context, vm ident.VM, number uint64) (*rpc.InspectResponse, error) {
	var resp *rpc.InspectResponse
	err := r.call(ctx, vm, callTimeout, func(ctx context.Context, stub rpc.Shares) (err error) {
		resp, err = stub.Inspect(ctx, &rpc.InspectRequest{Generation: number})
		return err
	})
	return resp, err
}
