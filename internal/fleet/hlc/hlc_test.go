package hlc

import (
	"math"
	"testing"
	"time"
)

func clockAt(wall *int64) *Clock {
	return New(func() time.Time { return time.Unix(0, *wall) })
}

func TestNowGrowsWhilePhysicalTimeStandsOrGoesBack(t *testing.T) {
	wall := int64(100)
	c := clockAt(&wall)
	last := c.Now()
	for _, next := range []int64{100, 100, 90, 101} {
		wall = next
		now := c.Now()
		if !last.Before(now) {
			t.Fatalf("%s does not come after %s", now, last)
		}
		last = now
	}
}

func TestNowComesAfterWhatWasObserved(t *testing.T) {
	wall := int64(100)
	c := clockAt(&wall)
	seen := Timestamp{Wall: 500, Logical: 7}
	c.Observe(seen)
	if now := c.Now(); !seen.Before(now) {
		t.Fatalf("%s does not come after %s", now, seen)
	}
}

func TestLogicalPartNeverWraps(t *testing.T) {
	wall := int64(100)
	c := clockAt(&wall)
	seen := Timestamp{Wall: 500, Logical: math.MaxUint32}
	c.Observe(seen)
	if now := c.Now(); !seen.Before(now) {
		t.Fatalf("%s does not come after %s", now, seen)
	}
}

func TestTimestampFarAheadIsIgnored(t *testing.T) {
	wall := int64(100)
	c := clockAt(&wall)
	c.Observe(Timestamp{Wall: wall + MaxAhead.Nanoseconds() + 1})
	if now := c.Now(); now.Wall != wall {
		t.Fatalf("clock went to %s", now)
	}
}

func FuzzParse(f *testing.F) {
	for _, text := range []string{"0.0", "1764802893000000000.12", "-1.0", "1", "1.", ".1", "1.2x", " 1.2", "+1.2", "01.2", "1.4294967296"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		parsed, err := Parse(text)
		if err != nil {
			return
		}
		if parsed.Wall < 0 || parsed.String() != text {
			t.Fatalf("%q was read as %s", text, parsed)
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
