package limit

import (
	"sort"
	"time"
)

// Level is the fill level of one share, in tokens.
type Level struct {
	ID          ShareID
	Balance     float64
	Outstanding float64 // Sum of the claims of reservations.
	Burst       float64
}

// Levels returns the shares of which tokens were requested at least once, ordered by
// account and index. It advances them to now.
func (h *Holder) Levels(now time.Time) []Level {
	out := make([]Level, 0, len(h.shares))
	for id, share := range h.shares {
		share.advance(now)
		out = append(out, Level{
			ID: id, Balance: share.balance.tokens(), Outstanding: share.claims.tokens(),
			Burst: share.terms.burst().tokens(),
		})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].ID.Account != out[j].ID.Account {
			return out[i].ID.Account < out[j].ID.Account
		}
		return out[i].ID.Index < out[j].ID.Index
	})
	return out
}

// tokens converts u to tokens: a token has Shares parts, and a part has
// unitsPerPart units.
func (u units) tokens() float64 {
	return float64(u) / float64(unitsPerPart) / Shares
}
