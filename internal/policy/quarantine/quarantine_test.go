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
// the endpoint together with all requests that run there; the others are harmless.
func TestHarmfulRequestIsQuarantinedWithinTheCrashLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := DefaultLimits()
		limits.MaxTracked = 8
		l := NewCrashTracker(limits)
		now := start
		var active []activeRun
		crashes, refusedUntil := 0, time.Time{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "seconds")) * time.Second)
			id := Fingerprint(fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "request")))
			bad := id == "0"
			if !rapid.Bool().Draw(t, "begin") && len(active) > 0 {
				l.EndRun(active[0].id, active[0].verdict, OutcomeFinished, now)
				active = active[1:]
				continue
			}
			v := l.BeginRun(id, now)
			if v == VerdictWait || v == VerdictQuarantined {
				continue
			}
			if bad && now.Before(refusedUntil) {
				t.Fatal("Begin() let a quarantined request run, want VerdictQuarantined")
			}
			active = append(active, activeRun{id, v})
			if !bad {
				continue
			}
			crashes++
			for _, r := range active {
				until, quarantined := l.EndRun(r.id, r.verdict, OutcomeCrashed, now)
				if r.id == id && quarantined {
					refusedUntil = until
					crashes = 0
				}
			}
			active = nil
			if crashes > limits.CrashesToQuarantine {
				t.Fatalf("%d crashes without a quarantine, want at most Limits.Crashes", crashes)
			}
			if l.Len() > limits.MaxTracked {
				t.Fatalf("Tracked() = %d requests, want at most Limits.MaxTracked", l.Len())
			}
		}
	})
}

func TestSecondCrashQuarantinesForABoundedTime(t *testing.T) {
	l := NewCrashTracker(DefaultLimits())
	if v := l.BeginRun("bad", start); v != VerdictRun {
		t.Fatalf("Begin() for the first run = verdict %d, want VerdictRun", v)
	}
	if _, quarantined := l.EndRun("bad", VerdictRun, OutcomeCrashed, start); quarantined {
		t.Fatal("End() quarantined the request after one crash, want two crashes")
	}
	if v := l.BeginRun("bad", start); v != VerdictIsolate {
		t.Fatalf("Begin() for the second run = verdict %d, want VerdictAlone", v)
	}
	if v := l.BeginRun("bad", start); v != VerdictWait {
		t.Fatalf("Begin() during the trial = verdict %d, want VerdictWait", v)
	}
	until, quarantined := l.EndRun("bad", VerdictIsolate, OutcomeCrashed, start)
	if !quarantined || l.BeginRun("bad", start) != VerdictQuarantined {
		t.Fatal("the second crash did not quarantine the request, want VerdictQuarantined")
	}
	if v := l.BeginRun("bad", until); v != VerdictIsolate {
		t.Errorf("Begin() after the quarantine = verdict %d, want VerdictAlone", v)
	}
}

func TestGoodRunsClearARequestAndExcuseCrashes(t *testing.T) {
	limits := DefaultLimits()
	l := NewCrashTracker(limits)
	l.EndRun("harmless", VerdictRun, OutcomeCrashed, start)
	for range limits.MaxExcused + 1 {
		l.EndRun("harmless", l.BeginRun("harmless", start), OutcomeFinished, start)
	}
	for range limits.MaxExcused {
		if _, quarantined := l.EndRun("harmless", VerdictRun, OutcomeCrashed, start); quarantined {
			t.Fatal("End() quarantined a request whose good runs excuse the crash")
		}
		if v := l.BeginRun("harmless", start); v != VerdictRun {
			t.Fatalf("Begin() after an excused crash = verdict %d, want VerdictRun", v)
		}
	}
	l.EndRun("harmless", VerdictRun, OutcomeCrashed, start)
	if v := l.BeginRun("harmless", start); v != VerdictIsolate {
		t.Errorf("Begin() after more crashes than good runs = verdict %d, want VerdictAlone", v)
	}
}

func TestUnclearOutcomeKeepsSuspicion(t *testing.T) {
	l := NewCrashTracker(DefaultLimits())
	l.RecordRemoteCrash("s", start)
	l.EndRun("s", l.BeginRun("s", start), OutcomeInconclusive, start)
	if v := l.BeginRun("s", start); v != VerdictIsolate {
		t.Errorf("Begin() after an unclear run of a suspect = verdict %d, want VerdictAlone", v)
	}
}

// Quarantined must agree with Begin without starting a trial.
func TestQuarantinedStartsNoTrial(t *testing.T) {
	now := time.Unix(1000, 0)
	limits := DefaultLimits()
	l := NewCrashTracker(limits)
	const id = Fingerprint("bad")
	for range limits.CrashesToQuarantine {
		if l.IsQuarantined(id, now) {
			t.Error("Quarantined() = true before the last counted crash, want false")
		}
		l.EndRun(id, VerdictRun, OutcomeCrashed, now)
	}
	if !l.IsQuarantined(id, now) || l.BeginRun(id, now) != VerdictQuarantined {
		t.Error("Quarantined() or Begin() does not refuse the request after the last crash")
	}
	later := now.Add(limits.QuarantineDuration)
	if l.IsQuarantined(id, later) || l.BeginRun(id, later) != VerdictIsolate {
		t.Error("Quarantined() refused after the quarantine, or it started a trial")
	}
}
