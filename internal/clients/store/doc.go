// Package store defines the interface to the platform's key-value service. It
// contains only the operations that the fleet uses.
//
// Every Store keeps these rules:
//
//   - A value is at most MaxValueBytes long.
//   - CompareAndSwap takes the index that the caller has read. Index 0 creates the
//     key.
//   - Watch returns as soon as the index of the key differs from the given one. A
//     waiting watch counts as one call.
//   - A write whose response is lost returns ErrOutcomeUnknown. The caller reads the
//     key to find out whether the write took effect.
//   - A call that returns ErrUnavailable has changed nothing.
//
// Consul implements the interface on the published HTTP API of Consul's KV store.
// Memory implements it in memory, for tests and the demo.
package store
