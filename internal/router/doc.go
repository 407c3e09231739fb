// Package router implements the gateway process on an entry VM. It checks the route, key and
// quota of each request, selects an endpoint, requests a grant from the engine's scheduler,
// sends the request to the endpoint and forwards the response.
//
// Invariants:
//
//   - A request that must not run twice is sent to a second endpoint only if the first
//     one proved that it did not run the request.
//   - A refusal states "not run" only if no endpoint ran the request or will run it.
//   - A response is forwarded as complete only if it was complete and belongs to the
//     request.
package router
