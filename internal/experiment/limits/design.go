package limits

import (
	"fmt"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	beatEvery = 500 * time.Millisecond
	// listLag is how long the VM list still shows a lost VM.
	listLag = 5 * time.Second
	// goneDelay is from the VM list's word to the restart of the shares.
	goneDelay = 5 * time.Second
)

// design is the fleet's own way: shares, gathered.
type design struct {
	s       scenario
	account limit.Account
	holders []*limit.Holder // By entry; nil while lost.
	hints   [entries][limit.Shares]hint
	parts   map[int][]limit.Part
	beat    time.Duration
	phase   int // Of the loss: 0 before, 1 lost, 2 gone from the generation, 3 replaced.
	calls   int // Messages to another entry, each with its answer.
}

type hint struct {
	known bool
	left  limit.Parts
	at    time.Duration
}

func newDesign(s scenario, organisation int) *design {
	d := &design{
		s: s, account: limit.Account(fmt.Sprintf("organisation-%d", organisation)),
		parts: make(map[int][]limit.Part),
	}
	gen := limit.FirstGeneration(limit.Member{})
	gen.Members = nil
	for i := range entries {
		m := limit.Member{VM: ident.VM(fmt.Sprintf("entry-%d", i)), Incarnation: 1}
		gen.Members = append(gen.Members, m)
		d.holders = append(d.holders, limit.NewHolder(m, epoch))
	}
	for _, h := range d.holders {
		h.StartFirstGeneration(epoch, gen)
	}
	return d
}

func (d *design) tick(now time.Duration) {
	for ; d.beat <= now; d.beat += beatEvery {
		d.follow(d.beat)
		for _, h := range d.holders {
			if h != nil {
				h.Heartbeat(at(d.beat))
			}
		}
	}
}

// follow carries out the loss of the first entry and its replacement.
func (d *design) follow(now time.Duration) {
	switch {
	case d.phase == 0 && d.s.lost(0, now):
		d.holders[0] = nil
		d.phase = 1
	case d.phase == 1 && now >= d.s.lostAt+listLag+goneDelay && !d.s.storeLost(now):
		lost := d.holders[1].Generation().Members[0]
		d.change(now, limit.Change{Removed: []limit.Member{lost}}, lost)
		d.phase = 2
	case d.phase == 2 && now >= d.s.lostAt+d.s.lostFor && !d.s.storeLost(now):
		m := limit.Member{VM: "entry-0", Incarnation: 2}
		d.holders[0] = limit.NewHolder(m, at(now))
		d.change(now, limit.Change{Joined: []limit.Member{m}}, limit.Member{})
		d.phase = 3
	}
}

// change puts the next generation in force, with all its hand-overs.
func (d *design) change(now time.Duration, c limit.Change, gone limit.Member) {
	var reports []limit.Report
	for _, h := range d.holders {
		if h != nil {
			reports = append(reports, limit.Report{
				Member: h.Self(), Generation: h.Generation().Number, HandoversDone: h.HandoversDone(),
			})
		}
	}
	next, ok := d.holders[1].Generation().NextAfter(c, reports)
	if !ok {
		return
	}
	for _, h := range d.holders {
		if h != nil {
			h.Install(at(now), next)
			h.MemberRemoved(at(now), gone)
		}
	}
	for _, h := range d.holders {
		if h != nil {
			d.deliver(now, h)
		}
	}
}

func (d *design) deliver(now time.Duration, from *limit.Holder) {
	for _, handover := range from.OutgoingHandovers() {
		if to := d.find(handover.ID.To); to != nil {
			to.Receive(at(now), *handover)
		}
		from.Acknowledge(handover.ID)
	}
}

func (d *design) find(m limit.Member) *limit.Holder {
	for _, h := range d.holders {
		if h != nil && h.Self() == m {
			return h
		}
	}
	return nil
}

func (d *design) reserve(now time.Duration, entry int, a arrival) bool {
	self := d.holders[entry]
	if self == nil {
		self = d.holders[1]
	}
	plan := limit.NewPlan(self.Generation(), d.account, terms, idOf(a), a.tokens)
	for i, h := range d.hints[entry] {
		if h.known {
			plan.SetEstimate(i, h.left, now-h.at)
		}
	}
	if plan.CannotSucceed() {
		return false
	}
	for ask, ok := plan.Next(self.Self()); ok; ask, ok = plan.Next(self.Self()) {
		if ask.Holder != self.Self() {
			d.calls++
		}
		holder := d.find(ask.Holder)
		if holder == nil {
			continue
		}
		answer := holder.Reserve(at(now), ask.Request)
		if answer.Status == limit.StatusOK {
			d.hints[entry][ask.Request.Share.Index] = hint{true, answer.Remaining, now}
		}
		plan.AddResponse(at(now), at(now), ask, answer)
	}
	if !plan.Admit(at(now)) {
		d.giveBack(now, self, plan.Parts(), 0)
		return false
	}
	d.parts[a.index] = plan.Parts()
	d.tell(now, self, plan)
	return true
}

func (d *design) tell(now time.Duration, self *limit.Holder, plan *limit.Plan) {
	if !plan.NeedsNotification() {
		return
	}
	for _, part := range plan.Parts() {
		if part.Holder != self.Self() {
			d.calls++
		}
		d.find(part.Holder).MarkAdmitted(at(now), part.Share, part.ID)
	}
}

func (d *design) settle(now time.Duration, entry int, a arrival) {
	self := d.holders[entry]
	if self == nil {
		return // The entry that admitted it is lost; its tokens count as used.
	}
	d.giveBack(now, self, d.parts[a.index], a.used)
}

func (d *design) giveBack(now time.Duration, self *limit.Holder, parts []limit.Part, used int64) {
	for i, u := range limit.SplitUsed(parts, used) {
		part := parts[i]
		if part.Holder != self.Self() {
			d.calls++
		}
		holder := d.find(part.Holder)
		if holder == nil || !holder.Settle(at(now), part.Share, part.ID, u) {
			holder = d.find(self.Generation().Holder(part.Share))
		}
		if holder != nil {
			holder.Settle(at(now), part.Share, part.ID, u)
		}
	}
}
