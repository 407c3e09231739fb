// Package limit enforces token rate limits for a whole fleet. Over all processes
// and over every window of time, an account admits at most
//
//	burst + rate x length of the window
//
// tokens. An account is divided into a fixed number of shares. Each share is a
// token bucket at one process, its holder. Rendezvous hashing over the members
// of the current generation selects the holder. A process that needs tokens,
// the reserver, takes them from one holder or collects them from several.
//
// # Which tokens count
//
// A reservation takes the prompt estimate and the maximum output together, at
// the moment it is made. After its settlement only the used tokens count, still
// at the moment of the reservation. Tokens of work that did not run are returned.
//
// # Why the bound holds
//
// A share keeps balance + claims <= burst. The claim of a reservation is the
// amount that the share may still lose to it: the full amount while the response
// may be in flight to the reserver, and afterwards the amount that a settlement
// may return. The tokens admitted in a window that begins at time s are
// therefore at most the balance and claims at s, which are at most the burst,
// plus the refill since s. Refill that exceeds the burst reduces the oldest
// claims whose response can no longer be in flight. Long requests therefore do
// not lower their organisation's rate.
//
// A share moves in two cases. Its holder stops serving it and hands it over, or
// its holder has certainly ended. In the second case the share restarts with
// balance zero, after the last response of the former holder is no longer valid.
// A handover is bound to its target and is accepted at most once. Dropping a
// handover is always safe.
//
// All functions are pure: time is an argument, and nothing here does I/O.
package limit
