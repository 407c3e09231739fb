// Package placement decides which endpoints are asked to run a job, and in
// which order.
//
// Rendezvous hashing orders the endpoints for each adapter, so that entries
// which do not talk to each other prefer the same few; the second one stands
// in another failure domain. Only the first few are used: as many as the
// adapter's measured demand needs. Among them the one with the least expected
// delay goes first. The delay follows from the load that agents report on
// their answers, the entry's own outstanding attempts, whether the build is
// believed to be resident, and whether the endpoint has served the same prompt
// prefix.
//
// Nothing here grows with the number of adapters: what is kept of adapters and
// prefixes is bounded, and the least recently used is forgotten. What was
// forgotten costs one pass over the endpoints of the base model to rebuild.
package placement
