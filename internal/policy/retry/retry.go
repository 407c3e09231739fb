// Package retry decides whether a request is retried on another endpoint after an
// attempt failed.
//
// The decisions are pure: callers pass the time. Invariants:
//
//   - A request that is not idempotent is retried only if the last attempt provably did
//     not run.
//   - A request is not retried once a byte of a response has reached the caller.
//   - Retries after attempts that may have cost an endpoint work are charged to a Budget.
//     The budget is a fraction of the traffic, so that a wave of failures does not
//     multiply the load.
//   - A request that is not retried fails immediately.
package retry

import (
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
)

// Kind classifies how an attempt ended.
type Kind int

// Values of Kind.
const (
	// KindUnreachable means that no connection was established, so nothing was sent.
	KindUnreachable Kind = iota
	// KindRefused means that the agent refused the attempt because it is busy or
	// draining.
	KindRefused
	// KindFailed means that an endpoint spent work on the attempt, or may have.
	KindFailed
	// KindFinal means that every endpoint would return the same response.
	KindFinal
)

// Attempt is an attempt that ended without a complete response to the caller.
type Attempt struct {
	Kind              Kind
	Ran               refusal.Ran   // Whether the attempt ran.
	Idempotent        bool          // Whether the request may safely run twice.
	ResponseStarted   bool          // Whether a byte of a response has reached the caller.
	Number            int           // Number of attempts so far, including this one.
	UntriedCandidates int           // Number of candidates that were not tried yet.
	TimeLeft          time.Duration // Remaining time until the caller's deadline.
}

// Reason is the reason for a decision.
type Reason string

// Values of Reason.
const (
	ReasonRetry           Reason = "again"
	ReasonFinal           Reason = "final"
	ReasonResponseStarted Reason = "answer_begun"
	ReasonMayHaveRun      Reason = "may_have_run"
	ReasonMaxAttempts     Reason = "attempts_used_up"
	ReasonNoCandidate     Reason = "no_candidate_left"
	ReasonDeadlineNear    Reason = "deadline_near"
	ReasonBudgetExhausted Reason = "budget_used_up"
	ReasonRetryUncharged  Reason = "again_uncharged"
)

// Limits bound the attempts of one request.
type Limits struct {
	MaxAttempts int           // Maximum number of attempts per request.
	MinTimeLeft time.Duration // Remaining time below which a request is not retried.
}

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{MaxAttempts: 4, MinTimeLeft: 50 * time.Millisecond}
}

// Decide reports whether the request is retried, and why. A retry after KindFailed is
// charged to the budget. A retry after KindUnreachable or KindRefused is not, since the
// endpoint spent no work on the attempt.
func Decide(l Limits, a Attempt, budget *Budget, now time.Time) (bool, Reason) {
	if reason := checkRetryable(l, a); reason != ReasonRetry {
		return false, reason
	}
	if a.Kind != KindFailed {
		return true, ReasonRetryUncharged
	}
	if !budget.TryTake(now) {
		return false, ReasonBudgetExhausted
	}
	return true, ReasonRetry
}

// checkRetryable returns the reason why a must not be retried regardless of the budget,
// or ReasonRetry if it may be.
func checkRetryable(l Limits, a Attempt) Reason {
	switch {
	case a.ResponseStarted:
		return ReasonResponseStarted
	case a.Kind == KindFinal:
		return ReasonFinal
	case !a.Idempotent && a.Ran != refusal.RanNo:
		return ReasonMayHaveRun
	case a.Number >= l.MaxAttempts:
		return ReasonMaxAttempts
	case a.UntriedCandidates == 0:
		return ReasonNoCandidate
	case a.TimeLeft < l.MinTimeLeft:
		return ReasonDeadlineNear
	default:
		return ReasonRetry
	}
}

// CombineRan returns whether a request with two attempts ran. It ran if either attempt
// ran, and certainly did not run only if neither attempt did.
func CombineRan(a, b refusal.Ran) refusal.Ran {
	if a == refusal.RanYes || b == refusal.RanYes {
		return refusal.RanYes
	}
	if a == refusal.RanUnknown || b == refusal.RanUnknown {
		return refusal.RanUnknown
	}
	return refusal.RanNo
}
