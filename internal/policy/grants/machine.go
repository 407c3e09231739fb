package grants

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/coldstart"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/ratelimit"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/versionbound"
)

const (
	// maxGrantedKVShare is the fraction of the engine's KV memory that granted
	// requests may fill. The remainder holds cached prompts.
	maxGrantedKVShare = 0.85
	// promptCacheShare is the fraction of the engine's KV memory that cached
	// prompts are assumed to fill.
	promptCacheShare = 0.6
	// runTimeWeight is the weight of a new sample in the mean run time.
	runTimeWeight = 0.1
	// initialRunTime is the mean run time before the first sample.
	initialRunTime = time.Second
)

// adapter is the state of an adapter that is resident or was ordered.
type adapter struct {
	version      int64
	activeGrants int
	lastUsed     time.Time
	loading      bool      // Ordered and not resident yet.
	unloading    bool      // An unload was ordered and its outcome is unknown.
	staleSince   time.Time // When the announcement of a newer version was read; zero if none was.
}

// queuedRequest is a request that waits for its grant.
type queuedRequest struct {
	request      Request
	queuedAt     time.Time
	waitsForLoad bool
	expectedWait time.Duration
	prefillMS    float64 // At normal speed.
}

// successor is an announced version of an adapter, and the time by which requests must begin on a version before it.
type successor struct {
	version int64
	beginBy time.Time
}

// maxSuccessors bounds the announced versions that are kept of one adapter.
const maxSuccessors = 8

// activeGrant is a grant that is not released yet.
type activeGrant struct {
	request   Request
	grantedAt time.Time
	prefill   pendingPrefill
	progress  streamProgress
}

// Machine holds the state of one engine. It is not safe for concurrent use.
type Machine struct {
	config           Config
	limits           Limits
	announced        map[catalog.AdapterKey]int64       // Newest announced versions.
	succession       map[catalog.AdapterKey][]successor // Announcements of these and of versions before, oldest first.
	alive            bool
	draining         bool // Stays set until the next incarnation.
	incarnation      int64
	sequence         int64
	busy             bool
	models           []string
	adapters         map[catalog.AdapterKey]*adapter
	recentlyUnloaded []catalog.AdapterKey             // Oldest first.
	reloads          map[catalog.AdapterKey]time.Time // Adapters to load again, with the time after which they are not.
	preloads         []preload                        // Oldest first.
	queue            []*queuedRequest
	grants           map[RequestID]*activeGrant
	grantedTokens    int // Prompt and output tokens of the active grants.
	prompts          *promptCache
	prefills         prefillBacklog
	lateEvents       lateEvents
	demands          demands
	rate             ratelimit.Limiter // Counts the grants of this incarnation.
	coldRate         ratelimit.Limiter // The same, at the rate of a cold engine while the engine is cold.
	cold             coldstart.Tracker

	meanRunTime time.Duration // Moving average.
	outstanding *Order
	unconfirmed *Order // The last order, if its outcome is unknown. It is repeated before any other.
	// unknownLoads are the recent loads whose outcome was unknown at first. The engine may still carry them out, also in a
	// later incarnation, as long as its sequence is not beyond theirs.
	unknownLoads []unknownLoad
	lateLoads    []unknownLoad // Loads of former incarnations that the engine may still carry out.
	// outdatedReport is set while the last report was older than the machine's state.
	outdatedReport bool
	noOrderBefore  time.Time
	pausedUntil    time.Time // The engine wants no orders before.
	lastModelLoad  time.Time
	needsReport    bool // No order is issued before the next report.
	decisions      []Decision
}

// New returns a Machine for an engine that has not reported yet.
func New(config Config) *Machine {
	return &Machine{
		config: config, announced: make(map[catalog.AdapterKey]int64), succession: make(map[catalog.AdapterKey][]successor), adapters: make(map[catalog.AdapterKey]*adapter),
		reloads: make(map[catalog.AdapterKey]time.Time),
		grants:  make(map[RequestID]*activeGrant), prompts: newPromptCache(0), meanRunTime: initialRunTime, needsReport: true,
		prefills: newPrefillBacklog(config.PrefillTokensPerMS), demands: newDemands(),
	}
}

// SetLimits sets the engine's capacities.
func (m *Machine) SetLimits(l Limits) {
	m.limits = l
	m.prompts.capacity = int(promptCacheShare * float64(l.KVTokens))
}

// BeginBy returns the time by which requests must begin on a version before an announced one.
func (m *Machine) BeginBy(a catalog.Announcement) time.Time {
	return versionbound.BeginBy(m.config.VersionBound, a.Since, a.ReadAt)
}

// AnnounceVersion records a new version of an adapter, and the time by which requests must begin on a former one. Older
// versions are ignored. beginBy is zero if it is not known. Each process knows since when the version may have been announced, so that the latest of their
// times holds.
func (m *Machine) AnnounceVersion(key catalog.AdapterKey, version int64, beginBy, now time.Time) {
	if s := m.succession[key]; version == m.announced[key] && len(s) > 0 && beginBy.After(s[len(s)-1].beginBy) {
		s[len(s)-1].beginBy = beginBy
	}
	if version <= m.announced[key] {
		return
	}
	if beginBy.IsZero() {
		beginBy = m.BeginBy(catalog.Announcement{ReadAt: now})
	}
	m.announced[key] = version
	s := append(m.succession[key], successor{version, beginBy})
	m.succession[key] = s[max(len(s)-maxSuccessors, 0):]
	if a := m.adapters[key]; a != nil && a.version < version && a.staleSince.IsZero() {
		a.staleSince = now
	}
	m.processQueue(now)
}

// RequestGrant queues or refuses a request. TakeDecisions returns the result once it is made.
func (m *Machine) RequestGrant(r Request, now time.Time) {
	r.Priority = min(max(r.Priority, 0), NumPriorities-1)
	m.demands.record(r.Key, now)
	prefillMS := float64(m.prompts.uncachedTokens(r.Key, r.PromptParts, r.PromptTokens)) / m.config.PrefillTokensPerMS
	expected, refusal := m.estimateWait(r, prefillMS, now)
	if refusal != RefusalNone {
		m.decisions = append(m.decisions, Decision{ID: r.ID, Refusal: refusal, ExpectedWait: expected})
		return
	}
	m.queue = append(m.queue, &queuedRequest{request: r, queuedAt: now, expectedWait: expected, prefillMS: prefillMS})
	m.processQueue(now)
}

// Release removes a queued request or releases a grant.
func (m *Machine) Release(id RequestID, now time.Time) {
	m.queue = slices.DeleteFunc(m.queue, func(q *queuedRequest) bool { return q.request.ID == id })
	g := m.grants[id]
	if g == nil {
		m.processQueue(now)
		return
	}
	delete(m.grants, id)
	m.prefills.cancel(&g.prefill, now)
	m.grantedTokens -= g.request.PromptTokens + g.request.MaxOutputTokens
	m.meanRunTime += time.Duration(runTimeWeight * float64(now.Sub(g.grantedAt)-m.meanRunTime))
	if a := m.adapters[g.request.Key]; a != nil {
		a.activeGrants--
		a.lastUsed = now
	}
	m.processQueue(now)
}

// MarkUnreachable marks the engine as unreachable and refuses all queued requests.
func (m *Machine) MarkUnreachable(now time.Time) {
	m.alive = false
	m.needsReport = true
	m.refuseQueue(RefusalEngineUnreachable, now)
}

// PauseOrders stops the orders to the engine until a time. Queued requests that would wait longer for
// their adapter than they may are refused.
func (m *Machine) PauseOrders(until, now time.Time) {
	m.pausedUntil = until
	m.queue = slices.DeleteFunc(m.queue, func(q *queuedRequest) bool {
		if m.usable(q.request.Key, now) || !q.queuedAt.Add(q.request.MaxWait).Before(until) {
			return false
		}
		m.refuseQueued(q, RefusalTooLate, until.Sub(now), now)
		return true
	})
}

// Draining reports whether the engine takes no new requests.
func (m *Machine) Draining() bool { return m.draining }

// refuseQueue refuses all queued requests.
func (m *Machine) refuseQueue(reason Refusal, now time.Time) {
	for _, q := range m.queue {
		m.refuseQueued(q, reason, 0, now)
	}
	m.queue = nil
}

// ApplyReport applies a report. The caller must have requested the report while no
// order was outstanding.
func (m *Machine) ApplyReport(r Report, now time.Time) {
	if r.Incarnation == m.incarnation && r.Sequence < m.sequence && !m.outdatedReport {
		// Within an incarnation the sequence only rises, so this is the response to an earlier call. If the next report
		// is no newer, the engine has started again without a new incarnation.
		m.outdatedReport, m.needsReport = true, true
		return
	}
	if r.Incarnation != m.incarnation || r.Sequence < m.sequence {
		m.lateLoads, m.unknownLoads = append(m.lateLoads, m.unknownLoads...), nil
		m.resetIncarnation(r)
		m.cold.Start(r.Incarnation, now)
	}
	m.outdatedReport = false
	m.alive, m.needsReport = true, false
	if m.unconfirmed != nil && r.Sequence > m.unconfirmed.Sequence {
		m.unconfirmed = nil
	}
	m.sequence, m.busy, m.models = r.Sequence, r.Busy, r.Models
	m.rate.Observe(ratelimit.FromReport, ratelimit.Observation{Limit: r.RateLimit, At: now})
	if r.Draining {
		m.draining = true
		m.refuseQueue(RefusalDraining, now)
	}
	m.syncAdapters(r, now)
	m.recordProgress(r.Runs, now)
	m.processQueue(now)
}

// ObserveRateLimit merges the rate limit of a response that a router has received from an
// incarnation of the engine.
func (m *Machine) ObserveRateLimit(incarnation int64, o ratelimit.Observation) {
	if incarnation == m.incarnation {
		m.rate.Observe(ratelimit.FromResponse, o)
	}
}

// ObserveCold merges how long an incarnation of the engine remains cold, as a router states it.
func (m *Machine) ObserveCold(incarnation int64, remaining time.Duration, now time.Time) {
	m.cold.Observe(incarnation, remaining, now)
}

// Cold returns until when the engine is cold.
func (m *Machine) Cold() coldstart.Cold { return m.cold.Cold(m.limits.Cold) }

// paceCold sets the rate of a cold engine while the engine is cold, and withdraws it afterwards.
func (m *Machine) paceCold(now time.Time) {
	limit := ratelimit.Limit{}
	if m.Cold().Remaining(now) > 0 {
		limit = ratelimit.Limit{Named: true, PerSecond: m.limits.Cold.PerSecond}
	}
	m.coldRate.Observe(ratelimit.FromCold, ratelimit.Observation{Limit: limit, At: now})
}

// rateWait returns how long the rates let a request wait that has a number of others ahead of it, and the reason for
// a refusal because of it. All of them may start at the latest when the engine is no longer cold.
func (m *Machine) rateWait(ahead int, now time.Time) (time.Duration, Refusal) {
	m.paceCold(now)
	wait := m.rate.Wait(ahead, now)
	if cold := min(m.coldRate.Wait(ahead, now), m.Cold().Remaining(now)); cold > wait {
		return cold, RefusalCold
	}
	return wait, RefusalRateLimited
}

// takeRate counts a grant if the rates permit one.
func (m *Machine) takeRate(now time.Time) bool {
	if wait, _ := m.rateWait(0, now); wait > 0 {
		return false
	}
	return m.rate.Take(now) && m.coldRate.Take(now)
}

// RateLimit returns the engine's rate limit in force.
func (m *Machine) RateLimit() ratelimit.Limit { return m.rate.Limit() }

// sortedKeys returns the keys of a map in a fixed order, so that decisions do not
// depend on Go's map iteration order.
func sortedKeys[V any](m map[catalog.AdapterKey]V) []catalog.AdapterKey {
	return slices.SortedFunc(maps.Keys(m), func(a, b catalog.AdapterKey) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
}

// recordProgress applies the reported event counts to the active grants.
func (m *Machine) recordProgress(runs []Run, now time.Time) {
	m.prefills.advance(now)
	eventCounts := make(map[string]int, len(runs))
	for _, r := range runs {
		eventCounts[r.RequestID] = r.Events
	}
	for _, id := range slices.Sorted(maps.Keys(m.grants)) {
		g := m.grants[id]
		events, found := eventCounts[g.request.EngineRequestID]
		if !found {
			continue
		}
		m.prefills.complete(&g.prefill, now)
		m.lateEvents.observe(&g.progress, events, g.request.GapTarget, now)
	}
}

// HasPrefillBacklog reports whether prefills are pending or requests are queued.
func (m *Machine) HasPrefillBacklog() bool { return len(m.prefills.pending) > 0 || len(m.queue) > 0 }

// unknownLoad is a load whose outcome was unknown at a time.
type unknownLoad struct {
	sequence int64
	at       time.Time
}

// recordUnknownLoad records a load whose outcome is unknown.
func (m *Machine) recordUnknownLoad(o Order, now time.Time) {
	m.unknownLoads = slices.DeleteFunc(m.unknownLoads, func(l unknownLoad) bool {
		return l.sequence == o.Sequence || now.Sub(l.at) > m.config.LateOrderPeriod
	})
	m.unknownLoads = append(m.unknownLoads, unknownLoad{o.Sequence, now})
}

// reservedSlots returns how many adapter slots are kept free for loads of former incarnations. After a restart the engine
// starts to count its orders again, and carries such a load out when it reaches the load's sequence. That raises the sequence, so
// that the machine's next order is rejected and a report shows the load. One slot stays in use at least.
func (m *Machine) reservedSlots(now time.Time) int {
	m.lateLoads = slices.DeleteFunc(m.lateLoads, func(l unknownLoad) bool {
		return l.sequence < m.sequence || now.Sub(l.at) > m.config.LateOrderPeriod
	})
	return min(len(m.lateLoads), max(m.limits.AdapterSlots-1, 0))
}

// resetIncarnation discards the state of the former incarnation. The holders of
// its grants still release them.
func (m *Machine) resetIncarnation(r Report) {
	m.incarnation = r.Incarnation
	m.adapters = make(map[catalog.AdapterKey]*adapter)
	m.recentlyUnloaded = nil
	m.unconfirmed = nil
	m.lastModelLoad = time.Time{}
	m.prompts.clear()
	m.prefills.clear()
	m.lateEvents = lateEvents{}
	m.rate, m.coldRate = ratelimit.Limiter{}, ratelimit.Limiter{}
	m.draining, m.pausedUntil = false, time.Time{}
	for _, g := range m.grants {
		m.grantedTokens -= g.request.PromptTokens + g.request.MaxOutputTokens
	}
	m.grants = make(map[RequestID]*activeGrant)
}

// syncAdapters makes m.adapters match the report.
func (m *Machine) syncAdapters(r Report, now time.Time) {
	listed := make(map[catalog.AdapterKey]bool, len(r.Resident)+len(r.Loading))
	for _, b := range r.Resident {
		listed[b.Key] = true
		a := m.ensureAdapter(b.Key, now)
		a.loading = false
		a.unloading = m.unconfirmed != nil && m.unconfirmed.Unload && m.unconfirmed.Key == b.Key
		a.version = b.Version
	}
	for _, b := range r.Loading {
		if listed[b.Key] {
			continue // A replacement: the former version stays resident until the load ends.
		}
		listed[b.Key] = true
		a := m.ensureAdapter(b.Key, now)
		a.loading = true
		a.version = b.Version
	}
	for _, key := range sortedKeys(m.adapters) {
		a := m.adapters[key]
		if !listed[key] {
			m.removeAdapter(key)
			continue
		}
		if announced := m.announced[key]; a.version < announced && a.staleSince.IsZero() {
			a.staleSince = now
		} else if a.version >= announced {
			a.staleSince = time.Time{}
		}
	}
}

func (m *Machine) ensureAdapter(key catalog.AdapterKey, now time.Time) *adapter {
	a := m.adapters[key]
	if a == nil {
		a = &adapter{lastUsed: now}
		m.adapters[key] = a
		m.recentlyUnloaded = slices.DeleteFunc(m.recentlyUnloaded, func(k catalog.AdapterKey) bool { return k == key })
	}
	return a
}

func (m *Machine) removeAdapter(key catalog.AdapterKey) {
	delete(m.adapters, key)
	m.recentlyUnloaded = append(m.recentlyUnloaded, key)
	if len(m.recentlyUnloaded) > m.config.MaxRecentlyUnloaded {
		m.recentlyUnloaded = m.recentlyUnloaded[1:]
	}
}

// TakeDecisions returns the decisions made since the last call.
func (m *Machine) TakeDecisions() []Decision {
	out := m.decisions
	m.decisions = nil
	return out
}

// processQueue grants each queued request that can run, in queue order, and
// refuses each one that would start after its max wait.
func (m *Machine) processQueue(now time.Time) {
	if !m.alive {
		return
	}
	m.prefills.advance(now)
	m.sortQueue(now)
	stillQueued := m.queue[:0]
	queuedMS := 0.0
	for _, q := range m.queue {
		rateWait, refusal := m.rateWait(len(stillQueued), now)
		switch {
		case m.canRun(q, now) && m.takeRate(now):
			m.grant(q, now)
		case rateWait > 0 && q.exceedsMaxWait(rateWait, now):
			m.refuseQueued(q, refusal, rateWait, now)
		case q.exceedsMaxWait(millis.Duration(m.prefills.backlogMS()+queuedMS*m.prefills.slowdown), now):
			m.refuseQueued(q, RefusalTooLate, m.meanRunTime, now)
		default:
			q.waitsForLoad = q.waitsForLoad || !m.usable(q.request.Key, now)
			stillQueued = append(stillQueued, q)
			queuedMS += q.prefillMS
		}
	}
	m.queue = stillQueued
}

// refuseQueued refuses a request that has waited in the queue.
func (m *Machine) refuseQueued(q *queuedRequest, reason Refusal, expectedWait time.Duration, now time.Time) {
	m.decisions = append(m.decisions, Decision{
		ID: q.request.ID, Refusal: reason, ExpectedWait: expectedWait,
		WaitedForLoad: q.waitsForLoad, Waited: now.Sub(q.queuedAt),
	})
}

// exceedsMaxWait reports whether a queued request that starts after a further wait has waited
// longer than its max wait.
func (q *queuedRequest) exceedsMaxWait(wait time.Duration, now time.Time) bool {
	return q.request.MaxWait > 0 && now.Sub(q.queuedAt)+wait > q.request.MaxWait
}

// sortQueue orders the queue by priority. Within a priority, continuations come first, then requests that
// can still meet their latency target, each group in order of arrival.
func (m *Machine) sortQueue(now time.Time) {
	slices.SortStableFunc(m.queue, func(a, b *queuedRequest) int {
		if c := cmp.Compare(a.request.Priority, b.request.Priority); c != 0 {
			return c
		}
		if a.request.Continuation != b.request.Continuation {
			if a.request.Continuation {
				return -1
			}
			return 1
		}
		if late := a.missesTarget(now, m.prefills.slowdown); late != b.missesTarget(now, m.prefills.slowdown) {
			if late {
				return 1
			}
			return -1
		}
		return a.queuedAt.Compare(b.queuedAt)
	})
}

// missesTarget reports whether a request granted now would miss its latency
// target.
func (q *queuedRequest) missesTarget(now time.Time, slowdown float64) bool {
	return q.request.LatencyTarget > 0 && now.Sub(q.queuedAt)+millis.Duration(q.prefillMS*slowdown) > q.request.LatencyTarget
}

func (m *Machine) canRun(q *queuedRequest, now time.Time) bool {
	r := q.request
	if !m.usable(r.Key, now) || !m.beginsInTime(r.Key, q.prefillMS, now) || m.limits.Slots == 0 {
		return false
	}
	if m.limits.Cold.Paces() && r.Incarnation > m.incarnation {
		return false // The engine has started again, and the first report of the incarnation is still to come.
	}
	if len(m.grants) == 0 {
		return true
	}
	if millis.Duration(q.prefillMS) > m.config.ShortPrefill && millis.Duration(m.prefills.backlogMS()) > m.config.MaxPrefillBacklog {
		return false
	}
	maxTokens := int(maxGrantedKVShare * float64(m.limits.KVTokens))
	return len(m.grants) < m.limits.Slots && m.grantedTokens+r.PromptTokens+r.MaxOutputTokens <= maxTokens
}

// usable reports whether requests for an adapter may be granted now.
func (m *Machine) usable(key catalog.AdapterKey, now time.Time) bool {
	if !slices.Contains(m.models, key.Model) {
		return false
	}
	if key.Adapter == "" {
		return true
	}
	a := m.adapters[key]
	if a == nil || a.loading || a.unloading {
		return false
	}
	return a.staleSince.IsZero() || now.Sub(a.staleSince) < m.config.FormerVersionPeriod && a.activeGrants > 0 && now.Before(m.beginBy(key, a.version))
}

// beginBy returns the time by which requests must begin on a former version: that of the first version after it.
func (m *Machine) beginBy(key catalog.AdapterKey, version int64) time.Time {
	for _, s := range m.succession[key] {
		if s.version > version {
			return s.beginBy
		}
	}
	return time.Time{}
}

// beginsInTime reports whether a request with a prefill, of a duration at normal speed, begins in time if the resident version
// of its adapter is a former one.
func (m *Machine) beginsInTime(key catalog.AdapterKey, prefillMS float64, now time.Time) bool {
	a := m.adapters[key]
	return a == nil || a.staleSince.IsZero() ||
		versionbound.BeginsInTime(m.beginBy(key, a.version), now, m.prefills.backlogMS()/m.prefills.slowdown+prefillMS)
}

func (m *Machine) grant(q *queuedRequest, now time.Time) {
	r := q.request
	g := &activeGrant{request: r, grantedAt: now}
	m.grants[r.ID] = g
	m.grantedTokens += r.PromptTokens + r.MaxOutputTokens
	m.prefills.add(&g.prefill, m.prompts.insert(r.Key, r.PromptParts, r.PromptTokens), now)
	d := Decision{ID: r.ID, Granted: true, ExpectedWait: q.expectedWait, WaitedForLoad: q.waitsForLoad, Waited: now.Sub(q.queuedAt)}
	if a := m.adapters[r.Key]; a != nil {
		a.activeGrants++
		a.lastUsed = now
		d.Version = a.version
	}
	m.decisions = append(m.decisions, d)
}

// estimateWait returns the expected wait until the prefill of a request starts,
// and the reason for a refusal. prefillMS is the request's own prefill time.
func (m *Machine) estimateWait(r Request, prefillMS float64, now time.Time) (time.Duration, Refusal) {
	switch {
	case !m.alive:
		return 0, RefusalEngineUnreachable
	case m.draining:
		return 0, RefusalDraining
	case !slices.Contains(m.models, r.Key.Model) && len(m.models) > 0 && !m.modelFits(r.Key.Model):
		return 0, RefusalModelNotResident
	}
	m.prefills.advance(now)
	wait := m.prefillWait(r)
	if a := m.adapters[r.Key]; a != nil && !a.staleSince.IsZero() && a.activeGrants > 0 &&
		(!m.usable(r.Key, now) || !m.beginsInTime(r.Key, prefillMS, now)) {
		return m.meanRunTime, RefusalVersionReplaced
	}
	if !m.usable(r.Key, now) {
		wait = max(wait, m.expectedLoadTime(r)+m.adapterSlotWait(r.Key)+max(m.pausedUntil.Sub(now), 0))
	}
	rateWait, refusal := m.rateWait(len(m.queue), now)
	switch accepted := m.acceptedWait(r, prefillMS); {
	case r.MaxWait <= 0:
		return max(wait, rateWait), RefusalNone
	case rateWait > accepted:
		return rateWait, refusal
	case wait > accepted:
		return wait, RefusalTooLate
	default:
		return max(wait, rateWait), RefusalNone
	}
}

// acceptedWait returns the longest expected wait with which a new request is
// accepted. Within it, the first event meets the latency target. It is never
// below MinAcceptedWait, unless the max wait is, because a large prompt can miss
// its target without any wait.
func (m *Machine) acceptedWait(r Request, prefillMS float64) time.Duration {
	onTime := time.Duration(m.config.LatencyTargetFactor*float64(r.LatencyTarget)) - millis.Duration(prefillMS*m.prefills.slowdown)
	return min(r.MaxWait, max(onTime, m.config.MinAcceptedWait))
}

// prefillWait returns how long a new request waits for the prefills ahead of its own.
func (m *Machine) prefillWait(r Request) time.Duration {
	ms := 0.0
	for _, q := range m.queue {
		if q.request.Priority < r.Priority || q.request.Priority == r.Priority && (q.request.Continuation || !r.Continuation) {
			ms += q.prefillMS
		}
	}
	return millis.Duration(m.prefills.backlogMS() + ms*m.prefills.slowdown)
}

func (m *Machine) expectedLoadTime(r Request) time.Duration {
	if a := m.adapters[r.Key]; a != nil && a.loading || !slices.Contains(m.recentlyUnloaded, r.Key) {
		return max(m.config.ColdLoadTime, r.ColdLoadTime)
	}
	return m.config.WarmLoadTime
}

// adapterSlotWait returns the expected wait for an adapter slot. It is zero if
// enough slots are idle, and otherwise the time in which finishing runs free the
// missing ones.
func (m *Machine) adapterSlotWait(key catalog.AdapterKey) time.Duration {
	if key.Adapter == "" || m.adapters[key] != nil {
		return 0
	}
	awaited := m.awaitedAdapters()
	idle := m.idleAdapterSlots()
	if awaited < idle {
		return 0
	}
	slots := max(m.limits.AdapterSlots, 1)
	return time.Duration(float64(m.meanRunTime) * float64(awaited-idle+1) / float64(slots) * 2)
}

// awaitedAdapters counts the adapters that queued requests need and that are
// neither resident nor ordered.
func (m *Machine) awaitedAdapters() int {
	var keys []catalog.AdapterKey
	for _, q := range m.queue {
		if m.adapters[q.request.Key] == nil && !slices.Contains(keys, q.request.Key) {
			keys = append(keys, q.request.Key)
		}
	}
	return len(keys)
}

// idleAdapterSlots counts the adapter slots that are empty or hold an evictable
// adapter.
func (m *Machine) idleAdapterSlots() int {
	idle := m.limits.AdapterSlots - len(m.adapters)
	for key, a := range m.adapters {
		if m.evictable(key, a) {
			idle++
		}
	}
	return idle
}

func (m *Machine) evictable(key catalog.AdapterKey, a *adapter) bool {
	return a.activeGrants == 0 && !a.loading && !m.neededByQueue(key)
}

func (m *Machine) neededByQueue(key catalog.AdapterKey) bool {
	return slices.ContainsFunc(m.queue, func(q *queuedRequest) bool { return q.request.Key == key })
}

// Snapshot returns the state of the engine for routers.
func (m *Machine) Snapshot(now time.Time) Snapshot {
	m.prefills.advance(now)
	s := Snapshot{
		Alive: m.alive, Draining: m.draining, Incarnation: m.incarnation, Models: slices.Clone(m.models),
		IdleAdapterSlots: max(0, m.idleAdapterSlots()-m.awaitedAdapters()),
		Slowdown:         m.prefills.slowdown, LateEventRate: m.lateEvents.currentRate(now),
		// The key matches no adapter, so the wait is that of an adapter without a slot.
		AdapterSlotWaitMS: millis.FromDuration(m.adapterSlotWait(catalog.AdapterKey{Adapter: "\x00"})),
		LoadingAdapters:   m.loadingAdapters(),
	}
	rateWait, _ := m.rateWait(len(m.queue), now)
	s.RateWaitMS = int(rateWait.Milliseconds())
	for priority := range s.PrefillWaitMS {
		s.PrefillWaitMS[priority] = int(max(m.prefillWait(Request{Priority: priority}), rateWait).Milliseconds())
	}
	for key, a := range m.adapters {
		usable := a.loading || m.usable(key, now) || !a.staleSince.IsZero() && a.activeGrants == 0
		s.Adapters = append(s.Adapters, AdapterState{
			Model: key.Model, Adapter: key.Adapter, Usable: usable, Demand: m.demands.rate(key, now),
		})
	}
	return s
}

// Alive reports whether the engine responds.
func (m *Machine) Alive() bool { return m.alive }

// Incarnation returns the engine's incarnation, or 0 before its first report.
func (m *Machine) Incarnation() int64 { return m.incarnation }
