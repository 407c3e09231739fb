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
	testRate     = 25
	testBurst    = 40
	removalDelay = 10 * time.Second // Time off the list after which the other processes treat a VM as ended.
	initialVMs   = 4
	maxVMs       = 7
)

var testTerms = Terms{Rate: testRate, Burst: testBurst, Revision: 1}

// admission is one admitted reservation.
type admission struct {
	at    time.Time
	used  Parts // Used, or reserved until it is settled.
	parts []Part
	owner *process
}

// process is one incarnation of a process.
type process struct {
	*Holder
	paused bool
	dead   bool
}

// planRun is a plan that is collecting tokens for its owner.
type planRun struct {
	owner    *process
	plan     *Plan
	requests int
}

// message is a function to run at the process that receives messages to member to.
type message struct {
	to  Member
	run func(p *process)
}

// simulation holds the processes, the generation record in the store and the
// messages in transit.
type simulation struct {
	now             time.Time
	rng             *rand.Rand
	account         Account
	processes       []*process
	listed          map[ident.VM]bool
	unlistedAt      map[ident.VM]time.Time // When a VM was removed from the list.
	record          Generation
	storeUp         bool
	messages        []message
	unsettled       []*admission
	admissions      []*admission
	lastID          int
	lastIncarnation Incarnation
}

func newSimulation(seed uint64) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), storeUp: true,
		account: Account(fmt.Sprintf("organisation-%d", seed%97)),
		listed:  make(map[ident.VM]bool), unlistedAt: make(map[ident.VM]time.Time),
	}
	for range initialVMs {
		s.startProcess(s.newVM())
	}
	founder := s.processes[0]
	s.record = FirstGeneration(founder.self)
	founder.StartFirstGeneration(s.now, s.record)
	return s
}

func (s *simulation) newVM() ident.VM {
	s.lastID++
	vm := ident.VM(fmt.Sprintf("entry-%d", s.lastID))
	s.listed[vm] = true
	return vm
}

func (s *simulation) startProcess(vm ident.VM) {
	s.lastIncarnation++
	s.processes = append(s.processes, &process{Holder: NewHolder(Member{vm, s.lastIncarnation}, s.now)})
}

// processAt returns the process that receives messages to a member: the latest
// incarnation on the member's VM.
func (s *simulation) processAt(m Member) *process {
	var last *process
	for _, p := range s.processes {
		if p.self.VM == m.VM {
			last = p
		}
	}
	return last
}

func (s *simulation) runningProcesses() []*process {
	var out []*process
	for _, p := range s.processes {
		if !p.dead && !p.paused {
			out = append(out, p)
		}
	}
	return out
}

func (s *simulation) randomProcess() *process {
	r := s.runningProcesses()
	if len(r) == 0 {
		return nil
	}
	return r[s.rng.IntN(len(r))]
}

// isRemoved reports whether m's VM has been off the list for removalDelay.
func (s *simulation) isRemoved(m Member) bool {
	at, ok := s.unlistedAt[m.VM]
	return ok && s.now.Sub(at) >= removalDelay
}

func (s *simulation) send(to Member, run func(p *process)) {
	s.messages = append(s.messages, message{to, run})
}

// advance moves the time forward in steps of at most 500 ms, with a heartbeat
// of each running process in each step.
func (s *simulation) advance(d time.Duration) {
	for d > 0 {
		step := min(d, 500*time.Millisecond)
		s.now = s.now.Add(step)
		d -= step
		for _, p := range s.runningProcesses() {
			s.heartbeat(p)
		}
	}
}

func (s *simulation) heartbeat(p *process) {
	if !s.listed[p.self.VM] {
		p.RequireConfirmation()
	}
	p.Heartbeat(s.now)
	for _, m := range p.AwaitedMembers() {
		if s.isRemoved(m) {
			p.MemberRemoved(s.now, m)
		}
	}
}

// startPlan starts a plan at a random process, with random balance estimates.
func (s *simulation) startPlan(tokens int64) {
	p := s.randomProcess()
	if p == nil || p.gen.Number == 0 {
		return
	}
	s.lastID++
	id := ReservationID(fmt.Sprintf("%s-%d-%d", p.self.VM, p.self.Incarnation, s.lastID))
	plan := NewPlan(p.gen, s.account, testTerms, id, tokens)
	for i := range Shares {
		plan.SetEstimate(i, Parts(s.rng.IntN(testBurst+1)), time.Second)
	}
	s.continuePlan(&planRun{owner: p, plan: plan})
}

// continuePlan sends the plan's next request, or finishes the plan.
func (s *simulation) continuePlan(run *planRun) {
	run.requests++
	call, ok := run.plan.Next(run.owner.self)
	if !ok || run.requests > 2*Shares {
		s.finishPlan(run)
		return
	}
	sent := s.now
	if call.Holder == run.owner.self {
		s.handleResponse(run, call, sent, run.owner.Reserve(s.now, call.Request))
		return
	}
	received := false
	s.send(call.Holder, func(h *process) {
		response := h.Reserve(s.now, call.Request)
		s.send(run.owner.self, func(receiver *process) {
			if !received && receiver == run.owner { // A call returns only the first response.
				received = true
				s.handleResponse(run, call, sent, response)
			}
		})
	})
}

func (s *simulation) handleResponse(run *planRun, call HolderRequest, sent time.Time, response Response) {
	if !run.plan.AddResponse(sent, s.now, call, response) {
		s.settle(Part{Share: call.Request.Share, Holder: call.Holder, ID: call.Request.ID}, 0)
	}
	s.continuePlan(run)
}

// finishPlan admits the plan, or returns its parts.
func (s *simulation) finishPlan(run *planRun) {
	if !run.plan.Admit(s.now) {
		for _, part := range run.plan.Parts() {
			s.settle(part, 0)
		}
		return
	}
	total := Parts(0)
	for _, part := range run.plan.Parts() {
		total += part.Amount
	}
	adm := &admission{at: s.now, used: total, parts: run.plan.Parts(), owner: run.owner}
	s.admissions = append(s.admissions, adm)
	if run.plan.NeedsNotification() || s.rng.IntN(2) == 0 {
		s.notifyAdmitted(run.plan)
	}
	s.unsettled = append(s.unsettled, adm)
}

func (s *simulation) notifyAdmitted(plan *Plan) {
	for _, part := range plan.Parts() {
		s.send(part.Holder, func(h *process) { h.MarkAdmitted(s.now, part.Share, part.ID) })
	}
}

// settle sends a settlement to the part's holder, which forwards it to the
// current holder if it no longer has the share.
func (s *simulation) settle(part Part, used Parts) {
	s.send(part.Holder, func(h *process) {
		if h.Settle(s.now, part.Share, part.ID, used) {
			return
		}
		to := h.gen.Holder(part.Share)
		s.send(to, func(h *process) { h.Settle(s.now, part.Share, part.ID, used) })
	})
}

// settleRandom settles a random admission, unless its owner is not running.
func (s *simulation) settleRandom() {
	if len(s.unsettled) == 0 {
		return
	}
	i := s.rng.IntN(len(s.unsettled))
	adm := s.unsettled[i]
	s.unsettled = append(s.unsettled[:i], s.unsettled[i+1:]...)
	if adm.owner.dead || adm.owner.paused {
		return
	}
	tokens := int64(adm.used) / Shares
	used := s.rng.Int64N(tokens + 1)
	for j, u := range SplitUsed(adm.parts, used) {
		s.settle(adm.parts[j], u)
	}
	adm.used = PartsOf(used)
}

// deliver delivers a random message, unless its receiver is paused. If duplicate
// is true, the message stays in transit and can be delivered again.
func (s *simulation) deliver(duplicate bool) {
	if len(s.messages) == 0 {
		return
	}
	i := s.rng.IntN(len(s.messages))
	m := s.messages[i]
	p := s.processAt(m.to)
	if p != nil && p.paused {
		return
	}
	if !duplicate {
		s.messages = append(s.messages[:i], s.messages[i+1:]...)
	}
	if p != nil && !p.dead {
		m.run(p)
	}
}

func (s *simulation) dropMessage() {
	if len(s.messages) == 0 {
		return
	}
	i := s.rng.IntN(len(s.messages))
	s.messages = append(s.messages[:i], s.messages[i+1:]...)
}

// proposeGeneration writes the next generation from the state of a random
// process. If responseLost is true, that process does not install it.
func (s *simulation) proposeGeneration(responseLost bool) {
	p := s.randomProcess()
	if p == nil || !s.storeUp || p.gen.Number != s.record.Number {
		return
	}
	next, ok := p.gen.NextAfter(s.randomChange(p), s.reports())
	if !ok {
		return
	}
	s.record = next
	if !responseLost {
		p.Install(s.now, next)
	}
}

func (s *simulation) randomChange(p *process) Change {
	var c Change
	for _, m := range p.gen.Members {
		if s.isRemoved(m) {
			c.Removed = append(c.Removed, m)
		}
	}
	other := s.randomProcess()
	if !s.listed[other.self.VM] {
		return c
	}
	if other.gen.HasMember(other.self) && s.rng.IntN(3) == 0 {
		c.Left = append(c.Left, other.self)
	} else {
		c.Joined = append(c.Joined, other.self)
	}
	return c
}

func (s *simulation) reports() []Report {
	var out []Report
	for _, p := range s.runningProcesses() {
		out = append(out, Report{Member: p.self, Generation: p.gen.Number, HandoversDone: p.HandoversDone()})
	}
	return out
}

// readRecord installs the store's record at a random process, or the generation
// of another process while the store is down.
func (s *simulation) readRecord() {
	p := s.randomProcess()
	if p == nil {
		return
	}
	if !s.storeUp {
		p.Install(s.now, s.randomProcess().gen)
		return
	}
	p.Install(s.now, s.record)
	if s.listed[p.self.VM] {
		p.ConfirmGeneration(s.now, s.record.Number)
	}
}

// sendHandovers sends a random process's unacknowledged handovers, including
// those already sent.
func (s *simulation) sendHandovers() {
	p := s.randomProcess()
	if p == nil {
		return
	}
	for _, h := range p.OutgoingHandovers() {
		handover := *h
		s.send(handover.ID.To, func(to *process) {
			receipt := to.Receive(s.now, handover)
			if receipt == ReceiptNotReady {
				return
			}
			s.send(p.self, func(from *process) { from.Acknowledge(handover.ID) })
		})
	}
}

func (s *simulation) pauseProcess() {
	if p := s.randomProcess(); p != nil {
		p.paused = true
	}
}

func (s *simulation) resumeSome() {
	for _, p := range s.processes {
		if p.paused && s.rng.IntN(2) == 0 {
			p.paused = false
		}
	}
}

// unlistStopped removes the VM of one paused or dead process from the list.
func (s *simulation) unlistStopped() {
	for _, p := range s.processes {
		if (p.paused || p.dead) && s.listed[p.self.VM] {
			s.listed[p.self.VM] = false
			s.unlistedAt[p.self.VM] = s.now
			return
		}
	}
}

// restartProcess ends a process and starts another incarnation on its VM.
func (s *simulation) restartProcess() {
	p := s.randomProcess()
	if p == nil {
		return
	}
	p.dead = true
	if s.listed[p.self.VM] {
		s.startProcess(p.self.VM)
	}
}

func (s *simulation) killProcess() {
	if p := s.randomProcess(); p != nil {
		p.dead = true
	}
}

func (s *simulation) addVM() {
	if len(s.listed) < maxVMs {
		s.startProcess(s.newVM())
	}
}

// excess returns by how many parts the worst window exceeds the limit, with a
// leaky bucket that drains at the rate.
func excess(all []*admission) int64 {
	// level is in parts times nanoseconds, so that the drain is a whole number.
	const perPart = int64(time.Second)
	maxExcess, level := int64(0), int64(0)
	for i, adm := range all {
		if i > 0 {
			elapsed := int64(adm.at.Sub(all[i-1].at))
			level = max(level-elapsed*testRate*Shares, 0)
		}
		level += int64(adm.used) * perPart
		maxExcess = max(maxExcess, level-testBurst*Shares*perPart)
	}
	return (maxExcess + perPart - 1) / perPart
}

// reserveMany starts plans of up to maxTokens tokens each at random processes.
func (s *simulation) reserveMany(maxTokens int64) {
	for range 2 + s.rng.IntN(12) {
		s.startPlan(1 + s.rng.Int64N(maxTokens))
		s.deliverSome(4)
	}
}

// reserveWithSlowResponses starts a large reservation whose responses arrive
// late, and then small ones for the remaining tokens.
func (s *simulation) reserveWithSlowResponses() {
	s.startPlan(testBurst/2 + s.rng.Int64N(testBurst/2+1))
	for range 1 + s.rng.IntN(5) {
		s.deliverSome(5)
		s.advance(time.Duration(s.rng.IntN(200)) * time.Millisecond)
	}
	s.deliverSome(20)
	s.reserveMany(1)
}

// deliverSome delivers up to limit random messages.
func (s *simulation) deliverSome(limit int) {
	for range s.rng.IntN(limit + 1) {
		s.deliver(false)
	}
}

// runMaintenance runs the periodic work once per running process, each time at
// random processes: read the record and send handovers. Then a random
// process proposes a generation.
func (s *simulation) runMaintenance() {
	for range len(s.runningProcesses()) {
		s.readRecord()
		s.sendHandovers()
		s.deliverSome(6)
	}
	s.proposeGeneration(s.rng.IntN(5) == 0)
}

// resumeAfterRemoval pauses a process until the others treat it as removed. The
// process then resumes with the state in which it held its shares.
func (s *simulation) resumeAfterRemoval() {
	p := s.randomProcess()
	if p == nil || len(s.runningProcesses()) < 2 || !s.listed[p.self.VM] {
		return
	}
	s.storeUp = true
	p.paused = true
	s.listed[p.self.VM] = false
	s.unlistedAt[p.self.VM] = s.now
	s.advance(removalDelay)
	for range 3 {
		s.runMaintenance()
		s.advance(500 * time.Millisecond)
	}
	s.reserveMany(5)
	p.paused = false
	s.reserveMany(5)
}

// injectFault injects one random fault or its recovery.
func (s *simulation) injectFault() {
	faults := []func(){
		s.dropMessage, func() { s.deliver(true) },
		s.pauseProcess, s.pauseProcess, s.resumeSome, s.unlistStopped, s.unlistStopped, s.restartProcess, s.killProcess,
		s.addVM, s.addVM, s.resumeAfterRemoval, s.resumeAfterRemoval,
		func() { s.storeUp = false }, func() { s.storeUp = true }, func() { s.storeUp = true },
	}
	faults[s.rng.IntN(len(faults))]()
	if len(s.runningProcesses()) == 0 {
		s.resumeAll()
	}
}

// resumeAll resumes every paused process, and starts one if none is running.
func (s *simulation) resumeAll() {
	for _, p := range s.processes {
		p.paused = false
	}
	if len(s.runningProcesses()) == 0 {
		s.startProcess(s.newVM())
	}
}

// This test guards the admission bound: lost, late and duplicate messages, pauses,
// restarts, VM removals and store outages must not let any window admit more
// than burst + rate x window. The action names repeat an action to raise its
// probability.
func TestNoWindowExceedsRateAndBurstUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(rapid.Uint64Range(0, 1<<32).Draw(t, "seed"))
		act := func(f func()) func(*rapid.T) { return func(*rapid.T) { f() } }
		flood := func(t *rapid.T) { s.reserveMany(rapid.SampledFrom([]int64{1, 5, testBurst}).Draw(t, "most")) }
		wait := func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 900).Draw(t, "milliseconds")) * time.Millisecond)
		}
		waitLong := func(t *rapid.T) {
			s.advance(time.Duration(rapid.IntRange(1, 12).Draw(t, "seconds")) * time.Second)
		}
		t.Repeat(map[string]func(*rapid.T){
			"":          func(t *rapid.T) { checkWindows(t, s) },
			"flood1":    flood,
			"flood2":    flood,
			"flood3":    flood,
			"deliver":   act(func() { s.deliverSome(30) }),
			"gather":    act(s.reserveWithSlowResponses),
			"settle":    act(func() { s.settleRandom(); s.settleRandom(); s.deliverSome(6) }),
			"wait1":     wait,
			"wait2":     wait,
			"waitLong":  waitLong,
			"progress1": act(s.runMaintenance),
			"progress2": act(s.runMaintenance),
			"progress3": act(s.runMaintenance),
			"fault1":    act(s.injectFault),
			"fault2":    act(s.injectFault),
		})
	})
}

func checkWindows(t *rapid.T, s *simulation) {
	if parts := excess(s.admissions); parts > 0 {
		t.Fatalf("a window admitted %d parts (a token has %d) more than burst + rate x window", parts, Shares)
	}
}
