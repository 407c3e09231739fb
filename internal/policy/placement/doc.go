// Package placement selects the endpoints that may run a request, and their
// order.
//
// Rendezvous hashing orders the endpoints for each adapter, so that entries
// prefer the same few endpoints without communication. The second endpoint of
// that order is in another failure domain than the first, if there is one. Only
// the first endpoints are used: as many as the adapter's measured demand needs.
// Among them, the endpoint with the lowest expected delay comes first. The
// expected delay depends on four facts: the load that agents report with their
// responses, the entry's own outstanding attempts, whether the build is expected
// to be resident, and whether the endpoint has served the same prompt prefix.
//
// Memory does not grow with the number of adapters. The state of adapters and
// prefixes is bounded, and the least recently used one is evicted. Rebuilding an
// evicted adapter costs one pass over the endpoints of its base model.
package placement
