// Package routing chooses the endpoint of a request.
//
// Engines are ranked by the time at which they are expected to begin: prompts
// that they have yet to read, the load of the adapter, the wait for a place.
// Patterns that it answers:
//
//   - A rare adapter always goes to the same engine, which loads it quickly.
//   - A popular one spreads over as many engines as its load needs, no more.
//   - While many adapters are on their way from the weight store, requests stay
//     with engines that hold theirs, so that a flash crowd does not turn into
//     loads.
//   - Rare adapters that are all asked for at once cause only as many loads as
//     the weight store carries in time; the other requests are refused.
//   - An engine that fails behind good health is avoided within a few requests.
//
// The package is pure: time is an argument and the caller holds the locks.
package routing
