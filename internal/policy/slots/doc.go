// Package slots decides which adapter builds an engine holds.
//
// Machine is a pure state machine: events go in, orders to the engine come
// out, and time is an argument. It keeps these invariants:
//
//   - A build is unloaded only while no attempt runs on it and none waits for it.
//   - Builds that are loading, resident, unloading or unknown each take a
//     slot, and no load is ordered beyond the number of slots.
//   - An order without an answer leaves its build unknown: it is neither
//     usable nor is its slot free until a later list of the engine's builds or
//     the answer to a repeated order settles it.
//   - When the engine's boot id changes, residency is forgotten; no load or
//     unload is ordered until the engine has listed what it holds. Answers to
//     orders of the former boot say nothing about the new one.
//
// The machine relies on one property of the engine: it carries out the orders
// for one build one after another, so that the answer to a repeated order
// comes after the effect of the first.
package slots
