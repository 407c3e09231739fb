// Package liveness decides which connections have gone silent for good: their peer answers on a new connection, but
// nothing comes back on the old one. A peer that is suspended, slow or cut off answers on neither, and its connections stay open.
package liveness

import "time"

// Connection is what is known of an open connection. Zero times mean never.
type Connection struct {
	OpenedAt    time.Time
	LastRead    time.Time // When bytes last arrived.
	LastWritten time.Time // When bytes were last handed to the network.
}

// IsSuspect reports whether nothing has come back on a connection since a call that may have been sent on it.
func (c Connection) IsSuspect(calledAt time.Time) bool {
	return !c.OpenedAt.After(calledAt) && c.LastRead.Before(calledAt)
}

// IsSilent reports whether a connection is silent for good, given that a probe which began at a time was sent on it and on
// a new connection, and that the peer has answered on the new one.
func (c Connection) IsSilent(probedAt time.Time) bool {
	return c.LastRead.Before(probedAt) && !c.LastWritten.Before(probedAt)
}

// Probes bounds the probes of each peer. The zero value permits the first one.
type Probes struct {
	byPeer map[string]probe
}

type probe struct {
	beganAt time.Time
	running bool
}

// minInterval is the shortest time between the beginnings of two probes of a peer that found nothing.
const minInterval = 500 * time.Millisecond

// Begin reports whether a probe of a peer may begin now. If so, End must follow.
func (p *Probes) Begin(peer string, now time.Time) bool {
	last, known := p.byPeer[peer]
	if known && (last.running || now.Sub(last.beganAt) < minInterval) {
		return false
	}
	if p.byPeer == nil {
		p.byPeer = make(map[string]probe)
	}
	for other, old := range p.byPeer {
		if !old.running && now.Sub(old.beganAt) >= minInterval {
			delete(p.byPeer, other)
		}
	}
	p.byPeer[peer] = probe{beganAt: now, running: true}
	return true
}

// End ends the probe of a peer. If it found a silent connection, the next one may begin at once: those that are
// opened in its place may go silent too.
func (p *Probes) End(peer string, foundSilent bool) {
	if foundSilent {
		delete(p.byPeer, peer)
		return
	}
	last := p.byPeer[peer]
	last.running = false
	p.byPeer[peer] = last
}
