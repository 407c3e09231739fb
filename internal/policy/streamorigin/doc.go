// Package streamorigin decides where a stream goes on.
//
// What two software versions or two services write does not fit together. Once a caller has an event of a
// stream, the stream is bound to the service and the version that began it, within one response and over all
// attempts of the caller. The first event is forwarded once a record of this origin is stored by a few holders,
// which rendezvous hashing chooses by the id of the attempt. A router to which the caller comes back asks the holders.
//
// Invariants:
//
//   - A stream goes on only at the origin that a record names, or at the only one that was possible for as long
//     as the stream can have lasted.
//   - A record is never changed to another origin: two origins under one key are a conflict.
//
// The package is pure: time is an argument. The caller must serialize access.
package streamorigin
