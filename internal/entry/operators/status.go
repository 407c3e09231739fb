package operators

import (
	"context"
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/config"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Status is the state of the fleet as one entry knows it.
type Status struct {
	VM       ident.VM             `json:"vm"`                // Of the entry that answers.
	Revision config.Revision      `json:"revision"`          // In force at the entry that answers.
	Fresh    bool                 `json:"fresh"`             // Whether that entry trusts its keys.
	Reason   string               `json:"reason"`            // Why it does or does not.
	Entries  []config.EntryState  `json:"entries"`           // What each entry says.
	Members  []MemberState        `json:"members"`           // What that entry knows of each.
	Holders  []Holder             `json:"holders,omitempty"` // Holders of rate and burst.
	Degraded []config.Degradation `json:"degraded,omitempty"`
}

// MemberState is what the entry that answers knows of another.
type MemberState struct {
	VM          ident.VM `json:"vm"`
	State       string   `json:"state"`
	Incarnation uint64   `json:"incarnation,omitempty"`
}

// Holder is one share of an account's rate and burst, as its holder counts
// it. An account is an organisation's tokens or the fleet's adapter loads.
type Holder struct {
	Account     string   `json:"account"`
	Share       int      `json:"share"`
	VM          ident.VM `json:"vm"`
	Balance     int64    `json:"balance"`     // Tokens that can be had now.
	Outstanding int64    `json:"outstanding"` // Tokens that may still come back.
	Burst       int64    `json:"burst"`       // Tokens.
}

// Providers are what other parts of the entry tell about themselves. A nil
// one tells nothing.
type Providers struct {
	Freshness func() (fresh bool, reason string)
	Members   func() []MemberState
	Holders   func(ctx context.Context) []Holder
	Degraded  []func() []config.Degradation
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	s := Status{
		VM:       h.opts.VM,
		Revision: h.opts.Config().Revision(),
		Entries:  h.opts.Survey.States(r.Context(), ""),
	}
	p := h.opts.Providers
	if p.Freshness != nil {
		s.Fresh, s.Reason = p.Freshness()
	}
	if p.Members != nil {
		s.Members = p.Members()
	}
	if p.Holders != nil {
		s.Holders = p.Holders(r.Context())
	}
	for _, degraded := range p.Degraded {
		s.Degraded = append(s.Degraded, degraded()...)
	}
	writeJSON(w, http.StatusOK, s)
}

// withdrawLimit bounds how long a withdrawal waits for the entries to say that
// it is in force.
const withdrawLimit = 5 * time.Second
