package shares

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

func memberToRPC(m limit.Member) *rpc.ShareMember {
	return &rpc.ShareMember{Vm: string(m.VM), Incarnation: uint64(m.Incarnation)}
}

func memberFromRPC(m *rpc.ShareMember) limit.Member {
	return limit.Member{VM: ident.VM(m.GetVm()), Incarnation: limit.Incarnation(m.GetIncarnation())}
}

func membersToRPC(members []limit.Member) []*rpc.ShareMember {
	out := make([]*rpc.ShareMember, len(members))
	for i, m := range members {
		out[i] = memberToRPC(m)
	}
	return out
}

func membersFromRPC(members []*rpc.ShareMember) []limit.Member {
	out := make([]limit.Member, len(members))
	for i, m := range members {
		out[i] = memberFromRPC(m)
	}
	return out
}

func generationToRPC(g limit.Generation) *rpc.ShareGeneration {
	return &rpc.ShareGeneration{
		Number: g.Number, Members: membersToRPC(g.Members), Previous: membersToRPC(g.Previous),
	}
}

func generationFromRPC(g *rpc.ShareGeneration) limit.Generation {
	return limit.Generation{
		Number: g.GetNumber(), Members: membersFromRPC(g.GetMembers()), Previous: membersFromRPC(g.GetPrevious()),
	}
}

func shareToRPC(id limit.ShareID) *rpc.ShareName {
	return &rpc.ShareName{Account: string(id.Account), Index: int32(id.Index)}
}

func shareFromRPC(id *rpc.ShareName) limit.ShareID {
	return limit.ShareID{Account: limit.Account(id.GetAccount()), Index: int(id.GetIndex())}
}

func termsToRPC(t limit.Terms) *rpc.ShareTerms {
	return &rpc.ShareTerms{Rate: t.Rate, Burst: t.Burst, Revision: t.Revision, Permits: t.Permits}
}

func termsFromRPC(t *rpc.ShareTerms) limit.Terms {
	return limit.Terms{Rate: t.GetRate(), Burst: t.GetBurst(), Revision: t.GetRevision(), Permits: t.GetPermits()}
}

func requestToRPC(r limit.Request) *rpc.ReserveRequest {
	return &rpc.ReserveRequest{
		Generation: r.Generation, Share: shareToRPC(r.Share), Terms: termsToRPC(r.Terms),
		Id: string(r.ID), Want: int64(r.Max), Least: int64(r.Min),
	}
}

// requestFromRPC converts a request. It sets AwaitsAdmission, because the response
// always crosses the network.
func requestFromRPC(r *rpc.ReserveRequest) limit.Request {
	return limit.Request{
		Generation: r.GetGeneration(), Share: shareFromRPC(r.GetShare()), Terms: termsFromRPC(r.GetTerms()),
		ID: limit.ReservationID(r.GetId()), Max: limit.Parts(r.GetWant()), Min: limit.Parts(r.GetLeast()),
		AwaitsAdmission: true,
	}
}

func responseToRPC(r limit.Response) *rpc.ReserveResponse {
	return &rpc.ReserveResponse{
		Status: rpc.ReserveStatus(r.Status), Generation: r.Generation, Holder: memberToRPC(r.Holder),
		Amount: int64(r.Amount), Left: int64(r.Remaining),
	}
}

func responseFromRPC(r *rpc.ReserveResponse) limit.Response {
	return limit.Response{
		Status: limit.Status(r.GetStatus()), Generation: r.GetGeneration(), Holder: memberFromRPC(r.GetHolder()),
		Amount: limit.Parts(r.GetAmount()), Remaining: limit.Parts(r.GetLeft()),
	}
}

func handoverToRPC(h *limit.Handover) *rpc.TransferRequest {
	out := &rpc.TransferRequest{
		Generation: h.ID.Generation, From: memberToRPC(h.ID.From), To: memberToRPC(h.ID.To),
		Full: h.UnlistedFull, Age: int64(h.UnlistedAge),
	}
	for _, s := range h.Shares {
		out.Shares = append(out.Shares, stateToRPC(s))
	}
	return out
}

func handoverFromRPC(r *rpc.TransferRequest) limit.Handover {
	out := limit.Handover{
		ID: limit.TransferID{
			Generation: r.GetGeneration(), From: memberFromRPC(r.GetFrom()), To: memberFromRPC(r.GetTo()),
		},
		UnlistedFull: r.GetFull(), UnlistedAge: time.Duration(r.GetAge()),
	}
	for _, s := range r.GetShares() {
		out.Shares = append(out.Shares, stateFromRPC(s))
	}
	return out
}

func stateToRPC(s limit.ShareState) *rpc.ShareState {
	out := &rpc.ShareState{Share: shareToRPC(s.ID), Terms: termsToRPC(s.Terms), Balance: s.Balance}
	for _, r := range s.Reservations {
		out.Reservations = append(out.Reservations, &rpc.ShareReservation{
			Id: string(r.ID), Amount: int64(r.Amount), Claim: r.Claim,
			HardFor: int64(r.FixedFor), Expires: int64(r.ExpiresIn),
		})
	}
	return out
}

func stateFromRPC(s *rpc.ShareState) limit.ShareState {
	out := limit.ShareState{ID: shareFromRPC(s.GetShare()), Terms: termsFromRPC(s.GetTerms()), Balance: s.GetBalance()}
	for _, r := range s.GetReservations() {
		out.Reservations = append(out.Reservations, limit.ReservationState{
			ID: limit.ReservationID(r.GetId()), Amount: limit.Parts(r.GetAmount()), Claim: r.GetClaim(),
			FixedFor: time.Duration(r.GetHardFor()), ExpiresIn: time.Duration(r.GetExpires()),
		})
	}
	return out
}
