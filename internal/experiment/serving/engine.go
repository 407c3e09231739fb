package serving

import (
	"slices"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/experiment/simclock"
	"github.com/hyssoptiller/hyssoptiller/internal/millis"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/grants"
)

const (
	// prefillChunkTokens is the maximum number of prompt tokens that an engine
	// prefills in one step.
	prefillChunkTokens = 1024
	// fullSpeedTransferTime is the duration of a transfer from the weight store at
	// full speed, and cachedLoadTime that of a load from the cache on the engine's
	// host. The platform gives both figures.
	fullSpeedTransferTime = 250 * time.Millisecond
	cachedLoadTime        = 25 * time.Millisecond
	// attentionPairsPerMS is the number of token pairs, in millions, for which
	// prefill computes attention in a millisecond. Each chunk attends to all tokens
	// before it, so later chunks of a prompt take longer.
	attentionPairsPerMS = 1 / 0.737
)

// weightStore counts the transfers of all engines.
type weightStore struct {
	fullSpeedTransfers int
	inFlight           int
	started            int // Since the start of the simulation.
}

// nextTransferTime returns the duration of a transfer that starts now. Transfers
// that start later do not change it.
func (w *weightStore) nextTransferTime() time.Duration {
	return time.Duration(float64(fullSpeedTransferTime) * max(1, float64(w.inFlight+1)/float64(w.fullSpeedTransfers)))
}

// run is the execution of a request on an engine.
type run struct {
	request      *request
	prefillLeft  int // Prompt tokens to prefill.
	promptTokens int
	tokensLeft   int // Output tokens to generate.
	tokensMade   int // Output tokens generated.
	events       int
	lastEvent    time.Duration
}

// engine models one engine.
type engine struct {
	clock           *simclock.Clock
	store           *weightStore
	spec            *deploymentSpec
	slowdown        float64
	crashed         bool
	sequence        int64 // Sequence number of the next order.
	incarnation     int64
	resident        map[catalog.AdapterKey]bool
	loading         map[catalog.AdapterKey]bool
	hostCache       []catalog.AdapterKey // Unloaded adapters, most recently unloaded last.
	prefixes        prefixCache
	runs            []*run
	stepping        bool
	onFinished      func(*run)
	prefilledTokens int
	uncachedTokens  int // Tokens that the engine would have prefilled without its prefix cache.
}

// execute executes an order of the scheduler. A load completes after the call.
func (e *engine) execute(o grants.Order) grants.Outcome {
	if o.Sequence != e.sequence {
		return grants.OutcomeConflict
	}
	e.sequence++
	if o.Unload {
		delete(e.resident, o.Key)
		e.hostCache = append(e.hostCache, o.Key)
		if len(e.hostCache) > e.spec.cachedAdapters {
			e.hostCache = e.hostCache[1:]
		}
		return grants.OutcomeDone
	}
	loadTime, cached := cachedLoadTime, slices.Contains(e.hostCache, o.Key)
	if !cached {
		loadTime = e.store.nextTransferTime()
		e.store.inFlight++
		e.store.started++
	}
	e.loading[o.Key] = true
	incarnation := e.incarnation
	e.clock.After(loadTime, func() {
		if !cached {
			e.store.inFlight--
		}
		if e.incarnation == incarnation {
			delete(e.loading, o.Key)
			e.resident[o.Key] = true
		}
	})
	return grants.OutcomeAccepted
}

// report returns the engine's report for its scheduler.
func (e *engine) report() grants.Report {
	r := grants.Report{Incarnation: e.incarnation, Sequence: e.sequence, Models: []string{modelName}}
	for key := range e.resident {
		r.Resident = append(r.Resident, grants.Build{Key: key, Version: 1})
	}
	for key := range e.loading {
		r.Loading = append(r.Loading, grants.Build{Key: key, Version: 1})
	}
	for _, active := range e.runs {
		if active.events > 0 {
			r.Runs = append(r.Runs, grants.Run{RequestID: active.request.id, Events: active.events})
		}
	}
	return r
}

// startRun adds a request to the batch. The scheduler has granted the request.
func (e *engine) startRun(q *request) *run {
	tokens := e.prefixes.prefillTokens(q)
	e.prefilledTokens += tokens
	e.uncachedTokens += q.promptTokens
	r := &run{request: q, prefillLeft: max(tokens, 1), promptTokens: q.promptTokens, tokensLeft: q.outputTokens}
	e.runs = append(e.runs, r)
	if !e.stepping {
		e.startStep()
	}
	return r
}

// removeRun removes a finished or cancelled run from the batch.
func (e *engine) removeRun(r *run) {
	e.runs = slices.DeleteFunc(e.runs, func(other *run) bool { return other == r })
}

// startStep starts a step, if there are runs. A step prefills one chunk of the
// first run that is not fully prefilled, and generates one token for each run
// that is.
func (e *engine) startStep() {
	e.stepping = len(e.runs) > 0
	if !e.stepping {
		return
	}
	ms := millis.FromDuration(e.spec.stepTime) + millis.FromDuration(e.spec.stepTimePerRun)*float64(len(e.runs))
	var prefilling *run
	for _, r := range e.runs {
		if r.prefillLeft > 0 {
			prefilling = r
			break
		}
	}
	chunk := 0
	if prefilling != nil {
		chunk = min(prefilling.prefillLeft, prefillChunkTokens)
		prefilledTokens := float64(prefilling.promptTokens - prefilling.prefillLeft)
		ms += float64(chunk)/e.spec.prefillTokensPerMS + float64(chunk)*(prefilledTokens+float64(chunk)/2)/1e6/attentionPairsPerMS
	}
	e.clock.After(millis.Duration(ms*e.slowdown), func() { e.finishStep(prefilling, chunk) })
}

// finishStep generates the tokens of a step and starts the next one. The step
// prefilled chunk tokens of the run prefilling, which may be nil.
func (e *engine) finishStep(prefilling *run, chunk int) {
	for _, r := range slices.Clone(e.runs) {
		if r.prefillLeft == 0 {
			e.generateToken(r)
		}
	}
	if prefilling != nil && prefilling.prefillLeft > 0 {
		prefilling.prefillLeft -= chunk
		if prefilling.prefillLeft == 0 && slices.Contains(e.runs, prefilling) {
			e.generateToken(prefilling)
		}
	}
	e.startStep()
}

// generateToken generates one token of a run. The first of each tokensPerEvent
// tokens and the last token of the run cause an event.
func (e *engine) generateToken(r *run) {
	r.tokensMade++
	r.tokensLeft--
	if r.tokensMade%e.spec.tokensPerEvent == 1 || r.tokensLeft == 0 {
		r.events++
		r.request.recordEvent(e.clock.Now(), r)
	}
	if r.tokensLeft <= 0 {
		e.removeRun(r)
		e.onFinished(r)
	}
}

// crash discards the engine's state, starts a new incarnation and returns the
// runs that were lost.
func (e *engine) crash() []*run {
	lost := e.runs
	e.runs, e.hostCache, e.crashed = nil, nil, true
	e.resident, e.loading = make(map[catalog.AdapterKey]bool), make(map[catalog.AdapterKey]bool)
	e.prefixes = prefixCache{capacity: e.prefixes.capacity}
	e.incarnation++
	e.sequence = 0
	return lost
}

// prefixCache holds the shared prefixes that an engine has prefilled, least
// recently used first.
type prefixCache struct {
	capacity int // Tokens.
	total    int // Tokens of all entries.
	entries  []cachedPrefix
}

type cachedPrefix struct {
	key    catalog.AdapterKey
	prefix string
	tokens int
}

// prefillTokens returns the number of prompt tokens to prefill for a request, and
// adds the request's shared prefix to the cache.
func (c *prefixCache) prefillTokens(q *request) int {
	i := slices.IndexFunc(c.entries, func(p cachedPrefix) bool { return p.key == q.key && p.prefix == q.prefix })
	if i >= 0 {
		hit := c.entries[i]
		c.entries = append(slices.Delete(c.entries, i, i+1), hit)
		return q.promptTokens - hit.tokens
	}
	c.entries = append(c.entries, cachedPrefix{q.key, q.prefix, q.prefixTokens})
	c.total += q.prefixTokens
	for c.total > c.capacity && len(c.entries) > 1 {
		c.total -= c.entries[0].tokens
		c.entries = c.entries[1:]
	}
	return q.promptTokens
}
