package wire

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/juju/errors"
)

// readEvents returns all events of r and the error that ended the stream.
func readEvents(r io.Reader) ([]string, error) {
	events := NewEventReader(r)
	var out []string
	for {
		e, err := events.Next()
		if err != nil {
			return out, err
		}
		out = append(out, string(e))
	}
}

func TestEventReaderReturnsWholeEventsOnly(t *testing.T) {
	tests := []struct {
		text   string
		events int
		err    error
	}{
		{"data: a\n\ndata: b\n\n", 2, io.EOF},
		{"data: a\r\n\r\ndata: b\r\n\r\n", 2, io.EOF},
		{"data: a\n\ndata: b", 1, io.ErrUnexpectedEOF},
		{"data: a\n\ndata: b\n", 1, io.ErrUnexpectedEOF},
		{"", 0, io.EOF},
		{strings.Repeat("x", MaxEventBytes+readSize), 0, ErrEventTooLong},
	}
	for _, tt := range tests {
		for name, r := range map[string]io.Reader{
			"whole": strings.NewReader(tt.text), "byte by byte": iotest.OneByteReader(strings.NewReader(tt.text)),
		} {
			if name != "whole" && len(tt.text) > MaxEventBytes {
				continue
			}
			events, err := readEvents(r)
			if len(events) != tt.events || !errors.Is(err, tt.err) {
				t.Errorf("%s %.20q: got %d events and error %v, want %d and %v", name, tt.text, len(events), err, tt.events, tt.err)
			}
		}
	}
}

func TestIsEndMarkMatchesOnlyTheEndMark(t *testing.T) {
	for text, end := range map[string]bool{
		"data: [DONE]\n\n": true, "data:[DONE]\r\n\r\n": true,
		"data: {\"text\":\"data: [DONE]\"}\n\n": false, ": [DONE]\n\n": false,
	} {
		if Event(text).IsEndMark() != end {
			t.Errorf("IsEndMark() of event %q = %t, want %t", text, !end, end)
		}
	}
}
