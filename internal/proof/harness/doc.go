// Package harness runs real entry and agent processes with the stand-ins for
// the platform inside one testing/synctest bubble, over connections in memory.
//
// It is a fake at three interfaces: the connections between processes
// (Network), the key-value service (a gate before store.Memory) and the
// endpoints (Endpoint, which records what reaches a stand-in and can hold or
// spoil its answers). All else is the product's own code. Checks are made from
// what the endpoints recorded, not from what the processes say.
//
// A paused process still runs its goroutines and timers, but no byte passes in
// or out of it and its store calls wait, so that to every other process it
// looks like one that was stopped. Unlike one that was really stopped, it sees
// its own timeouts pass: beyond the fleet's ping timeout it gives its
// connections up.
package harness
