package router

import (
	"net/http"
	"time"

	"github.com/hyssoptiller/hyssoptiller/internal/ident"
	"github.com/hyssoptiller/hyssoptiller/internal/refusal"
	"github.com/hyssoptiller/hyssoptiller/platform"
)

const (
	// minRetryAfter is the shortest Retry-After: two round trips and the interval between
	// snapshots.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the longest Retry-After. The load estimate is outdated after that time.
	maxRetryAfter = 3 * time.Second
	// notReadyRetryAfter is the Retry-After while the router has no configuration.
	notReadyRetryAfter = 500 * time.Millisecond
	// noRetryAfter stands for no Retry-After: a retry would be refused again.
	noRetryAfter = time.Duration(-1)
)

// refuse ends a request with a refusal. If the response header has already been sent, refuse
// aborts the connection instead.
func (r *Router) refuse(q *request, code refusal.Code, message string, after time.Duration) {
	f := refusal.New(code, q.ranStatus(), message)
	f.RequestID = ident.RequestID(q.call.RequestID)
	f.FractionalRetryAfter = true
	f.RetryAfter = min(max(after, minRetryAfter), maxRetryAfter)
	f.NoRetryAfter = after == noRetryAfter
	if q.ranStatus() != refusal.RanNo && promisesNotRun(f.Status) {
		f.Status = http.StatusBadGateway
	}
	q.trace.outcome = string(code)
	if q.headerSent {
		q.trace.status = 0
		panic(http.ErrAbortHandler)
	}
	q.trace.status = f.Status
	q.limitUnreadBody()
	r.limitWrite(q)
	platform.SetRequestID(q.w.Header(), q.call.RequestID)
	f.Write(q.w)
	q.ended = true
	if f.Ran == refusal.RanNo {
		r.returnQuota(q)
	}
}

// promisesNotRun reports whether callers take a status as proof that the request did not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
