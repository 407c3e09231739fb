package eventstream

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"
)

// readAll reads events until the first error. It returns the bytes and the ids of
// the events, and the error.
func readAll(t *testing.T, r io.Reader) (events []string, ids []string, err error) {
	t.Helper()
	reader := NewReader(r)
	for {
		e, err := reader.Next()
		if err != nil {
			return events, ids, err
		}
		events = append(events, string(e.Raw))
		ids = append(ids, e.ID)
	}
}

func TestNextReturnsEventsUnchanged(t *testing.T) {
	const text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\n"
	for _, r := range []io.Reader{strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text))} {
		events, ids, err := readAll(t, r)
		if err != io.EOF || strings.Join(events, "") != text || strings.Join(ids, ",") != "1,2," {
			t.Errorf("events = %q, ids = %q, error = %v; want the whole text %q, ids 1, 2 and none, error io.EOF",
				events, ids, err, text)
		}
	}
}

func TestIncompleteEventReturnsErrTruncated(t *testing.T) {
	events, _, err := readAll(t, strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"))
	if !errors.Is(err, ErrTruncated) || len(events) != 1 {
		t.Errorf("events = %q, error = %v; want one event and ErrTruncated", events, err)
	}
}

func TestLongEventReturnsErrTooLong(t *testing.T) {
	_, _, err := readAll(t, strings.NewReader("data: "+strings.Repeat("x", 2*MaxEventBytes)))
	if !errors.Is(err, ErrTooLong) {
		t.Errorf("error for an event of %d bytes = %v, want ErrTooLong", 2*MaxEventBytes, err)
	}
}

// FuzzReader checks that the events of an arbitrary stream are a prefix of it, and
// the whole stream if Next returns io.EOF.
func FuzzReader(f *testing.F) {
	f.Add("id: 1\ndata: a\n\n")
	f.Add("\n\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		events, _, err := readAll(t, strings.NewReader(text))
		joined := strings.Join(events, "")
		if !strings.HasPrefix(text, joined) {
			t.Fatalf("joined events %q are not a prefix of the stream %q", joined, text)
		}
		if err == io.EOF && joined != text {
			t.Fatalf("Next() returned io.EOF for the stream %q after the events %q, want ErrTruncated", text, joined)
		}
	})
}

// A line of exactly the buffer's length leaves its end alone in the buffer. It is not the blank line that ends an event.
func TestLongLineDoesNotEndEvent(t *testing.T) {
	text := "data: " + strings.Repeat("x", readBufferBytes-len("data: ")) + "\nid: 7\n\n"
	events, ids, err := readAll(t, strings.NewReader(text))
	if err != io.EOF || len(events) != 1 || events[0] != text || ids[0] != "7" {
		t.Errorf("%d events, ids %q, error %v; want one event with the ID 7", len(events), ids, err)
	}
}

// A damaged header can make the framing of chunks part of the body. The size of a chunk must not reach a caller as part of an event.
func TestLineThatIsNoFieldReturnsErrMalformed(t *testing.T) {
	for _, text := range []string{"14\r\nid: 1\r\ndata: one\r\n\r\n", "id: 1\ndata\n1a\n\n", "\x00\x01\n\n"} {
		if events, _, err := readAll(t, strings.NewReader(text)); !errors.Is(err, ErrMalformed) || len(events) > 0 {
			t.Errorf("%q: events = %q, error = %v; want none and ErrMalformed", text, events, err)
		}
	}
	if events, _, err := readAll(t, strings.NewReader(": comment\nretry\ndata\nweight-versions: 3\n\n")); err != io.EOF || len(events) != 1 {
		t.Errorf("events = %q, error = %v; want one event", events, err)
	}
}

func TestFollowsComparesNumbers(t *testing.T) {
	for _, c := range []struct {
		last, id string
		want     bool
	}{{"", "1", true}, {"3", "4", true}, {"3", "9", true}, {"3", "3", false}, {"10", "9", false}, {"a", "1", true}, {"3", "b", true}, {"3", "", true}} {
		if got := Follows(c.last, c.id); got != c.want {
			t.Errorf("Follows(%q, %q) = %t, want %t", c.last, c.id, got, c.want)
		}
	}
}

// The buffer of a stream with long events counts toward the memory of the process, and is returned after them.
func TestBufferForLongEventsIsReserved(t *testing.T) {
	long := "data: " + strings.Repeat("x", MaxEventBytes-100) + "\n\n"
	r := NewReader(strings.NewReader("id: 1\n\n" + long + long + "id: 2\n\nid: 3\n\n"))
	reserved, most := 0, 0
	r.Reserve = func(n int) error {
		reserved += n
		most = max(most, reserved)
		return nil
	}
	for n := range 5 {
		if _, err := r.Next(); err != nil {
			t.Fatal(err)
		}
		if n == 1 && reserved < len(long) {
			t.Errorf("%d bytes reserved for an event of %d", reserved, len(long))
		}
	}
	if reserved != 0 || most > 2*MaxEventBytes {
		t.Errorf("%d bytes are still reserved after long events, at most %d were", reserved, most)
	}
	r = NewReader(strings.NewReader(long))
	r.Reserve = func(int) error { return io.ErrShortBuffer }
	if _, err := r.Next(); err != io.ErrShortBuffer {
		t.Errorf("error %v without room, want that of Reserve", err)
	}
}
