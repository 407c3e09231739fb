// Package hlc implements a hybrid logical clock. Its timestamps follow physical
// time and order each event after all events whose timestamps its process has
// issued or received. Calls between processes carry timestamps in HeaderClock.
//
// Source: Kulkarni and others, "Logical Physical Clocks", 2014.
package hlc

import (
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// HeaderClock is the HTTP header with the sender's timestamp on calls between
// processes.
const HeaderClock = "Hyssop-Clock"

// MaxClockOffset is the maximum by which a received timestamp may be ahead of
// the local physical clock. A timestamp further ahead is ignored, so that one
// wrong clock does not advance the clocks of the other processes.
const MaxClockOffset = 10 * time.Minute

// maxTextBytes is at least the length of the longest text form of a timestamp.
const maxTextBytes = 32

// ErrFormat reports that a text is not a timestamp.
const ErrFormat = errors.ConstError("malformed timestamp, want the form <nanoseconds>.<logical counter>")

// Timestamp is a reading of a Clock. Timestamps are ordered by Wall, then by
// Logical.
type Timestamp struct {
	Wall    int64  `json:"wall"`    // Nanoseconds since the Unix epoch.
	Logical uint32 `json:"logical"` // Counter that orders events with the same Wall.
}

// Before reports whether t is ordered before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns the physical part in UTC.
func (t Timestamp) Time() time.Time {
	return time.Unix(0, t.Wall).UTC()
}

// String returns the text form that Parse accepts: the decimal values of Wall
// and Logical, separated by a dot.
func (t Timestamp) String() string {
	buf := strconv.AppendInt(make([]byte, 0, maxTextBytes), t.Wall, 10)
	buf = append(buf, '.')
	return string(strconv.AppendUint(buf, uint64(t.Logical), 10))
}

// Parse parses the text form that String returns. It returns ErrFormat for any
// other text.
func Parse(text string) (Timestamp, error) {
	wallText, logicalText, ok := strings.Cut(text, ".")
	if !ok {
		return Timestamp{}, ErrFormat
	}
	wall, err := strconv.ParseInt(wallText, 10, 64)
	if err != nil || wall < 0 {
		return Timestamp{}, ErrFormat
	}
	logical, err := strconv.ParseUint(logicalText, 10, 32)
	if err != nil {
		return Timestamp{}, ErrFormat
	}
	t := Timestamp{Wall: wall, Logical: uint32(logical)}
	if t.String() != text {
		return Timestamp{}, ErrFormat
	}
	return t, nil
}

// Clock issues timestamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Timestamp
	now  func() time.Time
}

// New returns a Clock that reads physical time from now, or from time.Now if
// now is nil.
func New(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a timestamp after all timestamps that the clock issued or
// observed.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.now().UnixNano())
	return c.last
}

// Observe advances the clock so that Now returns only timestamps after t. It
// ignores t if it is more than MaxClockOffset ahead of the local physical clock.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixNano()
	if t.Wall > wall+MaxClockOffset.Nanoseconds() {
		return
	}
	if c.last.Before(t) {
		c.last = t
	}
}

// advance moves c.last forward to the physical time wall, or by the smallest
// step if wall is not after c.last. The caller holds c.mu.
func (c *Clock) advance(wall int64) {
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return
	}
	if c.last.Logical == math.MaxUint32 {
		c.last = Timestamp{Wall: c.last.Wall + 1}
		return
	}
	c.last.Logical++
}
