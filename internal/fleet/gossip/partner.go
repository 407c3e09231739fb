package gossip

import (
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
)

// unresponsiveInterval is the interval in rounds at which an exchange goes to
// an entry that did not respond recently. The limit keeps an unreachable half
// of the fleet from using up the exchanges of the other half.
const unresponsiveInterval = 4

// ChoosePartner returns the partner for the exchange of the given round. parents
// are the parents of self in the distribution trees, at most two. In two of three
// rounds the partner is a parent, because parents receive the confirmations by
// the store first. Otherwise, and if there are fewer parents, it is a random
// other entry. It returns false if there is no other entry.
func ChoosePartner(
	round int, self members.Member, entries, parents []members.Member, random func(n int) int,
) (members.Member, bool) {
	if i := round % 3; i < len(parents) {
		return parents[i], true
	}
	candidates, unresponsive := splitByResponsiveness(self, entries)
	if len(candidates) == 0 || (len(unresponsive) > 0 && round%unresponsiveInterval == 0) {
		candidates = unresponsive
	}
	if len(candidates) == 0 {
		return members.Member{}, false
	}
	return candidates[random(len(candidates))], true
}

// splitByResponsiveness returns the other entries, without those in StateExpired,
// separated by whether they responded to the last request.
func splitByResponsiveness(self members.Member, entries []members.Member) (responsive, unresponsive []members.Member) {
	for _, m := range entries {
		switch {
		case m.VM == self.VM || m.State == members.StateExpired:
		case m.State == members.StateUnresponsive:
			unresponsive = append(unresponsive, m)
		default:
			responsive = append(responsive, m)
		}
	}
	return responsive, unresponsive
}
