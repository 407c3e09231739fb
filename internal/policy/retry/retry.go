// Package retry decides whether a request that got no answer from one
// endpoint may be tried on another.
//
// The decisions are pure. Their invariants:
//
//   - A request that is not idempotent is tried again only where the last
//     attempt proves that it did not run.
//   - Nothing is tried again once a byte of an answer has reached the caller.
//   - Retries that cost an endpoint work are paid from a Budget, a fraction of
//     the traffic, so that a storm of failures does not multiply the load.
//   - A request that is not tried again is given up at once.
package retry

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Kind says how an attempt ended.
type Kind int

// Values of Kind.
const (
	// KindUnreached says that no connection was got, so nothing was sent.
	KindUnreached Kind = iota
	// KindTurnedAway says that the agent took no work now: busy or leaving.
	KindTurnedAway
	// KindFailed says that an endpoint spent work on the attempt or may have.
	KindFailed
	// KindFinal says that every endpoint would give the same answer.
	KindFinal
)

// Attempt is one attempt that ended without an answer for the caller.
type Attempt struct {
	Kind       Kind
	Ran        refusal.Ran   // What is known of this attempt.
	Idempotent bool          // Whether a second run does no harm.
	Passed     bool          // Whether a byte of an answer has reached the caller.
	Number     int           // Attempts so far, this one included.
	Untried    int           // Candidates that were not asked yet.
	Left       time.Duration // Time until the caller's deadline.
}

// Reason says why an attempt is or is not followed by another.
type Reason string

// Values of Reason.
const (
	ReasonAgain       Reason = "again"
	ReasonFinal       Reason = "final"
	ReasonPassed      Reason = "answer_begun"
	ReasonMayHaveRun  Reason = "may_have_run"
	ReasonAttempts    Reason = "attempts_used_up"
	ReasonNoCandidate Reason = "no_candidate_left"
	ReasonDeadline    Reason = "deadline_near"
	ReasonBudgetUsed  Reason = "budget_used_up"
	ReasonUncharged   Reason = "again_uncharged"
)

// Limits bound the attempts of one request.
type Limits struct {
	MaxAttempts int           // Agents that are asked for one request.
	MinLeft     time.Duration // Time to the deadline under which nothing is tried again.
}

// DefaultLimits returns the limits of a fleet in ordinary running.
func DefaultLimits() Limits {
	return Limits{MaxAttempts: 4, MinLeft: 50 * time.Millisecond}
}

// Decide says whether another endpoint is tried. A failure is charged to the
// budget; an endpoint that was not reached or took no work is not, since it
// spent nothing on the attempt.
func Decide(l Limits, a Attempt, budget *Budget, now time.Time) (bool, Reason) {
	if reason := refuse(l, a); reason != ReasonAgain {
		return false, reason
	}
	if a.Kind != KindFailed {
		return true, ReasonUncharged
	}
	if !budget.Take(now) {
		return false, ReasonBudgetUsed
	}
	return true, ReasonAgain
}

// refuse returns why a is not followed by another attempt, or ReasonAgain.
func refuse(l Limits, a Attempt) Reason {
	switch {
	case a.Passed:
		return ReasonPassed
	case a.Kind == KindFinal:
		return ReasonFinal
	case !a.Idempotent && a.Ran != refusal.RanNo:
		return ReasonMayHaveRun
	case a.Number >= l.MaxAttempts:
		return ReasonAttempts
	case a.Untried == 0:
		return ReasonNoCandidate
	case a.Left < l.MinLeft:
		return ReasonDeadline
	default:
		return ReasonAgain
	}
}

// Worst joins what is known of several attempts of one request: it ran where
// one ran, and did not run only where none did.
func Worst(a, b refusal.Ran) refusal.Ran {
	if a == refusal.RanYes || b == refusal.RanYes {
		return refusal.RanYes
	}
	if a == refusal.RanUnknown || b == refusal.RanUnknown {
		return refusal.RanUnknown
	}
	return refusal.RanNo
}
