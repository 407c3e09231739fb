// Package relaychoice decides from which process a process reads the changes of the store. In each
// failure domain one router, the first by capacity and rendezvous hashing, reads the store; the other processes of
// the domain read the changes from it. The number of processes that read the store grows with the
// failure domains, not with the processes.
//
// Invariants:
//
//   - A process reads the store itself if it knows no other process that could relay the changes, or
//     if it is the first of its failure domain.
//   - A relay that failed is not chosen for LostDelay or StaleDelay.
package relaychoice
