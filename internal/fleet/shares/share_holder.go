package shares

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/errgroup"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/store"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/members"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/timeline"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/transport"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/limit"
	"github.com/hyssoptiller/hyssoptiller/internal/sleep"
)

const (
	// roundInterval is the time between two maintenance rounds.
	roundInterval = 500 * time.Millisecond
	// startRoundInterval is the time between two rounds while the share holder is not
	// ready.
	startRoundInterval = 20 * time.Millisecond
	// peerQueryInterval is the time between two queries of a peer for its
	// generation.
	peerQueryInterval = 2 * time.Second
	// maxJoinWait is how long a process that has the generation waits to
	// become a member. After that it is ready without shares and only reserves
	// from others.
	maxJoinWait = time.Second
	// memberExpiry is how long a VM must be off the VM list until its process
	// has certainly ended. The time is long enough for a process that was
	// paused to detect the pause.
	memberExpiry = limit.MaxHeartbeatGap + limit.ResponseLifetime + 1500*time.Millisecond
	// unseenMemberAllowance is added to memberExpiry for a VM that this process
	// has never seen on the VM list, because the list may show a new VM late.
	unseenMemberAllowance = 30 * time.Second
)

// ShareHolderOptions configures NewShareHolder.
type ShareHolderOptions struct {
	Self     limit.Member
	Members  members.View
	Store    store.Store
	Client   *transport.Client
	Log      *logrus.Entry
	Timeline *timeline.Ring
	Metrics  tally.Scope
	OnReady  func() // Called once, when Ready first returns true; may be nil.
	// ReadVMList returns the last reading of the VM list.
	ReadVMList func() VMListing
}

// VMListing is one reading of the VM list.
type VMListing struct {
	EntryVMs []ident.VM
	ReadAt   time.Time // Zero before the first reading.
}

// VMListingFrom returns a function that returns the last reading of a directory.
func VMListingFrom(d *directory.Directory) func() VMListing {
	return func() VMListing {
		view := d.View()
		listing := VMListing{ReadAt: view.ReadAt}
		for _, vm := range view.Entries() {
			listing.EntryVMs = append(listing.EntryVMs, vm.ID)
		}
		return listing
	}
}

func (l VMListing) contains(vm ident.VM) bool {
	return slices.Contains(l.EntryVMs, vm)
}

// ShareHolder holds the shares of this process and takes part in transferring them.
// It is safe for concurrent use.
type ShareHolder struct {
	opts            ShareHolderOptions
	remote          remote
	records         *records
	generationGauge tally.Gauge
	wakeup          chan struct{} // Starts the next round early.
	readyOnce       sync.Once     // Guards OnReady.
	lastPeerQuery   time.Time     // Used by maintenanceLoop only.

	mu               sync.Mutex
	firstInstalledAt time.Time // Zero before the first generation is installed.
	holder           *limit.Holder
	offListSince     map[ident.VM]time.Time // First reading of the VM list without the member.
	listReadAt       time.Time              // Reading of the VM list that offListSince is based on.
	seenListed       map[ident.VM]bool      // Members that were on the VM list in any reading.
	pendingChange    limit.Change           // Requested and not yet in a generation.
	leaving          bool
	degraded         degradation
}

// NewShareHolder returns a ShareHolder without shares.
func NewShareHolder(opts ShareHolderOptions) *ShareHolder {
	return &ShareHolder{
		opts:            opts,
		remote:          remote{client: opts.Client, peers: PeersFromView(opts.Members)},
		records:         &records{store: opts.Store},
		generationGauge: opts.Metrics.SubScope("limit").Gauge("generation_number"),
		wakeup:          make(chan struct{}, 1),
		holder:          limit.NewHolder(opts.Self, time.Now()),
		offListSince:    make(map[ident.VM]time.Time),
	}
}

// Serve runs the share holder until ctx ends. It implements suture.Service.
func (h *ShareHolder) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return h.watchLoop(ctx) })
	group.Go(func() error { return h.heartbeatLoop(ctx) })
	group.Go(func() error { return h.maintenanceLoop(ctx) })
	return group.Wait()
}

// heartbeatLoop records that the process is running, so that a pause of the
// process is detected. It makes no calls, so that only a pause of the whole
// process delays it. A member that is off the VM list must instead confirm its
// generation before it grants tokens.
func (h *ShareHolder) heartbeatLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		h.mu.Lock()
		if !h.isListed() && h.holder.Generation().HasMember(h.opts.Self) {
			h.holder.RequireConfirmation()
		} else {
			h.holder.Heartbeat(time.Now())
		}
		h.mu.Unlock()
		_ = sleep.For(ctx, roundInterval)
	}
	return ctx.Err()
}

// maintenanceLoop runs the rounds that make calls: expiry of members,
// confirmation, handovers and membership changes.
func (h *ShareHolder) maintenanceLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		h.expireMembers()
		h.confirmGeneration(ctx)
		h.sendHandovers(ctx)
		h.queryPeer(ctx)
		h.updateMembership(ctx)
		h.updateDegradation(time.Now())
		h.notifyReady()
		h.waitForNextRound(ctx)
	}
	return ctx.Err()
}

// notifyReady calls OnReady the first time that the share holder is ready.
func (h *ShareHolder) notifyReady() {
	if h.opts.OnReady != nil && h.Ready() {
		h.readyOnce.Do(h.opts.OnReady)
	}
}

// waitForNextRound blocks until the next round is due, wake is called or ctx
// ends.
func (h *ShareHolder) waitForNextRound(ctx context.Context) {
	interval := roundInterval
	if !h.Ready() {
		interval = startRoundInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wakeup:
	case <-ctx.Done():
	}
}

// wake starts the next round without waiting for the interval.
func (h *ShareHolder) wake() {
	select {
	case h.wakeup <- struct{}{}:
	default:
	}
}

// Ready reports whether the process can reserve tokens. It is ready when it
// has the generation and either has received all of its shares or, as a
// non-member, has waited maxJoinWait to join.
func (h *ShareHolder) Ready() bool {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	gen := h.holder.Generation()
	if gen.Number == 0 {
		return false
	}
	if !gen.HasMember(h.opts.Self) {
		return now.Sub(h.firstInstalledAt) > maxJoinWait
	}
	return !h.holder.NeedsConfirmation(now) && len(h.holder.AwaitedMembers()) == 0
}

// Generation returns the installed generation; number 0 if there is none.
func (h *ShareHolder) Generation() limit.Generation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Generation()
}

// InstallGeneration installs gen if it is later than the installed generation.
func (h *ShareHolder) InstallGeneration(gen limit.Generation) {
	h.mu.Lock()
	installed := h.holder.Install(time.Now(), gen)
	h.recordFirstInstall()
	h.mu.Unlock()
	if installed {
		h.wake()
		h.recordShareMove("generation installed", gen.Number)
	}
}

// recordFirstInstall stores the time at which the first generation was
// installed. h.mu must be held.
func (h *ShareHolder) recordFirstInstall() {
	if h.firstInstalledAt.IsZero() && h.holder.Generation().Number > 0 {
		h.firstInstalledAt = time.Now()
	}
}

func (h *ShareHolder) reserve(req limit.Request) limit.Response {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.holder.Reserve(time.Now(), req)
}

func (h *ShareHolder) settle(s settlement) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.admitted {
		return h.holder.MarkAdmitted(time.Now(), s.share, s.id)
	}
	return h.holder.Settle(time.Now(), s.share, s.id, s.used)
}

// isListed reports whether this process is on the VM list. The members.View
// cannot be used for this, because it always includes the process itself.
func (h *ShareHolder) isListed() bool {
	return h.opts.ReadVMList().contains(h.opts.Self.VM)
}

// expireMembers finds members whose process has certainly ended, and restarts
// the shares whose handover from them is outstanding. Only the time between
// readings of the VM list counts, because a list that is not read again proves
// nothing.
func (h *ShareHolder) expireMembers() {
	listing := h.opts.ReadVMList()
	if listing.ReadAt.IsZero() {
		return
	}
	mayRun := h.possiblyRunning(listing)
	h.mu.Lock()
	defer h.mu.Unlock()
	gen := h.holder.Generation()
	offListSince, seenListed := make(map[ident.VM]time.Time), make(map[ident.VM]bool)
	candidates := slices.Concat(gen.Members, gen.Previous)
	for _, m := range candidates {
		seenListed[m.VM] = h.seenListed[m.VM] || listing.contains(m.VM)
		if listing.contains(m.VM) || mayRun[m.VM] || m.VM == h.opts.Self.VM {
			continue
		}
		offListSince[m.VM] = listing.ReadAt
		if since, ok := h.offListSince[m.VM]; ok {
			offListSince[m.VM] = since
		}
	}
	h.offListSince, h.seenListed, h.listReadAt = offListSince, seenListed, listing.ReadAt
	for _, m := range candidates {
		if h.isExpired(m) {
			h.holder.MemberRemoved(time.Now(), m)
		}
	}
}

// possiblyRunning returns the VMs that may run although they are off the VM
// list: VMs that respond, and VMs of a region without any listed VM.
func (h *ShareHolder) possiblyRunning(listing VMListing) map[ident.VM]bool {
	entries := h.opts.Members.Entries()
	listedRegions := make(map[ident.Region]bool)
	for _, m := range entries {
		if listing.contains(m.VM) {
			listedRegions[m.Region] = true
		}
	}
	out := make(map[ident.VM]bool)
	for _, m := range entries {
		reachable := m.State == members.StateLive || m.State == members.StateLeaving
		out[m.VM] = reachable || !listedRegions[m.Region]
	}
	return out
}

// isExpired reports whether the process of a member has certainly ended. h.mu
// must be held.
func (h *ShareHolder) isExpired(m limit.Member) bool {
	return h.offListDuration(m) >= memberExpiry
}

// offListDuration returns how long a member has been off the VM list. For a
// member never seen on the list, unseenMemberAllowance is subtracted. h.mu must
// be held.
func (h *ShareHolder) offListDuration(m limit.Member) time.Duration {
	since, ok := h.offListSince[m.VM]
	if !ok {
		return 0
	}
	offList := h.listReadAt.Sub(since)
	if !h.seenListed[m.VM] {
		offList -= unseenMemberAllowance
	}
	return offList
}

// sendHandovers sends all outgoing handovers that are not acknowledged yet.
func (h *ShareHolder) sendHandovers(ctx context.Context) {
	h.mu.Lock()
	outgoing := h.holder.OutgoingHandovers()
	h.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, handover := range outgoing {
		group.Go(func() error {
			h.sendHandover(ctx, handover)
			return nil
		})
	}
	_ = group.Wait()
}

// sendHandover sends one handover. It stays outgoing if the call fails or the
// receiver cannot take it yet.
func (h *ShareHolder) sendHandover(ctx context.Context, handover *limit.Handover) {
	receipt, err := h.remote.transfer(ctx, handover)
	if err != nil || receipt == limit.ReceiptNotReady {
		return
	}
	h.mu.Lock()
	h.holder.Acknowledge(handover.ID)
	h.mu.Unlock()
	h.recordShareMove("shares transferred to "+string(handover.ID.To.VM), handover.ID.Generation)
}

// queryPeer queries one random entry for its generation, so that a new
// generation spreads while the store is unreachable.
func (h *ShareHolder) queryPeer(ctx context.Context) {
	vms := h.remote.peers.VMs()
	if len(vms) == 0 || (h.Ready() && time.Since(h.lastPeerQuery) < peerQueryInterval) {
		return
	}
	h.lastPeerQuery = time.Now()
	vm := vms[rand.IntN(len(vms))]
	if vm == h.opts.Self.VM {
		return
	}
	resp, err := h.remote.inspect(ctx, vm, h.Generation().Number)
	if err != nil || resp.GetNewer() == nil {
		return
	}
	h.InstallGeneration(generationFromRPC(resp.GetNewer()))
}

// recordShareMove updates the generation gauge and records a timeline event.
func (h *ShareHolder) recordShareMove(detail string, number uint64) {
	h.generationGauge.Update(float64(number))
	h.opts.Timeline.Record(timeline.Event{Kind: timeline.KindSharesReassigned, Detail: detail})
}
