// Package routing ranks the endpoints that can serve a request.
//
// Engines are ranked by the expected wait until a request starts: the prefill
// backlog, the time to load the adapter and the wait for an adapter slot. Costs for
// failures, slowdown and placement are added to it. The ranking has these
// properties:
//
//   - All routers prefer the same engine for a rare adapter, so that its later
//     loads are served from that engine's host cache.
//   - A popular adapter spreads over as many engines as its requests need.
//   - While many adapters load from the weight store, requests stay on engines
//     that hold their adapter. A flash crowd then causes few loads.
//   - When many rare adapters are requested at once, loads are limited to those
//     that the weight store completes in time. The other requests are refused.
//   - Routers that see the same old snapshots spread over the engines that hold the adapter, by the
//     work that the others are expected to have sent since (package spreading).
//   - An engine that fails while its health checks pass is avoided within a few
//     requests.
//
// The package is pure: callers pass the time and hold the locks.
package routing
