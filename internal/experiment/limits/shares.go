package limits

import (
	"fmt"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	heartbeatInterval = 500 * time.Millisecond
	// vmListLag is the time for which the VM list still contains a failed VM.
	vmListLag = 5 * time.Second
	// removalDelay is the time from a VM's removal from the VM list until the
	// generation without it is in force and its shares have new holders.
	removalDelay = 5 * time.Second
)

// sharesLimiter is the limiter of the product. Each entry holds shares of the rate
// and burst, and an admission gathers the tokens of a request from several holders.
type sharesLimiter struct {
	scenario      scenario
	account       limit.Account
	holders       []*limit.Holder                 // By entry; nil while the entry is down or has not rejoined.
	estimates     [entries][limit.Shares]estimate // By entry and index of the share.
	parts         map[int][]limit.Part            // Reserved parts of the admitted requests, by index of the arrival.
	nextHeartbeat time.Duration
	phase         int // Of the first entry: 0 up, 1 down, 2 removed from the generation, 3 replaced.
	calls         int // Calls between entries.
}

// estimate is the state of a share according to its holder's last response.
type estimate struct {
	known     bool
	available limit.Parts
	at        time.Duration // Time of the response.
}

// newSharesLimiter returns a limiter with a first generation of all entries.
func newSharesLimiter(s scenario, organisation int) *sharesLimiter {
	l := &sharesLimiter{
		scenario: s, account: limit.Account(fmt.Sprintf("organisation-%d", organisation)),
		parts: make(map[int][]limit.Part),
	}
	gen := limit.FirstGeneration(limit.Member{})
	gen.Members = nil
	for i := range entries {
		member := limit.Member{VM: ident.VM(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
		gen.Members = append(gen.Members, member)
		l.holders = append(l.holders, limit.NewHolder(member, epoch))
	}
	for _, h := range l.holders {
		h.StartFirstGeneration(epoch, gen)
	}
	return l
}

func (l *sharesLimiter) tick(now time.Duration) {
	for ; l.nextHeartbeat <= now; l.nextHeartbeat += heartbeatInterval {
		l.updateMembership(l.nextHeartbeat)
		for _, h := range l.holders {
			if h != nil {
				h.Heartbeat(wallTime(l.nextHeartbeat))
			}
		}
	}
}

// updateMembership applies the failure of the first entry, its removal from the
// generation and its replacement. The generation can change only while the store is
// up.
func (l *sharesLimiter) updateMembership(now time.Duration) {
	switch {
	case l.phase == 0 && l.scenario.entryDown(0, now):
		l.holders[0] = nil
		l.phase = 1
	case l.phase == 1 && now >= l.scenario.entryDownAt+vmListLag+removalDelay && !l.scenario.storeDown(now):
		removed := l.holders[1].Generation().Members[0]
		l.installGeneration(now, limit.Change{Removed: []limit.Member{removed}}, removed)
		l.phase = 2
	case l.phase == 2 && now >= l.scenario.entryDownAt+l.scenario.entryDownFor && !l.scenario.storeDown(now):
		member := limit.Member{VM: "entry-0", Incarnation: 2}
		l.holders[0] = limit.NewHolder(member, wallTime(now))
		l.installGeneration(now, limit.Change{Joined: []limit.Member{member}}, limit.Member{})
		l.phase = 3
	}
}

// installGeneration installs the next generation at all holders and delivers the
// handovers that it causes.
func (l *sharesLimiter) installGeneration(now time.Duration, change limit.Change, removed limit.Member) {
	var reports []limit.Report
	for _, h := range l.holders {
		if h != nil {
			reports = append(reports, limit.Report{
				Member: h.Self(), Generation: h.Generation().Number, HandoversDone: h.HandoversDone(),
			})
		}
	}
	next, ok := l.holders[1].Generation().NextAfter(change, reports)
	if !ok {
		return
	}
	for _, h := range l.holders {
		if h != nil {
			h.Install(wallTime(now), next)
			h.MemberRemoved(wallTime(now), removed)
		}
	}
	for _, h := range l.holders {
		if h != nil {
			l.deliverHandovers(now, h)
		}
	}
}

// deliverHandovers delivers the pending handovers of a holder. Those to a holder that
// is down are dropped.
func (l *sharesLimiter) deliverHandovers(now time.Duration, from *limit.Holder) {
	for _, handover := range from.OutgoingHandovers() {
		if to := l.findHolder(handover.ID.To); to != nil {
			to.Receive(wallTime(now), *handover)
		}
		from.Acknowledge(handover.ID)
	}
}

// findHolder returns the holder of a member, or nil if it is down.
func (l *sharesLimiter) findHolder(member limit.Member) *limit.Holder {
	for _, h := range l.holders {
		if h != nil && h.Self() == member {
			return h
		}
	}
	return nil
}

func (l *sharesLimiter) reserve(now time.Duration, entry int, a arrival) bool {
	self := l.holders[entry]
	if self == nil {
		// The entry has restarted but has no holder yet, so it uses the second entry's holder.
		self = l.holders[1]
	}
	plan := limit.NewPlan(self.Generation(), l.account, terms, reservationID(a), a.reservedTokens)
	for i, e := range l.estimates[entry] {
		if e.known {
			plan.SetEstimate(i, e.available, now-e.at)
		}
	}
	if plan.CannotSucceed() {
		return false
	}
	for call, ok := plan.Next(self.Self()); ok; call, ok = plan.Next(self.Self()) {
		if call.Holder != self.Self() {
			l.calls++
		}
		holder := l.findHolder(call.Holder)
		if holder == nil {
			continue
		}
		response := holder.Reserve(wallTime(now), call.Request)
		if response.Status == limit.StatusOK {
			l.estimates[entry][call.Request.Share.Index] = estimate{true, response.Remaining, now}
		}
		plan.AddResponse(wallTime(now), wallTime(now), call, response)
	}
	if !plan.Admit(wallTime(now)) {
		l.settleParts(now, self, plan.Parts(), 0)
		return false
	}
	l.parts[a.index] = plan.Parts()
	l.announceAdmission(now, self, plan)
	return true
}

// announceAdmission notifies the holders of the reserved parts of the admission, if
// the plan requires it.
func (l *sharesLimiter) announceAdmission(now time.Duration, self *limit.Holder, plan *limit.Plan) {
	if !plan.NeedsNotification() {
		return
	}
	for _, part := range plan.Parts() {
		if part.Holder != self.Self() {
			l.calls++
		}
		l.findHolder(part.Holder).MarkAdmitted(wallTime(now), part.Share, part.ID)
	}
}

func (l *sharesLimiter) settle(now time.Duration, entry int, a arrival) {
	self := l.holders[entry]
	if self == nil {
		return // The entry that admitted the request is down; its reserved tokens count as used.
	}
	l.settleParts(now, self, l.parts[a.index], a.usedTokens)
}

// settleParts settles the parts of a request, which used the given number of tokens
// in total. If a holder is down or no longer has a part, the current holder of the
// share settles the part.
func (l *sharesLimiter) settleParts(now time.Duration, self *limit.Holder, parts []limit.Part, used int64) {
	for i, partUsed := range limit.SplitUsed(parts, used) {
		part := parts[i]
		if part.Holder != self.Self() {
			l.calls++
		}
		holder := l.findHolder(part.Holder)
		if holder == nil || !holder.Settle(wallTime(now), part.Share, part.ID, partUsed) {
			holder = l.findHolder(self.Generation().Holder(part.Share))
		}
		if holder != nil {
			holder.Settle(wallTime(now), part.Share, part.ID, partUsed)
		}
	}
}
