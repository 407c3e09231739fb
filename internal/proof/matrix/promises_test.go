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

// promise is a guarantee that must hold in every cell. Its check returns a
// description of the first violation, or "" if there is none.
type promise struct {
	name  string
	check func(sim *simulation) string
}

var promises = []promise{
	{"right adapter and version", checkBuild},
	{"right organisation", checkOrganisation},
	{"no key at an endpoint", checkNoKeyAtEndpoint},
	{"ran is true", checkRanHeader},
	{"at most once", checkAtMostOnce},
	{"within rate and burst", checkRateLimit},
	{"whole answer to its own request", checkResponseIntegrity},
	{"no eviction in use", checkNoEvictionInUse},
	{"withdrawn key stops", checkWithdrawnKey},
	{"told when to come back", checkRetryAfter},
	{"answered in time", checkResponseTime},
}

// completionBody holds the checked fields of a completion as an engine receives
// it.
type completionBody struct {
	Model     string `json:"model"`
	MaxTokens int64  `json:"max_tokens"`
	Salt      string `json:"cache_salt"`
}

func parseCompletionBody(r harness.Run) completionBody {
	var b completionBody
	_ = json.Unmarshal([]byte(r.Body), &b)
	return b
}

// sentCalls returns a copy of the calls that have a response so far.
func (sim *simulation) sentCalls() []sentCall {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return append([]sentCall(nil), sim.calls...)
}

// checkBuild checks that every completion ran on a build that was in force.
func checkBuild(sim *simulation) string {
	for _, s := range sim.sentCalls() {
		if !s.kind.onEngine {
			continue
		}
		for _, r := range sim.fleet.Runs(s.marker) {
			if got := parseCompletionBody(r).Model; !sim.mayRun(s, got) {
				return fmt.Sprintf("%s ran on build %s, which was not in force for it", s.marker, got)
			}
		}
	}
	return ""
}

// mayRun reports whether a call may run on a build. It must be the build that was
// in force when the call was sent. While a change propagates, the old and the
// new build are allowed.
func (sim *simulation) mayRun(s sentCall, build string) bool {
	if s.org == neighbourOrg {
		return build == "leak-brief@v1"
	}
	oldAllowed := sim.upgradeAcceptedAt.IsZero() || s.sentAt.Before(sim.upgradeAcceptedAt.Add(maxPropagation))
	newAllowed := !sim.upgradeSentAt.IsZero() && !s.sentAt.Add(s.response.Elapsed).Before(sim.upgradeSentAt)
	return (oldAllowed && build == "syllabus@v1") || (newAllowed && build == "syllabus@v2")
}

// checkOrganisation checks that every request ran for its caller's organisation,
// or for none on an open route, and that completions carry a cache salt.
func checkOrganisation(sim *simulation) string {
	for _, s := range sim.sentCalls() {
		want := s.org
		if s.kind.open {
			want = ""
		}
		for _, r := range sim.fleet.Runs(s.marker) {
			if got := ident.Organisation(r.Header.Get(wire.HeaderOrganisation)); got != want {
				return fmt.Sprintf("%s ran for %q, want %q", s.marker, got, want)
			}
			if s.kind.onEngine && parseCompletionBody(r).Salt == "" {
				return s.marker + " ran without the organisation's cache salt"
			}
		}
	}
	return ""
}

// checkNoKeyAtEndpoint checks that no request to an endpoint contains an API key
// or its hash.
func checkNoKeyAtEndpoint(sim *simulation) string {
	for _, r := range sim.fleet.Runs("") {
		text := fmt.Sprint(r.Header, r.Path, r.Body)
		for org, key := range sim.keys {
			if strings.Contains(text, key) || strings.Contains(text, string(ident.HashKey(key))) {
				return fmt.Sprintf("%s received a request with an API key of %s or its hash", r.Endpoint, org)
			}
		}
	}
	return ""
}

// checkRanHeader checks that refusals state truthfully whether the request ran.
// Calls with the same marker are one request.
func checkRanHeader(sim *simulation) string {
	byMarker := make(map[string][]sentCall)
	for _, s := range sim.sentCalls() {
		byMarker[s.marker] = append(byMarker[s.marker], s)
	}
	for marker, group := range byMarker {
		runs := len(sim.fleet.Runs(marker))
		if runs > 0 && allReportRan(group, refusal.RanNo) {
			return fmt.Sprintf("%s ran %d times, but every response states that it did not run", marker, runs)
		}
		if runs == 0 && anyReportsRan(group, refusal.RanYes) {
			return marker + " did not run, but a response states that it ran"
		}
	}
	return ""
}

// allReportRan reports whether every response has the given Hyssop-Ran header.
func allReportRan(group []sentCall, ran refusal.Ran) bool {
	for _, s := range group {
		if s.response.RanHeader() != ran {
			return false
		}
	}
	return true
}

// anyReportsRan reports whether a response has the given Hyssop-Ran header.
func anyReportsRan(group []sentCall, ran refusal.Ran) bool {
	for _, s := range group {
		if s.response.RanHeader() == ran {
			return true
		}
	}
	return false
}

// checkAtMostOnce checks that requests which are not idempotent ran at most once.
func checkAtMostOnce(sim *simulation) string {
	for _, s := range sim.sentCalls() {
		if s.kind.idempotent {
			continue
		}
		if runs := len(sim.fleet.Runs(s.marker)); runs > 1 {
			return fmt.Sprintf("%s is not idempotent and ran %d times, want at most 1", s.marker, runs)
		}
	}
	return ""
}

// checkRateLimit checks each organisation's rate and burst at the start of each
// of its runs. A request that has started by then was admitted by then.
func checkRateLimit(sim *simulation) string {
	for _, org := range []ident.Organisation{subjectOrg, neighbourOrg} {
		var runs []harness.Run
		for _, r := range sim.fleet.Runs("") {
			if r.Header.Get(wire.HeaderOrganisation) == string(org) {
				runs = append(runs, r)
			}
		}
		for _, last := range runs {
			allowed := burst + int64(last.Start.Sub(sim.startedAt).Seconds()*tokensPerSecond)
			if ran := tokensStartedBy(runs, last.Start); ran > allowed {
				return fmt.Sprintf("%s started runs with %d tokens, want at most %d by rate and burst", org, ran, allowed)
			}
		}
	}
	return ""
}

// tokensStartedBy returns the tokens of the runs that started at end or before. A
// run without max_tokens counts as 1.
func tokensStartedBy(runs []harness.Run, end time.Time) int64 {
	var sum int64
	for _, r := range runs {
		if !r.Start.After(end) {
			sum += max(parseCompletionBody(r).MaxTokens, 1)
		}
	}
	return sum
}

// checkResponseIntegrity checks that every complete response is the response to a
// run of the same request.
func checkResponseIntegrity(sim *simulation) string {
	for _, s := range sim.sentCalls() {
		if s.response.IsComplete() && !sim.matchesRun(s) {
			return fmt.Sprintf("%s received a complete response that none of its runs produced: %.80s", s.marker, s.response.Body)
		}
	}
	return ""
}

func (sim *simulation) matchesRun(s sentCall) bool {
	for _, r := range sim.fleet.Runs(s.marker) {
		if r.Response == s.response.Body {
			return true
		}
	}
	return false
}

// checkNoEvictionInUse checks that no engine evicted an adapter in use.
func checkNoEvictionInUse(sim *simulation) string {
	for _, vm := range sim.fleet.VMNames("engine-") {
		if evicted := sim.fleet.Endpoints[vm].Engine.UnloadedInUse(); len(evicted) > 0 {
			return fmt.Sprintf("%s evicted %v while in use", vm, evicted)
		}
	}
	return ""
}

// checkWithdrawnKey checks that no request with a withdrawn key starts, stays open
// or gets its response later than maxPropagation after the withdrawal.
func checkWithdrawnKey(sim *simulation) string {
	if sim.keyWithdrawnAt.IsZero() {
		return ""
	}
	limit := sim.keyWithdrawnAt.Add(maxPropagation)
	if sim.entryResumesAt.After(sim.keyWithdrawnAt) {
		limit = sim.entryResumesAt.Add(maxPropagation) // A paused entry can't act before it resumes.
	}
	for _, s := range sim.sentCalls() {
		if s.org != subjectOrg || s.kind.open {
			continue
		}
		if s.response.IsComplete() && s.sentAt.Add(s.response.Elapsed).After(limit) {
			return fmt.Sprintf("%s received a complete response %s after its key was withdrawn",
				s.marker, s.sentAt.Add(s.response.Elapsed).Sub(sim.keyWithdrawnAt))
		}
		if s.sentAt.Before(limit) && s.sentAt.Add(s.response.Elapsed).After(limit) {
			return fmt.Sprintf("%s was still open %s after its key was withdrawn",
				s.marker, s.sentAt.Add(s.response.Elapsed).Sub(sim.keyWithdrawnAt))
		}
		for _, r := range sim.fleet.Runs(s.marker) {
			if r.Start.After(limit) {
				return fmt.Sprintf("%s started to run %s after its key was withdrawn", s.marker, r.Start.Sub(sim.keyWithdrawnAt))
			}
		}
	}
	return ""
}

// checkRetryAfter checks that every response with status 429 or 503 has a
// Retry-After header.
func checkRetryAfter(sim *simulation) string {
	for _, s := range sim.sentCalls() {
		resp := s.response
		mustHaveRetryAfter := resp.Status == http.StatusTooManyRequests || resp.Status == http.StatusServiceUnavailable
		if mustHaveRetryAfter && resp.Header.Get("Retry-After") == "" {
			return fmt.Sprintf("%s was refused with status %d without a Retry-After header", s.marker, resp.Status)
		}
	}
	return ""
}

// checkResponseTime checks that every response arrives within the request
// timeout, extended by the longest pause of an entry.
func checkResponseTime(sim *simulation) string {
	const limit = harness.RequestTimeout + longPause + time.Second
	for _, s := range sim.sentCalls() {
		if s.response.Elapsed > limit {
			return fmt.Sprintf("%s waited %s for its response, want at most %s", s.marker, s.response.Elapsed, limit)
		}
	}
	return ""
}
