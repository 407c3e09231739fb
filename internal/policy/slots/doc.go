// Package slots decides which adapter builds an engine holds.
//
// Machine is a pure state machine: it receives events and returns orders to the
// engine. Callers pass the time. It keeps these invariants:
//
//   - A build is unloaded only while no attempt runs on it or waits for it.
//   - A build that is loading, resident, unloading or unknown occupies a slot. No
//     load is ordered beyond the number of slots.
//   - An order without a response leaves its build unknown: the build is not usable,
//     and its slot stays occupied. A later list of the engine's builds or the
//     response to a repeated order resolves the state.
//   - When the engine's boot id changes, the resident builds are discarded. No load
//     or unload is ordered until the engine has listed its builds. Responses to
//     orders sent to the former boot do not determine the state of the new one.
//
// The machine requires that the engine carries out the orders for one build one
// after another, so that the response to a repeated order arrives after the effect
// of the first one.
package slots
