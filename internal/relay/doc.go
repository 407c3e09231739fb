// Package relay passes the changes in the store from the few processes that read it to the others.
//
// A Server serves the change logs of its process. A Reader is a catalog.Store that watches the change
// log of the chosen relay. It reads the store itself if there is no relay, if the relay does not respond,
// or if its changes were read longer ago than a bound. Listings always read the store.
//
// Invariants:
//
//   - The age of relayed changes counts from the read of the store. Time that a relay or the network
//     spent on a response adds to it.
//   - A Reader returns relayed changes only if they are younger than Freshness.MaxAge.
package relay
