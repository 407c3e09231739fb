// Package eventstream splits a stream of server-sent events into complete events.
// A process that forwards complete events ends an interrupted stream between two
// events, never within one.
package eventstream

import (
	"bufio"
	"bytes"
	"io"
	"strconv"

	"github.com/juju/errors"
)

// Errors of Reader.Next.
const (
	// ErrTruncated means that the stream ended within an event.
	ErrTruncated = errors.ConstError("stream ended within an event")
	// ErrTooLong means that an event is longer than MaxEventBytes.
	ErrTooLong = errors.ConstError("event exceeds the maximum length")
	// ErrMalformed means that a line is no field of an event, such as the size of a chunk whose framing is lost.
	ErrMalformed = errors.ConstError("line is no field of an event")
)

// MaxEventBytes is the maximum length of an event. An event with a piece of text
// takes less than 1 KB.
const MaxEventBytes = 1 << 20

const (
	readBufferBytes = 4 << 10
	// growthFactor is the growth of the buffer for an event that does not fit.
	growthFactor = 4
)

// Event is one complete event.
type Event struct {
	Raw []byte // Bytes as received, with blank lines before the event and the one at its end; valid until the next call of Next.
	ID  string // Value of the field "id", or "" if the event has none.
}

// Reader reads events from a stream.
type Reader struct {
	// Reserve, if set, is called before the buffer for events grows by n bytes, and with a negative n after it has
	// shrunk. Its error ends the stream. The first readBufferBytes are not reserved.
	Reserve func(n int) error

	br  *bufio.Reader
	buf []byte // Bytes of the current event.
}

// NewReader returns a Reader for the stream r.
func NewReader(r io.Reader) *Reader {
	return &Reader{br: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next complete event. At the end of the stream it returns io.EOF,
// or ErrTruncated if an incomplete event precedes the end. It returns ErrTooLong
// for an event of more than MaxEventBytes, ErrMalformed for a line that is no field, and otherwise the
// error of the stream.
func (r *Reader) Next() (Event, error) {
	if cap(r.buf) > readBufferBytes && len(r.buf) < cap(r.buf)/growthFactor/growthFactor {
		if r.Reserve != nil {
			_ = r.Reserve(-cap(r.buf)) // Bytes can always be returned.
		}
		r.buf = nil // Long events have ended.
	}
	r.buf = r.buf[:0]
	id := ""
	begun := false // The buffer ends within a line.
	for {
		line, err := r.br.ReadSlice('\n')
		if err := r.grow(len(line)); err != nil {
			return Event{}, err
		}
		r.buf = append(r.buf, line...)
		if err == bufio.ErrBufferFull {
			begun = true
			if len(r.buf) > MaxEventBytes {
				return Event{}, ErrTooLong
			}
			continue
		}
		if err == io.EOF && len(r.buf) > 0 {
			return Event{}, ErrTruncated
		}
		if err != nil {
			return Event{}, err
		}
		if len(r.buf) > MaxEventBytes {
			return Event{}, ErrTooLong
		}
		if begun {
			begun = false
			continue // The rest of a long line, which is neither blank nor an ID.
		}
		text := bytes.TrimRight(line, "\r\n")
		// A blank line before the first field belongs to the event.
		if len(text) == 0 && len(r.buf) > len(line) {
			return Event{Raw: r.buf, ID: id}, nil
		}
		if !isField(text) {
			return Event{}, ErrMalformed
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// grow makes room for n more bytes of the current event.
func (r *Reader) grow(n int) error {
	if len(r.buf)+n <= cap(r.buf) {
		return nil
	}
	size := max(cap(r.buf), readBufferBytes)
	for size < len(r.buf)+n {
		size *= growthFactor
	}
	size = min(size, MaxEventBytes+readBufferBytes)
	former := cap(r.buf)
	if r.Reserve != nil && size > readBufferBytes {
		if err := r.Reserve(size); err != nil {
			return err
		}
	}
	r.buf = append(make([]byte, 0, size), r.buf...)
	if r.Reserve != nil && former > readBufferBytes {
		return r.Reserve(-former)
	}
	return nil
}

// isField reports whether a line is blank, a comment or a field. A field without a value may lack the colon.
func isField(line []byte) bool {
	switch string(line) {
	case "", "data", "event", "id", "retry":
		return true
	default:
		return bytes.IndexByte(line, ':') >= 0
	}
}

// Follows reports whether an event with an ID may come after the one with the ID last: IDs increase. It returns true
// if either is not a number.
func Follows(last, id string) bool {
	before, err := strconv.ParseInt(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseInt(id, 10, 64)
	return err != nil || after > before
}
