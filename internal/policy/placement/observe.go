package placement

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

// Sent tells that an attempt was sent. It is followed by one of Done, Refused,
// Failed and Abandoned, with Answered before it where the endpoint answered.
func (p *Placer) Sent(vm ident.VM) {
	if n, ok := p.nodes[vm]; ok {
		n.own++
	}
}

// Answered tells that the answer to an attempt began: the build is resident.
func (p *Placer) Answered(now time.Time, vm ident.VM, job Job, boot ident.BootID, load Load) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.succeed()
	n.report(now, load)
	if boot != "" {
		n.boot = boot
	}
	h := holding{node: n, version: job.Version, boot: n.boot, seen: now}
	if job.Adapter != "" {
		p.adapter(job).hold(h)
	}
	if job.Prefix != 0 {
		p.prefixes.put(job.Prefix, h)
	}
}

// Done tells that the whole answer was passed on, after the given time since
// the attempt was sent, and whether the build was resident when it arrived.
func (p *Placer) Done(vm ident.VM, elapsed time.Duration, resident bool) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.own = max(n.own-1, 0)
	pool, ok := p.pools[n.Pool]
	if !ok {
		return
	}
	if resident {
		pool.resident.add(elapsed.Seconds())
		return
	}
	pool.loaded.add(elapsed.Seconds())
}

// Refused tells that the agent refused an attempt and nothing ran. For a short
// time the endpoint is not preferred for the build.
func (p *Placer) Refused(now time.Time, vm ident.VM, job Job, load Load) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.own = max(n.own-1, 0)
	n.report(now, load)
	if job.Adapter == "" {
		return
	}
	a := p.adapter(job)
	h, _ := a.holding(n, job.Version)
	h.node, h.version, h.avoidUntil = n, job.Version, now.Add(p.config.Holdback)
	a.hold(h)
}

// Failed tells that the agent or endpoint failed or did not answer. It is held
// back for a bounded time.
func (p *Placer) Failed(now time.Time, vm ident.VM) {
	n, ok := p.nodes[vm]
	if !ok {
		return
	}
	n.own = max(n.own-1, 0)
	n.fail(now, p.config.Holdback, p.config.MaxHoldback)
}

// Abandoned tells that the caller left before the attempt ended.
func (p *Placer) Abandoned(vm ident.VM) {
	if n, ok := p.nodes[vm]; ok {
		n.own = max(n.own-1, 0)
	}
}

// maxHoldings bounds the nodes that one adapter is believed to be on.
const maxHoldings = 64

// hold remembers a node; the one that was not seen for longest is forgotten.
func (a *adapter) hold(h holding) {
	oldest := 0
	for i, known := range a.holdings {
		if known.node == h.node && known.version == h.version {
			a.holdings[i] = h
			return
		}
		if known.seen.Before(a.holdings[oldest].seen) {
			oldest = i
		}
	}
	if len(a.holdings) < maxHoldings {
		a.holdings = append(a.holdings, h)
		return
	}
	a.holdings[oldest] = h
}
