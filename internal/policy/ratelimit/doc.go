// Package ratelimit bounds the requests to an endpoint that names a rate limit in its responses, or that is
// cold.
//
// Each process that receives responses of the endpoint makes Observations. A Limiter merges them
// and is the only one that counts the requests of the endpoint.
//
// Invariants of a Limiter while the limit does not change:
//
//   - Over any period, it admits at most rate × period + max(1, rate × BurstPeriod) requests.
//   - It admits one request at the latest 1 / rate after the last admitted one.
package ratelimit
