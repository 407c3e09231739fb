// Package grants schedules requests and adapters on one model engine.
//
// A Machine receives requests for grants, released grants, engine reports and
// the outcomes of load and unload orders. It grants requests, refuses those
// that would start too late, and returns the next order for the engine.
//
// Invariants:
//
//   - At most one order is outstanding. An order carries the number of orders
//     that the engine has accepted so far, so the engine rejects a delayed one.
//   - Resident, loading and ordered adapters never exceed the engine's adapter
//     slots.
//   - An adapter with an active grant is not unloaded.
//   - Grants to a cold engine stay within the rate that it sustains.
//   - A grant requires a resident adapter of the announced version. The former
//     version is granted for a bounded time after the announcement.
//
// The package is pure: callers pass the time and hold the locks.
package grants
