package gossip

import (
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
)

// silentShare is the number of exchanges of which one may go to an entry that
// did not answer lately, so that the lost half of a fleet does not take up the
// exchanges of the other.
const silentShare = 4

// ChoosePartner returns whom to exchange with in the given turn: in two turns
// of three one of the parents, which have the store's confirmations first, and
// otherwise any other entry.
func ChoosePartner(
	turn int, self members.Member, entries, parents []members.Member, random func(n int) int,
) (members.Member, bool) {
	if i := turn % 3; i < len(parents) {
		return parents[i], true
	}
	answering, silent := split(self, entries)
	if len(answering) == 0 || (len(silent) > 0 && turn%silentShare == 0) {
		answering = silent
	}
	if len(answering) == 0 {
		return members.Member{}, false
	}
	return answering[random(len(answering))], true
}

func split(self members.Member, entries []members.Member) (answering, silent []members.Member) {
	for _, m := range entries {
		switch {
		case m.VM == self.VM || m.State == members.StateGone:
		case m.State == members.StateSilent:
			silent = append(silent, m)
		default:
			answering = append(answering, m)
		}
	}
	return answering, silent
}
