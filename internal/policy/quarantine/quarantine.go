// Package quarantine finds requests that crash endpoints and refuses them for a
// bounded time.
//
// Every request that runs during a crash becomes a suspect. The next run of a
// suspect excludes other suspects from the endpoint, so a crash during that run
// is attributed to it and not to the other suspects of the first crash. The
// second crash quarantines the request for a bounded time. A harmful request
// crashes each endpoint that runs it. Therefore one run without a crash clears a
// request, and each recent run without a crash excuses one crash, up to a limit.
//
// A PartTracker finds parts of prompts that crash engines whatever else a request contains, as it may
// happen that no two requests with such a part are equal.
//
// The package is pure: time is an argument. The caller must serialize access.
package quarantine

import (
	"container/list"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"hash"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
)

const fingerprintBytes = 16

// Fingerprint identifies all requests of one organisation with the same route
// and body. It contains no text of the request.
type Fingerprint string

// NewFingerprint returns the fingerprint of a request, whose body may be in pieces.
func NewFingerprint(org ident.Organisation, route string, body ...[]byte) Fingerprint {
	h := sha256.New()
	writePart(h, []byte(org))
	writePart(h, []byte(route))
	writePart(h, body...)
	return Fingerprint(hex.EncodeToString(h.Sum(nil)[:fingerprintBytes]))
}

func writePart(h hash.Hash, pieces ...[]byte) {
	length := 0
	for _, piece := range pieces {
		length += len(piece)
	}
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(length))
	_, _ = h.Write(size[:]) // A hash.Hash never returns an error.
	for _, piece := range pieces {
		_, _ = h.Write(piece)
	}
}

// Limits bounds the decisions and the size of a CrashTracker.
type Limits struct {
	CrashesToQuarantine int           // Number of crashes that quarantine a request.
	MaxExcused          int           // Maximum number of crashes that earlier runs without a crash excuse.
	RecordLifetime      time.Duration // Time for which a crash or a run without a crash is kept.
	QuarantineDuration  time.Duration // Time for which a quarantined request is refused.
	MaxTracked          int           // Maximum number of requests with a record.
}

// DefaultLimits returns the limits of one entry.
func DefaultLimits() Limits {
	return Limits{
		CrashesToQuarantine: 2, MaxExcused: 3, RecordLifetime: 10 * time.Minute, QuarantineDuration: 10 * time.Minute, MaxTracked: 4096,
	}
}

// SuspicionEnd returns the time until which other processes suspect a request
// after a crash. quarantineEnd is the end of its quarantine, or a past time if
// there is none. The suspicion extends beyond the quarantine, so that one more
// crash at any process quarantines the request again.
func SuspicionEnd(l Limits, quarantineEnd, now time.Time) time.Time {
	if quarantineEnd.After(now) {
		return quarantineEnd.Add(l.RecordLifetime)
	}
	return now.Add(l.RecordLifetime)
}

// Verdict is the decision on whether and how a request may run.
type Verdict int

// Values of Verdict.
const (
	// VerdictRun lets the request run without restrictions.
	VerdictRun Verdict = iota
	// VerdictIsolate lets the request run if no other suspect runs on the endpoint.
	VerdictIsolate
	// VerdictWait refuses the request while another request with its fingerprint
	// is on trial.
	VerdictWait
	// VerdictQuarantined refuses the request because it is quarantined.
	VerdictQuarantined
)

// Outcome is the way in which a run ended.
type Outcome int

// Values of Outcome.
const (
	// OutcomeInconclusive means that the run gives no evidence, because it was refused
	// or cancelled.
	OutcomeInconclusive Outcome = iota
	// OutcomeFinished means that the run ended without a crash of the endpoint.
	OutcomeFinished
	// OutcomeCrashed means that the endpoint crashed during the run.
	OutcomeCrashed
)

// CrashTracker holds the records of suspected, quarantined and cleared requests.
// Its size is bounded: if it is full, a new record replaces the least recently
// updated one without crashes, or else the least recently updated one. It is not safe for concurrent use.
type CrashTracker struct {
	limits  Limits
	records map[Fingerprint]*list.Element
	// Elements are *record; most recently updated first.
	suspects *list.List // Records with crashes or a quarantine.
	cleared  *list.List // All others.
}

// record is the crash history of one fingerprint. A record on trial does not
// expire before the trial ends.
type record struct {
	id               Fingerprint
	crashes          int       // Crashes that count; 0 for a cleared request.
	goodRuns         int       // Runs without a crash; each can excuse one crash.
	onTrial          bool      // A run with VerdictIsolate has not ended.
	quarantinedUntil time.Time // Zero if the request was never quarantined.
	expires          time.Time // When the record is removed.
}

// NewCrashTracker returns an empty CrashTracker.
func NewCrashTracker(limits Limits) *CrashTracker {
	return &CrashTracker{
		limits: limits, records: make(map[Fingerprint]*list.Element), suspects: list.New(), cleared: list.New(),
	}
}

// BeginRun decides whether and how a request may run now. After VerdictRun or
// VerdictIsolate, the caller must call EndRun once.
func (t *CrashTracker) BeginRun(id Fingerprint, now time.Time) Verdict {
	r := t.lookup(id, now)
	switch {
	case r == nil || r.crashes == 0:
		return VerdictRun
	case now.Before(r.quarantinedUntil):
		return VerdictQuarantined
	case r.onTrial:
		return VerdictWait
	default:
		r.onTrial = true
		return VerdictIsolate
	}
}

// IsQuarantined reports whether a request is in quarantine. Unlike BeginRun, it
// does not start a trial.
func (t *CrashTracker) IsQuarantined(id Fingerprint, now time.Time) bool {
	r := t.lookup(id, now)
	return r != nil && now.Before(r.quarantinedUntil)
}

// EndRun records how a run ended. verdict is the result of BeginRun for this run. It
// returns the end of the quarantine and true if the run quarantined the request.
func (t *CrashTracker) EndRun(id Fingerprint, verdict Verdict, outcome Outcome, now time.Time) (time.Time, bool) {
	r := t.lookup(id, now)
	if r != nil && verdict == VerdictIsolate {
		r.onTrial = false
	}
	switch outcome {
	case OutcomeCrashed:
		return t.recordCrash(id, now)
	case OutcomeFinished:
		t.recordFinish(id, now)
	case OutcomeInconclusive:
	}
	return time.Time{}, false
}

// recordFinish clears a request that is not in quarantine. A run that ends without
// a crash during the quarantine may have begun in another state of the endpoint,
// so it does not clear the request.
func (t *CrashTracker) recordFinish(id Fingerprint, now time.Time) {
	r := t.lookup(id, now)
	if r == nil {
		r = t.add(id, now)
	}
	if now.Before(r.quarantinedUntil) {
		return
	}
	r.crashes = 0
	r.goodRuns = min(r.goodRuns+1, t.limits.MaxExcused)
	t.refresh(r, now.Add(t.limits.RecordLifetime))
}

// RecordRemoteCrash records a crash that another process reported. If the request
// already has a record, it changes nothing.
func (t *CrashTracker) RecordRemoteCrash(id Fingerprint, now time.Time) {
	if t.lookup(id, now) == nil {
		r := t.add(id, now)
		r.crashes = 1
		t.refresh(r, r.expires)
	}
}

// HeldRequest is the state of a request with crashes, for other processes. Its times are relative, since clocks differ.
type HeldRequest struct {
	ID         Fingerprint
	Crashes    int           // Crashes that count.
	Quarantine time.Duration // Time for which it is refused; 0 if it is not in quarantine.
	Lifetime   time.Duration // Time for which the record is kept.
}

// Held returns the state of all requests with crashes, the least recently updated first.
func (t *CrashTracker) Held(now time.Time) []HeldRequest {
	var out []HeldRequest
	for e := t.suspects.Back(); e != nil; e = e.Prev() {
		if r := e.Value.(*record); now.Before(r.expires) {
			out = append(out, r.held(now))
		}
	}
	return out
}

// HeldRequest returns the state of a request. It returns false if it has no crashes.
func (t *CrashTracker) HeldRequest(id Fingerprint, now time.Time) (HeldRequest, bool) {
	r := t.lookup(id, now)
	if r == nil || t.listOf(r) != t.suspects {
		return HeldRequest{}, false
	}
	return r.held(now), true
}

func (r *record) held(now time.Time) HeldRequest {
	return HeldRequest{ID: r.id, Crashes: r.crashes, Quarantine: max(r.quarantinedUntil.Sub(now), 0), Lifetime: r.expires.Sub(now)}
}

// Apply adopts the state of a request at another process where it is stricter than the known one: a crash that both
// counted counts once. It reports whether it changed anything. Times beyond the limits are cut.
func (t *CrashTracker) Apply(h HeldRequest, now time.Time) bool {
	if h.ID == "" || h.Lifetime <= 0 || h.Crashes <= 0 && h.Quarantine <= 0 {
		return false
	}
	r := t.lookup(h.ID, now)
	if r == nil {
		r = t.add(h.ID, now)
	}
	crashes := max(r.crashes, min(h.Crashes, t.limits.CrashesToQuarantine-1))
	until := r.quarantinedUntil
	if h.Quarantine > 0 {
		if other := now.Add(min(h.Quarantine, t.limits.QuarantineDuration)); other.After(until) {
			until = other
		}
	}
	expires := now.Add(min(h.Lifetime, t.limits.QuarantineDuration+t.limits.RecordLifetime))
	if expires.Before(r.expires) {
		expires = r.expires
	}
	changed := crashes != r.crashes || !until.Equal(r.quarantinedUntil)
	r.crashes, r.quarantinedUntil = crashes, until
	t.refresh(r, expires)
	return changed
}

// Excuses reports whether runs without a crash excuse the next crash of a request.
func (t *CrashTracker) Excuses(id Fingerprint, now time.Time) bool {
	r := t.lookup(id, now)
	return r != nil && r.goodRuns > 0
}

// Len returns the number of requests with a record.
func (t *CrashTracker) Len() int {
	return len(t.records)
}

// recordCrash counts a crash unless an earlier run without a crash excuses it. It
// returns the end of the quarantine and true if the crash starts one.
func (t *CrashTracker) recordCrash(id Fingerprint, now time.Time) (time.Time, bool) {
	r := t.lookup(id, now)
	if r == nil {
		r = t.add(id, now)
	} else if r.goodRuns > 0 {
		r.goodRuns--
		return time.Time{}, false
	}
	r.crashes++
	t.refresh(r, now.Add(t.limits.RecordLifetime))
	if r.crashes < t.limits.CrashesToQuarantine {
		return time.Time{}, false
	}
	// The request stays a suspect after its quarantine: one more crash
	// quarantines it again.
	r.crashes = t.limits.CrashesToQuarantine - 1
	r.quarantinedUntil = now.Add(t.limits.QuarantineDuration)
	t.refresh(r, r.quarantinedUntil.Add(t.limits.RecordLifetime))
	return r.quarantinedUntil, true
}

// refresh extends the life of a record and moves it to the front of the list that it belongs to.
func (t *CrashTracker) refresh(r *record, expires time.Time) {
	r.expires = expires
	t.suspects.Remove(t.records[r.id]) // It is in one of the two lists.
	t.cleared.Remove(t.records[r.id])
	t.records[r.id] = t.listOf(r).PushFront(r)
}

// listOf returns the list that a record belongs to.
func (t *CrashTracker) listOf(r *record) *list.List {
	if r.crashes > 0 || !r.quarantinedUntil.IsZero() {
		return t.suspects
	}
	return t.cleared
}

// lookup returns the record that is valid at now, or nil. It removes an expired
// record.
func (t *CrashTracker) lookup(id Fingerprint, now time.Time) *record {
	e, ok := t.records[id]
	if !ok {
		return nil
	}
	r := e.Value.(*record)
	if !r.onTrial && !now.Before(r.expires) {
		t.remove(id)
		return nil
	}
	return r
}

// add creates a record without crashes. If the tracker is full, it removes another one.
func (t *CrashTracker) add(id Fingerprint, now time.Time) *record {
	if len(t.records) >= t.limits.MaxTracked {
		displaced := t.cleared
		if displaced.Len() == 0 {
			displaced = t.suspects
		}
		t.remove(displaced.Back().Value.(*record).id)
	}
	r := &record{id: id, expires: now.Add(t.limits.RecordLifetime)}
	t.records[id] = t.cleared.PushFront(r)
	return r
}

func (t *CrashTracker) remove(id Fingerprint) {
	e, ok := t.records[id]
	if !ok {
		return
	}
	t.suspects.Remove(e) // It is in one of the two lists.
	t.cleared.Remove(e)
	delete(t.records, id)
}
