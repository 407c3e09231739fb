// Package crashrecords keeps what routers know of requests and prompt parts that crash engines in the memory of a few
// schedulers, so that a loss of all routers releases none of them. A Server holds the records; a Client
// stores and reads them. Stored are the records as routers keep them in the platform's store, for a loss of all processes.
//
// Invariants:
//
//   - A stored record never makes a known one milder, except that a suspicion of a prompt part ends when a router
//     has cleared it.
//   - A router that holds back something that the platform's store lacks goes on trying to store it. The store lacks it
//     until then, and while the store is away.
//   - A Server holds a bounded number of records, each for a bounded time.
package crashrecords
