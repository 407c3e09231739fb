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
	// maxReserveAttempts bounds the attempts of one reservation. A second
	// attempt is made only if a new generation was installed during the first.
	maxReserveAttempts = 2
	// unresponsiveBackoff is how long reservation plans skip a holder that did not respond.
	unresponsiveBackoff = time.Second
	// maxDiscoverCalls bounds the entries queried for the generation in one
	// discovery.
	maxDiscoverCalls = 3
	// defaultRetryAfter is returned if the reservation plan has no estimate.
	defaultRetryAfter = 5 * time.Second
)

// DeniedError is returned if the tokens are not available now.
type DeniedError struct {
	RetryAfter   time.Duration // Estimated time until the tokens are available; above zero.
	ExceedsBurst bool          // The request is larger than the burst and never succeeds.
}

// Error implements error.
func (d *DeniedError) Error() string {
	if d.ExceedsBurst {
		return "request exceeds the burst of the account"
	}
	return fmt.Sprintf("tokens of the account are used up, retry after %s", d.RetryAfter)
}

// localHolder is the part of ShareHolder that a Reserver in the same process uses.
type localHolder interface {
	Generation() limit.Generation
	InstallGeneration(gen limit.Generation)
	reserve(req limit.Request) limit.Response
	settle(s settlement) bool
}

// ReserverOptions configures NewReserver.
type ReserverOptions struct {
	Self        limit.Member
	ShareHolder *ShareHolder // Share holder of the same process; nil if the process holds no shares.
	Client      *transport.Client
	Peers       Peers
	Metrics     tally.Scope
}

// Reserver reserves tokens of accounts from the share holders. It is safe for
// concurrent use.
type Reserver struct {
	opts            ReserverOptions
	remote          remote
	local           localHolder
	settlementQueue *settlementQueue
	nextReservation atomic.Uint64 // Number in the next reservation ID.
	metrics         reserverMetrics

	mu                sync.Mutex
	balanceHints      map[limit.ShareID]balanceHint
	unresponsiveUntil map[ident.VM]time.Time // Holders that plans skip until that time.
}

// balanceHint is the balance of a share according to the last response of its
// holder.
type balanceHint struct {
	remaining  limit.Parts
	receivedAt time.Time
}

type reserverMetrics struct {
	localReservations tally.Counter
	calls             tally.Counter
	unanswered        tally.Counter
	denied            tally.Counter
	granted           tally.Counter
}

// NewReserver returns a Reserver. Its settlements are sent while Serve runs.
func NewReserver(opts ReserverOptions) *Reserver {
	scope := opts.Metrics.SubScope("limit")
	r := &Reserver{
		opts:              opts,
		remote:            remote{client: opts.Client, peers: opts.Peers},
		balanceHints:      make(map[limit.ShareID]balanceHint),
		unresponsiveUntil: make(map[ident.VM]time.Time),
		metrics: reserverMetrics{
			localReservations: scope.Counter("local_reservations"),
			calls:             scope.Counter("reserve_calls"),
			unanswered:        scope.Counter("reserve_calls_unanswered"),
			denied:            scope.Counter("denied_reservations"),
			granted:           scope.Counter("granted_reservations"),
		},
	}
	r.local = &generationCache{}
	if opts.ShareHolder != nil {
		r.local = opts.ShareHolder
	}
	r.settlementQueue = newSettlementQueue(r.remote, r.local, opts.Self, scope)
	return r
}

// Reservation is a granted number of tokens.
type Reservation struct {
	reserver *Reserver
	parts    []limit.Part
	tokens   int64
	once     sync.Once
}

// Settle ends the reservation and returns the tokens beyond used to the shares.
// Only the first call has an effect.
func (r *Reservation) Settle(used int64) {
	r.once.Do(func() { r.reserver.release(r.parts, used) })
}

// Reserve reserves all of the tokens or none. It returns *DeniedError if not all
// of them are available now, and ErrNoGeneration if the process has no generation.
func (r *Reserver) Reserve(ctx context.Context, account limit.Account, terms limit.Terms, tokens int64) (*Reservation, error) {
	if tokens > terms.Burst {
		return nil, &DeniedError{ExceedsBurst: true}
	}
	tokens = max(tokens, 1)
	var plan *limit.Plan
	for range maxReserveAttempts {
		gen := r.generation(ctx)
		if gen.Number == 0 {
			return nil, ErrNoGeneration
		}
		plan = r.newPlan(gen, account, terms, tokens)
		if plan.CannotSucceed() {
			break
		}
		r.gather(ctx, plan)
		if plan.Admit(time.Now()) {
			r.metrics.granted.Inc(1)
			r.notifyAdmitted(plan)
			return &Reservation{reserver: r, parts: plan.Parts(), tokens: tokens}, nil
		}
		r.release(plan.Parts(), 0)
		if !plan.HasBalance() {
			r.discover(ctx)
		}
		if r.local.Generation().Number == gen.Number {
			break
		}
	}
	r.metrics.denied.Inc(1)
	return nil, deniedError(plan)
}

// generation returns the known generation. A process without a ShareHolder that
// has none runs a discovery first.
func (r *Reserver) generation(ctx context.Context) limit.Generation {
	gen := r.local.Generation()
	if gen.Number > 0 || r.opts.ShareHolder != nil {
		return gen
	}
	r.discover(ctx)
	return r.local.Generation()
}

// discover queries entries on the VM list in random order until one reports a
// generation. It does nothing in a process with a ShareHolder, which finds the
// generation itself.
func (r *Reserver) discover(ctx context.Context) {
	if r.opts.ShareHolder != nil {
		return
	}
	vms := r.opts.Peers.VMs()
	rand.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	for _, vm := range vms[:min(len(vms), maxDiscoverCalls)] {
		resp, err := r.remote.inspect(ctx, vm, r.local.Generation().Number)
		if err != nil || resp.GetGeneration() == 0 {
			continue
		}
		if resp.GetNewer() != nil {
			r.local.InstallGeneration(generationFromRPC(resp.GetNewer()))
		}
		return
	}
}

// deniedError returns the error for a plan that did not gather its tokens.
func deniedError(plan *limit.Plan) *DeniedError {
	wait, ok := plan.RetryAfter()
	if !ok {
		wait = defaultRetryAfter
	}
	return &DeniedError{RetryAfter: max(wait, time.Millisecond)}
}

// newPlan returns a plan that starts from the recorded balances and skips
// unresponsive holders.
func (r *Reserver) newPlan(gen limit.Generation, account limit.Account, terms limit.Terms, tokens int64) *limit.Plan {
	id := string(r.opts.Self.VM) + "/" + strconv.FormatUint(uint64(r.opts.Self.Incarnation), 36) +
		"/" + strconv.FormatUint(r.nextReservation.Add(1), 36)
	plan := limit.NewPlan(gen, account, terms, limit.ReservationID(id), tokens)
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range limit.Shares {
		if h, ok := r.balanceHints[limit.ShareID{Account: account, Index: i}]; ok {
			plan.SetEstimate(i, h.remaining, now.Sub(h.receivedAt))
		}
		if until, ok := r.unresponsiveUntil[plan.HolderOf(i).VM]; ok && now.Before(until) {
			plan.ExcludeShare(i)
		}
	}
	return plan
}

// gather sends requests to holders until the plan has all tokens, has no holder
// left to try, or uses an outdated generation.
func (r *Reserver) gather(ctx context.Context, plan *limit.Plan) {
	for {
		request, ok := plan.Next(r.opts.Self)
		if !ok {
			return
		}
		sent := time.Now()
		response, err := r.sendRequest(ctx, request)
		if err != nil {
			r.handleUnanswered(ctx, request)
			continue
		}
		if response.Status == limit.StatusOK {
			r.recordBalance(request.Request.Share, response.Remaining)
		}
		if !plan.AddResponse(sent, time.Now(), request, response) {
			// The holder took parts that the plan does not use.
			r.release([]limit.Part{{Share: request.Request.Share, Holder: request.Holder, ID: request.Request.ID}}, 0)
		}
		if response.Status == limit.StatusGenerationMismatch {
			return
		}
	}
}

// sendRequest sends one request to its holder, without a call if this process
// is the holder. It installs a newer generation that the response carries.
func (r *Reserver) sendRequest(ctx context.Context, request limit.HolderRequest) (limit.Response, error) {
	if request.Holder == r.opts.Self {
		r.metrics.localReservations.Inc(1)
		return r.local.reserve(request.Request), nil
	}
	r.metrics.calls.Inc(1)
	var resp *rpc.ReserveResponse
	err := r.remote.call(ctx, request.Holder.VM, callTimeout, func(ctx context.Context, stub rpc.Shares) (err error) {
		resp, err = stub.Reserve(ctx, requestToRPC(request.Request))
		return err
	})
	if err != nil {
		return limit.Response{}, err
	}
	if newer := resp.GetNewer(); newer != nil {
		r.local.InstallGeneration(generationFromRPC(newer))
	}
	return responseFromRPC(resp), nil
}

// handleUnanswered releases what an unanswered call may have reserved. It marks
// the holder as unresponsive unless ctx has ended, in which case the caller of
// Reserve gave up.
func (r *Reserver) handleUnanswered(ctx context.Context, request limit.HolderRequest) {
	r.metrics.unanswered.Inc(1)
	r.release([]limit.Part{{Share: request.Request.Share, Holder: request.Holder, ID: request.Request.ID}}, 0)
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unresponsiveUntil[request.Holder.VM] = time.Now().Add(unresponsiveBackoff)
}

// recordBalance stores the balance that a response reported for a share.
func (r *Reserver) recordBalance(id limit.ShareID, remaining limit.Parts) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.balanceHints[id] = balanceHint{remaining: remaining, receivedAt: time.Now()}
}

// notifyAdmitted notifies the holders that the plan was admitted, if the plan
// is large enough to be worth the calls.
func (r *Reserver) notifyAdmitted(plan *limit.Plan) {
	if !plan.NeedsNotification() {
		return
	}
	for _, part := range plan.Parts() {
		r.settlementQueue.add(settlement{share: part.Share, id: part.ID, admitted: true, holder: part.Holder.VM})
	}
}

// release settles the parts of a reservation, of which used tokens were used.
func (r *Reserver) release(parts []limit.Part, used int64) {
	for i, partUsed := range limit.SplitUsed(parts, used) {
		r.settlementQueue.add(settlement{share: parts[i].Share, id: parts[i].ID, used: partUsed, holder: parts[i].Holder.VM})
	}
}

// Serve sends settlements until ctx ends, and then flushes the queue once.
func (r *Reserver) Serve(ctx context.Context) error {
	return r.settlementQueue.serve(ctx)
}

// generationCache is the localHolder of a process without shares. It stores
// only the latest known generation.
type generationCache struct {
	gen atomic.Pointer[limit.Generation]
}

// Generation implements localHolder.
func (c *generationCache) Generation() limit.Generation {
	gen := c.gen.Load()
	if gen == nil {
		return limit.Generation{}
	}
	return *gen
}

// InstallGeneration implements localHolder.
func (c *generationCache) InstallGeneration(gen limit.Generation) {
	gen = gen.WithHashes()
	for {
		old := c.gen.Load()
		if old != nil && old.Number >= gen.Number {
			return
		}
		if c.gen.CompareAndSwap(old, &gen) {
			return
		}
	}
}

func (c *generationCache) reserve(limit.Request) limit.Response {
	return limit.Response{Status: limit.StatusNotHolder}
}

func (c *generationCache) settle(settlement) bool {
	return false
}
