// Package quarantine measures what the decisions on failed attempts cost and
// save: endpoints lost to requests that crash them, harm to the requests
// beside them, and the load that retries add in a storm of failures.
//
// The decisions are the fleet's own; the endpoints around them are counters
// under a clock that steps, with seeded arrivals.
package quarantine
