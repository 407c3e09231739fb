// Package connections decides which connections and unfinished requests of clients a process keeps.
//
// Invariants:
//
//   - There are never more connections or unfinished requests than the limits.
//   - A connection whose request is being served is not closed for another one.
//   - A new connection is refused only if the requests of all others are being served.
package connections

import "time"

// State is what a connection is used for.
type State int

// Values of State.
const (
	Receiving State = iota // New, or a request is being received.
	Serving                // The request is complete and has no complete response.
	Idle                   // Kept for the next request.
)

const (
	// receivingWeight is how much sooner a connection whose request arrives is closed than an idle one. A request arrives
	// within some round trips, while clients keep idle connections for up to 12 s.
	receivingWeight = 8
	// stall is the time without progress after which an unfinished request gives way to another one.
	stall = 2 * time.Second
	// progressBytes count as progress together. Few bytes now and then do not.
	progressBytes = 1 << 10
)

// Limits bounds what a Table keeps. 0 sets no bound.
type Limits struct {
	Connections int
	Unfinished  int // Requests that are received or served.
}

// Conn is a connection of a Table.
type Conn struct {
	address    string
	state      State
	unfinished bool
	progressed int
	progressAt time.Time
}

// Table lists the connections of a listener. It is not safe for concurrent use.
type Table struct {
	limits     Limits
	conns      map[*Conn]struct{}
	byAddress  map[string]int
	unfinished int
}

// NewTable returns an empty Table.
func NewTable(l Limits) *Table {
	return &Table{limits: l, conns: make(map[*Conn]struct{}), byAddress: make(map[string]int)}
}

// Len returns the number of connections.
func (t *Table) Len() int { return len(t.conns) }

// Unfinished returns the number of unfinished requests.
func (t *Table) Unfinished() int { return t.unfinished }

// Add adds a connection from a client address without its port. If there are too many, evict is the one to close and to
// remove instead. Add returns nil if the new connection is to be closed.
func (t *Table) Add(address string, now time.Time) (c, evict *Conn) {
	if t.limits.Connections > 0 && len(t.conns) >= t.limits.Connections {
		if evict = t.worst(now); evict == nil {
			return nil, nil
		}
		t.Remove(evict)
	}
	c = &Conn{address: address, progressAt: now}
	t.conns[c] = struct{}{}
	t.byAddress[address]++
	return c, evict
}

// worst returns the connection that has made no progress for longest, or nil if all are served. If one address has most
// of the connections, it is one of that address; behind a load balancer that spares nobody.
func (t *Table) worst(now time.Time) *Conn {
	for _, most := range []bool{true, false} {
		var worst *Conn
		for c := range t.conns {
			if c.state == Serving || most && 2*t.byAddress[c.address] <= len(t.conns) {
				continue
			}
			if worst == nil || c.weight(now) > worst.weight(now) {
				worst = c
			}
		}
		if worst != nil {
			return worst
		}
	}
	return nil
}

// weight returns the time without progress, as it counts against a connection.
func (c *Conn) weight(now time.Time) time.Duration {
	d := now.Sub(c.progressAt)
	if c.state == Receiving {
		d *= receivingWeight
	}
	return d
}

// Remove removes a connection. It has no effect for one that was removed before.
func (t *Table) Remove(c *Conn) {
	if _, known := t.conns[c]; !known {
		return
	}
	t.End(c)
	delete(t.conns, c)
	if t.byAddress[c.address]--; t.byAddress[c.address] == 0 {
		delete(t.byAddress, c.address)
	}
}

// Progress records that n bytes were received.
func (t *Table) Progress(c *Conn, n int, now time.Time) {
	if c.progressed += n; c.progressed >= progressBytes {
		c.progressed, c.progressAt = 0, now
	}
}

// SetState records what a connection is used for.
func (t *Table) SetState(c *Conn, s State, now time.Time) {
	c.state, c.progressed, c.progressAt = s, 0, now
}

// Begin records an unfinished request, whose header has been received. If there are too many, evict is a connection to close
// and to remove instead; Begin returns false if there is none.
func (t *Table) Begin(c *Conn, now time.Time) (evict *Conn, ok bool) {
	if _, known := t.conns[c]; !known {
		return nil, false
	}
	if t.limits.Unfinished > 0 && t.unfinished >= t.limits.Unfinished {
		for v := range t.conns {
			if v.unfinished && v.state == Receiving && now.Sub(v.progressAt) >= stall && (evict == nil || v.progressAt.Before(evict.progressAt)) {
				evict = v
			}
		}
		if evict == nil {
			return nil, false
		}
		t.Remove(evict)
	}
	c.unfinished = true
	t.unfinished++
	return evict, true
}

// End records that a request has ended.
func (t *Table) End(c *Conn) {
	if c.unfinished {
		c.unfinished = false
		t.unfinished--
	}
}
