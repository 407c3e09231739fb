// Package config stores and distributes the operators' configuration: the plans
// list, the allowances list and the granted keys.
//
// The key-value store holds the configuration. Editor changes it there. Each
// entry runs a Replica, which keeps a Snapshot of the highest revision it has
// received and distributes that revision to other entries.
//
// Invariants:
//   - The head key of the store is the only commit point. Everything that the
//     head refers to is an immutable chunk named by its hash.
//   - A Replica never replaces its revision with a lower one.
package config
