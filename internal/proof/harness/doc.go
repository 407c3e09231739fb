// Package harness runs real entry and agent processes against the platform's
// stand-ins inside one testing/synctest bubble, over in-memory connections.
//
// It replaces three interfaces: the connections between processes (Network),
// the key-value service (store.Memory behind a gatedStore for each process)
// and the endpoints (Endpoint, which records the requests that reach a
// stand-in and can hold runs or rewrite responses). All other code is the
// product's own. Tests check what the endpoints recorded, not what the
// processes report.
//
// A paused process still runs its goroutines and timers, but it neither sends
// nor receives bytes and its store calls block. To every other process it
// looks stopped. Unlike a process that is really stopped, its own timeouts
// expire: after a pause longer than the fleet's ping timeout it closes its
// connections.
package harness
