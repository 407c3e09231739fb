package shares

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/rpc"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
)

const (
	// attempts is how often a reservation is tried when a generation has
	// changed under it.
	attempts = 2
	// silentFor is how long a holder that did not answer is left out.
	silentFor = time.Second
	// maxDiscoverCalls bounds how many entries are asked for the generation.
	maxDiscoverCalls = 3
	// unknownWait is told where no estimate can be made.
	unknownWait = 5 * time.Second
)

// Denied says that the tokens are not to be had now.
type Denied struct {
	RetryAfter   time.Duration // Estimate of when they are; above zero.
	ExceedsBurst bool          // They never are.
}

// Error implements error.
func (d *Denied) Error() string {
	if d.ExceedsBurst {
		return "more tokens than the burst"
	}
	return fmt.Sprintf("tokens used up, retry after %s", d.RetryAfter)
}

// holding is the part of a Keeper that an Asker in the same process uses.
type holding interface {
	Generation() limit.Generation
	Learn(gen limit.Generation)
	reserve(req limit.Request) limit.Answer
	settle(s settlement) bool
}

// AskerOptions configures NewAsker.
type AskerOptions struct {
	Self    limit.Member
	Keeper  *Keeper // Of the same process; nil where it holds no shares.
	Client  *transport.Client
	Peers   Peers
	Metrics tally.Scope
}

// Asker gathers tokens from the holders. It is safe for concurrent use.
type Asker struct {
	opts    AskerOptions
	remote  remote
	local   holding
	settler *settler
	next    atomic.Uint64
	metrics askerMetrics

	mu     sync.Mutex
	hints  map[limit.ShareID]hint
	silent map[ident.VM]time.Time // Left out until then.
}

// hint is what an answer said of a share.
type hint struct {
	left limit.Parts
	at   time.Time
}

type askerMetrics struct {
	local   tally.Counter
	calls   tally.Counter
	lost    tally.Counter
	denied  tally.Counter
	granted tally.Counter
}

// NewAsker returns an Asker. Serve sends its settlements.
func NewAsker(opts AskerOptions) *Asker {
	scope := opts.Metrics.SubScope("limit")
	a := &Asker{
		opts:   opts,
		remote: remote{client: opts.Client, peers: opts.Peers},
		hints:  make(map[limit.ShareID]hint),
		silent: make(map[ident.VM]time.Time),
		metrics: askerMetrics{
			local:   scope.Counter("local_reservations"),
			calls:   scope.Counter("reserve_calls"),
			lost:    scope.Counter("reserve_calls_unanswered"),
			denied:  scope.Counter("denied_reservations"),
			granted: scope.Counter("granted_reservations"),
		},
	}
	a.local = &learned{}
	if opts.Keeper != nil {
		a.local = opts.Keeper
	}
	a.settler = newSettler(a.remote, a.local, opts.Self, scope)
	return a
}

// Reservation is a number of tokens that were given.
type Reservation struct {
	asker  *Asker
	parts  []limit.Part
	tokens int64
	once   sync.Once
}

// Settle ends the reservation: the tokens above used go back. Later calls do
// nothing.
func (r *Reservation) Settle(used int64) {
	r.once.Do(func() { r.asker.giveBack(r.parts, used) })
}

// Reserve takes all of the tokens or returns *Denied, or ErrNoGeneration.
func (a *Asker) Reserve(ctx context.Context, account limit.Account, terms limit.Terms, tokens int64) (*Reservation, error) {
	if tokens > terms.Burst {
		return nil, &Denied{ExceedsBurst: true}
	}
	tokens = max(tokens, 1)
	var plan *limit.Plan
	for range attempts {
		gen := a.generation(ctx)
		if gen.Number == 0 {
			return nil, ErrNoGeneration
		}
		plan = a.newPlan(gen, account, terms, tokens)
		if plan.InVain() {
			break
		}
		a.gather(ctx, plan)
		if plan.Admit(time.Now()) {
			a.metrics.granted.Inc(1)
			a.tell(plan)
			return &Reservation{asker: a, parts: plan.Parts(), tokens: tokens}, nil
		}
		a.giveBack(plan.Parts(), 0)
		if !plan.Answered() {
			a.discover(ctx)
		}
		if a.local.Generation().Number == gen.Number {
			break
		}
	}
	a.metrics.denied.Inc(1)
	return nil, denied(plan)
}

// generation returns the known generation, or asks for it where none is known.
func (a *Asker) generation(ctx context.Context) limit.Generation {
	gen := a.local.Generation()
	if gen.Number > 0 || a.opts.Keeper != nil {
		return gen
	}
	a.discover(ctx)
	return a.local.Generation()
}

// discover asks entries on the VM list until one tells the generation. A
// Keeper learns by itself.
func (a *Asker) discover(ctx context.Context) {
	if a.opts.Keeper != nil {
		return
	}
	vms := a.opts.Peers.VMs()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(len(vms), maxDiscoverCalls)] {
		resp, err := a.remote.inspect(ctx, vm, a.local.Generation().Number)
		if err != nil || resp.GetGeneration() == 0 {
			continue
		}
		if resp.GetNewer() != nil {
			a.local.Learn(generationFromRPC(resp.GetNewer()))
		}
		return
	}
}

func denied(plan *limit.Plan) *Denied {
	wait, ok := plan.RetryAfter()
	if !ok {
		wait = unknownWait
	}
	return &Denied{RetryAfter: max(wait, time.Millisecond)}
}

// newPlan returns a plan that knows the hints and the silent holders.
func (a *Asker) newPlan(gen limit.Generation, account limit.Account, terms limit.Terms, tokens int64) *limit.Plan {
	id := string(a.opts.Self.VM) + "/" + strconv.FormatUint(uint64(a.opts.Self.Incarnation), 36) +
		"/" + strconv.FormatUint(a.next.Add(1), 36)
	plan := limit.NewPlan(gen, account, terms, limit.ReservationID(id), tokens)
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := range limit.Shares {
		if h, ok := a.hints[limit.ShareID{Account: account, Index: i}]; ok {
			plan.Estimate(i, h.left, now.Sub(h.at))
		}
		if until, ok := a.silent[plan.HolderOf(i).VM]; ok && now.Before(until) {
			plan.Skip(i)
		}
	}
	return plan
}

// gather asks holders until the plan has all or there is nobody left to ask.
func (a *Asker) gather(ctx context.Context, plan *limit.Plan) {
	for {
		ask, ok := plan.Next(a.opts.Self)
		if !ok {
			return
		}
		sent := time.Now()
		answer, err := a.ask(ctx, ask)
		if err != nil {
			a.noAnswer(ctx, ask)
			continue
		}
		if answer.Status == limit.StatusOK {
			a.remember(ask.Request.Share, answer.Left)
		}
		if !plan.Take(sent, time.Now(), ask, answer) {
			a.giveBack([]limit.Part{{Share: ask.Request.Share, Holder: ask.Holder, ID: ask.Request.ID}}, 0)
		}
		if answer.Status == limit.StatusGeneration {
			return
		}
	}
}

func (a *Asker) ask(ctx context.Context, ask limit.Ask) (limit.Answer, error) {
	if ask.Holder == a.opts.Self {
		a.metrics.local.Inc(1)
		return a.local.reserve(ask.Request), nil
	}
	a.metrics.calls.Inc(1)
	var resp *rpc.ReserveResponse
	err := a.remote.call(ctx, ask.Holder.VM, askTimeout, func(ctx context.Context, stub rpc.Shares) (err error) {
		resp, err = stub.Reserve(ctx, requestToRPC(ask.Request))
		return err
	})
	if err != nil {
		return limit.Answer{}, err
	}
	if newer := resp.GetNewer(); newer != nil {
		a.local.Learn(generationFromRPC(newer))
	}
	return answerFromRPC(resp), nil
}

// noAnswer gives back what an unanswered call may have taken, and leaves the
// holder out for a while unless it was the caller that gave up.
func (a *Asker) noAnswer(ctx context.Context, ask limit.Ask) {
	a.metrics.lost.Inc(1)
	a.giveBack([]limit.Part{{Share: ask.Request.Share, Holder: ask.Holder, ID: ask.Request.ID}}, 0)
	if ctx.Err() != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent[ask.Holder.VM] = time.Now().Add(silentFor)
}

func (a *Asker) remember(id limit.ShareID, left limit.Parts) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.hints[id] = hint{left: left, at: time.Now()}
}

// tell lets the holders know that a plan was admitted.
func (a *Asker) tell(plan *limit.Plan) {
	if !plan.Tell() {
		return
	}
	for _, part := range plan.Parts() {
		a.settler.add(settlement{share: part.Share, id: part.ID, admitted: true, to: part.Holder.VM})
	}
}

func (a *Asker) giveBack(parts []limit.Part, used int64) {
	for i, u := range limit.Use(parts, used) {
		a.settler.add(settlement{share: parts[i].Share, id: parts[i].ID, used: u, to: parts[i].Holder.VM})
	}
}

// Serve sends settlements until ctx ends, and then what is left.
func (a *Asker) Serve(ctx context.Context) error {
	return a.settler.serve(ctx)
}

// learned is the generation as a process without shares knows it.
type learned struct {
	gen atomic.Pointer[limit.Generation]
}

// Generation implements holding.
func (l *learned) Generation() limit.Generation {
	gen := l.gen.Load()
	if gen == nil {
		return limit.Generation{}
	}
	return *gen
}

// Learn implements holding.
func (l *learned) Learn(gen limit.Generation) {
	gen = gen.Hashed()
	for {
		old := l.gen.Load()
		if old != nil && old.Number >= gen.Number {
			return
		}
		if l.gen.CompareAndSwap(old, &gen) {
			return
		}
	}
}

func (l *learned) reserve(limit.Request) limit.Answer {
	return limit.Answer{Status: limit.StatusNotHolder}
}

func (l *learned) settle(settlement) bool {
	return false
}
