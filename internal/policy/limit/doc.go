// Package limit decides which tokens may be admitted, so that over all
// processes and over every window of time an account admits no more than
//
//	burst + rate x length of the window.
//
// An account is cut into a fixed number of shares. Each share is a token
// bucket kept by one process, its holder, which a hash over the members of the
// current generation names. A process that needs tokens, the asker, reserves
// them from one holder or gathers them from several.
//
// # Which tokens count
//
// A reservation counts whole, prompt estimate and largest output together, at
// the moment it is given. When it is settled only the used tokens count, still
// at the moment it was given. Tokens of work that did not run come back.
//
// # Why the bound holds
//
// A share keeps balance + claims <= burst, where the claim of a reservation is
// what may still come out of it: all of it while its answer may be on the way
// to the asker, and later what a settlement may return. So what can be
// admitted in a window that begins at time s is the balance and the claims at
// s, together at most the burst, and what is refilled since. Refill that finds
// no room takes it from the oldest claims whose answer can no longer be on the
// way, so that long requests cost their organisation no rate.
//
// A share moves only when its holder stops and hands it over, or when its
// holder is certainly gone; then it restarts from balance zero after the last
// answer of the lost holder has lost its validity. A hand-over is bound to its
// target and is taken at most once. Dropping a hand-over is always safe.
//
// All functions are pure: time is an argument and nothing here does I/O.
package limit
