package quarantine

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func init() {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "300", "rapid.nofailfile": "true"} {
		if flag.Lookup(name) != nil {
			_ = flag.Set(name, value)
		}
	}
}

var start = time.Unix(1_000_000, 0)

type activeRun struct {
	id      Fingerprint
	verdict Verdict
}

// Guards against a harmful request that is never quarantined. Request "0" crashes
// the endpoint, which ends all runs there; the other requests are harmless.
func TestHarmfulRequestIsQuarantinedWithinTheCrashLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.MaxTracked = 8
		tracker := NewCrashTracker(limits)
		now := start
		var active []activeRun
		crashes, refusedUntil := 0, time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			id := Fingerprint(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request")))
			harmful := id == "0"
			if !rapid.Bool().Draw(t, "begin") && len(active) > 0 {
				tracker.EndRun(active[0].id, active[0].verdict, OutcomeFinished, now)
				active = active[1:]
				continue
			}
			v := tracker.BeginRun(id, now)
			if v == VerdictWait || v == VerdictQuarantined {
				continue
			}
			if harmful && now.Before(refusedUntil) {
				t.Fatal("BeginRun() let a quarantined request run, want VerdictQuarantined")
			}
			active = append(active, activeRun{id, v})
			if !harmful {
				continue
			}
			crashes++
			for _, r := range active {
				until, quarantined := tracker.EndRun(r.id, r.verdict, OutcomeCrashed, now)
				if r.id == id && quarantined {
					refusedUntil = until
					crashes = 0
				}
			}
			active = nil
			if crashes > limits.CrashesToQuarantine {
				t.Fatalf("%d crashes without a quarantine, want at most CrashesToQuarantine = %d", crashes, limits.CrashesToQuarantine)
			}
			if tracker.Len() > limits.MaxTracked {
				t.Fatalf("Len() = %d requests, want at most MaxTracked = %d", tracker.Len(), limits.MaxTracked)
			}
		}
	})
}

func TestSecondCrashQuarantinesForABoundedTime(t *testing.T) {
	tracker := NewCrashTracker(DefaultLimits())
	if v := tracker.BeginRun("bad", start); v != VerdictRun {
		t.Fatalf("BeginRun() for the first run = verdict %d, want VerdictRun", v)
	}
	if _, quarantined := tracker.EndRun("bad", VerdictRun, OutcomeCrashed, start); quarantined {
		t.Fatal("EndRun() quarantined the request after one crash, want two crashes")
	}
	if v := tracker.BeginRun("bad", start); v != VerdictIsolate {
		t.Fatalf("BeginRun() for the second run = verdict %d, want VerdictIsolate", v)
	}
	if v := tracker.BeginRun("bad", start); v != VerdictWait {
		t.Fatalf("BeginRun() during the trial = verdict %d, want VerdictWait", v)
	}
	until, quarantined := tracker.EndRun("bad", VerdictIsolate, OutcomeCrashed, start)
	if !quarantined || tracker.BeginRun("bad", start) != VerdictQuarantined {
		t.Fatal("after the second crash: want quarantined = true and VerdictQuarantined from the next BeginRun(); quarantined =", quarantined)
	}
	if v := tracker.BeginRun("bad", until); v != VerdictIsolate {
		t.Errorf("BeginRun() after the quarantine = verdict %d, want VerdictIsolate", v)
	}
}

func TestGoodRunsClearARequestAndExcuseCrashes(t *testing.T) {
	limits := DefaultLimits()
	tracker := NewCrashTracker(limits)
	tracker.EndRun("harmless", VerdictRun, OutcomeCrashed, start)
	for range limits.MaxExcused + 1 {
		tracker.EndRun("harmless", tracker.BeginRun("harmless", start), OutcomeFinished, start)
	}
	for range limits.MaxExcused {
		if _, quarantined := tracker.EndRun("harmless", VerdictRun, OutcomeCrashed, start); quarantined {
			t.Fatal("EndRun() quarantined a request whose good runs excuse the crash")
		}
		if v := tracker.BeginRun("harmless", start); v != VerdictRun {
			t.Fatalf("BeginRun() after an excused crash = verdict %d, want VerdictRun", v)
		}
	}
	tracker.EndRun("harmless", VerdictRun, OutcomeCrashed, start)
	if v := tracker.BeginRun("harmless", start); v != VerdictIsolate {
		t.Errorf("BeginRun() after more crashes than good runs = verdict %d, want VerdictIsolate", v)
	}
}

func TestInconclusiveOutcomeKeepsSuspicion(t *testing.T) {
	tracker := NewCrashTracker(DefaultLimits())
	tracker.RecordRemoteCrash("s", start)
	tracker.EndRun("s", tracker.BeginRun("s", start), OutcomeInconclusive, start)
	if v := tracker.BeginRun("s", start); v != VerdictIsolate {
		t.Errorf("BeginRun() after an inconclusive run of a suspect = verdict %d, want VerdictIsolate", v)
	}
}

// IsQuarantined must agree with BeginRun without starting a trial.
func TestIsQuarantinedStartsNoTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := DefaultLimits()
	tracker := NewCrashTracker(limits)
	const id = Fingerprint("bad")
	for range limits.CrashesToQuarantine {
		if tracker.IsQuarantined(id, now) {
			t.Error("IsQuarantined() = true before the last counted crash, want false")
		}
		tracker.EndRun(id, VerdictRun, OutcomeCrashed, now)
	}
	if !tracker.IsQuarantined(id, now) || tracker.BeginRun(id, now) != VerdictQuarantined {
		t.Error("after the last crash: IsQuarantined() = false, or the next BeginRun() is not VerdictQuarantined")
	}
	later := now.Add(limits.QuarantineDuration)
	if tracker.IsQuarantined(id, later) || tracker.BeginRun(id, later) != VerdictIsolate {
		t.Error("after the quarantine: IsQuarantined() = true, or the next BeginRun() is not VerdictIsolate")
	}
}

// Pattern: after one crash, each request that finishes gets a record. A flood of them must displace no request in
// quarantine.
func TestFinishedRequestsDisplaceNoQuarantinedRequest(t *testing.T) {
	limits := DefaultLimits()
	limits.MaxTracked = 10
	tracker, now := NewCrashTracker(limits), time.Unix(1000, 0)
	for range limits.CrashesToQuarantine {
		tracker.EndRun("bad", VerdictRun, OutcomeCrashed, now)
	}
	for i := range 100 {
		tracker.EndRun(Fingerprint(fmt.Sprint("good-", i)), VerdictRun, OutcomeFinished, now)
	}
	if !tracker.IsQuarantined("bad", now) || tracker.Len() != limits.MaxTracked {
		t.Errorf("in quarantine %t with %d records, want true with %d", tracker.IsQuarantined("bad", now), tracker.Len(), limits.MaxTracked)
	}
	for i := range 100 {
		tracker.EndRun(Fingerprint(fmt.Sprint("suspect-", i)), VerdictRun, OutcomeCrashed, now)
	}
	if tracker.Len() != limits.MaxTracked {
		t.Errorf("records = %d, want %d", tracker.Len(), limits.MaxTracked)
	}
}

// The state of a request that several processes exchange, in any order and repeatedly, is never milder than at one of
// them, and stays within the limits.
func TestAppliedStateIsAsStrictAsBoth(t *testing.T) {
	limits := DefaultLimits()
	limits.CrashesToQuarantine = 3
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		trackers := []*CrashTracker{NewCrashTracker(limits), NewCrashTracker(limits)}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "seconds")) * time.Second)
			tracker := rapid.SampledFrom(trackers).Draw(t, "tracker")
			outcome := rapid.SampledFrom([]Outcome{OutcomeCrashed, OutcomeCrashed, OutcomeFinished}).Draw(t, "outcome")
			tracker.EndRun("r", VerdictRun, outcome, now)
		}
		from, _ := trackers[0].HeldRequest("r", now)
		before, _ := trackers[1].HeldRequest("r", now)
		for range rapid.IntRange(1, 3).Draw(t, "times") {
			trackers[1].Apply(from, now)
		}
		got, _ := trackers[1].HeldRequest("r", now)
		if got.Crashes < max(from.Crashes, before.Crashes) || got.Quarantine < max(from.Quarantine, before.Quarantine) {
			t.Fatalf("state %+v after %+v was applied to %+v, want one as strict as both", got, from, before)
		}
		if got.Crashes > limits.CrashesToQuarantine || got.Quarantine > limits.QuarantineDuration {
			t.Fatalf("state %+v beyond the limits", got)
		}
	})
}
