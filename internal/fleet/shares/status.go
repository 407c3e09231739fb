package shares

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// Status is the state of a ShareHolder as shown to operators.
type Status struct {
	Generation    uint64        `json:"generation"`
	Members       []ident.VM    `json:"members"`           // VMs whose processes may hold shares.
	AwaitedFrom   []ident.VM    `json:"awaited,omitempty"` // VMs whose handover has not arrived.
	Unconfirmed   bool          `json:"unsure"`            // Grants no tokens until the store confirms the generation.
	StoreLost     bool          `json:"store_lost"`        // The store is unreachable, so that holders cannot change.
	DegradedSince time.Time     `json:"degraded_since"`    // Zero if not degraded.
	Shares        []ShareStatus `json:"shares"`            // Held by this process, ordered by account and index.
}

// Reason returns why the share holder is degraded, or "" if it is not.
func (s Status) Reason() string {
	switch {
	case s.StoreLost:
		return "the store is unreachable, so the holders of shares cannot change"
	case s.Unconfirmed:
		return "this entry grants no tokens until the store confirms that it still holds its shares"
	case len(s.AwaitedFrom) > 0:
		return "a handover of shares to this entry has not arrived"
	case !s.DegradedSince.IsZero():
		return "a holder of shares is off the VM list"
	default:
		return ""
	}
}

// ShareStatus is the state of one held share. Amounts are in tokens.
type ShareStatus struct {
	Account     limit.Account `json:"account"`
	Index       int           `json:"index"`
	Balance     float64       `json:"balance_tokens"`
	Outstanding float64       `json:"outstanding_tokens"` // Claims of reservations that may still be returned.
	Burst       float64       `json:"burst_tokens"`
}

// degradation records whether the store is unreachable, and since when the
// share holder is degraded for any reason.
type degradation struct {
	storeLost bool
	since     time.Time
}

// Status returns the current state.
func (h *ShareHolder) Status() Status {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	gen := h.holder.Generation()
	status := Status{
		Generation:    gen.Number,
		Members:       vmsOf(gen.Members),
		AwaitedFrom:   vmsOf(h.holder.AwaitedMembers()),
		Unconfirmed:   h.holder.NeedsConfirmation(now),
		StoreLost:     h.degraded.storeLost,
		DegradedSince: h.degraded.since,
	}
	for _, level := range h.holder.Levels(now) {
		status.Shares = append(status.Shares, ShareStatus{
			Account: level.ID.Account, Index: level.ID.Index,
			Balance: level.Balance, Outstanding: level.Outstanding, Burst: level.Burst,
		})
	}
	return status
}

// vmsOf returns the VMs of members, in their order.
func vmsOf(list []limit.Member) []ident.VM {
	out := make([]ident.VM, 0, len(list))
	for _, m := range list {
		out = append(out, m.VM)
	}
	return out
}

// setStoreLost records whether the last watch of the store failed.
func (h *ShareHolder) setStoreLost(lost bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.degraded.storeLost = lost
}

// updateDegradation sets or clears the time since which the share holder is degraded.
func (h *ShareHolder) updateDegradation(now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isDegraded := h.degraded.storeLost || h.holder.NeedsConfirmation(now) || !h.holder.HandoversDone() || len(h.offListSince) > 0
	if !isDegraded {
		h.degraded.since = time.Time{}
		return
	}
	if h.degraded.since.IsZero() {
		h.degraded.since = now
	}
}
