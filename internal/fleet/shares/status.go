package shares

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

// Status is what a keeper tells operators.
type Status struct {
	Generation uint64        `json:"generation"`
	Members    []ident.VM    `json:"members"`           // Processes that may hold shares.
	Awaited    []ident.VM    `json:"awaited,omitempty"` // Whose hand-over has not arrived.
	Unsure     bool          `json:"unsure"`            // Gives nothing until the store confirms the generation.
	StoreLost  bool          `json:"store_lost"`        // Holders cannot change now.
	Degraded   time.Time     `json:"degraded_since"`    // Zero where all is well.
	Shares     []ShareStatus `json:"shares"`            // Held here, ordered by account.
}

// Reason says in words what is not as it should be, or "".
func (s Status) Reason() string {
	switch {
	case s.StoreLost:
		return "store lost, holders cannot change"
	case s.Unsure:
		return "this entry gives nothing until the store confirms that it still holds its shares"
	case len(s.Awaited) > 0:
		return "a hand-over of shares has not arrived"
	case !s.Degraded.IsZero():
		return "a holder is off the VM list"
	default:
		return ""
	}
}

// ShareStatus is one share that a keeper holds.
type ShareStatus struct {
	Account     limit.Account `json:"account"`
	Index       int           `json:"index"`
	Balance     float64       `json:"balance_tokens"`
	Outstanding float64       `json:"outstanding_tokens"` // What may still come back.
	Burst       float64       `json:"burst_tokens"`
}

// degradation says since when the limits work with less than all shares.
type degradation struct {
	storeLost bool
	since     time.Time
}

// Status returns what the keeper holds now.
func (k *Keeper) Status() Status {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	gen := k.holder.Generation()
	status := Status{
		Generation: gen.Number,
		Members:    vmsOf(gen.Members),
		Awaited:    vmsOf(k.holder.Awaited()),
		Unsure:     k.holder.Unsure(now),
		StoreLost:  k.degraded.storeLost,
		Degraded:   k.degraded.since,
	}
	for _, level := range k.holder.Levels(now) {
		status.Shares = append(status.Shares, ShareStatus{
			Account: level.ID.Account, Index: level.ID.Index,
			Balance: level.Balance, Outstanding: level.Outstanding, Burst: level.Burst,
		})
	}
	return status
}

func vmsOf(list []limit.Member) []ident.VM {
	out := make([]ident.VM, 0, len(list))
	for _, m := range list {
		out = append(out, m.VM)
	}
	return out
}

func (k *Keeper) noteStore(lost bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.degraded.storeLost = lost
}

// noteDegraded keeps since when something is not as it should be.
func (k *Keeper) noteDegraded(now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	bad := k.degraded.storeLost || k.holder.Unsure(now) || !k.holder.Settled() || len(k.missing) > 0
	if !bad {
		k.degraded.since = time.Time{}
		return
	}
	if k.degraded.since.IsZero() {
		k.degraded.since = now
	}
}
