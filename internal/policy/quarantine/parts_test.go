package quarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func ownsAll(string, int) bool  { return true }
func ownsNone(string, int) bool { return false }

// newSuspect returns a tracker with the suspect "bad" and the time of its suspicion.
func newSuspect(t *testing.T) (*PartTracker, time.Time) {
	t.Helper()
	tracker, now := NewPartTracker(DefaultPartLimits()), time.Unix(1000, 0)
	for i := range tracker.limits.CrashesToSuspect {
		now = now.Add(time.Second)
		for _, s := range tracker.RecordCrash([]string{"bad"}, fmt.Sprint("e", i), now) {
			tracker.Suspect(s, now)
		}
	}
	if held := tracker.Held(now); len(held) != 1 || held[0].State != PartSuspect {
		t.Fatalf("held parts after the crashes = %v, want a suspect", held)
	}
	return tracker, now
}

// quarantineTried tries the suspect "bad" until it is in quarantine and returns its state.
func quarantineTried(t *testing.T, tracker *PartTracker, now time.Time) HeldPart {
	t.Helper()
	for range tracker.limits.Trials {
		v := tracker.BeginRun([]string{"bad"}, ownsAll, now)
		if v.Verdict != VerdictIsolate {
			t.Fatalf("verdict on a suspect = %v, want a trial", v)
		}
		tracker.EndTrial(v.Trial)
		if held := tracker.RecordTrialCrash(v.Trial, now); len(held) == 1 && held[0].State == PartQuarantined {
			return held[0]
		}
	}
	t.Fatalf("part is not in quarantine after %d crashes during trials", tracker.limits.Trials)
	return HeldPart{}
}

// Several requests with one part run on an engine when it crashes. They count as one crash.
func TestCrashCountsOnceForEachPart(t *testing.T) {
	tracker, now := NewPartTracker(DefaultPartLimits()), time.Unix(1000, 0)
	for range 5 {
		if s := tracker.RecordCrash([]string{"a"}, "e@1", now); len(s) > 0 {
			t.Fatalf("suspicions after the crash of one engine = %v, want none", s)
		}
	}
}

// A part of most requests is in each crash. It must not become a suspect while requests with it
// finish between the crashes, at this router or at another one.
func TestPartOfFinishedRequestsIsNoSuspect(t *testing.T) {
	tracker, now := NewPartTracker(DefaultPartLimits()), time.Unix(1000, 0)
	for i := range 20 {
		now = now.Add(time.Second)
		if s := tracker.RecordCrash([]string{"a"}, fmt.Sprint("e", i), now); len(s) > 0 {
			t.Fatalf("suspicions after crash %d = %v, want none", i, s)
		}
		if i%2 == 0 {
			tracker.RecordFinish([]string{"a"}, now.Add(time.Millisecond))
		}
	}
	if !tracker.FinishedSince("a", now.Add(-2*time.Second)) || tracker.FinishedSince("a", now.Add(time.Second)) {
		t.Error("FinishedSince does not agree with the last complete response")
	}
	if tracker.Suspect(Suspicion{Part: "a", Since: now.Add(-2 * time.Second)}, now) {
		t.Error("part with a complete response since the first crash became a suspect")
	}
}

// One request at one router tries a suspect. The others wait, and a crash quarantines the part.
func TestSuspectIsTriedByOneRequest(t *testing.T) {
	tracker, now := newSuspect(t)
	if v := tracker.BeginRun([]string{"a", "bad"}, ownsNone, now); v.Verdict != VerdictWait {
		t.Errorf("verdict at another router = %v, want to wait", v)
	}
	trial := tracker.BeginRun([]string{"a", "bad"}, ownsAll, now)
	if trial.Verdict != VerdictIsolate || !slices.Equal(trial.Trial, []string{"bad"}) {
		t.Fatalf("verdict on the first request = %v, want a trial of the suspect", trial)
	}
	if v := tracker.BeginRun([]string{"bad"}, ownsAll, now); v.Verdict != VerdictWait {
		t.Errorf("verdict during the trial = %v, want to wait", v)
	}
	if v := tracker.BeginRun([]string{"a"}, ownsAll, now); v.Verdict != VerdictRun {
		t.Errorf("verdict on a request without the suspect = %v, want to run", v)
	}
	tracker.EndTrial(trial.Trial)
	held := quarantineTried(t, tracker, now)
	if v := tracker.BeginRun([]string{"bad"}, ownsAll, now); v.Verdict != VerdictQuarantined || v.RetryAfter != held.Remaining {
		t.Errorf("verdict after the trials = %v, want the quarantine of %s", v, held.Remaining)
	}
	tracker.RecordFinish([]string{"bad"}, now) // Of a request that had begun before.
	if v := tracker.BeginRun([]string{"bad"}, ownsAll, now); v.Verdict != VerdictQuarantined {
		t.Errorf("verdict after the end of an older request = %v, want the quarantine", v)
	}
}

// An engine may crash for another reason during the trial of a sound part, such as a request with a
// crashing part that reached it before. A part that is known to be sound is tried again.
func TestProvenPartIsTriedAgain(t *testing.T) {
	tracker, now := NewPartTracker(DefaultPartLimits()), time.Unix(1000, 0)
	tracker.RecordFinish([]string{"good"}, now)
	now = now.Add(time.Second)
	for i := range tracker.limits.CrashesToSuspect {
		for _, s := range tracker.RecordCrash([]string{"good"}, fmt.Sprint("e", i), now) {
			tracker.Suspect(s, now)
		}
	}
	for n := 1; n <= tracker.limits.ProvenTrials; n++ {
		v := tracker.BeginRun([]string{"good"}, ownsAll, now)
		if v.Verdict != VerdictIsolate {
			t.Fatalf("verdict before trial %d = %v, want a trial", n, v)
		}
		tracker.EndTrial(v.Trial)
		held := tracker.RecordTrialCrash(v.Trial, now)
		if quarantined := len(held) > 0; quarantined != (n == tracker.limits.ProvenTrials) {
			t.Errorf("parts in quarantine after %d crashes during trials = %v", n, held)
		}
	}
}

// A quarantine ends with a trial. Each further quarantine is longer, and a complete response ends
// the series.
func TestQuarantineEndsWithTrial(t *testing.T) {
	tracker, now := newSuspect(t)
	durations := tracker.limits.QuarantineDurations
	if held := quarantineTried(t, tracker, now); held.Remaining != durations[0] {
		t.Fatalf("first quarantine = %s, want %s", held.Remaining, durations[0])
	}
	now = now.Add(durations[0])
	for _, want := range append(slices.Clone(durations[1:]), slices.Max(durations)) {
		trial := tracker.BeginRun([]string{"bad"}, ownsAll, now)
		if trial.Verdict != VerdictIsolate {
			t.Fatalf("verdict before the quarantine of %s = %v, want a trial", want, trial)
		}
		if held := tracker.RecordTrialCrash(trial.Trial, now); len(held) != 1 || held[0].Remaining != want {
			t.Fatalf("parts after the trial = %v, want a quarantine of %s", held, want)
		}
		now = now.Add(want)
	}
	trial := tracker.BeginRun([]string{"bad"}, ownsAll, now)
	if cleared := tracker.RecordFinish(trial.Trial, now); !slices.Equal(cleared, []string{"bad"}) {
		t.Errorf("parts cleared by the trial = %v, want the suspect", cleared)
	}
	if v := tracker.BeginRun([]string{"bad"}, ownsAll, now); v.Verdict != VerdictRun {
		t.Errorf("verdict after the trial = %v, want to run", v)
	}
}

// A trial without a result, as of a request whose caller left, lets the next request try the part. If
// there is none, the suspicion ends.
func TestSuspicionWithoutResultEnds(t *testing.T) {
	tracker, now := newSuspect(t)
	trial := tracker.BeginRun([]string{"bad"}, ownsAll, now)
	tracker.EndTrial(trial.Trial)
	if v := tracker.BeginRun([]string{"bad"}, ownsAll, now); v.Verdict != VerdictIsolate {
		t.Errorf("verdict after a trial without a result = %v, want a trial", v)
	}
	tracker.EndTrial(trial.Trial)
	now = now.Add(tracker.limits.SuspicionLifetime)
	if v := tracker.BeginRun([]string{"bad"}, ownsNone, now); v.Verdict != VerdictRun || len(tracker.Held(now)) > 0 {
		t.Errorf("verdict after the suspicion = %v, want to run", v)
	}
}

// A suspect is tried without other suspects, so that a crash is not attributed to a sound part, unless the
// two only occur together.
func TestSuspectsAreTriedOneByOne(t *testing.T) {
	tracker, now := newSuspect(t)
	tracker.Apply(HeldPart{Part: "sound", State: PartSuspect, Remaining: time.Minute}, now)
	both := []string{"sound", "bad"}
	if v := tracker.BeginRun(both, ownsAll, now); v.Verdict != VerdictWait {
		t.Errorf("verdict on a request with two suspects = %v, want to wait", v)
	}
	trial := tracker.BeginRun([]string{"sound"}, ownsAll, now)
	if cleared := tracker.RecordFinish(trial.Trial, now); !slices.Equal(cleared, []string{"sound"}) {
		t.Errorf("parts cleared = %v, want the sound one", cleared)
	}
	if v := tracker.BeginRun(both, ownsAll, now); v.Verdict != VerdictIsolate || !slices.Equal(v.Trial, []string{"bad"}) {
		t.Errorf("verdict once one suspect is left = %v, want its trial", v)
	}
	tracker, now = newSuspect(t)
	tracker.Apply(HeldPart{Part: "sound", State: PartSuspect, Remaining: time.Minute}, now)
	if v := tracker.BeginRun(both, ownsAll, now.Add(tracker.limits.CombinedTrialDelay)); len(v.Trial) != 2 {
		t.Errorf("verdict after the delay = %v, want a trial of both", v)
	}
}

// A router that starts knows no parts and adopts those of the others. A suspicion elsewhere does not
// end a quarantine here.
func TestHeldPartsAreAdopted(t *testing.T) {
	tracker, now := newSuspect(t)
	quarantineTried(t, tracker, now)
	started := NewPartTracker(DefaultPartLimits())
	for _, h := range tracker.Held(now) {
		started.Apply(h, now)
	}
	started.Apply(HeldPart{Part: "bad", State: PartSuspect, Remaining: time.Second}, now)
	started.Apply(HeldPart{Part: "bad", State: PartCleared}, now)
	if v := started.BeginRun([]string{"bad"}, ownsAll, now); v.Verdict != VerdictQuarantined {
		t.Errorf("verdict of a started router = %v, want the quarantine", v)
	}
}

// The number of records is bounded, and parts in quarantine are kept.
func TestPartRecordsAreBounded(t *testing.T) {
	tracker, now := newSuspect(t)
	tracker.limits.MaxTracked = 10
	quarantineTried(t, tracker, now)
	for i := range 100 {
		tracker.RecordFinish([]string{fmt.Sprint("p", i)}, now)
	}
	if len(tracker.records) > 10 || len(tracker.records) != tracker.byAge.Len() {
		t.Errorf("records = %d, want at most 10", len(tracker.records))
	}
	if held := tracker.Held(now); len(held) != 1 {
		t.Errorf("held parts = %v, want the one in quarantine", held)
	}
}

// partFleet simulates routers that exchange crashes and states without losses, and engines that crash
// on the part "bad" or by themselves.
type partFleet struct {
	now      time.Time
	routers  []*PartTracker
	reports  []partReport // Not yet delivered, in order of their delivery.
	crashes  []time.Time  // Crashes on the part.
	badSends []time.Time
	engines  int
}

// partReport is a crash that routers have not noticed yet.
type partReport struct {
	at          time.Time
	router      int
	parts       []string
	trial       []string
	incarnation string
}

// deliver delivers all reports that are due.
func (f *partFleet) deliver() {
	for len(f.reports) > 0 && !f.reports[0].at.After(f.now) {
		r := f.reports[0]
		f.reports = f.reports[1:]
		for _, router := range f.routers {
			router.RecordTrialCrash(r.trial, f.now)
			f.suspect(router, router.RecordCrash(r.parts, r.incarnation, f.now))
		}
		f.routers[r.router].EndTrial(r.trial)
	}
}

// suspect makes parts suspects at a router unless another one has received a complete response.
func (f *partFleet) suspect(router *PartTracker, suspicions []Suspicion) {
	for _, s := range suspicions {
		finished := slices.ContainsFunc(f.routers, func(other *PartTracker) bool { return other.FinishedSince(s.Part, s.Since) })
		if slices.ContainsFunc(f.routers, func(other *PartTracker) bool { return other.IsProven(s.Part, f.now) }) {
			s.Proven = true
		}
		if finished {
			router.RecordFinish([]string{s.Part}, f.now)
		} else {
			router.Suspect(s, f.now)
		}
	}
}

// request sends a request at a router. It reports whether the request was permitted to run.
func (f *partFleet) request(router int, parts []string, engineFails bool, delay time.Duration) bool {
	owns := func(part string, turn int) bool { return router == (len(part)+turn)%len(f.routers) }
	v := f.routers[router].BeginRun(parts, owns, f.now)
	if v.Verdict != VerdictRun && v.Verdict != VerdictIsolate {
		return false
	}
	bad := slices.Contains(parts, "bad")
	if bad {
		f.badSends = append(f.badSends, f.now)
		f.crashes = append(f.crashes, f.now)
	}
	if bad || engineFails {
		f.engines++
		f.reports = append(f.reports, partReport{f.now.Add(delay), router, parts, v.Trial, fmt.Sprint("e", f.engines)})
		slices.SortStableFunc(f.reports, func(a, b partReport) int { return a.at.Compare(b.at) })
		return true
	}
	for _, part := range f.routers[router].RecordFinish(parts, f.now) {
		for _, other := range f.routers {
			other.Apply(HeldPart{Part: part, State: PartCleared}, f.now)
		}
	}
	return true
}

// Over any schedule of requests and of occasional crashes for other reasons, few requests with a crashing part reach engines once five of them have
// crashed, and a part of sound requests, which share all else with them, is soon permitted again.
func TestOnlyCrashingPartIsHeldBack(t *testing.T) {
	const (
		contactTime   = 3 * time.Second
		crashesToAct  = 5
		maxLate       = 3
		maxSoundPause = 2 * contactTime
		minFailureGap = 2 * time.Second // Between crashes of engines for other reasons.
	)
	rapid.Check(t, func(t *rapid.T) {
		f := &partFleet{now: time.Unix(1000, 0)}
		for range rapid.IntRange(1, 6).Draw(t, "routers") {
			f.routers = append(f.routers, NewPartTracker(DefaultPartLimits()))
		}
		var failedAt time.Time    // Last crash of an engine for another reason.
		var refusedFrom time.Time // First refusal of a sound request since one was permitted.
		end := f.now.Add(time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second)
		for f.now.Before(end) {
			f.now = f.now.Add(time.Duration(rapid.IntRange(10, 300).Draw(t, "gap")) * time.Millisecond)
			f.deliver()
			router := rapid.IntRange(0, len(f.routers)-1).Draw(t, "router")
			delay := time.Duration(rapid.IntRange(50, 400).Draw(t, "delay")) * time.Millisecond
			engineFails := f.now.Sub(failedAt) >= minFailureGap && rapid.IntRange(0, 9).Draw(t, "fails") == 0
			if engineFails {
				failedAt = f.now
			}
			if rapid.IntRange(0, 3).Draw(t, "kind") == 0 {
				f.request(router, []string{"shared", "bad"}, engineFails, delay)
				continue
			}
			sound := []string{"shared", "good"}
			permitted := f.request(router, sound, engineFails, delay) || // A refused caller tries another router.
				f.request((router+1)%len(f.routers), sound, engineFails, delay)
			switch {
			case permitted:
				refusedFrom = time.Time{}
			case refusedFrom.IsZero():
				refusedFrom = f.now
			case f.now.Sub(refusedFrom) > maxSoundPause:
				t.Fatalf("sound requests were refused for %s", f.now.Sub(refusedFrom))
			}
		}
		late := 0
		for _, at := range f.badSends {
			if len(f.crashes) >= crashesToAct && at.After(f.crashes[crashesToAct-1].Add(contactTime)) {
				late++
			}
		}
		if late > maxLate {
			t.Fatalf("requests with the part later than %s after %d crashes = %d, want at most %d", contactTime, crashesToAct, late, maxLate)
		}
	})
}

// Guards against old records that undo newer ones: however routers that miss reports exchange their states, these become equal,
// a clearing does not end a quarantine that its router did not know of, and no old suspicion outlives a clearing.
func TestExchangedPartsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var routers []*PartTracker
		for range rapid.IntRange(2, 4).Draw(t, "routers") {
			routers = append(routers, NewPartTracker(DefaultPartLimits()))
		}
		draw := func(label string) *PartTracker { return rapid.SampledFrom(routers).Draw(t, label) }
		exchange := func(a, b *PartTracker) {
			for _, h := range a.Known(now) {
				b.Apply(h, now)
			}
			for _, h := range b.Known(now) {
				a.Apply(h, now)
			}
		}
		var held HeldPart // The latest quarantine, at heldAt.
		var heldAt time.Time
		endedBy := 0 // Clearings by routers that knew of it.
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
			router := draw("router")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				router.Suspect(Suspicion{Part: "p", Since: now}, now)
			case 1:
				for range router.limits.Trials {
					if q := router.RecordTrialCrash([]string{"p"}, now); len(q) > 0 && q[0].Version.Epoch > held.Version.Epoch {
						held, heldAt, endedBy = q[0], now, 0
					}
				}
			case 2:
				if cleared := router.States(router.RecordFinish([]string{"p"}, now), now); len(cleared) > 0 &&
					cleared[0].Version.Epoch >= held.Version.Epoch {
					endedBy++
				}
			case 3:
				exchange(router, draw("other"))
			}
		}
		for range len(routers) {
			for i := range routers[1:] {
				exchange(routers[i], routers[i+1])
			}
		}
		first := routers[0].Known(now)
		for _, r := range routers[1:] {
			got := r.Known(now)
			if len(first) != len(got) || len(got) > 0 && (got[0].State != first[0].State || got[0].Version != first[0].Version) {
				t.Fatalf("states after exchanges: %+v and %+v, want equal ones", first, got)
			}
		}
		if heldAt.Add(held.Remaining).After(now) && endedBy == 0 && (len(first) == 0 || first[0].State != PartQuarantined) {
			t.Fatalf("states %+v after the quarantine %+v, want it to go on", first, held)
		}
	})
}
