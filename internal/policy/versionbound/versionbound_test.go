package versionbound

import (
	"testing"
	"time"
)

// The time to begin counts from the last time at which the new version was known to be absent, but some of it is left when the
// announcement is read.
func TestBeginByCountsFromEarliestAnnouncement(t *testing.T) {
	read := time.Unix(1000, 0)
	for _, c := range []struct {
		name  string
		since time.Time
		want  time.Duration // After the read.
	}{
		{"read at once", read, 5*time.Second - margin},
		{"read late", read.Add(-2 * time.Second), 3*time.Second - margin},
		{"after an outage", read.Add(-time.Minute), minAfterRead - margin},
		{"unknown", time.Time{}, minAfterRead - margin},
	} {
		if got := BeginBy(5*time.Second, c.since, read).Sub(read); got != c.want {
			t.Errorf("%s: %s after the read, want %s", c.name, got, c.want)
		}
	}
}

// A large prompt may begin in time only if it does so on a slow engine too.
func TestLargePromptBeginsInTimeOnSlowEngineOnly(t *testing.T) {
	now := time.Unix(1000, 0)
	if !BeginsInTime(now.Add(time.Second), now, 100) {
		t.Error("a prefill of 100 ms does not begin within 1 s, want it to")
	}
	if BeginsInTime(now.Add(4*time.Second), now, 1000) {
		t.Error("a prefill of 1 s begins within 4 s, want it not to: an engine may be slower")
	}
}
