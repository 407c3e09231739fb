// Package availability decides whether an endpoint may receive requests from a process, by what
// the endpoint said in its responses to that process.
//
// An endpoint may say that it drains, which holds until its next incarnation, and may refuse a
// request for a time, in which it wants no requests at all.
//
// The package is pure: time is an argument. The caller must serialize access.
package availability
