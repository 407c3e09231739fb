package wire

import (
	"bytes"
	"io"

	"github.com/juju/errors"
)

// MaxEventBytes is the length up to which EventReader accepts an event.
const MaxEventBytes = 1 << 20

// ErrEventTooLong reports that an event of a stream is longer than MaxEventBytes.
const ErrEventTooLong = errors.ConstError("server-sent event exceeds 1 MiB")

// readSize is the number of bytes requested from the source at a time.
const readSize = 32 << 10

// Event is one whole server-sent event, including the blank line that ends it.
type Event []byte

// IsEndMark reports whether the event is the end mark of a completion stream,
// "data: [DONE]".
func (e Event) IsEndMark() bool {
	data, ok := bytes.CutPrefix(bytes.TrimSpace(e), []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// HasData reports whether the event has a data field. An event that is only a
// comment has none.
func (e Event) HasData() bool {
	return bytes.HasPrefix(e, []byte("data:")) || bytes.Contains(e, []byte("\ndata:"))
}

// EventReader splits a stream of server-sent events into whole events. If the
// stream breaks within an event, no part of that event is returned.
type EventReader struct {
	src      io.Reader
	buf      []byte // Bytes read from src and not yet returned.
	searched int    // Number of bytes at the start of buf already searched for an event's end.
	err      error  // Error of the last read from src.
}

// NewEventReader returns an EventReader that reads from src.
func NewEventReader(src io.Reader) *EventReader {
	return &EventReader{src: src}
}

// Next returns the next whole event, which is valid until the next call. It
// returns io.EOF after the last event, io.ErrUnexpectedEOF if the source ends
// within an event, ErrEventTooLong if the next event exceeds MaxEventBytes, or the
// source's error.
func (r *EventReader) Next() (Event, error) {
	for {
		if event, ok := r.nextBuffered(); ok {
			return event, nil
		}
		if r.err != nil {
			return nil, r.endError()
		}
		if len(r.buf) > MaxEventBytes {
			return nil, ErrEventTooLong
		}
		r.fill()
	}
}

// nextBuffered removes the first whole event from buf. It returns false if buf
// contains no whole event.
func (r *EventReader) nextBuffered() (Event, bool) {
	end := eventEnd(r.buf, r.searched)
	if end < 0 {
		// The end of an event can span two reads, so the last bytes are searched
		// again. The longest incomplete end is "\r\n\r".
		r.searched = max(0, len(r.buf)-len("\r\n\r"))
		return nil, false
	}
	event := Event(r.buf[:end:end])
	r.buf = r.buf[end:]
	r.searched = 0
	return event, true
}

// fill reads once from src into a new buffer that begins with the bytes that are
// not yet returned.
func (r *EventReader) fill() {
	r.buf = append(make([]byte, 0, len(r.buf)+readSize), r.buf...)
	n, err := r.src.Read(r.buf[len(r.buf):cap(r.buf)])
	r.buf = r.buf[:len(r.buf)+n]
	r.err = err
}

// endError returns the error for the end of src.
func (r *EventReader) endError() error {
	if r.err == io.EOF && len(bytes.TrimSpace(r.buf)) > 0 {
		return io.ErrUnexpectedEOF
	}
	return r.err
}

// eventEnd returns the length of the first event in buf, or -1 if buf contains no
// whole event. The search for the event's end begins at index from.
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
