package endpoints

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"

	"github.com/hyssoptiller/hyssoptiller/internal/clients/vmlist"
	"github.com/hyssoptiller/hyssoptiller/internal/entry/dispatch"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/directory"
	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/placement"
)

// ViewSource provides the most recent view of the VM list.
type ViewSource interface {
	// View returns the same pointer until a new list was read.
	View() *directory.View
}

// Options configures New.
type Options struct {
	Directory ViewSource
	Placement placement.Config
	Metrics   tally.Scope
}

// Chooser implements dispatch.Endpoints with a placement policy. It is safe for
// concurrent use.
type Chooser struct {
	opts    Options
	metrics metrics

	mu     sync.Mutex
	placer *placement.Placer
	// inFlight holds the attempts that have not ended. The value states whether
	// the response reported the build as resident.
	inFlight map[ident.AttemptID]bool
	view     *directory.View
	vms      map[ident.VM]vmlist.VM // VMs of view.
}

// New returns a Chooser.
func New(opts Options) *Chooser {
	return &Chooser{
		opts:     opts,
		metrics:  newMetrics(opts.Metrics),
		placer:   placement.New(opts.Placement),
		inFlight: make(map[ident.AttemptID]bool),
	}
}

// DefaultPlacement returns the placement configuration of an entry.
func DefaultPlacement() placement.Config {
	return placement.Config{
		MaxAdapters:        20_000,
		MaxPrefixes:        20_000,
		MaxReturned:        4,
		DemandHalfLife:     30 * time.Second,
		LoadHalfLife:       2 * time.Second,
		ResidencyTimeout:   2 * time.Minute,
		TargetUtilization:  0.5,
		MinLoadDelay:       6 * time.Second,
		PrefixGain:         200 * time.Millisecond,
		DefaultCapacity:    16,
		DefaultServiceTime: 5 * time.Second,
		Cooldown:           500 * time.Millisecond,
		MaxCooldown:        30 * time.Second,
	}
}

// Candidates implements dispatch.Endpoints.
func (c *Chooser) Candidates(job wire.Job) []vmlist.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshView()
	chosen := c.placer.Choose(time.Now(), placementJob(job))
	out := make([]vmlist.VM, len(chosen))
	for i, id := range chosen {
		out[i] = c.vms[id]
	}
	c.metrics.choices.Inc(1)
	if len(out) == 0 {
		c.metrics.noEndpoint.Inc(1)
	}
	return out
}

// Observe implements dispatch.Endpoints. It ignores an attempt that was not
// reported as sent or that has already ended.
func (c *Chooser) Observe(o dispatch.Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	attempt := o.Job.AttemptID
	if o.Outcome == dispatch.OutcomeSent {
		c.inFlight[attempt] = false
		c.placer.RecordSent(o.VM)
		return
	}
	resident, ok := c.inFlight[attempt]
	if !ok {
		return
	}
	if o.Outcome == dispatch.OutcomeResponseStarted {
		c.inFlight[attempt] = o.Load.Resident
		c.countResidency(o)
		c.placer.RecordResponse(time.Now(), o.VM, placementJob(o.Job), o.Boot, placementLoad(o.Load))
		return
	}
	delete(c.inFlight, attempt)
	c.recordEnd(o, resident)
}

// recordEnd reports the end of an attempt to the placement policy. resident
// states whether the build was resident when the response started.
func (c *Chooser) recordEnd(o dispatch.Observation, resident bool) {
	switch o.Outcome {
	case dispatch.OutcomeCompleted:
		c.placer.RecordDone(o.VM, o.Elapsed, resident)
	case dispatch.OutcomeRefused:
		c.metrics.refused.Inc(1)
		c.placer.RecordRefusal(time.Now(), o.VM, placementJob(o.Job), placementLoad(o.Load))
	case dispatch.OutcomeCallerLeft:
		c.placer.RecordAbandoned(o.VM)
	default:
		c.metrics.failed.Inc(1)
		c.placer.RecordFailure(time.Now(), o.VM)
	}
}

func placementLoad(l wire.Load) placement.Load {
	return placement.Load{Running: l.Running, Capacity: l.Capacity, Queued: l.Queued}
}

// countResidency counts whether the endpoint of an adapter's job already had
// the build loaded.
func (c *Chooser) countResidency(o dispatch.Observation) {
	if o.Job.Adapter == "" {
		return
	}
	if o.Load.Resident {
		c.metrics.resident.Inc(1)
		return
	}
	c.metrics.notResident.Inc(1)
}

// refreshView passes a new view of the VM list to the placement policy. The
// caller holds c.mu.
func (c *Chooser) refreshView() {
	view := c.opts.Directory.View()
	if view == c.view {
		return
	}
	c.view = view
	c.vms = make(map[ident.VM]vmlist.VM, len(view.VMs))
	var endpoints []placement.Endpoint
	entries := 0
	for _, vm := range view.VMs {
		c.vms[vm.ID] = vm
		if vm.Role == vmlist.RoleEntry {
			entries++
			continue
		}
		endpoints = append(endpoints, placementEndpoint(vm))
	}
	c.placer.SetEndpoints(endpoints, entries)
	c.metrics.endpoints.Update(float64(len(endpoints)))
	adapters, _ := c.placer.CacheSizes()
	c.metrics.adapters.Update(float64(adapters))
}

func placementEndpoint(vm vmlist.VM) placement.Endpoint {
	return placement.Endpoint{
		VM:      vm.ID,
		Domain:  vm.FailureDomain,
		Pool:    placement.Pool{Base: vm.Base, Service: vm.Service},
		Leaving: vm.State != vmlist.StateLive,
	}
}

func placementJob(job wire.Job) placement.Job {
	return placement.Job{
		Pool:       placement.Pool{Base: job.Base, Service: job.Service},
		Adapter:    job.Adapter,
		Version:    job.Version,
		Prefix:     job.PromptHash,
		TieBreaker: xxhash.Sum64String(string(job.RequestID)),
	}
}
