package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestRequestThatMustRunOnceIsTakenOnlyIfItFinishes(t *testing.T) {
	now := time.Unix(1000, 0)
	end := now.Add(2 * time.Second)
	for name, tc := range map[string]struct {
		request   Request
		wantTaken bool
		want      time.Duration // Deadline from now.
	}{
		"deadline within the grace period":       {Request{Deadline: now.Add(time.Second)}, true, time.Second},
		"long deadline, short requests":          {Request{Deadline: now.Add(5 * time.Second), Longest: time.Second}, true, 2 * time.Second},
		"long deadline, long requests":           {Request{Deadline: now.Add(5 * time.Second), Longest: 1900 * time.Millisecond}, false, 2 * time.Second},
		"long deadline, no requests lately":      {Request{Deadline: now.Add(5 * time.Second)}, false, 2 * time.Second},
		"idempotent, long deadline and requests": {Request{Deadline: now.Add(5 * time.Second), Longest: 4 * time.Second, Idempotent: true}, true, 2 * time.Second},
	} {
		deadline, taken := Decide(tc.request, now, end)
		if taken != tc.wantTaken || !deadline.Equal(now.Add(tc.want)) {
			t.Errorf("%s: taken %t, deadline %s, want %t and %s", name, taken, deadline.Sub(now), tc.wantTaken, tc.want)
		}
	}
}

func TestNoDeadlineLiesAfterTheEnd(t *testing.T) {
	now := time.Unix(1000, 0)
	after := func(t *rapid.T, name string) time.Duration {
		return time.Duration(rapid.Int64Range(-5000, 20000).Draw(t, name)) * time.Millisecond
	}
	rapid.Check(t, func(t *rapid.T) {
		end := now.Add(after(t, "end"))
		q := Request{
			Deadline: now.Add(after(t, "deadline")), Idempotent: rapid.Bool().Draw(t, "idempotent"), Longest: max(after(t, "longest"), 0),
		}
		deadline, taken := Decide(q, now, end)
		if deadline.After(end) {
			t.Fatalf("deadline %s after the end", deadline.Sub(end))
		}
		if taken && !now.Before(end) {
			t.Fatal("taken after the end")
		}
		if taken && !q.Idempotent && q.Deadline.After(end) && now.Add(q.Longest).After(end) {
			t.Fatal("a request that must run once is taken and expected to be broken off")
		}
	})
}

func TestDurationsExpire(t *testing.T) {
	var l Durations
	now := time.Unix(1000, 0)
	l.Record("pay", 3*time.Second, now)
	l.Record("pay", time.Second, now.Add(time.Second))
	if got := l.Longest("pay", now.Add(durationWindow+time.Second)); got != 3*time.Second {
		t.Errorf("longest = %s, want 3s after one window", got)
	}
	l.Record("pay", time.Second, now.Add(durationWindow+2*time.Second))
	if got := l.Longest("pay", now.Add(2*durationWindow+2*time.Second)); got != time.Second {
		t.Errorf("longest = %s, want 1s after two windows", got)
	}
	if got := l.Longest("pay", now.Add(10*durationWindow)); got != 0 {
		t.Errorf("longest = %s, want none after a pause", got)
	}
}
