package limit

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

func init() {
	for name, value := range map[string]string{
		"rapid.seed": "1", "rapid.checks": "1500", "rapid.steps": "150", "rapid.nofailfile": "true",
	} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

const (
	testRate  = 25
	testBurst = 40
	goneAfter = 10 * time.Second // Off the list for so long: certainly gone.
	firstVMs  = 4
	mostVMs   = 7
)

var testTerms = Terms{Rate: testRate, Burst: testBurst, Revision: 1}

// admitted is one reservation that an asker let through.
type admitted struct {
	at    time.Time
	used  Parts
	parts []Part
	from  *proc
}

// proc is one life of a process.
type proc struct {
	*Holder
	paused bool
	dead   bool
}

// asking is a plan on its way.
type asking struct {
	by    *proc
	plan  *Plan
	tries int
}

type message struct {
	to  Member
	run func(p *proc)
}

// world holds the processes, the store's record and what is on the network.
type world struct {
	now     time.Time
	rng     *rand.Rand
	account Account
	procs   []*proc
	listed  map[ident.VM]bool
	off     map[ident.VM]time.Time // When a VM left the list.
	record  Generation
	storeUp bool
	net     []message
	open    []*admitted
	all     []*admitted
	next    int
	life    Incarnation
}

func newWorld(seed uint64) *world {
	w := &world{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), storeUp: true,
		account: Account(fmt.Sprintf("organisation-%d", seed%97)),
		listed:  make(map[ident.VM]bool), off: make(map[ident.VM]time.Time),
	}
	for range firstVMs {
		w.boot(w.newVM())
	}
	founder := w.procs[0]
	w.record = First(founder.self)
	founder.Found(w.now, w.record)
	return w
}

func (w *world) newVM() ident.VM {
	w.next++
	vm := ident.VM(fmt.Sprintf("entry-%d", w.next))
	w.listed[vm] = true
	return vm
}

func (w *world) boot(vm ident.VM) {
	w.life++
	w.procs = append(w.procs, &proc{Holder: NewHolder(Member{vm, w.life}, w.now)})
}

// find returns the process that answers at a member's address: the latest
// life on its VM.
func (w *world) find(m Member) *proc {
	var last *proc
	for _, p := range w.procs {
		if p.self.VM == m.VM {
			last = p
		}
	}
	return last
}

func (w *world) running() []*proc {
	var out []*proc
	for _, p := range w.procs {
		if !p.dead && !p.paused {
			out = append(out, p)
		}
	}
	return out
}

func (w *world) pick() *proc {
	r := w.running()
	if len(r) == 0 {
		return nil
	}
	return r[w.rng.IntN(len(r))]
}

func (w *world) gone(m Member) bool {
	at, ok := w.off[m.VM]
	return ok && w.now.Sub(at) >= goneAfter
}

func (w *world) send(to Member, run func(p *proc)) {
	w.net = append(w.net, message{to, run})
}

// advance moves time in small steps, in which running processes beat.
func (w *world) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 500*time.Millisecond)
		w.now = w.now.Add(step)
		d -= step
		for _, p := range w.running() {
			w.beat(p)
		}
	}
}

func (w *world) beat(p *proc) {
	if !w.listed[p.self.VM] {
		p.Doubt()
	}
	p.Beat(w.now)
	for _, m := range p.Awaited() {
		if w.gone(m) {
			p.Gone(w.now, m)
		}
	}
}

// ask starts a plan at a process.
func (w *world) ask(tokens int64) {
	p := w.pick()
	if p == nil || p.gen.Number == 0 {
		return
	}
	w.next++
	id := ReservationID(fmt.Sprintf("%s-%d-%d", p.self.VM, p.self.Incarnation, w.next))
	plan := NewPlan(p.gen, w.account, testTerms, id, tokens)
	for i := range Shares {
		plan.Estimate(i, Parts(w.rng.IntN(testBurst+1)), time.Second)
	}
	w.step(&asking{by: p, plan: plan})
}

// step sends the plan's next request, or ends the plan.
func (w *world) step(a *asking) {
	a.tries++
	ask, ok := a.plan.Next(a.by.self)
	if !ok || a.tries > 2*Shares {
		w.finish(a)
		return
	}
	sent := w.now
	if ask.Holder == a.by.self {
		w.answered(a, ask, sent, a.by.Reserve(w.now, ask.Request))
		return
	}
	taken := false
	w.send(ask.Holder, func(h *proc) {
		answer := h.Reserve(w.now, ask.Request)
		w.send(a.by.self, func(back *proc) {
			if !taken && back == a.by { // A call takes one answer.
				taken = true
				w.answered(a, ask, sent, answer)
			}
		})
	})
}

func (w *world) answered(a *asking, ask Ask, sent time.Time, answer Answer) {
	if !a.plan.Take(sent, w.now, ask, answer) {
		w.settle(Part{Share: ask.Request.Share, Holder: ask.Holder, ID: ask.Request.ID}, 0)
	}
	w.step(a)
}

func (w *world) finish(a *asking) {
	if !a.plan.Admit(w.now) {
		for _, part := range a.plan.Parts() {
			w.settle(part, 0)
		}
		return
	}
	total := Parts(0)
	for _, part := range a.plan.Parts() {
		total += part.Amount
	}
	one := &admitted{at: w.now, used: total, parts: a.plan.Parts(), from: a.by}
	w.all = append(w.all, one)
	if a.plan.Tell() || w.rng.IntN(2) == 0 {
		w.tell(a.plan)
	}
	w.open = append(w.open, one)
}

func (w *world) tell(plan *Plan) {
	for _, part := range plan.Parts() {
		w.send(part.Holder, func(h *proc) { h.Admitted(w.now, part.Share, part.ID) })
	}
}

func (w *world) settle(part Part, used Parts) {
	w.send(part.Holder, func(h *proc) {
		if h.Settle(w.now, part.Share, part.ID, used) {
			return
		}
		to := h.gen.Holder(part.Share)
		w.send(to, func(h *proc) { h.Settle(w.now, part.Share, part.ID, used) })
	})
}

// settleOne settles the i-th open reservation.
func (w *world) settleOne() {
	if len(w.open) == 0 {
		return
	}
	i := w.rng.IntN(len(w.open))
	one := w.open[i]
	w.open = append(w.open[:i], w.open[i+1:]...)
	if one.from.dead || one.from.paused {
		return
	}
	tokens := int64(one.used) / Shares
	used := w.rng.Int64N(tokens + 1)
	for j, u := range Use(one.parts, used) {
		w.settle(one.parts[j], u)
	}
	one.used = PartsOf(used)
}

// deliver takes one message off the network; twice keeps it there.
func (w *world) deliver(twice bool) {
	if len(w.net) == 0 {
		return
	}
	i := w.rng.IntN(len(w.net))
	m := w.net[i]
	p := w.find(m.to)
	if p != nil && p.paused {
		return
	}
	if !twice {
		w.net = append(w.net[:i], w.net[i+1:]...)
	}
	if p != nil && !p.dead {
		m.run(p)
	}
}

func (w *world) drop() {
	if len(w.net) == 0 {
		return
	}
	i := w.rng.IntN(len(w.net))
	w.net = append(w.net[:i], w.net[i+1:]...)
}

// propose makes the next generation as a process sees it.
func (w *world) propose(answerLost bool) {
	p := w.pick()
	if p == nil || !w.storeUp || p.gen.Number != w.record.Number {
		return
	}
	next, ok := p.gen.Next(w.change(p), w.reports())
	if !ok {
		return
	}
	w.record = next
	if !answerLost {
		p.Install(w.now, next)
	}
}

func (w *world) change(p *proc) Change {
	var c Change
	for _, m := range p.gen.Members {
		if w.gone(m) {
			c.Gone = append(c.Gone, m)
		}
	}
	other := w.pick()
	if !w.listed[other.self.VM] {
		return c
	}
	if other.gen.Has(other.self) && w.rng.IntN(3) == 0 {
		c.Leave = append(c.Leave, other.self)
	} else {
		c.Join = append(c.Join, other.self)
	}
	return c
}

func (w *world) reports() []Report {
	var out []Report
	for _, p := range w.running() {
		out = append(out, Report{Member: p.self, Generation: p.gen.Number, Settled: p.Settled()})
	}
	return out
}

// learn lets a process read the store's record, or a peer's.
func (w *world) learn() {
	p := w.pick()
	if p == nil {
		return
	}
	if !w.storeUp {
		p.Install(w.now, w.pick().gen)
		return
	}
	p.Install(w.now, w.record)
	if w.listed[p.self.VM] {
		p.Confirm(w.now, w.record.Number)
	}
}

// handOver sends a process's hand-overs, again where they were sent before.
func (w *world) handOver() {
	p := w.pick()
	if p == nil {
		return
	}
	for _, h := range p.Outgoing() {
		handover := *h
		w.send(handover.ID.To, func(to *proc) {
			receipt := to.Receive(w.now, handover)
			if receipt == ReceiptLater {
				return
			}
			w.send(p.self, func(from *proc) { from.Acknowledged(handover.ID) })
		})
	}
}

func (w *world) pause() {
	if p := w.pick(); p != nil {
		p.paused = true
	}
}

func (w *world) resume() {
	for _, p := range w.procs {
		if p.paused && w.rng.IntN(2) == 0 {
			p.paused = false
		}
	}
}

// unlist takes the VM of a paused or dead process off the list.
func (w *world) unlist() {
	for _, p := range w.procs {
		if (p.paused || p.dead) && w.listed[p.self.VM] {
			w.listed[p.self.VM] = false
			w.off[p.self.VM] = w.now
			return
		}
	}
}

// restart ends a process; another life begins on the same VM.
func (w *world) restart() {
	p := w.pick()
	if p == nil {
		return
	}
	p.dead = true
	if w.listed[p.self.VM] {
		w.boot(p.self.VM)
	}
}

func (w *world) kill() {
	if p := w.pick(); p != nil {
		p.dead = true
	}
}

func (w *world) join() {
	if len(w.listed) < mostVMs {
		w.boot(w.newVM())
	}
}

// excess returns by how many parts the worst window exceeds the limit.
func excess(all []*admitted) int64 {
	const perPart = int64(time.Second)
	worst, level := int64(0), int64(0)
	for i, one := range all {
		if i > 0 {
			elapsed := int64(one.at.Sub(all[i-1].at))
			level = max(level-elapsed*testRate*Shares, 0)
		}
		level += int64(one.used) * perPart
		worst = max(worst, level-testBurst*Shares*perPart)
	}
	return (worst + perPart - 1) / perPart
}

// flood asks for tokens at many processes.
func (w *world) flood(most int64) {
	for range 2 + w.rng.IntN(12) {
		w.ask(1 + w.rng.Int64N(most))
		w.deliverSome(4)
	}
}

// slowGather asks for much while answers are slow, and then for the rest.
func (w *world) slowGather() {
	w.ask(testBurst/2 + w.rng.Int64N(testBurst/2+1))
	for range 1 + w.rng.IntN(5) {
		w.deliverSome(5)
		w.advance(time.Duration(w.rng.IntN(200)) * time.Millisecond)
	}
	w.deliverSome(20)
	w.flood(1)
}

func (w *world) deliverSome(most int) {
	for range w.rng.IntN(most + 1) {
		w.deliver(false)
	}
}

// progress lets most processes do what they do every second.
func (w *world) progress() {
	for range len(w.running()) {
		w.learn()
		w.handOver()
		w.deliverSome(6)
	}
	w.propose(w.rng.IntN(5) == 0)
}

// outlive pauses a process, lets the others take it for gone, and resumes it
// while it still believes that it holds its shares.
func (w *world) outlive() {
	p := w.pick()
	if p == nil || len(w.running()) < 2 || !w.listed[p.self.VM] {
		return
	}
	w.storeUp = true
	p.paused = true
	w.listed[p.self.VM] = false
	w.off[p.self.VM] = w.now
	w.advance(goneAfter)
	for range 3 {
		w.progress()
		w.advance(500 * time.Millisecond)
	}
	w.flood(5)
	p.paused = false
	w.flood(5)
}

// fault does one of the things that go wrong.
func (w *world) fault() {
	faults := []func(){
		w.drop, func() { w.deliver(true) }, w.pause, w.pause, w.resume, w.unlist, w.unlist, w.restart, w.kill,
		w.join, w.join, w.outlive, w.outlive, func() { w.storeUp = false }, func() { w.storeUp = true }, func() { w.storeUp = true },
	}
	faults[w.rng.IntN(len(faults))]()
	if len(w.running()) == 0 {
		w.resumeAll()
	}
}

func (w *world) resumeAll() {
	for _, p := range w.procs {
		p.paused = false
	}
	if len(w.running()) == 0 {
		w.boot(w.newVM())
	}
}

func TestNoWindowExceedsRateAndBurstUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		act := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
		flood := func(t *rapid.T) { w.flood(rapid.SampledFrom([]int64{1, 5, testBurst}).Draw(t, "most")) }
		wait := func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
		}
		waitLong := func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { checkWindows(t, w) },
			"flood1":    flood,
			"flood2":    flood,
			"flood3":    flood,
			"deliver":   act(func() { w.deliverSome(30) }),
			"gather":    act(w.slowGather),
			"settle":    act(func() { w.settleOne(); w.settleOne(); w.deliverSome(6) }),
			"wait1":     wait,
			"wait2":     wait,
			"waitLong":  waitLong,
			"progress1": act(w.progress),
			"progress2": act(w.progress),
			"progress3": act(w.progress),
			"fault1":    act(w.fault),
			"fault2":    act(w.fault),
		})
	})
}

func checkWindows(t *rapid.T, w *world) {
	if over := excess(w.all); over > 0 {
		t.Fatalf("a window admitted %d parts more than burst + rate x window", over)
	}
}
