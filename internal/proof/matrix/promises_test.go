package matrix_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/fleet/wire"
	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/proof/harness"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// promise is one thing that must hold in every cell. Its check returns what
// was broken, or "".
type promise struct {
	name  string
	check func(w *world) string
}

var promises = []promise{
	{"right adapter and version", rightBuild},
	{"right organisation", rightOrganisation},
	{"no key at an endpoint", noKey},
	{"ran is true", ranTrue},
	{"at most once", atMostOnce},
	{"within rate and burst", withinLimit},
	{"whole answer to its own request", wholeAnswer},
	{"no eviction in use", noEviction},
	{"withdrawn key stops", withdrawnStops},
	{"told when to come back", retryAfter},
	{"answered in time", inTime},
}

// engineBody is what an engine sees of a completion.
type engineBody struct {
	Model     string `json:"model"`
	MaxTokens int64  `json:"max_tokens"`
	Salt      string `json:"cache_salt"`
}

func bodyOf(r harness.Run) engineBody {
	var b engineBody
	_ = json.Unmarshal([]byte(r.Body), &b)
	return b
}

func (w *world) sentCalls() []sent {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]sent(nil), w.calls...)
}

func rightBuild(w *world) string {
	for _, s := range w.sentCalls() {
		if !s.kind.engine {
			continue
		}
		for _, r := range w.f.Runs(s.marker) {
			if got := bodyOf(r).Model; !w.mayRun(s, got) {
				return fmt.Sprintf("%s ran on %s", s.marker, got)
			}
		}
	}
	return ""
}

// mayRun reports whether a call may run on a build: the one that was in force
// when it was sent, or either while a change spreads.
func (w *world) mayRun(s sent, build string) bool {
	if s.org == neighbourOrg {
		return build == "leak-brief@v1"
	}
	old := w.upgraded.IsZero() || s.at.Before(w.upgraded.Add(inForceWithin))
	changed := !w.upgradeAsked.IsZero() && !s.at.Add(s.answer.Elapsed).Before(w.upgradeAsked)
	return (old && build == "syllabus@v1") || (changed && build == "syllabus@v2")
}

func rightOrganisation(w *world) string {
	for _, s := range w.sentCalls() {
		want := s.org
		if s.kind.open {
			want = ""
		}
		for _, r := range w.f.Runs(s.marker) {
			if got := ident.Organisation(r.Header.Get(wire.HeaderOrganisation)); got != want {
				return fmt.Sprintf("%s ran for %q, want %q", s.marker, got, want)
			}
			if s.kind.engine && bodyOf(r).Salt == "" {
				return s.marker + " ran without the organisation's cache salt"
			}
		}
	}
	return ""
}

func noKey(w *world) string {
	for _, r := range w.f.Runs("") {
		text := fmt.Sprint(r.Header, r.Path, r.Body)
		for org, key := range w.keys {
			if strings.Contains(text, key) || strings.Contains(text, string(ident.HashKey(key))) {
				return fmt.Sprintf("%s saw a key of %s", r.Endpoint, org)
			}
		}
	}
	return ""
}

func ranTrue(w *world) string {
	answers := make(map[string][]sent)
	for _, s := range w.sentCalls() {
		answers[s.marker] = append(answers[s.marker], s)
	}
	for marker, group := range answers {
		runs := len(w.f.Runs(marker))
		if runs > 0 && allSay(group, refusal.RanNo) {
			return fmt.Sprintf("%s ran %d times, the answer says it did not", marker, runs)
		}
		if runs == 0 && anySay(group, refusal.RanYes) {
			return marker + " did not run, the answer says it did"
		}
	}
	return ""
}

func allSay(group []sent, ran refusal.Ran) bool {
	for _, s := range group {
		if s.answer.RanHeader() != ran {
			return false
		}
	}
	return true
}

func anySay(group []sent, ran refusal.Ran) bool {
	for _, s := range group {
		if s.answer.RanHeader() == ran {
			return true
		}
	}
	return false
}

func atMostOnce(w *world) string {
	for _, s := range w.sentCalls() {
		if s.kind.idempotent {
			continue
		}
		if runs := len(w.f.Runs(s.marker)); runs > 1 {
			return fmt.Sprintf("%s ran %d times", s.marker, runs)
		}
	}
	return ""
}

// withinLimit checks every time since the start: a request that has begun to
// run by then was admitted by then.
func withinLimit(w *world) string {
	for _, org := range []ident.Organisation{subjectOrg, neighbourOrg} {
		var runs []harness.Run
		for _, r := range w.f.Runs("") {
			if r.Header.Get(wire.HeaderOrganisation) == string(org) {
				runs = append(runs, r)
			}
		}
		for _, end := range runs {
			allowed := burst + int64(end.Start.Sub(w.started).Seconds()*tokensPerSecond)
			if ran := tokensUntil(runs, end.Start); ran > allowed {
				return fmt.Sprintf("%s ran %d tokens where %d were allowed", org, ran, allowed)
			}
		}
	}
	return ""
}

func tokensUntil(runs []harness.Run, end time.Time) int64 {
	var sum int64
	for _, r := range runs {
		if !r.Start.After(end) {
			sum += max(bodyOf(r).MaxTokens, 1)
		}
	}
	return sum
}

func wholeAnswer(w *world) string {
	for _, s := range w.sentCalls() {
		if s.answer.IsComplete() && !w.answered(s) {
			return fmt.Sprintf("%s got an answer that no run of it gave: %.80s", s.marker, s.answer.Body)
		}
	}
	return ""
}

func (w *world) answered(s sent) bool {
	for _, r := range w.f.Runs(s.marker) {
		if r.Response == s.answer.Body {
			return true
		}
	}
	return false
}

func noEviction(w *world) string {
	for _, vm := range w.f.VMNames("engine-") {
		if evicted := w.f.Endpoints[vm].Engine.EvictedInUse(); len(evicted) > 0 {
			return fmt.Sprintf("%s dropped %v in use", vm, evicted)
		}
	}
	return ""
}

func withdrawnStops(w *world) string {
	if w.withdrawn.IsZero() {
		return ""
	}
	limit := w.withdrawn.Add(inForceWithin)
	if w.resumed.After(w.withdrawn) {
		limit = w.resumed.Add(inForceWithin) // A stopped entry can't act before it is resumed.
	}
	for _, s := range w.sentCalls() {
		if s.org != subjectOrg || s.kind.open {
			continue
		}
		if s.answer.IsComplete() && s.at.Add(s.answer.Elapsed).After(limit) {
			return fmt.Sprintf("%s was answered %s after its key was withdrawn", s.marker, s.at.Add(s.answer.Elapsed).Sub(w.withdrawn))
		}
		if s.at.Before(limit) && s.at.Add(s.answer.Elapsed).After(limit) {
			return fmt.Sprintf("%s was open %s after its key was withdrawn", s.marker, s.at.Add(s.answer.Elapsed).Sub(w.withdrawn))
		}
		for _, r := range w.f.Runs(s.marker) {
			if r.Start.After(limit) {
				return fmt.Sprintf("%s began to run %s after its key was withdrawn", s.marker, r.Start.Sub(w.withdrawn))
			}
		}
	}
	return ""
}

func retryAfter(w *world) string {
	for _, s := range w.sentCalls() {
		a := s.answer
		limited := a.Status == http.StatusTooManyRequests || a.Status == http.StatusServiceUnavailable
		if limited && a.Header.Get("Retry-After") == "" {
			return fmt.Sprintf("%s was refused with %d and no Retry-After", s.marker, a.Status)
		}
	}
	return ""
}

// inTime bounds every answer by the request's timeout and, where its entry was
// paused, by the pause.
func inTime(w *world) string {
	const limit = harness.RequestTimeout + pauseTime + time.Second
	for _, s := range w.sentCalls() {
		if s.answer.Elapsed > limit {
			return fmt.Sprintf("%s waited %s", s.marker, s.answer.Elapsed)
		}
	}
	return ""
}
