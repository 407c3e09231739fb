package hlc

import (
	"math"
	"testing"
	"time"
)

// newTestClock returns a Clock whose physical time is *wall, in nanoseconds
// since the Unix epoch.
func newTestClock(wall *int64) *Clock {
	return New(func() time.Time { return time.Unix(0, *wall) })
}

func TestNowIncreasesIfPhysicalTimeDoesNot(t *testing.T) {
	wall := int64(100)
	c := newTestClock(&wall)
	last := c.Now()
	for _, next := range []int64{100, 100, 90, 101} {
		wall = next
		now := c.Now()
		if !last.Before(now) {
			t.Fatalf("Now() = %s, want it after the previous timestamp %s", now, last)
		}
		last = now
	}
}

func TestNowIsAfterObservedTimestamp(t *testing.T) {
	wall := int64(100)
	c := newTestClock(&wall)
	observed := Timestamp{Wall: 500, Logical: 7}
	c.Observe(observed)
	if now := c.Now(); !observed.Before(now) {
		t.Fatalf("Now() = %s, want it after the observed timestamp %s", now, observed)
	}
}

func TestLogicalCounterDoesNotOverflow(t *testing.T) {
	wall := int64(100)
	c := newTestClock(&wall)
	observed := Timestamp{Wall: 500, Logical: math.MaxUint32}
	c.Observe(observed)
	if now := c.Now(); !observed.Before(now) {
		t.Fatalf("Now() = %s, want it after the observed timestamp %s", now, observed)
	}
}

func TestTimestampBeyondMaxClockOffsetIsIgnored(t *testing.T) {
	wall := int64(100)
	c := newTestClock(&wall)
	c.Observe(Timestamp{Wall: wall + MaxClockOffset.Nanoseconds() + 1})
	if now := c.Now(); now.Wall != wall {
		t.Fatalf("Now() = %s, want wall time %d: the observed timestamp is too far ahead", now, wall)
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{
		"0.0", "1764802893000000000.12", "-1.0", "1", "1.", ".1", "1.2x", " 1.2", "+1.2", "01.2", "1.4294967296",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(text)
		if err != nil {
			return
		}
		if parsed.Wall < 0 || parsed.String() != text {
			t.Fatalf("Parse(%q) = %s, want a timestamp with the same text and Wall >= 0", text, parsed)
		}
	})
}

func BenchmarkNow(b *testing.B) {
	c := New(nil)
	b.ReportAllocs()
	for b.Loop() {
		c.Now()
	}
}

func BenchmarkObserveParsed(b *testing.B) {
	c := New(nil)
	text := c.Now().String()
	b.ReportAllocs()
	for b.Loop() {
		t, err := Parse(text)
		if err != nil {
			b.Fatal(err)
		}
		c.Observe(t)
	}
}
