package placement

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// RecordSent records that an attempt was sent. Exactly one call of RecordDone,
// RecordRefusal, RecordFailure or RecordAbandoned must follow. If the endpoint
// responded, RecordResponse must be called before it.
func (p *Placer) RecordSent(vm ident.VM) {
	if n, ok := p.nodes[vm]; ok {
		n.outstanding++
	}
}

// RecordResponse records that the response to an attempt began, which shows that
// the build is resident.
func (p *Placer) RecordResponse(now time.Time, vm ident.VM, job Job, boot ident.BootID, load Load) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.recordSuccess()
	n.recordLoad(now, load)
	if boot != "" {
		n.boot = boot
	}
	r := residency{node: n, version: job.Version, boot: n.boot, servedAt: now}
	if job.Adapter != "" {
		p.adapterState(job).setResidency(r)
	}
	if job.Prefix != 0 {
		p.prefixes.put(job.Prefix, r)
	}
}

// RecordDone records that the whole response was forwarded. elapsed is the time
// since the attempt was sent. resident states whether the build was resident when
// the attempt arrived.
func (p *Placer) RecordDone(vm ident.VM, elapsed time.Duration, resident bool) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.outstanding = max(n.outstanding-1, 0)
	pool, ok := p.pools[n.Pool]
	if !ok {
		return
	}
	if resident {
		pool.residentTimes.add(elapsed.Seconds())
		return
	}
	pool.loadWaitTimes.add(elapsed.Seconds())
}

// RecordRefusal records that the agent refused an attempt and nothing ran. The
// endpoint is not preferred for the build for Config.Cooldown.
func (p *Placer) RecordRefusal(now time.Time, vm ident.VM, job Job, load Load) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.outstanding = max(n.outstanding-1, 0)
	n.recordLoad(now, load)
	if job.Adapter == "" {
		return
	}
	a := p.adapterState(job)
	r, _ := a.findResidency(n, job.Version)
	r.node, r.version, r.avoidUntil = n, job.Version, now.Add(p.config.Cooldown)
	a.setResidency(r)
}

// RecordFailure records that the agent or endpoint failed or did not respond. The
// endpoint gets a bounded cooldown.
func (p *Placer) RecordFailure(now time.Time, vm ident.VM) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.outstanding = max(n.outstanding-1, 0)
	n.recordFailure(now, p.config.Cooldown, p.config.MaxCooldown)
}

// RecordAbandoned records that the caller disconnected before the attempt ended.
func (p *Placer) RecordAbandoned(vm ident.VM) {
	if n, ok := p.nodes[vm]; ok {
		n.outstanding = max(n.outstanding-1, 0)
	}
}

// maxResidencies limits the residency records of one adapter.
const maxResidencies = 64

// setResidency stores a residency record. If the adapter has the maximum number
// of records, it replaces the record whose node served the build longest ago.
func (a *adapter) setResidency(r residency) {
	oldest := 0
	for i, existing := range a.residencies {
		if existing.node == r.node && existing.version == r.version {
			a.residencies[i] = r
			return
		}
		if existing.servedAt.Before(a.residencies[oldest].servedAt) {
			oldest = i
		}
	}
	if len(a.residencies) < maxResidencies {
		a.residencies = append(a.residencies, r)
		return
	}
	a.residencies[oldest] = r
}
