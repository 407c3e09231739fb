package wire

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

// MaxEventBytes is the longest event of a stream that is passed on.
const MaxEventBytes = 1 << 20

// ErrEventTooLong says that an event of a stream is longer than MaxEventBytes.
const ErrEventTooLong = errors.ConstError("event too long")

const readBytes = 32 << 10

// Event is one whole server-sent event with the blank line that ends it.
type Event []byte

// End reports whether the event is the end mark of a stream of completions.
func (e Event) End() bool {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(e), []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// HasData reports whether the event carries data; a comment carries none.
func (e Event) HasData() bool {
	return bytes.HasPrefix(e, []byte("data:")) || bytes.Contains(e, []byte("\ndata:"))
}

// EventReader cuts a stream of server-sent events into whole events, so that
// no part of one is passed on where the stream breaks within it.
type EventReader struct {
	src  io.Reader
	buf  []byte // Bytes that were read and not returned.
	done int    // Bytes at the start of buf that were searched.
	err  error  // What the source ended with.
}

// NewEventReader returns an EventReader on src.
func NewEventReader(src io.Reader) *EventReader {
	return &EventReader{src: src}
}

// Next returns the next whole event, which is valid until the next call. It
// returns io.EOF after the last one, io.ErrUnexpectedEOF where the source
// ended within an event, ErrEventTooLong, or the source's error.
func (r *EventReader) Next() (Event, error) {
	for {
		if event, ok := r.cut(); ok {
			return event, nil
		}
		if r.err != nil {
			return nil, r.end()
		}
		if len(r.buf) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		r.fill()
	}
}

func (r *EventReader) cut() (Event, bool) {
	end := eventEnd(r.buf, r.done)
	if end < 0 {
		r.done = max(0, len(r.buf)-len("\r\n\r"))
		return nil, false
	}
	event := Event(r.buf[:end:end])
	r.buf = r.buf[end:]
	r.done = 0
	return event, true
}

func (r *EventReader) fill() {
	r.buf = append(make([]byte, 0, len(r.buf)+readBytes), r.buf...)
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
}

func (r *EventReader) end() error {
	if r.err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// eventEnd returns the length of the first event of buf, or -1. The search
// begins at from.
func eventEnd(buf []byte, from int) int {
	for i := from; i < len(buf); i++ {
		if buf[i] != '\n' {
			continue
		}
		if bytes.HasPrefix(buf[i+1:], []byte("\n")) {
			return i + len("\n\n")
		}
		if bytes.HasPrefix(buf[i+1:], []byte("\r\n")) {
			return i + len("\n\r\n")
		}
	}
	return -1
}
