// Package catalog holds a process's view of the deployment: the operator's configuration, the
// registered endpoints and the announced adapter versions.
//
// Follower mirrors the items under a prefix of a Store by listing and watching them. State
// builds Views from the items.
//
// Invariants of State:
//
//   - While the process runs, the version of the configuration and the version of each
//     adapter never decrease.
//   - A failure of the store removes nothing from the View.
package catalog
