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
	// startRoundInterval is the time between two rounds while the keeper is not
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

// ShareHolderOptions configures NewKeeper.
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

func (l VMListing) has(vm ident.VM) bool {
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

// NewShareHolder returns a Keeper without shares.
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

// Serve runs the keeper until ctx ends. It implements suture.Service.
func (k *ShareHolder) Serve(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return k.watchLoop(ctx) })
	group.Go(func() error { return k.heartbeatLoop(ctx) })
	group.Go(func() error { return k.maintenanceLoop(ctx) })
	return group.Wait()
}

// heartbeatLoop records that the process is running, so that a pause of the
// process is detected. It makes no calls, so that only a pause of the whole
// process delays it. A member that is off the VM list must instead confirm its
// generation before it grants tokens.
func (k *ShareHolder) heartbeatLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		k.mu.Lock()
		if !k.listed() && k.holder.Generation().HasMember(k.opts.Self) {
			k.holder.RequireConfirmation()
		} else {
			k.holder.Heartbeat(time.Now())
		}
		k.mu.Unlock()
		_ = sleep.For(ctx, roundInterval)
	}
	return ctx.Err()
}

// maintenanceLoop runs the rounds that make calls: expiry of members,
// confirmation, handovers and membership changes.
func (k *ShareHolder) maintenanceLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		k.expireMembers()
		k.confirmGeneration(ctx)
		k.sendHandovers(ctx)
		k.queryPeer(ctx)
		k.updateMembership(ctx)
		k.updateDegradation(time.Now())
		k.notifyReady()
		k.waitForNextRound(ctx)
	}
	return ctx.Err()
}

// notifyReady calls OnReady the first time that the keeper is ready.
func (k *ShareHolder) notifyReady() {
	if k.opts.OnReady != nil && k.Ready() {
		k.readyOnce.Do(k.opts.OnReady)
	}
}

// waitForNextRound blocks until the next round is due, wake is called or ctx
// ends.
func (k *ShareHolder) waitForNextRound(ctx context.Context) {
	interval := roundInterval
	if !k.Ready() {
		interval = startRoundInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-k.wakeup:
	case <-ctx.Done():
	}
}

// wake starts the next round without waiting for the interval.
func (k *ShareHolder) wake() {
	select {
	case k.wakeup <- struct{}{}:
	default:
	}
}

// Ready reports whether the process can reserve tokens. It is ready when it
// has the generation and either has received all of its shares or, as a
// non-member, has waited maxJoinWait to join.
func (k *ShareHolder) Ready() bool {
	now := time.Now()
	k.mu.Lock()
	defer k.mu.Unlock()
	gen := k.holder.Generation()
	if gen.Number == 0 {
		return false
	}
	if !gen.HasMember(k.opts.Self) {
		return now.Sub(k.firstInstalledAt) > maxJoinWait
	}
	return !k.holder.NeedsConfirmation(now) && len(k.holder.AwaitedMembers()) == 0
}

// Generation returns the installed generation; number 0 if there is none.
func (k *ShareHolder) Generation() limit.Generation {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Generation()
}

// InstallGeneration installs gen if it is later than the installed generation.
func (k *ShareHolder) InstallGeneration(gen limit.Generation) {
	k.mu.Lock()
	installed := k.holder.Install(time.Now(), gen)
	k.recordFirstInstall()
	k.mu.Unlock()
	if installed {
		k.wake()
		k.recordShareMove("generation installed", gen.Number)
	}
}

// recordFirstInstall stores the time at which the first generation was
// installed. k.mu must be held.
func (k *ShareHolder) recordFirstInstall() {
	if k.firstInstalledAt.IsZero() && k.holder.Generation().Number > 0 {
		k.firstInstalledAt = time.Now()
	}
}

func (k *ShareHolder) reserve(req limit.Request) limit.Response {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder.Reserve(time.Now(), req)
}

func (k *ShareHolder) settle(s settlement) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if s.admitted {
		return k.holder.MarkAdmitted(time.Now(), s.share, s.id)
	}
	return k.holder.Settle(time.Now(), s.share, s.id, s.used)
}

// listed reports whether this process is on the VM list. The members.View
// cannot be used for this, because it always includes the process itself.
func (k *ShareHolder) listed() bool {
	return k.opts.ReadVMList().has(k.opts.Self.VM)
}

// expireMembers finds members whose process has certainly ended, and restarts
// the shares whose handover from them is outstanding. Only the time between
// readings of the VM list counts, because a list that is not read again proves
// nothing.
func (k *ShareHolder) expireMembers() {
	listing := k.opts.ReadVMList()
	if listing.ReadAt.IsZero() {
		return
	}
	mayRun := k.possiblyRunning(listing)
	k.mu.Lock()
	defer k.mu.Unlock()
	gen := k.holder.Generation()
	offListSince, seenListed := make(map[ident.VM]time.Time), make(map[ident.VM]bool)
	candidates := slices.Concat(gen.Members, gen.Previous)
	for _, m := range candidates {
		seenListed[m.VM] = k.seenListed[m.VM] || listing.has(m.VM)
		if listing.has(m.VM) || mayRun[m.VM] || m.VM == k.opts.Self.VM {
			continue
		}
		offListSince[m.VM] = listing.ReadAt
		if since, ok := k.offListSince[m.VM]; ok {
			offListSince[m.VM] = since
		}
	}
	k.offListSince, k.seenListed, k.listReadAt = offListSince, seenListed, listing.ReadAt
	for _, m := range candidates {
		if k.expired(m) {
			k.holder.MemberRemoved(time.Now(), m)
		}
	}
}

// possiblyRunning returns the VMs that may run although they are off the VM
// list: VMs that respond, and VMs of a region without any listed VM.
func (k *ShareHolder) possiblyRunning(listing VMListing) map[ident.VM]bool {
	entries := k.opts.Members.Entries()
	listedRegions := make(map[ident.Region]bool)
	for _, m := range entries {
		if listing.has(m.VM) {
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

// expired reports whether the process of a member has certainly ended. k.mu
// must be held.
func (k *ShareHolder) expired(m limit.Member) bool {
	return k.offListDuration(m) >= memberExpiry
}

// offListDuration returns how long a member has been off the VM list. For a
// member never seen on the list, unseenMemberAllowance is subtracted. k.mu must
// be held.
func (k *ShareHolder) offListDuration(m limit.Member) time.Duration {
	since, ok := k.offListSince[m.VM]
	if !ok {
		return 0
	}
	offList := k.listReadAt.Sub(since)
	if !k.seenListed[m.VM] {
		offList -= unseenMemberAllowance
	}
	return offList
}

// sendHandovers sends all outgoing handovers that are not acknowledged yet.
func (k *ShareHolder) sendHandovers(ctx context.Context) {
	k.mu.Lock()
	outgoing := k.holder.OutgoingHandovers()
	k.mu.Unlock()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)
	for _, h := range outgoing {
		group.Go(func() error {
			k.sendHandover(ctx, h)
			return nil
		})
	}
	_ = group.Wait()
}

// sendHandover sends one handover. It stays outgoing if the call fails or the
// receiver cannot take it yet.
func (k *ShareHolder) sendHandover(ctx context.Context, h *limit.Handover) {
	receipt, err := k.remote.transfer(ctx, h)
	if err != nil || receipt == limit.ReceiptNotReady {
		return
	}
	k.mu.Lock()
	k.holder.Acknowledge(h.ID)
	k.mu.Unlock()
	k.recordShareMove("shares transferred to "+string(h.ID.To.VM), h.ID.Generation)
}

// queryPeer queries one random entry for its generation, so that a new
// generation spreads while the store is unreachable.
func (k *ShareHolder) queryPeer(ctx context.Context) {
	vms := k.remote.peers.VMs()
	if len(vms) == 0 || (k.Ready() && time.Since(k.lastPeerQuery) < peerQueryInterval) {
		return
	}
	k.lastPeerQuery = time.Now()
	vm := vms[rand.IntN(len(vms))]
	if vm == k.opts.Self.VM {
		return
	}
	resp, err := k.remote.inspect(ctx, vm, k.Generation().Number)
	if err != nil || resp.GetNewer() == nil {
		return
	}
	k.InstallGeneration(generationFromRPC(resp.GetNewer()))
}

// recordShareMove updates the generation gauge and records a timeline event.
func (k *ShareHolder) recordShareMove(detail string, number uint64) {
	k.generationGauge.Update(float64(number))
	k.opts.Timeline.Record(timeline.Event{Kind: timeline.KindSharesReassigned, Detail: detail})
}
