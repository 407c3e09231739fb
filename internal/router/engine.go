package router

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/catalog"
	"github.com/hyssoptiller/hyssoptiller/internal/policy/routing"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	"github.com/hyssoptiller/hyssoptiller/internal/turncall"
)

const (
	// mostAsked bounds the engines that are asked for one turn.
	mostAsked = 3
	// patienceFactor is the part of the aim beyond which a request is refused
	// rather than queued: a later answer would cost others theirs.
	patienceFactor = 1.5
	// patienceLeast keeps the patience above a load.
	patienceLeast = 400 * time.Millisecond
	// defaultAim holds where a route names none.
	defaultAim = time.Second
	// streamSilence bounds a silent stream that may go on elsewhere, in aims.
	streamSilence = 2.0
	// routersMost bounds the routers that are taken to ask for loads as this one
	// does: with more of them, one load would speak for too many others.
	routersMost = 4
	// busyWait is the least time that callers of busy engines are told to stay
	// away. They are late in any case then, and peaks last for seconds.
	busyWait = 2 * time.Second
)

// engineWay sends requests to model engines, with a turn of the scheduler.
func (r *Router) engineWay() way {
	return way{
		place: r.placeOnEngine,
		use: func(q *request, p *placed) (result, *answer) {
			defer p.release()
			version := int64(0)
			if p.turn != nil {
				version = p.turn.reply.Version
			}
			return r.attempt(q, p.to, version, q.engineSilence())
		},
		none: func(q *request, expected time.Duration) {
			r.refuse(q, refusal.CodeEndpointBusy, "No engine can begin the request in time.", max(expected, busyWait))
		},
	}
}

// placeOnEngine asks the best engines for a turn. Where none grants one it returns
// the least wait that was expected.
func (r *Router) placeOnEngine(q *request) (*placed, time.Duration) {
	least := time.Duration(0)
	for range mostAsked {
		v := r.state.View()
		now := time.Now()
		ranked := routing.Rank(r.routing, r.job(q, now), r.engines(v, q, now))
		if len(ranked) == 0 {
			return nil, least
		}
		best := ranked[0]
		to := v.Find(q.service.Name, best.ID)
		if to == nil {
			q.tried[best.ID] = true
			continue
		}
		q.story.expected = best.Expected
		if best.Crowded {
			q.step(best.ID, "loads_crowded")
			return nil, busyWait
		}
		p, expected := r.ask(q, to, best)
		if p != nil || q.ctx.Err() != nil {
			return p, expected
		}
		q.tried[best.ID] = true
		if least == 0 || expected < least {
			least = expected
		}
		if time.Since(q.arrived) > time.Duration(patienceFactor*float64(q.aim())) {
			break // It has waited as long as it may; another queue would be as long.
		}
	}
	return nil, least
}

// job describes the request to the choice of an engine.
func (r *Router) job(q *request, now time.Time) routing.Job {
	return routing.Job{
		Key: q.call.Adapter, Domain: r.settings.Domain, Priority: q.priority(), Prompt: q.call.PromptTokens,
		Shared: q.sharedTokens(), Events: r.lengths.of(q.route.Name), Routers: min(r.peers.Count(), routersMost), Longest: q.longestWait(now),
	}
}

// ask asks one engine's scheduler for a turn.
func (r *Router) ask(q *request, to *catalog.Endpoint, choice routing.Choice) (*placed, time.Duration) {
	l := r.links.to(to.Address)
	if l == nil {
		return nil, retryLeast
	}
	now := time.Now()
	if !l.state(now).fresh {
		if choice.Resident {
			return &placed{to: to}, 0 // The engine itself refuses what it does not hold.
		}
		return nil, retryLeast
	}
	patience := q.patience(now)
	l.noteSent(now, float64(q.call.PromptTokens)/r.routing.PrefillPerMS, choice.Load > 0)
	began := time.Now()
	t, reply, err := l.ask(q.ctx, turncall.Ask{
		Request: q.call.RequestID, Instance: string(to.ID), Born: to.Born, Version: r.state.View().Versions[q.call.Adapter],
		Model: q.call.Adapter.Model, Adapter: q.call.Adapter.Adapter,
		Parts: q.call.Parts, Prompt: q.call.PromptTokens, Output: q.call.OutputTokens, Priority: q.priority(),
		PatienceMS: patience.Milliseconds(), AimMS: max(q.aim()-now.Sub(q.arrived), 0).Milliseconds(), GapAimMS: q.route.GapAim.Milliseconds(), LoadMS: choice.Load.Milliseconds(),
	})
	q.story.waited += time.Since(began)
	if err != nil {
		q.step(to.ID, "scheduler_silent")
		return nil, retryLeast
	}
	if t == nil {
		q.step(to.ID, string(reply.Refusal))
		return nil, time.Duration(reply.ExpectedMS) * time.Millisecond
	}
	if now := r.state.View().Find(to.Service, to.ID); now == nil || now.Draining {
		t.release() // It began to leave while the request waited for its turn.
		q.step(to.ID, "left_meanwhile")
		return nil, retryLeast
	}
	q.story.cold, q.story.version = reply.Cold, reply.Version
	return &placed{to: to, turn: t}, 0
}

// patience returns how long the request may wait for a turn.
func (q *request) patience(now time.Time) time.Duration {
	p := time.Duration(patienceFactor*float64(q.aim())) - now.Sub(q.arrived)
	return min(max(p, patienceLeast), q.left())
}

// longestWait returns the wait from which the request's first event would be
// late.
func (q *request) longestWait(now time.Time) time.Duration {
	return max(q.aim()-now.Sub(q.arrived), patienceLeast)
}

// aim returns the time within which the first event is on time.
func (q *request) aim() time.Duration {
	if q.route.Aim <= 0 {
		return defaultAim
	}
	return q.route.Aim
}

func (q *request) sharedTokens() int {
	shared := 0
	for i, part := range q.call.Parts {
		if i < len(q.call.Parts)-1 {
			shared += part.Tokens
		}
	}
	return shared
}

// engineSilence returns how long an engine may stay silent, before and between
// events, before another one is tried; 0 where none may be.
func (q *request) engineSilence() time.Duration {
	if !q.mayRunAgain() {
		return 0
	}
	return time.Duration(streamSilence * float64(max(q.route.Aim, defaultAim)))
}
