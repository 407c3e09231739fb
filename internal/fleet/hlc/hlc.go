// Package hlc is a hybrid logical clock: timestamps that follow physical time
// and also order an event after every event whose timestamp its process has
// seen. Timestamps ride on each call between processes in HeaderClock.
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

// HeaderClock carries the sender's timestamp on calls between processes.
const HeaderClock = "Hyssop-Clock"

// MaxAhead bounds how far a received timestamp may lead the local physical
// clock; one that leads further is ignored, so that one wrong clock cannot
// drag the others along.
const MaxAhead = 10 * time.Minute

// textBytes holds the longest text of a timestamp.
const textBytes = 32

// ErrFormat says that a text is no timestamp.
const ErrFormat = errors.ConstError("malformed timestamp")

// Timestamp is one reading of the clock. Timestamps are ordered by Wall, then
// by Logical.
type Timestamp struct {
	Wall    int64  `json:"wall"`    // Nanoseconds since the Unix epoch.
	Logical uint32 `json:"logical"` // Orders events of the same nanosecond.
}

// Before reports whether t is ordered before u.
func (t Timestamp) Before(u Timestamp) bool {
	if t.Wall != u.Wall {
		return t.Wall < u.Wall
	}
	return t.Logical < u.Logical
}

// Time returns the physical part.
func (t Timestamp) Time() time.Time {
	return time.Unix(0, t.Wall).UTC()
}

// String returns the form that Parse reads.
func (t Timestamp) String() string {
	buf := strconv.AppendInt(make([]byte, 0, textBytes), t.Wall, 10)
	buf = append(buf, '.')
	return string(strconv.AppendUint(buf, uint64(t.Logical), 10))
}

// Parse reads the form that String returns, or returns ErrFormat.
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

// New returns a Clock that reads physical time from now; time.Now where nil.
func New(now func() time.Time) *Clock {
	if now == nil {
		now = time.Now
	}
	return &Clock{now: now}
}

// Now returns a timestamp later than all that the clock issued or observed.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(c.now().UnixNano())
	return c.last
}

// Observe orders later local timestamps after t.
func (c *Clock) Observe(t Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	wall := c.now().UnixNano()
	if t.Wall > wall+MaxAhead.Nanoseconds() {
		return
	}
	if c.last.Before(t) {
		c.last = t
	}
}

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
