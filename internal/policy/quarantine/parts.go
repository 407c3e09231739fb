package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// PartLimits bounds the decisions and the size of a PartTracker.
type PartLimits struct {
	CrashesToSuspect int // Crashes without a complete response in between that make a part a suspect.
	// QuarantineDurations are the durations of the first quarantine of a part, the second one, and
	// so on. The last one applies to all further ones.
	QuarantineDurations []time.Duration
	// Trials is the number of trials with a crash that quarantine a part: during one, the engine may
	// crash for another reason. After a quarantine, one is enough.
	Trials       int
	ProvenTrials int // Trials for a part of which a complete response is known.
	// TrialTurn is the time for which one router may try a suspect before it is the next one's turn, which
	// may get more requests with it.
	TrialTurn time.Duration
	// SuspicionLifetime is the time after which a part is no longer a suspect if no trial gives a
	// result. One more crash makes it a suspect again.
	SuspicionLifetime time.Duration
	// CombinedTrialDelay is the time after which suspects that occur in the same requests only are
	// tried together.
	CombinedTrialDelay time.Duration
	RecordLifetime     time.Duration // Time for which a crash is kept, and a part that was in quarantine is a suspect.
	MaxTracked         int           // Maximum number of parts with a record.
}

// DefaultPartLimits returns the limits of one router.
func DefaultPartLimits() PartLimits {
	return PartLimits{
		CrashesToSuspect: 3, Trials: 2, ProvenTrials: 3,
		QuarantineDurations: []time.Duration{30 * time.Second, 2 * time.Minute, 10 * time.Minute, time.Hour},
		TrialTurn:           3 * time.Second, SuspicionLifetime: time.Minute, CombinedTrialDelay: 2 * time.Second,
		RecordLifetime: 10 * time.Minute, MaxTracked: 4096,
	}
}

// PartTracker finds prompt parts on which engines crash, whatever else a request contains.
//
// Engines may crash while they run requests with many parts, most of which are sound. A complete
// response proves all parts of its request. A part becomes a suspect after some crashes without such a
// proof in between. One request with it then runs on trial, at one router, while the others are
// refused. A complete response clears the part, crashes during a few trials quarantine it.
//
// A PartTracker is not safe for concurrent use.
type PartTracker struct {
	limits  PartLimits
	records map[string]*list.Element
	byAge   *list.List           // Elements are *partRecord; most recently updated first.
	known   map[*partRecord]bool // Records that Known may return.
}

// PartState is the state of a prompt part.
type PartState string

// Values of PartState.
const (
	PartCleared     PartState = "cleared"
	PartSuspect     PartState = "suspect"
	PartQuarantined PartState = "quarantined"
)

// PartVersion orders the states of a part that routers have found. Each quarantine begins a new epoch, so that a
// router that has missed a quarantine cannot end it. The zero value is the state of a part without history, and of the
// parts of former builds.
type PartVersion struct {
	Epoch  int // Quarantines so far.
	Change int // Changes since the last quarantine.
}

// Compare returns a negative number if v precedes other, 0 if they are equal and a positive number otherwise.
func (v PartVersion) Compare(other PartVersion) int {
	return cmp.Or(cmp.Compare(v.Epoch, other.Epoch), cmp.Compare(v.Change, other.Change))
}

// partRecord is the history of one part.
type partRecord struct {
	id          string
	state       PartState
	version     PartVersion // Of the last change that is not the end of a suspicion or quarantine by time.
	clearedAt   time.Time   // Last time a suspicion was ended by a complete response.
	until       time.Time   // End of the suspicion or of the quarantine.
	suspectedAt time.Time
	quarantines int       // Quarantines so far.
	onTrial     bool      // A request of this router is on trial.
	trialsLeft  int       // Trials with a crash until the quarantine.
	crashed     []string  // Incarnations that crashed since the last complete response.
	firstCrash  time.Time // Time of the first of these crashes.
	finishedAt  time.Time // Last complete response of this router.
}

// NewPartTracker returns an empty PartTracker.
func NewPartTracker(limits PartLimits) *PartTracker {
	return &PartTracker{limits: limits, records: make(map[string]*list.Element), byAge: list.New(), known: make(map[*partRecord]bool)}
}

// Suspicion is a part that has crashed enough engines to be a suspect, unless another router has
// received a complete response since.
type Suspicion struct {
	Part   string
	Since  time.Time // Time of the first crash.
	Proven bool      // A complete response to a request with the part is known.
}

// RecordCrash records that an incarnation of an engine crashed while it had not begun, or had just
// begun, to respond to a request with these parts. It returns the parts to be suspected.
func (t *PartTracker) RecordCrash(parts []string, incarnation string, now time.Time) []Suspicion {
	var out []Suspicion
	for _, id := range parts {
		r := t.touch(id, now)
		if len(r.crashed) > 0 && now.Sub(r.firstCrash) > t.limits.RecordLifetime {
			r.crashed = nil
		}
		if t.stateOf(r, now) != PartCleared || slices.Contains(r.crashed, incarnation) {
			continue
		}
		if len(r.crashed) == 0 {
			r.firstCrash = now
		}
		r.crashed = append(r.crashed, incarnation)
		if len(r.crashed) == t.limits.CrashesToSuspect { // Further crashes do not repeat the suspicion.
			out = append(out, Suspicion{Part: id, Since: r.firstCrash, Proven: t.isProven(r, now)})
		}
	}
	return out
}

// Suspect makes a part a suspect unless a complete response has proved it since.
func (t *PartTracker) Suspect(s Suspicion, now time.Time) bool {
	r := t.touch(s.Part, now)
	if t.stateOf(r, now) != PartCleared || r.finishedAt.After(s.Since) {
		return false
	}
	t.suspect(r, now)
	r.version.Change++
	if s.Proven {
		r.trialsLeft = t.limits.ProvenTrials
	}
	return true
}

// suspect makes a part a suspect. After a quarantine it stays one for longer and takes one trial.
func (t *PartTracker) suspect(r *partRecord, now time.Time) {
	t.known[r] = true
	r.state, r.suspectedAt, r.until, r.onTrial, r.trialsLeft = PartSuspect, now, now.Add(t.limits.SuspicionLifetime), false, t.limits.Trials
	if r.quarantines > 0 {
		r.until, r.trialsLeft = now.Add(t.limits.RecordLifetime), 1
	}
}

// isProven reports whether this router received a complete response within RecordLifetime.
func (t *PartTracker) isProven(r *partRecord, now time.Time) bool {
	return !r.finishedAt.IsZero() && now.Sub(r.finishedAt) < t.limits.RecordLifetime
}

// IsProven reports whether a recent complete response to a request with the part is known.
func (t *PartTracker) IsProven(id string, now time.Time) bool {
	e, ok := t.records[id]
	return ok && t.isProven(e.Value.(*partRecord), now)
}

// RecordFinish records a complete response to a request with these parts. It returns the suspects
// that it clears. It does not clear parts in quarantine: a part gets there only by a trial.
func (t *PartTracker) RecordFinish(parts []string, now time.Time) []string {
	var cleared []string
	for _, id := range parts {
		r := t.touch(id, now)
		r.finishedAt = now
		switch t.stateOf(r, now) {
		case PartSuspect:
			t.clear(r, now)
			r.version.Change++
			cleared = append(cleared, id)
		case PartCleared:
			r.crashed = nil
		}
	}
	return cleared
}

// FinishedSince reports whether a request with the part had a complete response after a time.
func (t *PartTracker) FinishedSince(id string, since time.Time) bool {
	e, ok := t.records[id]
	return ok && e.Value.(*partRecord).finishedAt.After(since)
}

// PartVerdict is the decision on a request.
type PartVerdict struct {
	Verdict    Verdict       // VerdictRun, VerdictIsolate for a request on trial, VerdictWait or VerdictQuarantined.
	Part       string        // The part that the request must wait for, or that is in quarantine.
	Trial      []string      // The parts of a request on trial.
	RetryAfter time.Duration // Remaining quarantine.
}

// BeginRun decides whether a request with these parts may run. owns reports whether this router is
// the one that tries a part in a turn, counted from 0. After VerdictIsolate, the caller must call EndTrial.
func (t *PartTracker) BeginRun(parts []string, owns func(part string, turn int) bool, now time.Time) PartVerdict {
	var suspects []*partRecord
	for _, id := range parts {
		e, ok := t.records[id]
		if !ok {
			continue
		}
		r := e.Value.(*partRecord)
		switch t.stateOf(r, now) {
		case PartQuarantined:
			return PartVerdict{Verdict: VerdictQuarantined, Part: id, RetryAfter: r.until.Sub(now)}
		case PartSuspect:
			suspects = append(suspects, r)
		}
	}
	if len(suspects) == 0 {
		return PartVerdict{Verdict: VerdictRun}
	}
	turn := int(now.Sub(suspects[0].suspectedAt) / t.limits.TrialTurn)
	for _, r := range suspects {
		alone := len(suspects) == 1 || now.Sub(r.suspectedAt) >= t.limits.CombinedTrialDelay
		if r.onTrial || !alone || !owns(suspects[0].id, turn) {
			return PartVerdict{Verdict: VerdictWait, Part: r.id}
		}
	}
	v := PartVerdict{Verdict: VerdictIsolate}
	for _, r := range suspects {
		r.onTrial = true
		v.Trial = append(v.Trial, r.id)
	}
	return v
}

// EndTrial ends a trial of this router.
func (t *PartTracker) EndTrial(parts []string) {
	for _, id := range parts {
		if e, ok := t.records[id]; ok {
			e.Value.(*partRecord).onTrial = false
		}
	}
}

// RecordTrialCrash records that an engine crashed during the trial of these parts, at this router or
// at another one. It returns those that this puts in quarantine.
func (t *PartTracker) RecordTrialCrash(parts []string, now time.Time) []HeldPart {
	var out []HeldPart
	for _, id := range parts {
		r := t.touch(id, now)
		if t.stateOf(r, now) != PartSuspect {
			continue // Cleared or quarantined by another router meanwhile.
		}
		if r.trialsLeft--; r.trialsLeft > 0 {
			continue
		}
		durations := t.limits.QuarantineDurations
		duration := durations[min(r.quarantines, len(durations)-1)]
		r.state, r.until = PartQuarantined, now.Add(duration)
		r.quarantines++
		r.version = PartVersion{Epoch: r.version.Epoch + 1}
		out = append(out, t.held(r, now))
	}
	return out
}

// HeldPart is a part that is a suspect or in quarantine, or was cleared of it, for other routers.
type HeldPart struct {
	Part        string
	State       PartState
	Remaining   time.Duration // Time until the end of the suspicion or quarantine, or for which a cleared part is known.
	Quarantines int
	Version     PartVersion
}

func (t *PartTracker) held(r *partRecord, now time.Time) HeldPart {
	until := r.until
	if r.state == PartCleared {
		until = r.clearedAt.Add(t.limits.RecordLifetime)
	}
	return HeldPart{Part: r.id, State: r.state, Remaining: max(until.Sub(now), 0), Quarantines: r.quarantines, Version: r.version}
}

// States returns the states of parts.
func (t *PartTracker) States(parts []string, now time.Time) []HeldPart {
	var out []HeldPart
	for _, id := range parts {
		if e, ok := t.records[id]; ok {
			t.stateOf(e.Value.(*partRecord), now)
			out = append(out, t.held(e.Value.(*partRecord), now))
		}
	}
	return out
}

// Held returns the parts that are suspects or in quarantine, the latter first.
func (t *PartTracker) Held(now time.Time) []HeldPart {
	return slices.DeleteFunc(t.Known(now), func(h HeldPart) bool { return h.State == PartCleared })
}

// Known returns the parts in quarantine, then the suspects, then those that were cleared within RecordLifetime: a router
// that still suspects one of these must learn of it. Routers that know the same parts return them in the same order, so that
// the first of them are the same too.
func (t *PartTracker) Known(now time.Time) []HeldPart {
	var out []HeldPart
	for r := range t.known {
		t.stateOf(r, now)
		if h := t.held(r, now); h.Remaining > 0 || h.State != PartCleared {
			out = append(out, h)
		} else {
			delete(t.known, r)
		}
	}
	rank := map[PartState]int{PartQuarantined: 0, PartSuspect: 1, PartCleared: 2}
	slices.SortFunc(out, func(a, b HeldPart) int {
		return cmp.Or(cmp.Compare(rank[a.State], rank[b.State]), cmp.Compare(a.Part, b.Part))
	})
	return out
}

// Apply adopts the state of a part at another router if it is newer than the one here, or as new and stricter. A state
// without a version, from a former build, counts as newer, but a suspicion does not end a quarantine here. Apply
// reports whether the state changed.
func (t *PartTracker) Apply(h HeldPart, now time.Time) bool {
	r := t.touch(h.Part, now)
	current := t.stateOf(r, now)
	versioned := h.Version != (PartVersion{})
	order := h.Version.Compare(r.version)
	if versioned && order < 0 {
		return false
	}
	newer := versioned && order > 0
	r.quarantines = max(r.quarantines, h.Quarantines)
	until := now.Add(min(h.Remaining, slices.Max(t.limits.QuarantineDurations)))
	if newer {
		r.version = h.Version
	}
	switch {
	case h.State == PartCleared && newer:
		t.clear(r, until.Add(-t.limits.RecordLifetime))
	case h.State == PartCleared && versioned && current == PartCleared:
		r.clearedAt, t.known[r] = until.Add(-t.limits.RecordLifetime), true
	case h.State == PartCleared && !versioned && current == PartSuspect:
		t.clear(r, now)
	case h.State == PartSuspect && (current == PartCleared || newer && current == PartQuarantined):
		t.suspect(r, now)
		r.until = until
	case h.State == PartQuarantined && (current != PartQuarantined || until.After(r.until)):
		t.known[r] = true
		r.state, r.until, r.onTrial = PartQuarantined, until, false
	case h.State == PartSuspect && current == PartSuspect && versioned && (newer || until.After(r.until)):
		r.until = until
		return false
	default:
		return false
	}
	if !versioned {
		r.version.Change++
	}
	return current != h.State
}

// stateOf returns the state of a record after the end of its suspicion or quarantine. A part
// whose quarantine has ended is a suspect.
func (t *PartTracker) stateOf(r *partRecord, now time.Time) PartState {
	if r.state == PartQuarantined && !now.Before(r.until) {
		t.suspect(r, now)
	}
	if r.state == PartSuspect && !now.Before(r.until) && !r.onTrial {
		r.state = PartCleared
		r.crashed = r.crashed[:min(len(r.crashed), t.limits.CrashesToSuspect-1)]
	}
	return r.state
}

// clear ends the suspicion of a part, and the series of its quarantines, because of a complete response at a time. Later
// crashes count.
func (t *PartTracker) clear(r *partRecord, at time.Time) {
	t.known[r] = true
	if !r.firstCrash.After(at) {
		r.crashed = nil
	}
	r.state, r.clearedAt, r.onTrial, r.quarantines = PartCleared, at, false, 0
}

// touch returns the record of a part, which it creates if needed. A new record replaces the least
// recently updated one if the tracker is full, but none that is held.
func (t *PartTracker) touch(id string, now time.Time) *partRecord {
	if e, ok := t.records[id]; ok {
		t.byAge.MoveToFront(e)
		return e.Value.(*partRecord)
	}
	for e := t.byAge.Back(); e != nil && len(t.records) >= t.limits.MaxTracked; {
		r, previous := e.Value.(*partRecord), e.Prev()
		if t.stateOf(r, now) == PartCleared {
			t.byAge.Remove(e)
			delete(t.records, r.id)
			delete(t.known, r)
		}
		e = previous
	}
	r := &partRecord{id: id, state: PartCleared}
	t.records[id] = t.byAge.PushFront(r)
	return r
}
