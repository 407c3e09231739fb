package operatorapi

import (
	"context"
	"net/http"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Status is one entry's view of the fleet.
type Status struct {
	VM       ident.VM             `json:"vm"`                // VM of the responding entry.
	Revision config.Revision      `json:"revision"`          // Revision in force on the responding entry.
	Fresh    bool                 `json:"fresh"`             // Whether the responding entry trusts its keys.
	Reason   string               `json:"reason"`            // Reason for the value of Fresh.
	Entries  []config.EntryState  `json:"entries"`           // State reported by each entry.
	Members  []MemberState        `json:"members"`           // Members as the responding entry sees them.
	Shares   []ShareState         `json:"holders,omitempty"` // Shares of rate and burst, from all responding holders.
	Degraded []config.Degradation `json:"degraded,omitempty"`
}

// MemberState is the responding entry's view of another entry.
type MemberState struct {
	VM          ident.VM `json:"vm"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation,omitempty"`
}

// ShareState is one share of an account's rate and burst, as reported by its
// holder. An account counts an organisation's tokens or the fleet's adapter
// loads.
type ShareState struct {
	Account     string   `json:"account"`
	Share       int      `json:"share"`
	VM          ident.VM `json:"vm"`
	Balance     int64    `json:"balance"`     // Tokens available now.
	Outstanding int64    `json:"outstanding"` // Reserved tokens that may still be returned.
	Burst       int64    `json:"burst"`       // Burst of this share, in tokens.
}

// Providers supply parts of Status. A nil provider leaves its part empty.
type Providers struct {
	Freshness func() (fresh bool, reason string)
	Members   func() []MemberState
	Shares    func(ctx context.Context) []ShareState
	Degraded  []func() []config.Degradation
}

func (h *handler) getStatus(w http.ResponseWriter, r *http.Request) {
	s := Status{
		VM:       h.opts.VM,
		Revision: h.opts.Config().Revision(),
		Entries:  h.opts.Survey.QueryStates(r.Context(), ""),
	}
	p := h.opts.Providers
	if p.Freshness != nil {
		s.Fresh, s.Reason = p.Freshness()
	}
	if p.Members != nil {
		s.Members = p.Members()
	}
	if p.Shares != nil {
		s.Shares = p.Shares(r.Context())
	}
	for _, degraded := range p.Degraded {
		s.Degraded = append(s.Degraded, degraded()...)
	}
	writeJSON(w, http.StatusOK, s)
}
